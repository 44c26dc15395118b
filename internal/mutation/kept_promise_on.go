//go:build planted_kept_promise

package mutation

// KeptPromise lets a sidecar that starts again count for what the process before it said.
const KeptPromise = true
