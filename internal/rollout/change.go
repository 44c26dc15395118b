package rollout

import "slices"

// Change is a proposed policy.
type Change struct {
	Number     uint64   `json:"number"` // the epoch that the policy gets when it is committed
	Document   Document `json:"document"`
	By         string   `json:"by"`
	Reason     string   `json:"reason"`
	StartedMS  int64    `json:"began_ms"`
	DeadlineMS int64    `json:"until_ms"` // the change is aborted if it is not committed by then

	CanaryFraction float64  `json:"first,omitempty"`    // of the roster; 0: there are no canaries
	CanaryWatchMS  int64    `json:"watch_ms,omitempty"` // how long the canaries are compared with the others
	CanarySinceMS  int64    `json:"since_ms,omitempty"` // when the canaries were chosen
	Canaries       []string `json:"canaries,omitempty"`
}

// stageOf returns the stage of the change for one member. During StageCanary, the canaries
// are at StageJoint and the others still at StagePreparing.
func (s *State) stageOf(name string) Stage {
	switch {
	case s.stage != StageCanary:
		return s.stage
	case slices.Contains(s.change.Canaries, name):
		return StageJoint
	}
	return StagePreparing
}
