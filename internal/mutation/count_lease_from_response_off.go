//go:build !mutation_count_lease_from_response

package mutation

// CountLeaseFromResponse lets a holder count its lease from the response, not from when it sent the request.
const CountLeaseFromResponse = false
