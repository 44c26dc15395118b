//go:build !mutation_accept_duplicate_responses

package mutation

// AcceptDuplicateResponses takes an earlier request's response for this one's.
const AcceptDuplicateResponses = false
