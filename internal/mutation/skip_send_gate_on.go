//go:build mutation_skip_send_gate

package mutation

// SkipSendGate sends every attempt regardless of the gate's decision.
const SkipSendGate = true
