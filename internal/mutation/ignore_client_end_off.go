//go:build !mutation_ignore_client_end

package mutation

// IgnoreClientEnd lets attempts go on for a client that has left.
const IgnoreClientEnd = false
