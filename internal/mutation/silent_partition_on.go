//go:build planted_silent_partition

package mutation

// SilentPartition lets a part of the fleet be lost without a word.
const SilentPartition = true
