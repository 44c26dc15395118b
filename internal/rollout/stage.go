package rollout

import "slices"

// Stage is how far a change has come.
type Stage string

// The stages. An aborted change goes back to StageSettled at once, from any stage before
// StageCommitted: whoever acts by the stricter of both policies takes no more than the old
// one allows, however late it learns of the abort.
const (
	StageSettled   Stage = "settled"   // one policy, at all members of the roster
	StagePreparing Stage = "preparing" // every member says whether it supports the new policy
	StageCanary    Stage = "canary"    // some act by the stricter of both, and are compared with the others
	StageJoint     Stage = "joint"     // every member acts by the stricter of both
	StageCommitted Stage = "committed" // the new policy is in force, and every member acts by it
)

// changeStages are the stages of a change in their order. A member that has acknowledged
// nothing yet is at the empty stage.
var changeStages = []Stage{"", StagePreparing, StageCanary, StageJoint, StageCommitted}

// reached reports whether a stage is the other one or a later one.
func (s Stage) reached(other Stage) bool {
	return slices.Index(changeStages, s) >= slices.Index(changeStages, other)
}

// valid reports whether a state may be at the stage.
func (s Stage) valid() bool {
	return s == StageSettled || s != "" && slices.Contains(changeStages, s)
}
