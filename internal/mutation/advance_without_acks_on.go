//go:build mutation_advance_without_acks

package mutation

// AdvanceWithoutAcks lets a rollout go on to its next stage before all members have acknowledged the present one.
const AdvanceWithoutAcks = true
