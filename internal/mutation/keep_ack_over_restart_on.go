//go:build mutation_keep_ack_over_restart

package mutation

// KeepAckOverRestart lets a sidecar that starts again count as having acknowledged what the process before it had.
const KeepAckOverRestart = true
