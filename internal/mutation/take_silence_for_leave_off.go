//go:build !mutation_take_silence_for_leave

package mutation

// TakeSilenceForLeave lets the leader of a rollout remove a member that has not responded, as if it had left.
const TakeSilenceForLeave = false
