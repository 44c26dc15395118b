package rollout

import "slices"

// Stage is how far a change has come.
type Stage string

// The stages. A change that is aborted goes back to the first at once: who acts by the
// stricter of both takes no more than the old policy allows, however late it hears.
const (
	StageSettled   Stage = "settled"   // one policy, at everybody who is in the roster
	StagePreparing Stage = "preparing" // everybody is to say whether it can
	StageCanary    Stage = "canary"    // a few act by the stricter of both, and are compared with the rest
	StageJoint     Stage = "joint"     // everybody is to act by the stricter of both
	StageCommitted Stage = "committed" // the new one is in force: everybody is to act by it
)

func stageOrder(s Stage) int {
	return slices.Index([]Stage{"", StagePreparing, StageCanary, StageJoint, StageCommitted}, s)
}
