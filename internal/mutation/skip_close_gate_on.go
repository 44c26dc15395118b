//go:build mutation_skip_close_gate

package mutation

// SkipCloseGate lets every client connection be closed, whatever the gate decides.
const SkipCloseGate = true
