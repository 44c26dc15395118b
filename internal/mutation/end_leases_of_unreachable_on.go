//go:build mutation_end_leases_of_unreachable

package mutation

// EndLeasesOfUnreachable lets a controller end the leases of a member that it cannot reach.
const EndLeasesOfUnreachable = true
