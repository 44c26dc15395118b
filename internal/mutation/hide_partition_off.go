//go:build !mutation_hide_partition

package mutation

// HidePartition keeps a member from reporting that part of the fleet is unreachable.
const HidePartition = false
