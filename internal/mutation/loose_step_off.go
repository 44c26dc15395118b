//go:build !planted_loose_step

package mutation

// LooseStep lets the leader of a change commit what a roster of before has confirmed.
const LooseStep = false
