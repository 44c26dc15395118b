package model

import (
	"fmt"
	"slices"
	"strings"

	"barleywick/internal/rollout"
)

// Counts are totals of a walk. After each step, Acting grows by the number of sidecars that apply a
// policy, and Joint by the number of those that apply the stricter of the old and the new one.
type Counts struct {
	Steps, Faults, Commits, Acting, Joint int
	Refused                               int // commands of operators and leaders
}

func (c *Counts) add(d Counts) {
	c.Steps += d.Steps
	c.Faults += d.Faults
	c.Commits += d.Commits
	c.Acting += d.Acting
	c.Joint += d.Joint
	c.Refused += d.Refused
}

type checker struct {
	Counts
	epoch uint64 // of the last commit that was checked
}

// checkInvariants checks the world after a step.
func (w *World) checkInvariants() error {
	if err := w.checkCommit(w.state.Status()); err != nil {
		return err
	}
	return w.checkCommonPolicy()
}

// checkCommit checks, when a policy comes into force, that each running member of the
// roster applies the stricter of the old and the new one.
func (w *World) checkCommit(status rollout.Status) error {
	if status.Epoch == w.checker.epoch {
		return nil
	}
	w.checker.epoch = status.Epoch
	w.checker.Commits++
	for _, m := range status.Roster {
		i := slices.IndexFunc(w.sidecars, func(s *sidecar) bool { return s.up && s.self == m.Member })
		if i >= 0 && (!w.sidecars[i].acting || w.sidecars[i].active.JointChange != status.Epoch) {
			return fmt.Errorf("epoch %d is in force, but n%d, which is in the roster, does not apply the stricter of it and the old one", status.Epoch, i)
		}
	}
	return nil
}

// checkCommonPolicy checks that there is one policy whose limits are respected by all sidecars that
// apply a policy. If there is none, some apply the old policy and some the new one at the same time.
func (w *World) checkCommonPolicy() error {
	sidecarsByEpoch := make(map[uint64]int) // by epoch: the number of sidecars that keep the limits of its policy
	acting := 0
	for i, s := range w.sidecars {
		if !s.up || !s.acting {
			continue
		}
		acting++
		w.checker.Acting++
		sidecarsByEpoch[s.active.Epoch]++
		if s.active.JointChange != 0 {
			sidecarsByEpoch[s.active.JointChange]++
			w.checker.Joint++
		}
		if s.limited && exceedsLimit(s.active.Document) {
			return fmt.Errorf("n%d applies epoch %d, whose policy it does not support", i, s.active.Epoch)
		}
	}
	if acting == 0 {
		return nil
	}
	for _, n := range sidecarsByEpoch {
		if n == acting {
			return nil
		}
	}
	return fmt.Errorf("sidecars apply the old and the new policy at the same time: %s", w.describeActing())
}

// exceedsLimit reports whether a limited sidecar does not support a document.
func exceedsLimit(d *rollout.Document) bool { return d != nil && d.Tenants[0].Slots > slotLimit }

func (w *World) describeActing() string {
	var parts []string
	for i, s := range w.sidecars {
		if s.up && s.acting {
			parts = append(parts, fmt.Sprintf("n%d by epoch %d (joint with %d)", i, s.active.Epoch, s.active.JointChange))
		}
	}
	return strings.Join(parts, " ")
}
