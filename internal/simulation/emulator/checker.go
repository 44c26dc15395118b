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
	rules   Rules
	classes []Class
	open    map[policy.RequestID]*judged
	told    []map[int]time.Duration // of each sidecar: when it was told that a server drains or is gone
	begun   []map[int]time.Duration // of each sidecar: the last start of a server that it was told of
	cold    map[int][]reached       // by server: the work that reached it lately
	zones   func(server int) (zone, cell int)
	sockets bool

	// Broken are the first breaches, in words; Breaches counts all of them, by rule.
	Broken   []string
	Breaches [5]int

	// What was seen: a judgement that rests on nothing is none.
	Requests, Answers, Sends, Repeats, ColdSends int
}

// judged is what the Checker knows of an open request.
type judged struct {
	sidecar  int
	class    *Class
	deadline time.Duration
	tries    []try
}

type try struct {
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

// mostBroken bounds the breaches that are kept in words.
const mostBroken = 20

func newChecker(s *Scenario, zones func(int) (int, int)) *Checker {
	c := &Checker{rules: s.Rules, classes: s.Classes, open: make(map[policy.RequestID]*judged), cold: make(map[int][]reached), zones: zones}
	for range s.Sidecars {
		c.told, c.begun = append(c.told, make(map[int]time.Duration)), append(c.begun, make(map[int]time.Duration))
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
	c.rules.AnswerSlack = Span(SocketSlack)
	return c
}

func (c *Checker) breach(rule int, format string, args ...any) {
	c.Breaches[rule]++
	if len(c.Broken) < mostBroken {
		c.Broken = append(c.Broken, fmt.Sprintf("rule %d: ", rule)+fmt.Sprintf(format, args...))
	}
}

// Asked takes that a live sidecar has a request whole.
func (c *Checker) Asked(id policy.RequestID, sidecar, class int, deadline time.Duration) {
	c.Requests++
	c.open[id] = &judged{sidecar: sidecar, class: &c.classes[class], deadline: deadline}
}

// Sent takes an attempt.
func (c *Checker) Sent(now time.Duration, id policy.RequestID, server int) {
	c.Sends++
	r := c.open[id]
	if r == nil {
		if c.sockets {
			return
		}
		c.breach(1, "request %d was sent to server %d at %v, after its end", id, server, now)
		return
	}
	if at, told := c.told[r.sidecar][server]; told && now > at+time.Duration(c.rules.StopWithin) {
		c.breach(3, "sidecar %d sent request %d to server %d at %v, %v after it was told that it drains or is gone", r.sidecar, id, server, now, now-at)
	}
	for _, t := range r.tries {
		if t.ended && !t.ran {
			continue
		}
		c.Repeats++
		zone, cell := c.zones(server)
		firstZone, firstCell := c.zones(t.server)
		switch {
		case r.class.Effect == "unsafe":
			c.breach(2, "request %d of %s went to server %d at %v; it may have run at %d", id, r.class.Name, server, now, t.server)
		case r.class.Effect == "safe":
		case now > t.at+time.Duration(r.class.Window):
			c.breach(2, "request %d of %s went out again %v after its first send, the window is %v", id, r.class.Name, now-t.at, time.Duration(r.class.Window))
		case r.class.Group == "zone" && zone != firstZone, r.class.Group == "cell" && cell != firstCell:
			c.breach(2, "request %d of %s went to server %d, outside the %s that drops repeats", id, r.class.Name, server, r.class.Group)
		}
		break // the first that may have run begins the window
	}
	r.tries = append(r.tries, try{server: server, at: now})
}

// Ended takes the end of an attempt as it truly was: whether it may have run.
func (c *Checker) Ended(id policy.RequestID, attempt int, ran bool) {
	if r := c.open[id]; r != nil && attempt < len(r.tries) {
		r.tries[attempt].ended, r.tries[attempt].ran = true, ran
	}
}

// Answered takes a final answer.
func (c *Checker) Answered(now time.Duration, id policy.RequestID, a Answer) {
	c.Answers++
	r := c.open[id]
	if r == nil {
		c.breach(1, "request %d was answered at %v; it is not open", id, now)
		return
	}
	delete(c.open, id)
	if late := now - r.deadline - time.Duration(c.rules.AnswerSlack); late > 0 {
		c.breach(1, "request %d was answered %v too late", id, late)
	}
	if a != AnswerRefused || r.class.Effect == "safe" || (r.class.Effect == "keyed" && r.class.Group == "all") {
		return
	}
	for _, t := range r.tries {
		if !t.ended || t.ran {
			c.breach(2, "request %d of %s was refused at %v; it may have run at server %d", id, r.class.Name, now, t.server)
			return
		}
	}
}

// Overdue takes that a client has given up; an open request is lost.
func (c *Checker) Overdue(now time.Duration, id policy.RequestID) {
	if _, open := c.open[id]; open {
		c.breach(1, "request %d had no answer at %v", id, now)
		delete(c.open, id)
	}
}

// Wrong takes an answer that no server made for the request: the request is lost.
func (c *Checker) Wrong(now time.Duration, id policy.RequestID) {
	c.breach(1, "request %d was served at %v with what no server made for it", id, now)
	delete(c.open, id)
}

// ServedBad takes that a client was served that had asked for nothing that can be.
func (c *Checker) ServedBad(now time.Duration, said string) {
	c.breach(1, "a client that said %s was served at %v", said, now)
}

// Left takes that a client went away early: nothing is owed any more.
func (c *Checker) Left(id policy.RequestID) { delete(c.open, id) }

// Told takes that a sidecar was told of a server's state, and of its last start.
func (c *Checker) Told(now time.Duration, sidecar, server int, ready bool, born time.Duration) {
	c.begun[sidecar][server] = born
	switch _, told := c.told[sidecar][server]; {
	case ready:
		delete(c.told[sidecar], server)
	case !told:
		c.told[sidecar][server] = now
	}
}

// Killed takes that a sidecar is gone with all it knew and all it held.
func (c *Checker) Killed(sidecar int) {
	clear(c.told[sidecar])
	clear(c.begun[sidecar])
}

// reached is work at a cold server, and whether its sender was told of the start.
type reached struct {
	at   time.Duration
	work float64
	told bool
}

const (
	// toldWithin is after how long a sidecar counts as told, whatever arrived.
	toldWithin = 6 * time.Second
	// toldPart of the work that pushes a server over has to come from sidecars that
	// were told of its start: nobody can spare a server that looks warm.
	toldPart = 2.0 / 3
)

// Reached takes a sidecar's work that reached a cold server, which started at born and
// can do so much now. More than the multiple of it within the rule's time breaks the rule.
func (c *Checker) Reached(now time.Duration, sidecar, server int, born time.Duration, work, capacity float64) {
	c.ColdSends++
	recent := c.cold[server]
	n := 0
	for n < len(recent) && recent[n].at <= now-time.Duration(c.rules.FallTime) {
		n++
	}
	recent = append(recent[n:], reached{now, work, c.begun[sidecar][server] == born || now-born > toldWithin})
	c.cold[server] = recent
	sum, told, most := 0.0, 0.0, 0.0
	for _, a := range recent {
		sum += a.work
		most = max(most, a.work)
		if a.told {
			told += a.work
		}
	}
	if budget := c.rules.FallMultiple * capacity * c.rules.FallTime.seconds(); sum > fallSlack*budget && told >= toldPart*sum {
		c.breach(4, "cold server %d was sent %.2f s of work within %v until %v, in %d requests of at most %.2f s, %.2f s by those told of its start; its budget is %.2f",
			server, sum, time.Duration(c.rules.FallTime), now-Dawn, len(recent), most, told, budget)
		c.cold[server] = nil
	}
}

// Finish ends the day: what is open still has had no answer. now is after the last deadline.
func (c *Checker) Finish(now time.Duration) {
	if n := len(c.open); n > 0 {
		c.breach(1, "%d requests had no answer at the end of the day", n)
	}
	if c.Requests == 0 || c.Answers == 0 || c.Sends == 0 {
		c.Broken = append(c.Broken, fmt.Sprintf("nothing to judge: %d requests, %d answers, %d sends", c.Requests, c.Answers, c.Sends))
	}
}
