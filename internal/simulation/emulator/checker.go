package emulator

import (
	"fmt"
	"time"

	"barleywick/policy"
)

// Checker verifies the four rules. It is notified of what happened, in the order in which it
// happened, and follows each request by its id to its one answer and each send to
// its server. It decides nothing and shares no state with what it checks.
type Checker struct {
	rules      Rules
	classes    []Class
	open       map[policy.RequestID]*openRequest
	notifiedAt []map[int]time.Duration // of each sidecar: when it was notified that a server drains or was removed
	knownStart []map[int]time.Duration // of each sidecar: the last start of a server that it was notified of
	coldWork   map[int][]coldArrival   // by server: the work that reached it recently
	zones      func(server int) (zone, cell int)
	sockets    bool

	// ViolationTexts describes the first violations; Violations counts all of them, by rule.
	ViolationTexts []string
	Violations     [5]int

	// What was observed: a check without observations proves nothing.
	Requests, Answers, Sends, Repeats, ColdSends int
}

// openRequest is what the Checker knows of an open request.
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
	mayHaveRun bool // it may have run
}

// Answer is a final answer.
type Answer int

// Final answers.
const (
	AnswerServed Answer = iota
	AnswerRefused
	AnswerFailed
)

// maxViolationTexts bounds the violations that are described.
const maxViolationTexts = 20

func newChecker(s *Scenario, zones func(int) (int, int)) *Checker {
	c := &Checker{rules: s.Rules, classes: s.Classes, open: make(map[policy.RequestID]*openRequest), coldWork: make(map[int][]coldArrival), zones: zones}
	for range s.Sidecars {
		c.notifiedAt, c.knownStart = append(c.notifiedAt, make(map[int]time.Duration)), append(c.knownStart, make(map[int]time.Duration))
	}
	return c
}

// SocketSlack is how long past its deadline an answer on real sockets is only late, and
// not lost: the shared machine may be busy.
const SocketSlack = 500 * time.Millisecond

// NewSocketChecker makes a Checker for real sockets. Servers report attempts there, and
// a cancelled one may reach its server after its request has ended.
func NewSocketChecker(s *Scenario, f *Fleet) *Checker {
	c := newChecker(s, f.Group)
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
		c.addViolation(3, "sidecar %d sent request %d to server %d at %v, %v after it was told that it drains or is gone", r.sidecar, id, server, now, now-at)
	}
	for _, t := range r.attempts {
		if t.ended && !t.mayHaveRun {
			continue
		}
		c.Repeats++
		zone, cell := c.zones(server)
		firstZone, firstCell := c.zones(t.server)
		switch {
		case r.class.Idempotency == "unsafe":
			c.addViolation(2, "request %d of %s went to server %d at %v; it may have run at %d", id, r.class.Name, server, now, t.server)
		case r.class.Idempotency == "safe":
		case now > t.at+time.Duration(r.class.DedupWindow):
			c.addViolation(2, "request %d of %s went out again %v after its first send, the window is %v", id, r.class.Name, now-t.at, time.Duration(r.class.DedupWindow))
		case r.class.DedupScope == "zone" && zone != firstZone, r.class.DedupScope == "cell" && cell != firstCell:
			c.addViolation(2, "request %d of %s went to server %d, outside the %s that drops repeats", id, r.class.Name, server, r.class.DedupScope)
		}
		break // the first that may have run starts the window
	}
	r.attempts = append(r.attempts, sentAttempt{server: server, at: now})
}

// AttemptEnded records the end of an attempt and whether it may have run.
func (c *Checker) AttemptEnded(id policy.RequestID, attempt int, mayHaveRun bool) {
	if r := c.open[id]; r != nil && attempt < len(r.attempts) {
		r.attempts[attempt].ended, r.attempts[attempt].mayHaveRun = true, mayHaveRun
	}
}

// Answered records a final answer and checks that it was allowed and in time.
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

// Overdue records that a client has given up; an open request is lost.
func (c *Checker) Overdue(now time.Duration, id policy.RequestID) {
	if _, open := c.open[id]; open {
		c.addViolation(1, "request %d had no answer at %v", id, now)
		delete(c.open, id)
	}
}

// WrongResponse records an answer that no server made for the request: the request is lost.
func (c *Checker) WrongResponse(now time.Duration, id policy.RequestID) {
	c.addViolation(1, "request %d was served at %v with what no server made for it", id, now)
	delete(c.open, id)
}

// MalformedServed records that a client was served although its request was malformed.
func (c *Checker) MalformedServed(now time.Duration, sent string) {
	c.addViolation(1, "a client that said %s was served at %v", sent, now)
}

// ClientGone records that a client left early: no answer is owed any more.
func (c *Checker) ClientGone(id policy.RequestID) { delete(c.open, id) }

// EndpointNotified records that a sidecar was notified of a server's state and last start.
func (c *Checker) EndpointNotified(now time.Duration, sidecar, server int, ready bool, startedAt time.Duration) {
	c.knownStart[sidecar][server] = startedAt
	switch _, notified := c.notifiedAt[sidecar][server]; {
	case ready:
		delete(c.notifiedAt[sidecar], server)
	case !notified:
		c.notifiedAt[sidecar][server] = now
	}
}

// SidecarKilled records that a sidecar ended with all its knowledge.
func (c *Checker) SidecarKilled(sidecar int) {
	clear(c.notifiedAt[sidecar])
	clear(c.knownStart[sidecar])
}

// coldArrival is work at a server that warms up, and whether its sender was notified of the start.
type coldArrival struct {
	at       time.Duration
	work     float64
	notified bool
}

const (
	// notificationDeadline is how long after a start a sidecar counts as notified in any case.
	notificationDeadline = 6 * time.Second
	// notifiedShare of the work that overloads a server has to come from sidecars that
	// were notified of its start: no sidecar can spare a server that looks warm.
	notifiedShare = 2.0 / 3
)

// ColdServerReached records work that reached a server that warms up, which started at born and
// has so much capacity now. More than the allowed multiple of it within the rule's window breaks the rule.
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
		c.addViolation(4, "cold server %d was sent %.2f s of work within %v until %v, in %d requests of at most %.2f s, %.2f s by those told of its start; its budget is %.2f",
			server, sum, time.Duration(c.rules.OverloadWindow), now-StartTime, len(recent), largest, notifiedSum, budget)
		c.coldWork[server] = nil
	}
}

// Finish ends the run: requests that are still open had no answer. now is after the last deadline.
func (c *Checker) Finish(now time.Duration) {
	if n := len(c.open); n > 0 {
		c.addViolation(1, "%d requests had no answer at the end of the run", n)
	}
	if c.Requests == 0 || c.Answers == 0 || c.Sends == 0 {
		c.ViolationTexts = append(c.ViolationTexts, fmt.Sprintf("nothing to judge: %d requests, %d answers, %d sends", c.Requests, c.Answers, c.Sends))
	}
}
