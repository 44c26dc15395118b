package model

import (
	"fmt"
	"slices"
)

// Key tells states apart.
func (w *World) Key(text []byte) []byte {
	st := w.state.Status()
	st.History = nil
	text = fmt.Append(text, w.now, w.counts, st.Epoch, st.Stage, st.Roster)
	if st.Change != nil {
		text = fmt.Append(text, st.Change.Number, st.Change.DeadlineMS)
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
		lines = append(lines, fmt.Sprint(m.kind, m.sender, m.self, m.command.Op, m.command.ChangeNumber, m.command.Stage, m.command.Refusal != "", m.view.Epoch, m.view.Stage, m.view.ChangeNumber, m.view.InRoster, st.Version-m.view.Version, m.err != nil))
	}
	slices.Sort(lines)
	return fmt.Append(text, lines)
}
