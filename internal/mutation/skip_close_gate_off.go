//go:build !mutation_skip_close_gate

package mutation

// SkipCloseGate closes every client connection regardless of the gate's decision.
const SkipCloseGate = false
