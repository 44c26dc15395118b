//go:build !mutation_close_without_answer

package mutation

// CloseWithoutAnswer closes a client connection without sending the outstanding response.
const CloseWithoutAnswer = false
