//go:build planted_old_incarnation

package mutation

// OldIncarnation lets an older process of a name renew the newer one's lease, as if it held it.
const OldIncarnation = true
