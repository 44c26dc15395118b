package model

import (
	"slices"

	"barleywick/internal/rollout"
)

type messageKind int

const (
	request messageKind = iota // of a sidecar
	answer                     // to a request
	leaderCommand
)

func (k messageKind) String() string { return []string{"request", "answer", "leader's command"}[k] }

// message is a call or an answer in flight.
type message struct {
	kind    messageKind
	process int            // the sidecar or the leader
	member  rollout.Member // the incarnation of the sidecar
	command rollout.Command
	view    rollout.View // of an answer
	err     error        // of an answer
}

// call makes a sidecar apply its current policy, and send its next command, a report or a
// request for a view.
func (w *World) call(i int) {
	s := w.sidecars[i]
	s.active, s.acting = s.follower.Active()
	c, ok := s.follower.NextCommand()
	if !ok {
		c = rollout.Command{}
		if number, wanted := s.follower.ReportsRequested(); wanted {
			counts := rollout.RequestCounts{Requests: uint64(w.checker.Steps) * 100}
			c = rollout.Command{Op: rollout.OpReport, Member: s.self, ChangeNumber: number, Counts: counts}
		}
	}
	s.calling = true
	w.network = append(w.network, message{kind: request, process: i, member: s.self, command: c})
}

// sendLeave sends the command by which a sidecar leaves the roster.
func (w *World) sendLeave(i int) {
	s := w.sidecars[i]
	c := rollout.Command{Op: rollout.OpLeave, Member: s.self}
	w.network = append(w.network, message{kind: request, process: i, member: s.self, command: c})
}

// deliver delivers a message to its receiver.
func (w *World) deliver(i int) {
	m := w.network[i]
	w.network = slices.Delete(w.network, i, i+1)
	switch m.kind {
	case leaderCommand:
		w.apply(m.command)
	case request:
		w.deliverRequest(m)
	case answer:
		w.deliverAnswer(m)
	}
}

func (w *World) deliverRequest(m message) {
	var err error
	if m.command.Op != "" {
		m.command.AtMS = w.nowMS
		err = w.state.Apply(m.command)
	}
	if m.command.Op == rollout.OpLeave {
		return // the sidecar does not wait for the answer
	}
	w.network = append(w.network, message{kind: answer, process: m.process, member: m.member, command: m.command, view: w.state.View(m.member), err: err})
}

// deliverAnswer passes an answer to the sidecar, if it is still the same process. A sidecar
// that does not support the policy in force ends.
func (w *World) deliverAnswer(m message) {
	s := w.sidecars[m.process]
	if !s.up || s.self != m.member {
		return
	}
	s.calling = false
	s.follower.HandleResult(m.command, m.err)
	s.follower.HandleView(m.view)
	s.active, s.acting = s.follower.Active()
	if s.follower.Fatal() != nil {
		s.up = false
		w.sendLeave(m.process)
	}
}

// loseMessage loses a message. The sidecar whose call or answer was lost sees the call fail.
func (w *World) loseMessage(i int) {
	m := w.network[i]
	w.network = slices.Delete(w.network, i, i+1)
	if m.kind == leaderCommand {
		return
	}
	if s := w.sidecars[m.process]; s.self == m.member {
		s.calling = false
	}
}
