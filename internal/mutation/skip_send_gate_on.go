//go:build mutation_skip_send_gate

package mutation

// SkipSendGate lets every attempt be sent, whatever the gate decides.
const SkipSendGate = true
