package model

import (
	"fmt"
	"slices"
)

// Counts is what the judge has seen.
type Counts struct{ Steps, Faults, Commits, Acting, Joint int }

func (c *Counts) add(d Counts) {
	c.Steps += d.Steps
	c.Faults += d.Faults
	c.Commits += d.Commits
	c.Acting += d.Acting
	c.Joint += d.Joint
}

type checker struct {
	Counts
	epoch uint64
}

// checkInvariants is what the judge sees after each step: which policies each sidecar's acts keep
// to. Two that keep to no common one act by the old and by the new at once.
func (w *World) checkInvariants() error {
	st := w.state.Status()
	if st.Epoch != w.checker.epoch {
		w.checker.epoch = st.Epoch
		w.checker.Commits++
		for _, seat := range st.Roster {
			i := slices.IndexFunc(w.sidecars, func(s *sidecar) bool { return s.up && s.self == seat.Member })
			if i >= 0 && (!w.sidecars[i].acting || w.sidecars[i].active.JointChange != st.Epoch) {
				return fmt.Errorf("epoch %d is in force, and n%d, which has a seat, never acted by it and the old one", st.Epoch, i)
			}
		}
	}
	common := map[uint64]int{}
	acting := 0
	for i, s := range w.sidecars {
		if !s.up || !s.acting {
			continue
		}
		acting++
		w.checker.Acting++
		common[s.active.Epoch]++
		if s.active.JointChange != 0 {
			common[s.active.JointChange]++
			w.checker.Joint++
		}
		if s.limited && s.active.Document != nil && s.active.Document.Tenants[0].Slots > 100 {
			return fmt.Errorf("n%d is to act by epoch %d, which it cannot", i, s.active.Epoch)
		}
	}
	for _, n := range common {
		if n == acting {
			return nil
		}
	}
	if acting == 0 {
		return nil
	}
	text := ""
	for i, s := range w.sidecars {
		if s.up && s.acting {
			text += fmt.Sprintf(" n%d by epoch %d (joint with %d)", i, s.active.Epoch, s.active.JointChange)
		}
	}
	return fmt.Errorf("old and new at once:%s", text)
}
