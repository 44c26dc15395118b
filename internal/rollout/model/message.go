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

// message is one call or answer on its way.
type message struct {
	kind    messageKind
	process int            // the sidecar or the leader
	member  rollout.Member // the incarnation of the sidecar
	command rollout.Command
	view    rollout.View // of an answer
	err     error        // of an answer
}

// call has a sidecar act by its policy, and send its next command, a report or a call for
// a view.
func (w *World) call(i int) {
	s := w.sidecars[i]
	s.active, s.acting = s.follower.Active()
	c, any := s.follower.NextCommand()
	if !any {
		c = rollout.Command{}
		if number, wanted := s.follower.ReportsWanted(); wanted {
			counts := rollout.RequestCounts{Requests: uint64(w.checker.Steps) * 100}
			c = rollout.Command{Op: rollout.OpReport, Member: s.self, ChangeNumber: number, Counts: counts}
		}
	}
	s.calling = true
	w.network = append(w.network, message{kind: request, process: i, member: s.self, command: c})
}

// sendLeave has a sidecar tell the registry that it ends.
func (w *World) sendLeave(i int) {
	s := w.sidecars[i]
	c := rollout.Command{Op: rollout.OpLeave, Member: s.self}
	w.network = append(w.network, message{kind: request, process: i, member: s.self, command: c})
}

// deliver lets a message arrive.
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
		return // nobody waits for the answer
	}
	w.network = append(w.network, message{kind: answer, process: m.process, member: m.member, command: m.command, view: w.state.View(m.member), err: err})
}

// deliverAnswer gives an answer to the sidecar, if it is the same process still. A sidecar
// that cannot act by the policy in force ends.
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

// lose loses a message. A sidecar notices that its call has failed.
func (w *World) lose(i int) {
	m := w.network[i]
	w.network = slices.Delete(w.network, i, i+1)
	if m.kind == leaderCommand {
		return
	}
	if s := w.sidecars[m.process]; s.self == m.member {
		s.calling = false
	}
}
