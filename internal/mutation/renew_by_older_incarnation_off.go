//go:build !mutation_renew_by_older_incarnation

package mutation

// RenewByOlderIncarnation lets an older process of a name renew the newer one's lease, as if it held it.
const RenewByOlderIncarnation = false
