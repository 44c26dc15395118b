//go:build !mutation_hide_partition

package mutation

// HidePartition lets a member not report that it has lost a part of the fleet.
const HidePartition = false
