package soaktest

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"
)

// Invariant is one of the rules that the oracle checks.
type Invariant string

// The invariants.
const (
	// InvariantAnswered: each request that became whole gets one whole answer in its time.
	InvariantAnswered Invariant = "answered"
	// InvariantOwn: a 200 holds what a booking server made for this very request.
	InvariantOwn Invariant = "own answer"
	// InvariantLeft: no attempt begins after its client has left or its time is over.
	InvariantLeft Invariant = "nothing after the end"
	// InvariantOnce: an unsafe request runs once; a keyed one is repeated in its window alone.
	InvariantOnce Invariant = "no duplicate"
	// InvariantRefusal: what is refused has had no effect.
	InvariantRefusal Invariant = "true refusal"
	// InvariantDrain: nothing new comes to a server that drains once that is told and the grace is over.
	InvariantDrain Invariant = "drain"
	// InvariantDeadline: the deadline told to a server is no more than the client has left.
	InvariantDeadline Invariant = "deadline told"
	// InvariantProcess: a process ends when it is told to, in time, and not before.
	InvariantProcess Invariant = "process"
	// InvariantOwnCount: a sidecar's own checks have counted no violation.
	InvariantOwnCount Invariant = "own checks"
)

// Slack of the oracle, beside what the protocol allows.
const (
	// holdUp is for how long a process may be held up between reading its clock and writing.
	holdUp = 150 * time.Millisecond
	// machineSlack is for the scheduling of some hundred processes on one machine.
	machineSlack = 100 * time.Millisecond
	// readSlack is for what lies in a slow reader's buffer already.
	readSlack = 3 * slowPause
	// leftSlack is the protocol's time after a client's close.
	leftSlack = 100 * time.Millisecond
	// deadlineSlack is the protocol's slack for the deadline told.
	deadlineSlack = 150 * time.Millisecond
	// answerSlack is how much later than its time an answer may still come.
	answerSlack = 500 * time.Millisecond
	// toldWithin is when a change counts as told at the latest.
	toldWithin = 6 * time.Second
)

// trace says whether an attempt may have had an effect.
type trace int

const (
	inWork trace = iota
	mayHaveRun
	neverRan
)

// attempt is one request at one booking server, as that saw it.
type attempt struct {
	ledger   *ledger
	id       string
	server   string
	began    time.Time // its first byte
	whole    time.Time // its last byte
	told     time.Duration
	trace    trace
	finished time.Time
}

func (a *attempt) end(t trace) {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.trace, a.finished = t, time.Now()
}

// request is one request of a client with all that is known of it.
type request struct {
	id, class string
	sidecar   *sidecar
	timeout   time.Duration
	how       manner
	// whole is when its last byte was written; zero: it never was.
	whole time.Time
	// left is when the client closed its connection; zero: it did not.
	left     time.Time
	attempts []*attempt
	status   int // of its answer; 0: none
	body     string
	answered time.Time
	resent   bool // once more on a new connection, as a close crossed it
	err      error
}

// drainSpan is a time in which a server was listed as draining.
type drainSpan struct {
	server     string
	from, till time.Time // till is zero while it lasts
}

// ledger keeps every request and what became of it.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*request
	drains   []drainSpan
	returns  []time.Time // when discovery could be reached again
	seen     map[string]int
	cases    []Case
	count    int
}

func newLedger() *ledger {
	return &ledger{requests: make(map[string]*request), seen: make(map[string]int)}
}

// saw counts something.
func (l *ledger) saw(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen[what]++
}

// broken notes a broken invariant.
func (l *ledger) broken(i Invariant, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.brokenLocked(i, format, args...)
}

func (l *ledger) brokenLocked(i Invariant, format string, args ...any) {
	l.seen[fmt.Sprint("broken: ", i)]++
	if l.count++; len(l.cases) < maxReportedCases {
		l.cases = append(l.cases, Case{i, fmt.Sprintf(format, args...)})
	}
}

// open takes a new request in.
func (l *ledger) open(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.id] = r
}

// update changes a request under the ledger's lock.
func (l *ledger) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// attempt notes a request that came whole to a server; nil: nobody sent it.
func (l *ledger) attempt(id, server string, began time.Time, told time.Duration) *attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		return nil
	}
	a := &attempt{ledger: l, id: id, server: server, began: began, whole: time.Now(), told: told}
	r.attempts = append(r.attempts, a)
	l.seen["attempts"]++
	return a
}

// drain notes that discovery lists a server as draining, or no more.
func (l *ledger) drain(server string, drains bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if drains {
		l.drains = append(l.drains, drainSpan{server: server, from: time.Now()})
		return
	}
	for i := range l.drains {
		if d := &l.drains[i]; d.server == server && d.till.IsZero() {
			d.till = time.Now()
		}
	}
}

// discoveryReturned notes that discovery can be reached again.
func (l *ledger) discoveryReturned() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.returns = append(l.returns, time.Now())
}

// reachable is since when discovery, which had something to tell from a moment on, could be reached
// without a break until another.
func (l *ledger) reachable(from, until time.Time) time.Time {
	for _, back := range l.returns {
		if back.After(from) && back.Before(until) {
			from = back
		}
	}
	return from
}

// judge checks all invariants on all that was seen.
func (l *ledger) judge(logs map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		l.judgeAnswer(r)
		l.judgeAttempts(r)
	}
	for name, log := range logs {
		if n := strings.Count(log, violationMark); n > 0 {
			at := strings.Index(log, violationMark)
			line, _, _ := strings.Cut(log[at:], "\n")
			l.brokenLocked(InvariantOwnCount, "%s has counted %d: %s", name, n, line)
		}
		if strings.Contains(log, "panic:") || strings.Contains(log, "DATA RACE") {
			l.brokenLocked(InvariantProcess, "%s has crashed or raced", name)
		}
	}
}

// violationMark is what a sidecar logs where its own check finds a broken rule.
const violationMark = "rule violated"

// judgeAnswer checks what the client got.
func (l *ledger) judgeAnswer(r *request) {
	if r.whole.IsZero() {
		l.seen["requests never whole"]++
		return
	}
	l.seen["requests"]++
	if r.resent {
		l.seen["requests sent once more"]++
	}
	killed := r.sidecar.killedSince(r.whole)
	switch {
	case r.status == 0 && !r.left.IsZero():
		l.seen["clients that left"]++
	case r.status == 0 && killed:
		l.seen["requests of a killed sidecar"]++
	case r.status == 0:
		l.brokenLocked(InvariantAnswered, "%s of %s, %v, %d attempts: %v", r.id, r.class, r.how, len(r.attempts), r.err)
	case r.answered.Sub(r.whole) > r.timeout+answerSlack+holdUp:
		l.brokenLocked(InvariantAnswered, "%s: its answer took %v of %v", r.id, r.answered.Sub(r.whole), r.timeout)
	default:
		l.seen[fmt.Sprint("answers ", r.status)]++
	}
	if r.status == 200 && r.body != "done "+r.id {
		l.brokenLocked(InvariantOwn, "%s of %s got %q", r.id, r.class, r.body)
	}
	if r.status == 503 || r.status == 429 {
		for _, a := range r.attempts {
			if a.trace != neverRan && r.class == "once" {
				l.brokenLocked(InvariantRefusal, "%s was refused, and %s had it", r.id, a.server)
			}
		}
	}
}

// judgeAttempts checks what booking servers got.
func (l *ledger) judgeAttempts(r *request) {
	var ran []*attempt
	for _, a := range r.attempts {
		if a.trace != neverRan {
			ran = append(ran, a)
		}
		l.judgeMoment(r, a)
		l.judgeDrain(a)
	}
	for i, a := range ran {
		switch {
		case i == 0:
		case r.class == "once":
			l.brokenLocked(InvariantOnce, "%s came %d times to servers", r.id, len(ran))
		case r.class == "keyed" && a.whole.Sub(ran[0].whole) > repeatWindow+machineSlack/2:
			l.brokenLocked(InvariantOnce, "%s was repeated %v after its first attempt", r.id, a.whole.Sub(ran[0].whole))
		}
	}
	if len(r.attempts) > mostAttempts {
		l.brokenLocked(InvariantOnce, "%s came %d times to servers", r.id, len(r.attempts))
	}
}

// judgeMoment checks that an attempt came while its client waited.
func (l *ledger) judgeMoment(r *request, a *attempt) {
	if r.whole.IsZero() {
		if !r.left.IsZero() || r.err != nil {
			return // the write that failed may have been read to its end
		}
		l.brokenLocked(InvariantLeft, "%s was forwarded and never whole", r.id)
		return
	}
	over := r.whole.Add(r.timeout)
	if !r.left.IsZero() && r.left.Add(leftSlack).Before(over) {
		over = r.left.Add(leftSlack)
	}
	if !r.answered.IsZero() && r.answered.Before(over) {
		over = r.answered
	}
	if late := a.whole.Sub(over); late > holdUp+machineSlack+readSlack {
		l.brokenLocked(InvariantLeft, "%s of %s, %v, came to %s %v after it had ended (begun %v after it was whole; status %d, %v given, left %v)",
			r.id, r.class, r.how, a.server, late, a.began.Sub(r.whole), r.status, r.timeout, !r.left.IsZero())
	}
	left := r.timeout - a.began.Sub(r.whole)
	if more := a.told - left; more > deadlineSlack+machineSlack/2 {
		l.brokenLocked(InvariantDeadline, "%s: %s was told %v, the client has %v left", r.id, a.server, a.told, left)
	}
}

// judgeDrain checks that no attempt came to a server that drains for long.
func (l *ledger) judgeDrain(a *attempt) {
	for _, d := range l.drains {
		if d.server != a.server || !d.till.IsZero() && a.began.After(d.till) {
			continue
		}
		told := l.reachable(d.from, a.began).Add(toldWithin)
		if late := a.began.Sub(told.Add(drainGrace)); late > machineSlack {
			l.brokenLocked(InvariantDrain, "%s came to %s %v after the grace", a.id, a.server, late)
		}
	}
}

// result is what was seen and what was broken.
func (l *ledger) result() (seen map[string]int, cases []Case, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.seen), append([]Case(nil), l.cases...), l.count
}
