//go:build !mutation_advance_without_acks

package mutation

// AdvanceWithoutAcks lets a rollout advance to its next stage before all members have acknowledged the current one.
const AdvanceWithoutAcks = false
