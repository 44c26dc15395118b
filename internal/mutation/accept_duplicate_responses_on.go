//go:build mutation_accept_duplicate_responses

package mutation

// AcceptDuplicateResponses accepts a duplicate of an earlier response as the response to the current request.
const AcceptDuplicateResponses = true
