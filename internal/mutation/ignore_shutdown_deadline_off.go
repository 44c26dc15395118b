//go:build !mutation_ignore_shutdown_deadline

package mutation

// IgnoreShutdownDeadline lets a sidecar take requests as if nobody had told it to end.
const IgnoreShutdownDeadline = false
