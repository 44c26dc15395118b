package emulator

import (
	"time"

	"barleywick/policy"
)

// request is one attempt of a client, as seen by its sidecar.
type request struct {
	id         policy.RequestID
	node       *node
	epoch      int
	call       *call
	deadline   time.Duration
	attempts   []*attempt
	closed     bool // answered, or its client has left
	receivedAt time.Duration
	shed       bool // the decision module counted it as shed
}

// attempt is one attempt of a sidecar at a server.
type attempt struct {
	request   *request
	number    int
	server    *Server
	ended     bool // the sidecar has received its outcome
	completed bool // the server has completed it
	work      float64
	connected bool // it holds a connection

	sentAt    time.Duration
	ending    policy.Ending
	malformed bool
	job       *Job // at the server; nil if the attempt was not accepted there
}

// receive passes a client's request to the sidecar and schedules the check for a missing answer.
func (n *node) receive(r *request, work time.Duration) {
	s := n.sim
	r.node, r.epoch, r.receivedAt = n, n.epoch, s.now
	n.open[r.id] = r
	if n.counts != nil {
		n.counts[r.call.Tenant].Requests++
	}
	s.checker.RequestReceived(r.id, n.index, r.call.Class, r.deadline)
	late := r.deadline + time.Duration(s.scenario.Rules.AnswerSlack) - s.now
	n.afterInEpoch(late+1, func() {
		if !r.closed {
			s.checker.Overdue(s.now, r.id)
			r.closed = true
			n.decider.ClientGone(s.now, r.id)
			s.clients.unanswered(r)
		}
	})
	n.deciding, n.shedBefore = r, shedCount(n.decider)
	n.decider.Request(s.now, policy.Request{
		ID: r.id, Class: r.call.Class, Tenant: r.call.Tenant, TimeLeft: r.deadline - s.now, ExpectedWork: work, AffinityKey: r.call.Key,
	})
	n.deciding = nil
}

// Send starts the next attempt of a request. The start limit is not modelled.
func (n *node) Send(id policy.RequestID, to policy.ServerID, timeout, _ time.Duration) {
	s := n.sim
	sv := s.Servers[int(to)-1]
	s.checker.AttemptSent(s.now, id, sv.Index)
	r := n.open[id]
	if r == nil {
		return // sent after the end of the request; the Checker has reported the violation
	}
	a := &attempt{request: r, number: len(r.attempts), server: sv, sentAt: s.now}
	r.attempts = append(r.attempts, a)
	s.record.Sends++
	h := s.record.impactAt(s.now)
	h.Sends++
	if n := len(r.attempts); n > 1 {
		h.countRetry(r.attempts[n-2].ending)
	}
	if sv.Zone != n.zone {
		s.record.CrossZoneSends++
	}
	timeout = min(timeout, r.deadline-s.now)
	n.afterInEpoch(max(0, timeout), func() { n.endAttempt(a, policy.TimedOut) })
	n.dial(a)
}

// dial sends the attempt on an idle connection, or opens a new one.
func (n *node) dial(a *attempt) {
	s, sv := n.sim, a.server
	oneWay := s.delay(n.zone, sv.Zone)
	idle := n.idle[sv.Index]
	for len(idle) > 0 { // the most recently used first; connections past the idle timeout are closed
		since := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		if s.now-since <= time.Duration(s.scenario.Network.IdleTimeout) {
			n.idle[sv.Index] = idle
			a.connected = true
			s.after(oneWay, func() { s.arrive(a) })
			return
		}
		sv.OpenConnections = max(0, sv.OpenConnections-1)
	}
	n.idle[sv.Index] = idle
	s.record.Handshakes++
	h := s.record.impactAt(s.now)
	h.Handshakes++
	if sv.queueHalfFull() {
		h.HandshakesToFullQueues++
	}
	if sv.Unreachable || !s.reachable(n.zone, sv.Zone) { // no reply arrives
		n.afterInEpoch(time.Duration(s.scenario.Network.ConnectTimeout), func() { n.fail(a, policy.NoConnection) })
		return
	}
	s.after(oneWay, func() {
		s.advanceServer(sv)
		if !sv.Connect(time.Duration(s.scenario.Network.HandshakeWork)) {
			s.afterForAttempt(a, oneWay, func() { n.fail(a, policy.NoConnection) })
			return
		}
		if a.ended { // cancelled during the handshake
			sv.OpenConnections = max(0, sv.OpenConnections-1)
			return
		}
		a.connected = true
		s.after(2*oneWay, func() { s.arrive(a) })
	})
}

// afterForAttempt schedules an action that is dropped if the attempt's sidecar restarts before.
func (s *Sim) afterForAttempt(a *attempt, d time.Duration, action func()) {
	s.after(d, func() {
		if a.request.node.epoch == a.request.epoch {
			action()
		}
	})
}

// fail ends an attempt that is known not to have run.
func (n *node) fail(a *attempt, end policy.Ending) {
	n.sim.checker.AttemptEnded(a.request.id, a.number, false)
	n.endAttempt(a, end)
}

// arrive delivers an attempt to its server.
func (s *Sim) arrive(a *attempt) {
	sv, n := a.server, a.request.node
	if sv.Unreachable || !s.reachable(n.zone, sv.Zone) {
		return // the attempt is lost on the network
	}
	if a.ended { // cancelled, or its sidecar was killed, before all of it arrived
		return
	}
	s.advanceServer(sv)
	work := a.request.call.Work
	if sv.Alive && sv.ColdCapacity(s.now) > 0 {
		s.checker.ColdServerReached(s.now, n.index, sv.Index, sv.StartedAt, work, sv.ColdCapacity(s.now))
	}
	j := &Job{Work: work, Key: a.request.call.Key, Deadline: a.request.deadline, Owner: a}
	if c := s.scenario.Classes[a.request.call.Class]; c.Idempotency == "keyed" {
		j.Repeat, j.Window = uint64(a.request.id)+1, time.Duration(c.DedupWindow)
	}
	switch wasOverloaded := sv.Overloaded; sv.Arrive(s.now, j) {
	case Accepted:
		a.job = j
		if s.resetShare > 0 && s.feedback.Float64() < s.resetShare {
			s.afterForAttempt(a, time.Duration(s.feedback.Float64()*float64(100*time.Millisecond)), func() { n.endAttempt(a, policy.Broken) })
		}
		s.advanceServer(sv)
	case Rejected:
		s.checker.AttemptEnded(a.request.id, a.number, false)
		s.record.Rejected++
		s.record.impactAt(s.now).Rejected++
		s.reply(sv, a, policy.Rejected)
	case NotRunning:
		if sv.Overloaded && !wasOverloaded {
			s.record.OverloadedServers++
			s.kill(sv)
		}
		s.checker.AttemptEnded(a.request.id, a.number, false)
		s.reply(sv, a, policy.NoConnection)
	}
}

// endAttempt passes the outcome of an attempt to the sidecar; later outcomes are ignored.
func (n *node) endAttempt(a *attempt, end policy.Ending) {
	if a.ended {
		return
	}
	a.ended, a.ending = true, end
	s, r := n.sim, a.request
	n.releaseConnection(a)
	if end != policy.Rejected && end != policy.NoConnection && end != policy.NotSent {
		s.checker.AttemptEnded(r.id, a.number, true)
	}
	settled := r.closed
	if end == policy.Served && !r.closed {
		settled = true
		n.answer(r, AnswerServed, 0)
	} else if end == policy.Served && a.completed {
		s.record.AddWasted(s.now, a.work)
	}
	if n.decider != nil && n.up {
		n.decider.Outcome(s.now, policy.Outcome{ID: r.id, Attempt: a.number, Ending: end, Settled: settled})
	}
	if r.closed {
		n.forget(r)
	}
}

// releaseConnection keeps the connection of an attempt as idle after a response, and closes it otherwise.
func (n *node) releaseConnection(a *attempt) {
	if !a.connected {
		return
	}
	switch a.ending {
	case policy.Served, policy.Errored, policy.Rejected:
		n.idle[a.server.Index] = append(n.idle[a.server.Index], n.sim.now)
	default:
		a.server.OpenConnections = max(0, a.server.OpenConnections-1)
	}
}

// forget deletes a closed request that has no attempt in flight.
func (n *node) forget(r *request) {
	for _, a := range r.attempts {
		if !a.ended {
			return
		}
	}
	delete(n.open, r.id)
}

// answer sends the client the final answer. The Checker is notified even if the request is closed.
func (n *node) answer(r *request, a Answer, pause time.Duration) {
	s := n.sim
	s.checker.Answered(s.now, r.id, a)
	if r.closed {
		return
	}
	r.closed = true
	n.countOutcome(r, a)
	s.clients.answered(r, a, pause)
}

// Refuse ends a request that may safely be retried.
func (n *node) Refuse(id policy.RequestID, pause time.Duration) {
	n.finish(id, AnswerRefused, pause)
}

// Fail ends a request that may have run.
func (n *node) Fail(id policy.RequestID) { n.finish(id, AnswerFailed, 0) }

func (n *node) finish(id policy.RequestID, a Answer, pause time.Duration) {
	r := n.open[id]
	if r == nil || r.closed {
		return // the request has just ended; the protocol allows such a late answer
	}
	r.shed = n.deciding == r && shedCount(n.decider) > n.shedBefore
	n.answer(r, a, pause)
	n.forget(r)
}

// Cancel cancels one attempt.
func (n *node) Cancel(id policy.RequestID, attempt int) {
	r := n.open[id]
	if r == nil || attempt >= len(r.attempts) {
		return
	}
	n.afterInEpoch(0, func() { n.endAttempt(r.attempts[attempt], policy.Cancelled) })
}
