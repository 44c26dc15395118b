//go:build mutation_close_without_answer

package mutation

// CloseWithoutAnswer closes a client connection without the answer that is owed.
const CloseWithoutAnswer = true
