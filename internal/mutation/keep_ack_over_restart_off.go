//go:build !mutation_keep_ack_over_restart

package mutation

// KeepAckOverRestart credits a restarted sidecar with the acknowledgements of its predecessor process.
const KeepAckOverRestart = false
