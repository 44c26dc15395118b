package rollout

import (
	"fmt"
	"testing"
)

func document(slots int) *Document {
	return &Document{FormatVersion: 1, Mode: ModeCarry, Tenants: []Tenant{{"a", slots, 1}, {"b", 2, 1}}}
}

// world is a state with members, told things in order.
type world struct {
	t  *testing.T
	s  *State
	at int64
}

func (w *world) do(c Command) error {
	w.at++
	c.AtMS = w.at
	return w.s.Apply(c)
}

func (w *world) must(c Command) {
	w.t.Helper()
	if err := w.do(c); err != nil {
		w.t.Fatalf("%s: %v", c.Op, err)
	}
}

func (w *world) member(i int) Member { return Member{fmt.Sprint("n", i), 1} }

func (w *world) propose(d *Document, first float64) {
	w.t.Helper()
	c := Command{Op: OpPropose, Document: d, BaseEpoch: w.s.epoch, By: "op", Reason: fmt.Sprint(w.at), WithinMS: 1000}
	if first > 0 {
		c.CanaryFraction, c.CanaryWatchMS = first, 10
	}
	w.must(c)
}

// sayAll has all members say what their views ask for.
func (w *world) sayAll(n int) {
	w.t.Helper()
	for i := range n {
		v := w.s.View(w.member(i))
		w.must(Command{Op: OpAck, Member: w.member(i), ChangeNumber: v.ChangeNumber, Stage: v.Stage})
	}
}

func (w *world) advance() {
	w.t.Helper()
	w.must(Command{Op: OpAdvance, ChangeNumber: w.s.change.Number, Stage: w.s.stage})
}

func newWorld(t *testing.T, members int) *world {
	w := &world{t: t, s: New(100)}
	for i := range members {
		w.must(Command{Op: OpJoin, Member: w.member(i)})
	}
	return w
}
