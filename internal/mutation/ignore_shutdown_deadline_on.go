//go:build mutation_ignore_shutdown_deadline

package mutation

// IgnoreShutdownDeadline keeps the gate from recording the shutdown and its deadline, so its decisions ignore them.
const IgnoreShutdownDeadline = true
