//go:build planted_unchecked_pause

package mutation

// UncheckedPause lets a holder act without a look at the clock.
const UncheckedPause = true
