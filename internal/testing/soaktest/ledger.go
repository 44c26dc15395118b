package soaktest

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"barleywick/internal/testing/wait"
)

// Invariant is one of the rules that are checked.
type Invariant string

// The invariants.
const (
	// InvariantAnswered: each complete request gets one complete response in its time.
	InvariantAnswered Invariant = "answered"
	// InvariantOwnResponse: a response 200 holds what a booking server made for this request.
	InvariantOwnResponse Invariant = "own answer"
	// InvariantNothingAfterEnd: no attempt begins after its client has left or its deadline.
	InvariantNothingAfterEnd Invariant = "nothing after the end"
	// InvariantNoDuplicate: a non-idempotent request runs once; one with a key is repeated only within its window.
	InvariantNoDuplicate Invariant = "no duplicate"
	// InvariantRefusal: a refused request has had no effect.
	InvariantRefusal Invariant = "true refusal"
	// InvariantDrain: a draining server gets no new requests once sidecars are notified and the grace is over.
	InvariantDrain Invariant = "drain"
	// InvariantDeadlineHeader: the deadline sent to a server is no more than the client has left.
	InvariantDeadlineHeader Invariant = "deadline told"
	// InvariantProcess: a process ends after SIGTERM in time, and not before.
	InvariantProcess Invariant = "process"
	// InvariantOwnChecks: a sidecar's own checks have counted no violation.
	InvariantOwnChecks Invariant = "own checks"
)

// Tolerances of the checks: what the protocol and the terms of acceptance allow. What the test
// itself delays is measured and excused case by case (ledger.excused).
const (
	// pauseSlack is how long a process may be paused between reading its clock and writing.
	pauseSlack = 150 * time.Millisecond
	// machineSlack is for the clock times that two of the test's goroutines take of one event.
	clockReadSlack = 10 * time.Millisecond
	// waitSlack is how much longer than it may take a client waits for its response, so that
	// one that is late is seen as such.
	clientWaitSlack = 250 * time.Millisecond
	// clientGoneSlack is the protocol's tolerance after a client's close.
	clientGoneSlack = 100 * time.Millisecond
	// deadlineSlack is the protocol's tolerance for the deadline header.
	deadlineSlack = 150 * time.Millisecond
	// answerSlack is how long past its deadline a response may still arrive.
	answerSlack = 500 * time.Millisecond
	// protocolSlack is by how much the protocol has each time limit longer on sockets.
	protocolSlack = 50 * time.Millisecond
	// notificationDeadline is when a change counts as notified at the latest.
	notificationDeadline = 6 * time.Second
)

// attemptResult says whether an attempt may have had an effect.
type attemptResult int

const (
	running attemptResult = iota
	mayHaveRun
	neverRan
)

// attempt is one request at one booking server, as the server observed it.
type attempt struct {
	ledger    *ledger
	id        string
	server    string
	firstByte time.Time // time of its first byte
	complete  time.Time // time of its last byte
	deadline  time.Duration
	// readingTook is how long a slow reader took to read what it had got.
	slowReadTime time.Duration
	result      attemptResult
	finished    time.Time
}

func (a *attempt) end(t attemptResult) {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.result, a.finished = t, time.Now()
}

// request is one request of a client with everything observed of it.
type request struct {
	id, class string
	sidecar   *sidecar
	timeout   time.Duration
	behaviour behaviour
	// complete is when its last byte was written; zero: it was not.
	complete time.Time
	// clientGone is when the client closed its connection; zero: it did not.
	clientClosed time.Time
	attempts   []*attempt
	status     int // of its response; 0: none
	body       string
	respondedAt   time.Time
	resent     bool // sent again on a new connection, as a close crossed it
	freshConn  bool // its connection had carried no request before
	err        error
}

// drainPeriod is a time in which a server was listed as draining.
type drainPeriod struct {
	server      string
	from, until time.Time // till is zero while it lasts
}

// outage is a time in which discovery could not be reached.
type outage struct {
	from, until time.Time // until is zero while it lasts
}

// ledger records every request and its outcome.
type ledger struct {
	mu             sync.Mutex
	requests       map[string]*request
	drains         []drainPeriod
	outages        []outage // of discovery, in their order
	counts         map[string]int
	violations     []Violation
	violationCount int
	stalls         *wait.Stalls // of the test's process
}

// excused returns how much later than it was an event between two times may have been seen, or
// caused, through what the test has measured of itself: its own stalls, and the pauses that
// it gave the sidecar.
func (l *ledger) allowedDelay(s *sidecar, from, until time.Time) time.Duration {
	return l.stalls.Within(from, until) + s.pausedWithin(from, until)
}

func newLedger() *ledger {
	return &ledger{requests: make(map[string]*request), counts: make(map[string]int)}
}

// increment counts an event.
func (l *ledger) increment(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[what]++
}

// addViolation records a violation of an invariant.
func (l *ledger) addViolation(i Invariant, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolationLocked(i, format, args...)
}

func (l *ledger) addViolationLocked(i Invariant, format string, args ...any) {
	l.counts[fmt.Sprint("broken: ", i)]++
	if l.violationCount++; len(l.violations) < maxReportedViolations {
		l.violations = append(l.violations, Violation{i, fmt.Sprintf(format, args...)})
	}
}

// open adds a new request.
func (l *ledger) addRequest(r *request) {
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

// attempt records a complete request at a server; nil: no client sent it.
func (l *ledger) recordAttempt(id, server string, began time.Time, told, readingTook time.Duration) *attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		return nil
	}
	a := &attempt{ledger: l, id: id, server: server, firstByte: began, complete: time.Now(), deadline: told, slowReadTime: readingTook}
	r.attempts = append(r.attempts, a)
	l.counts["attempts"]++
	return a
}

// drain records that discovery lists a server as draining, or no longer does.
func (l *ledger) recordDrain(server string, drains bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if drains {
		l.drains = append(l.drains, drainPeriod{server: server, from: time.Now()})
		return
	}
	for i := range l.drains {
		if d := &l.drains[i]; d.server == server && d.until.IsZero() {
			d.until = time.Now()
		}
	}
}

// discoveryChanged records that discovery cannot be reached any more, or that it can again.
func (l *ledger) recordDiscoveryState(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := len(l.outages) - 1
	switch active := last >= 0 && l.outages[last].until.IsZero(); {
	case down && !active:
		l.outages = append(l.outages, outage{from: time.Now()})
	case !down && active:
		l.outages[last].until = time.Now()
	}
}

// reachableSince returns since when discovery, which had a change from one time on, has been reachable
// without interruption until another, and whether a process that started at a third time could have
// learned of the change at all: not if discovery was down all the time since both. One that starts while
// discovery is down has nothing of what the process before it was told.
func (l *ledger) reachableSince(from, started, until time.Time) (since time.Time, reached bool) {
	since = from
	if started.After(since) {
		since = started
	}
	for _, o := range l.outages {
		if o.from.Before(since) && (o.until.IsZero() || !o.until.Before(until)) {
			return since, false
		}
		if !o.until.IsZero() && o.until.After(since) && o.until.Before(until) {
			since = o.until
		}
	}
	return since, true
}

// check checks all invariants on everything that was recorded.
func (l *ledger) check(logs map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		l.checkResponse(r)
		l.checkAttempts(r)
	}
	for name, log := range logs {
		if n := strings.Count(log, violationMark); n > 0 {
			at := strings.Index(log, violationMark)
			line, _, _ := strings.Cut(log[at:], "\n")
			l.addViolationLocked(InvariantOwnChecks, "%s has counted %d: %s", name, n, line)
		}
		if strings.Contains(log, "panic:") || strings.Contains(log, "DATA RACE") {
			l.addViolationLocked(InvariantProcess, "%s has crashed or raced", name)
		}
	}
}

// violationMark is the log message of a sidecar whose own check finds a violation.
const violationMark = "rule violated"

// checkResponse checks what the client received.
func (l *ledger) checkResponse(r *request) {
	if r.complete.IsZero() {
		l.counts["requests never whole"]++
		return
	}
	l.counts["requests"]++
	if r.resent {
		l.counts["requests sent once more"]++
	}
	l.checkAnswered(r)
	if r.status == 200 && r.body != "done "+r.id {
		l.addViolationLocked(InvariantOwnResponse, "%s of %s got %q", r.id, r.class, r.body)
	}
	if r.status != 503 && r.status != 429 {
		return
	}
	for _, a := range r.attempts {
		if a.result != neverRan && r.class == "once" {
			l.addViolationLocked(InvariantRefusal, "%s was refused, and %s had it", r.id, a.server)
		}
	}
}

// checkAnswered checks that a complete request had its answer in time.
func (l *ledger) checkAnswered(r *request) {
	killed := r.sidecar.killedSince(r.complete)
	switch {
	case r.status == 0 && !r.clientClosed.IsZero():
		l.counts["clients that left"]++
	case r.status == 0 && killed:
		l.counts["requests of a killed sidecar"]++
	case r.status == 0 && r.sidecar.descriptorsExhausted && r.freshConn && len(r.attempts) == 0:
		l.counts["new connections shut unread in a crowd"]++ // as the terms of acceptance allow
	case r.status == 0:
		l.addViolationLocked(InvariantAnswered, "%s of %s, %v, %d attempts: %v", r.id, r.class, r.behaviour, len(r.attempts), r.err)
	case r.respondedAt.Sub(r.complete) > r.timeout+answerSlack+l.allowedDelay(r.sidecar, r.complete, r.respondedAt):
		l.addViolationLocked(InvariantAnswered, "%s: its answer took %v of %v", r.id, r.respondedAt.Sub(r.complete), r.timeout)
	default:
		l.counts[fmt.Sprint("answers ", r.status)]++
	}
}

// checkAttempts checks what booking servers received.
func (l *ledger) checkAttempts(r *request) {
	var ran []*attempt
	for _, a := range r.attempts {
		if a.result != neverRan {
			ran = append(ran, a)
		}
		l.checkAttemptTime(r, a)
		l.checkDrain(r, a)
	}
	for i, a := range ran {
		switch {
		case i == 0:
		case r.class == "once":
			l.addViolationLocked(InvariantNoDuplicate, "%s came %d times to servers", r.id, len(ran))
		case r.class == "keyed" && a.complete.Sub(ran[0].complete)-a.slowReadTime > repeatWindow+protocolSlack+l.allowedDelay(r.sidecar, ran[0].complete, a.complete):
			l.addViolationLocked(InvariantNoDuplicate, "%s was repeated %v after its first attempt", r.id, a.complete.Sub(ran[0].complete))
		}
	}
	if len(r.attempts) > maxAttempts {
		l.addViolationLocked(InvariantNoDuplicate, "%s came %d times to servers", r.id, len(r.attempts))
	}
}

// checkAttemptTime checks that an attempt arrived while its client waited.
func (l *ledger) checkAttemptTime(r *request, a *attempt) {
	if r.complete.IsZero() {
		if !r.clientClosed.IsZero() || r.err != nil {
			return // a failed write may still have been read completely
		}
		l.addViolationLocked(InvariantNothingAfterEnd, "%s was forwarded and never whole", r.id)
		return
	}
	over := r.complete.Add(r.timeout + protocolSlack)
	if gone := r.clientClosed.Add(clientGoneSlack); !r.clientClosed.IsZero() && gone.Before(over) {
		over = gone
	}
	if answered := r.respondedAt.Add(protocolSlack); !r.respondedAt.IsZero() && answered.Before(over) {
		over = answered
	}
	// A slow reader has the last byte later than its machine has.
	if late := a.complete.Sub(over) - a.slowReadTime; late > clockReadSlack+l.allowedDelay(r.sidecar, r.complete, a.complete) {
		l.addViolationLocked(InvariantNothingAfterEnd, "%s of %s, %v, came to %s %v after it had ended (begun %v after it was whole; status %d, %v given, left %v)",
			r.id, r.class, r.behaviour, a.server, late, a.firstByte.Sub(r.complete), r.status, r.timeout, !r.clientClosed.IsZero())
	}
	left := r.timeout - a.firstByte.Sub(r.complete)
	if more := a.deadline - left; more > deadlineSlack+clockReadSlack+l.stalls.Within(r.complete, a.firstByte) {
		l.addViolationLocked(InvariantDeadlineHeader, "%s: %s was told %v, the client has %v left", r.id, a.server, a.deadline, left)
	}
}

// checkDrain checks that no attempt came to a draining server after the grace.
func (l *ledger) checkDrain(r *request, a *attempt) {
	for _, d := range l.drains {
		if d.server != a.server || !d.until.IsZero() && a.firstByte.After(d.until) {
			continue
		}
		since, reached := l.reachableSince(d.from, r.sidecar.lastStartBefore(a.firstByte), a.firstByte)
		if !reached {
			l.counts["attempts at draining servers that the process could not know of"]++
			continue
		}
		told := since.Add(notificationDeadline)
		if late := a.firstByte.Sub(told.Add(drainGrace)); late > clockReadSlack+l.stalls.Within(told, a.firstByte) {
			l.addViolationLocked(InvariantDrain, "%s came to %s %v after the grace", a.id, a.server, late)
		}
	}
}

// result returns the counts and the violations.
func (l *ledger) result() (seen map[string]int, cases []Violation, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.counts), append([]Violation(nil), l.violations...), l.violationCount
}
