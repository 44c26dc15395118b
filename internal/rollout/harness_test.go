package rollout

import (
	"errors"
	"fmt"
	"testing"
)

func document(slots int) *Document {
	return &Document{FormatVersion: 1, Mode: ModeCarry, Tenants: []Tenant{{"a", slots, 1}, {"b", 2, 1}}}
}

// harness applies commands to a state, one per millisecond.
type harness struct {
	t     *testing.T
	state *State
	nowMS int64
}

// newHarness returns a harness whose state has members n0, n1 and so on.
func newHarness(t *testing.T, members int) *harness {
	h := &harness{t: t, state: New(100)}
	for i := range members {
		h.mustApply(Command{Op: OpJoin, Member: h.member(i)})
	}
	return h
}

func (h *harness) member(i int) Member { return Member{fmt.Sprint("n", i), 1} }

func (h *harness) apply(c Command) error {
	h.nowMS++
	c.AtMS = h.nowMS
	return h.state.Apply(c)
}

func (h *harness) mustApply(c Command) {
	h.t.Helper()
	if err := h.apply(c); err != nil {
		h.t.Fatalf("%s: %v", c.Op, err)
	}
}

func (h *harness) propose(d *Document, canaryFraction float64) {
	h.t.Helper()
	c := Command{Op: OpPropose, Document: d, BaseEpoch: h.state.epoch, By: "op", Reason: fmt.Sprint(h.nowMS), WithinMS: 1000}
	if canaryFraction > 0 {
		c.CanaryFraction, c.CanaryWatchMS = canaryFraction, 10
	}
	h.mustApply(c)
}

// ackAll makes the first n members acknowledge the stage of their views.
func (h *harness) ackAll(n int) {
	h.t.Helper()
	for i := range n {
		v := h.state.View(h.member(i))
		h.mustApply(Command{Op: OpAck, Member: h.member(i), ChangeNumber: v.ChangeNumber, Stage: v.Stage})
	}
}

func (h *harness) advance() {
	h.t.Helper()
	h.mustApply(Command{Op: OpAdvance, ChangeNumber: h.state.change.Number, Stage: h.state.stage})
}

// wantError checks that a command fails with an error.
func (h *harness) wantError(what string, c Command, want error) {
	h.t.Helper()
	if err := h.apply(c); !errors.Is(err, want) {
		h.t.Errorf("%s: got %v, want %v", what, err, want)
	}
}

// wantStage checks the state's epoch and stage.
func (h *harness) wantStage(epoch uint64, stage Stage) {
	h.t.Helper()
	if h.state.epoch != epoch || h.state.stage != stage {
		h.t.Errorf("got epoch %d, %s, want epoch %d, %s", h.state.epoch, h.state.stage, epoch, stage)
	}
}
