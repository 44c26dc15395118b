//go:build !mutation_keep_idle_at_shutdown

package mutation

// KeepIdleAtShutdown leaves idle client connections open when a sidecar shuts down.
const KeepIdleAtShutdown = false
