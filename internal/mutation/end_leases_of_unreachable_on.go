//go:build mutation_end_leases_of_unreachable

package mutation

// EndLeasesOfUnreachable lets a controller end the leases of an unreachable member.
const EndLeasesOfUnreachable = true
