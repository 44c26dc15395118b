//go:build planted_from_answer

package mutation

// FromAnswer lets a holder count its time from the answer, not from when it asked.
const FromAnswer = true
