package emulator

import (
	"fmt"
	"time"

	"barleywick/policy"
)

// Checker verifies the four rules. It receives the events of a run in order and tracks each request by
// its id to its single answer, and each attempt to its server. It makes no decisions and shares no state
// with the code that it checks.
type Checker struct {
	rules       Rules
	classes     []Class
	open        map[policy.RequestID]*openRequest
	notifiedAt  []map[int]time.Duration // by sidecar and server: when it was notified that the server drains or was removed
	knownStart  []map[int]time.Duration // by sidecar and server: the server's last start that it was notified of
	coldWork    map[int][]coldArrival   // by server: work that arrived during slow start, within the rule's window
	zoneAndCell func(server int) (zone, cell int)
	sockets     bool // the run is on real sockets

	// ViolationTexts describes the first maxViolationTexts violations; Violations counts all, by rule.
	ViolationTexts []string
	Violations     [5]int

	// Numbers of observed events. A run without requests, answers or sends checks nothing, which counts as a
	// violation.
	Requests, Answers, Sends, Repeats, ColdSends int
}

// openRequest is the Checker's state of an open request.
type openRequest struct {
	sidecar  int
	class    *Class
	deadline time.Duration
	attempts []sentAttempt
}

type sentAttempt struct {
	server     int
	at         time.Duration
	ended      bool
	mayHaveRun bool // valid if ended
}

// Answer is the kind of a final answer to a client.
type Answer int

// Final answers.
const (
	AnswerServed Answer = iota
	AnswerRefused
	AnswerFailed
)

// maxViolationTexts bounds the number of violations that are described.
const maxViolationTexts = 20

func newChecker(s *Scenario, zoneAndCell func(int) (int, int)) *Checker {
	c := &Checker{rules: s.Rules, classes: s.Classes, open: make(map[policy.RequestID]*openRequest), coldWork: make(map[int][]coldArrival), zoneAndCell: zoneAndCell}
	for range s.Sidecars {
		c.notifiedAt, c.knownStart = append(c.notifiedAt, make(map[int]time.Duration)), append(c.knownStart, make(map[int]time.Duration))
	}
	return c
}

// SocketSlack is how long after its deadline an answer on real sockets may arrive before it counts as
// missing: scheduling on the shared machine may delay it.
const SocketSlack = 500 * time.Millisecond

// NewSocketChecker returns a Checker for runs on real sockets. There the servers report attempts, and a
// cancelled attempt may reach its server after its request has ended.
func NewSocketChecker(s *Scenario, f *Fleet) *Checker {
	c := newChecker(s, f.ZoneAndCell)
	c.sockets = true
	c.rules.AnswerSlack = Duration(SocketSlack)
	return c
}

func (c *Checker) addViolation(rule int, format string, args ...any) {
	c.Violations[rule]++
	if len(c.ViolationTexts) < maxViolationTexts {
		c.ViolationTexts = append(c.ViolationTexts, fmt.Sprintf("rule %d: ", rule)+fmt.Sprintf(format, args...))
	}
}

// RequestReceived records that a live sidecar has received a complete request.
func (c *Checker) RequestReceived(id policy.RequestID, sidecar, class int, deadline time.Duration) {
	c.Requests++
	c.open[id] = &openRequest{sidecar: sidecar, class: &c.classes[class], deadline: deadline}
}

// AttemptSent records an attempt and checks that it was allowed.
func (c *Checker) AttemptSent(now time.Duration, id policy.RequestID, server int) {
	c.Sends++
	r := c.open[id]
	if r == nil {
		if c.sockets {
			return
		}
		c.addViolation(1, "request %d was sent to server %d at %v, after its end", id, server, now)
		return
	}
	if at, notified := c.notifiedAt[r.sidecar][server]; notified && now > at+time.Duration(c.rules.DrainGrace) {
		c.addViolation(3, "sidecar %d sent request %d to server %d at %v, %v after it was notified that the server drains or was removed", r.sidecar, id, server, now, now-at)
	}
	for _, t := range r.attempts {
		if t.ended && !t.mayHaveRun {
			continue
		}
		c.Repeats++
		zone, cell := c.zoneAndCell(server)
		firstZone, firstCell := c.zoneAndCell(t.server)
		switch {
		case r.class.Idempotency == "unsafe":
			c.addViolation(2, "request %d of %s was sent to server %d at %v; it may have run at server %d", id, r.class.Name, server, now, t.server)
		case r.class.Idempotency == "safe":
		case now > t.at+time.Duration(r.class.DedupWindow):
			c.addViolation(2, "request %d of %s was sent again %v after its first attempt, the deduplication window is %v", id, r.class.Name, now-t.at, time.Duration(r.class.DedupWindow))
		case r.class.DedupScope == "zone" && zone != firstZone, r.class.DedupScope == "cell" && cell != firstCell:
			c.addViolation(2, "request %d of %s was sent to server %d, outside the %s that deduplicates it", id, r.class.Name, server, r.class.DedupScope)
		}
		break // the window starts with the first attempt that may have run
	}
	r.attempts = append(r.attempts, sentAttempt{server: server, at: now})
}

// AttemptEnded records the end of an attempt and whether it may have run.
func (c *Checker) AttemptEnded(id policy.RequestID, attempt int, mayHaveRun bool) {
	if r := c.open[id]; r != nil && attempt < len(r.attempts) {
		r.attempts[attempt].ended, r.attempts[attempt].mayHaveRun = true, mayHaveRun
	}
}

// Answered records a final answer and checks that it was allowed and not overdue.
func (c *Checker) Answered(now time.Duration, id policy.RequestID, a Answer) {
	c.Answers++
	r := c.open[id]
	if r == nil {
		c.addViolation(1, "request %d was answered at %v; it is not open", id, now)
		return
	}
	delete(c.open, id)
	if late := now - r.deadline - time.Duration(c.rules.AnswerSlack); late > 0 {
		c.addViolation(1, "request %d was answered %v too late", id, late)
	}
	if a != AnswerRefused || r.class.Idempotency == "safe" || (r.class.Idempotency == "keyed" && r.class.DedupScope == "all") {
		return
	}
	for _, t := range r.attempts {
		if !t.ended || t.mayHaveRun {
			c.addViolation(2, "request %d of %s was refused at %v; it may have run at server %d", id, r.class.Name, now, t.server)
			return
		}
	}
}

// Overdue records that a client's deadline and the slack have passed; a request that is still open had
// no answer.
func (c *Checker) Overdue(now time.Duration, id policy.RequestID) {
	if _, open := c.open[id]; open {
		c.addViolation(1, "request %d had no answer at %v", id, now)
		delete(c.open, id)
	}
}

// WrongResponse records that a client was served a response that no server sent for its request.
func (c *Checker) WrongResponse(now time.Duration, id policy.RequestID) {
	c.addViolation(1, "request %d was served at %v with a response that no server sent for it", id, now)
	delete(c.open, id)
}

// MalformedServed records that a client was served although its request was malformed.
func (c *Checker) MalformedServed(now time.Duration, sent string) {
	c.addViolation(1, "a client that sent %s was served at %v", sent, now)
}

// ClientGone records that a client left early and expects no answer.
func (c *Checker) ClientGone(id policy.RequestID) { delete(c.open, id) }

// EndpointNotified records that a sidecar was notified of a server's state and time of last start.
func (c *Checker) EndpointNotified(now time.Duration, sidecar, server int, ready bool, startedAt time.Duration) {
	c.knownStart[sidecar][server] = startedAt
	switch _, notified := c.notifiedAt[sidecar][server]; {
	case ready:
		delete(c.notifiedAt[sidecar], server)
	case !notified:
		c.notifiedAt[sidecar][server] = now
	}
}

// SidecarKilled records that a sidecar was killed and lost its state.
func (c *Checker) SidecarKilled(sidecar int) {
	clear(c.notifiedAt[sidecar])
	clear(c.knownStart[sidecar])
}

// coldArrival is work that arrived at a server in slow start, and whether its sidecar had been notified of
// the server's start.
type coldArrival struct {
	at       time.Duration
	work     float64
	notified bool
}

const (
	// notificationDeadline is the time after a server's start from which every sidecar counts as notified.
	notificationDeadline = 6 * time.Second
	// notifiedShare is the fraction of the work overloading a server that must come from sidecars that
	// were notified of its start: the others have no information that the server is in slow start.
	notifiedShare = 2.0 / 3
)

// ColdServerReached records work that arrived at a server in slow start, with the time of its start and its
// current capacity. More than the allowed multiple of the capacity within the rule's window breaks the rule.
func (c *Checker) ColdServerReached(now time.Duration, sidecar, server int, startedAt time.Duration, work, capacity float64) {
	c.ColdSends++
	recent := c.coldWork[server]
	n := 0
	for n < len(recent) && recent[n].at <= now-time.Duration(c.rules.OverloadWindow) {
		n++
	}
	recent = append(recent[n:], coldArrival{now, work, c.knownStart[sidecar][server] == startedAt || now-startedAt > notificationDeadline})
	c.coldWork[server] = recent
	sum, notifiedSum, largest := 0.0, 0.0, 0.0
	for _, a := range recent {
		sum += a.work
		largest = max(largest, a.work)
		if a.notified {
			notifiedSum += a.work
		}
	}
	if budget := c.rules.OverloadFactor * capacity * c.rules.OverloadWindow.seconds(); sum > overloadSlack*budget && notifiedSum >= notifiedShare*sum {
		c.addViolation(4, "cold server %d was sent %.2f s of work within %v until %v, in %d requests of at most %.2f s, %.2f s by sidecars that were notified of its start; its budget is %.2f",
			server, sum, time.Duration(c.rules.OverloadWindow), now-StartTime, len(recent), largest, notifiedSum, budget)
		c.coldWork[server] = nil
	}
}

// Finish ends the run: requests that are still open had no answer. It must be called after the last deadline.
func (c *Checker) Finish(now time.Duration) {
	if n := len(c.open); n > 0 {
		c.addViolation(1, "%d requests had no answer at the end of the run", n)
	}
	if c.Requests == 0 || c.Answers == 0 || c.Sends == 0 {
		c.ViolationTexts = append(c.ViolationTexts, fmt.Sprintf("nothing to check: %d requests, %d answers, %d sends", c.Requests, c.Answers, c.Sends))
	}
}
