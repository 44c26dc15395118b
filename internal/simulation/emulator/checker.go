package emulator

import (
	"fmt"
	"time"

	"barleywick/policy"
)

// Checker judges the four rules. It is told what happened, in the order in which it
// happened, and follows each request by its id to its one answer and each send to
// its server. It decides nothing and shares no state with what it judges.
type Checker struct {
	rules      Rules
	classes    []Class
	open       map[policy.RequestID]*openRequest
	notifiedAt []map[int]time.Duration // of each sidecar: when it was told that a server drains or is gone
	knownStart []map[int]time.Duration // of each sidecar: the last start of a server that it was told of
	coldWork   map[int][]coldArrival   // by server: the work that reached it lately
	zones      func(server int) (zone, cell int)
	sockets    bool

	// ViolationTexts are the first breaches, in words; Breaches counts all of them, by rule.
	ViolationTexts []string
	Violations     [5]int

	// What was seen: a judgement that rests on nothing is none.
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
	server int
	at     time.Duration
	ended  bool
	ran    bool // it may have
}

// Answer is a final answer.
type Answer int

// Final answers.
const (
	AnswerServed Answer = iota
	AnswerRefused
	AnswerFailed
)

// maxViolationTexts bounds the breaches that are kept in words.
const maxViolationTexts = 20

func newChecker(s *Scenario, zones func(int) (int, int)) *Checker {
	c := &Checker{rules: s.Rules, classes: s.Classes, open: make(map[policy.RequestID]*openRequest), coldWork: make(map[int][]coldArrival), zones: zones}
	for range s.Sidecars {
		c.notifiedAt, c.knownStart = append(c.notifiedAt, make(map[int]time.Duration)), append(c.knownStart, make(map[int]time.Duration))
	}
	return c
}

// SocketSlack is how long past its time an answer on real sockets is only late, and
// not lost: the machine that all share may be busy.
const SocketSlack = 500 * time.Millisecond

// NewSocketChecker makes a Checker for real sockets. Servers tell of sends there, and
// one that was called off may reach its server after its request has ended.
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

// RequestReceived takes that a live sidecar has a request whole.
func (c *Checker) RequestReceived(id policy.RequestID, sidecar, class int, deadline time.Duration) {
	c.Requests++
	c.open[id] = &openRequest{sidecar: sidecar, class: &c.classes[class], deadline: deadline}
}

// AttemptSent takes an attempt.
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
	if at, told := c.notifiedAt[r.sidecar][server]; told && now > at+time.Duration(c.rules.DrainGrace) {
		c.addViolation(3, "sidecar %d sent request %d to server %d at %v, %v after it was told that it drains or is gone", r.sidecar, id, server, now, now-at)
	}
	for _, t := range r.attempts {
		if t.ended && !t.ran {
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
		break // the first that may have run begins the window
	}
	r.attempts = append(r.attempts, sentAttempt{server: server, at: now})
}

// AttemptEnded takes the end of an attempt as it truly was: whether it may have run.
func (c *Checker) AttemptEnded(id policy.RequestID, attempt int, ran bool) {
	if r := c.open[id]; r != nil && attempt < len(r.attempts) {
		r.attempts[attempt].ended, r.attempts[attempt].ran = true, ran
	}
}

// Answered takes a final answer.
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
		if !t.ended || t.ran {
			c.addViolation(2, "request %d of %s was refused at %v; it may have run at server %d", id, r.class.Name, now, t.server)
			return
		}
	}
}

// Overdue takes that a client has given up; an open request is lost.
func (c *Checker) Overdue(now time.Duration, id policy.RequestID) {
	if _, open := c.open[id]; open {
		c.addViolation(1, "request %d had no answer at %v", id, now)
		delete(c.open, id)
	}
}

// WrongResponse takes an answer that no server made for the request: the request is lost.
func (c *Checker) WrongResponse(now time.Duration, id policy.RequestID) {
	c.addViolation(1, "request %d was served at %v with what no server made for it", id, now)
	delete(c.open, id)
}

// MalformedServed takes that a client was served that had asked for nothing that can be.
func (c *Checker) MalformedServed(now time.Duration, said string) {
	c.addViolation(1, "a client that said %s was served at %v", said, now)
}

// ClientGone takes that a client went away early: nothing is owed any more.
func (c *Checker) ClientGone(id policy.RequestID) { delete(c.open, id) }

// EndpointNotified takes that a sidecar was told of a server's state, and of its last start.
func (c *Checker) EndpointNotified(now time.Duration, sidecar, server int, ready bool, born time.Duration) {
	c.knownStart[sidecar][server] = born
	switch _, told := c.notifiedAt[sidecar][server]; {
	case ready:
		delete(c.notifiedAt[sidecar], server)
	case !told:
		c.notifiedAt[sidecar][server] = now
	}
}

// SidecarKilled takes that a sidecar is gone with all it knew and all it held.
func (c *Checker) SidecarKilled(sidecar int) {
	clear(c.notifiedAt[sidecar])
	clear(c.knownStart[sidecar])
}

// coldArrival is work at a cold server, and whether its sender was told of the start.
type coldArrival struct {
	at       time.Duration
	work     float64
	notified bool
}

const (
	// notificationDeadline is after how long a sidecar counts as told, whatever arrived.
	notificationDeadline = 6 * time.Second
	// notifiedShare of the work that pushes a server over has to come from sidecars that
	// were told of its start: nobody can spare a server that looks warm.
	notifiedShare = 2.0 / 3
)

// ColdServerReached takes a sidecar's work that reached a cold server, which started at born and
// can do so much now. More than the multiple of it within the rule's time breaks the rule.
func (c *Checker) ColdServerReached(now time.Duration, sidecar, server int, born time.Duration, work, capacity float64) {
	c.ColdSends++
	recent := c.coldWork[server]
	n := 0
	for n < len(recent) && recent[n].at <= now-time.Duration(c.rules.OverloadWindow) {
		n++
	}
	recent = append(recent[n:], coldArrival{now, work, c.knownStart[sidecar][server] == born || now-born > notificationDeadline})
	c.coldWork[server] = recent
	sum, told, most := 0.0, 0.0, 0.0
	for _, a := range recent {
		sum += a.work
		most = max(most, a.work)
		if a.notified {
			told += a.work
		}
	}
	if budget := c.rules.OverloadFactor * capacity * c.rules.OverloadWindow.seconds(); sum > overloadSlack*budget && told >= notifiedShare*sum {
		c.addViolation(4, "cold server %d was sent %.2f s of work within %v until %v, in %d requests of at most %.2f s, %.2f s by those told of its start; its budget is %.2f",
			server, sum, time.Duration(c.rules.OverloadWindow), now-StartTime, len(recent), most, told, budget)
		c.coldWork[server] = nil
	}
}

// Finish ends the day: what is open still has had no answer. now is after the last deadline.
func (c *Checker) Finish(now time.Duration) {
	if n := len(c.open); n > 0 {
		c.addViolation(1, "%d requests had no answer at the end of the day", n)
	}
	if c.Requests == 0 || c.Answers == 0 || c.Sends == 0 {
		c.ViolationTexts = append(c.ViolationTexts, fmt.Sprintf("nothing to judge: %d requests, %d answers, %d sends", c.Requests, c.Answers, c.Sends))
	}
}
