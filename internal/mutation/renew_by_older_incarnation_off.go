//go:build !mutation_renew_by_older_incarnation

package mutation

// RenewByOlderIncarnation lets an older incarnation of a process renew the newer one's lease, as if it held the lease.
const RenewByOlderIncarnation = false
