//go:build !mutation_ignore_client_end

package mutation

// IgnoreClientEnd lets attempts continue after the client has closed its connection.
const IgnoreClientEnd = false
