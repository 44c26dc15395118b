package model

import (
	"slices"

	"barleywick/internal/rollout"
)

type kind int

const (
	request kind = iota
	answer
	leaderCommand // of a leader
)

type message struct {
	kind    kind
	sender  int // the sidecar, or the leader
	self    rollout.Member
	command rollout.Command
	view    rollout.View
	err     error
}

// call puts in force what a sidecar is to act by, and says what it has to say, or asks
// for news.
func (w *World) call(i int) {
	s := w.sidecars[i]
	s.active, s.acting = s.follower.Active()
	c, any := s.follower.NextCommand()
	if !any {
		c = rollout.Command{}
		if n, wanted := s.follower.ReportsWanted(); wanted {
			c = rollout.Command{Op: rollout.OpReport, Member: s.self, ChangeNumber: n, Counts: rollout.RequestCounts{Requests: uint64(w.checker.Steps) * 100}}
		}
	}
	s.calling = true
	w.network = append(w.network, message{kind: request, sender: i, self: s.self, command: c})
}

func (w *World) deliver(i int) {
	m := w.network[i]
	w.network = slices.Delete(w.network, i, i+1)
	switch m.kind {
	case leaderCommand:
		w.state.Apply(m.command)
	case request:
		var err error
		if m.command.Op != "" {
			m.command.AtMS = w.now
			err = w.state.Apply(m.command)
		}
		if m.command.Op != rollout.OpLeave {
			w.network = append(w.network, message{kind: answer, sender: m.sender, self: m.self, command: m.command, view: w.state.View(m.self), err: err})
		}
	case answer:
		s := w.sidecars[m.sender]
		if !s.up || s.self != m.self {
			return
		}
		s.calling = false
		s.follower.HandleResult(m.command, m.err)
		s.follower.HandleView(m.view)
		if s.active, s.acting = s.follower.Active(); s.follower.Fatal() != nil { // it ends as a start that fails does
			s.up = false
			w.network = append(w.network, message{kind: request, sender: m.sender, self: s.self, command: rollout.Command{Op: rollout.OpLeave, Member: s.self}})
		}
	}
}
