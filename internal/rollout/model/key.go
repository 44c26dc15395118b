package model

import (
	"fmt"
	"slices"
)

// Key appends a key of the state to text: two states with the same key have the same possible
// next steps. The key leaves out the history and the order of messages, which do not matter.
func (w *World) Key(text []byte) []byte {
	status := w.state.Status()
	text = fmt.Append(text, w.nowMS, w.counts, status.Epoch, status.Stage, status.Roster)
	if status.Change != nil {
		text = fmt.Append(text, status.Change.Number, status.Change.DeadlineMS)
	}
	for _, s := range w.sidecars {
		text = fmt.Append(text, "|", s.up, s.acting, s.limited, s.calling, s.self.Incarnation, s.active.Epoch, s.active.JointChange)
		if s.up {
			text = s.follower.Key(text)
		}
	}
	for _, l := range w.leaders {
		text = fmt.Append(text, "|", l.Epoch, l.Stage, l.WaitingFor, l.Version)
	}
	lines := make([]string, 0, len(w.network))
	for _, m := range w.network {
		lines = append(lines, fmt.Sprint(
			int(m.kind), m.process, m.member, m.command.Op, m.command.ChangeNumber, m.command.Stage, m.command.Refusal != "",
			m.view.Epoch, m.view.Stage, m.view.ChangeNumber, m.view.InRoster, status.Version-m.view.Version, m.err != nil,
		))
	}
	slices.Sort(lines)
	return fmt.Append(text, lines)
}
