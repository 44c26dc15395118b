package rollout

import "slices"

// Stage is the progress of a change.
type Stage string

// The stages. An aborted change returns to StageSettled at once, from any stage before
// StageCommitted: a sidecar that applies the stricter of both policies admits no more than the
// old one allows, so it may receive the abort late.
const (
	StageSettled   Stage = "settled"   // one policy, at all members of the roster
	StagePreparing Stage = "preparing" // every member reports whether it supports the new policy
	StageCanary    Stage = "canary"    // some members apply the stricter of both policies, and are compared with the others
	StageJoint     Stage = "joint"     // every member applies the stricter of both policies
	StageCommitted Stage = "committed" // the new policy is in force, and every member applies it
)

// changeStages are the stages of a change in order. A member that has acknowledged nothing
// yet is at the empty stage.
var changeStages = []Stage{"", StagePreparing, StageCanary, StageJoint, StageCommitted}

// reached reports whether a stage is the other one or a later one.
func (s Stage) reached(other Stage) bool {
	return slices.Index(changeStages, s) >= slices.Index(changeStages, other)
}

// valid reports whether the stage is one that a State can have.
func (s Stage) valid() bool {
	return s == StageSettled || s != "" && slices.Contains(changeStages, s)
}
