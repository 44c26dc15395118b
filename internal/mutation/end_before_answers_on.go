//go:build mutation_end_before_answers

package mutation

// EndBeforeAnswers lets a sidecar exit before its requests are answered.
const EndBeforeAnswers = true
