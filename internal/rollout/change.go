package rollout

import "slices"

// Change is a proposed policy on its way.
type Change struct {
	Number     uint64   `json:"number"` // the epoch that it becomes
	Document   Document `json:"document"`
	By         string   `json:"by"`
	Reason     string   `json:"reason"`
	StartedMS  int64    `json:"began_ms"`
	DeadlineMS int64    `json:"until_ms"` // aborted if it is not committed by then

	CanaryFraction float64  `json:"first,omitempty"`    // the part of the roster that goes ahead
	CanaryWatchMS  int64    `json:"watch_ms,omitempty"` // for how long it is compared with the rest
	CanarySinceMS  int64    `json:"since_ms,omitempty"` // when it began to
	Canaries       []string `json:"canaries,omitempty"` // who goes ahead
}

// stageOf is the stage of the change for one member: those that go ahead are at joint,
// while for the others it is as if it were being prepared still.
func (s *State) stageOf(name string) Stage {
	switch {
	case s.stage != StageCanary:
		return s.stage
	case slices.Contains(s.change.Canaries, name):
		return StageJoint
	}
	return StagePreparing
}
