//go:build !mutation_shorten_leases_on_election

package mutation

// ShortenLeasesOnElection lets a new registry leader expire leases before their full time to live.
const ShortenLeasesOnElection = false
