package soaktest

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"barleywick/internal/testing/wait"
)

// Invariant is the name of an invariant that is checked.
type Invariant string

// The invariants. Reports contain their values.
const (
	// InvariantAnswered: each complete request gets one complete response before its timeout.
	InvariantAnswered Invariant = "answered"
	// InvariantOwnResponse: a response 200 has the body that a booking server returned for this request.
	InvariantOwnResponse Invariant = "own answer"
	// InvariantNothingAfterEnd: no attempt starts after the client has disconnected or the deadline has passed.
	InvariantNothingAfterEnd Invariant = "nothing after the end"
	// InvariantNoDuplicate: a non-idempotent request runs at most once; one that is idempotent by key is
	// repeated only within its window.
	InvariantNoDuplicate Invariant = "no duplicate"
	// InvariantRefusal: a refused non-idempotent request has not been run.
	InvariantRefusal Invariant = "true refusal"
	// InvariantDrain: a draining server gets no new requests once sidecars are notified and the drain grace
	// has passed.
	InvariantDrain Invariant = "drain"
	// InvariantDeadlineHeader: the timeout sent to a server is not longer than the time the client has left.
	InvariantDeadlineHeader Invariant = "deadline told"
	// InvariantProcess: a process exits cleanly within killDelay of SIGTERM, and never by itself.
	InvariantProcess Invariant = "process"
	// InvariantMemory: a process stays within the memory limit of its configuration.
	InvariantMemory Invariant = "memory"
	// InvariantOwnChecks: a sidecar's own checks report no violation.
	InvariantOwnChecks Invariant = "own checks"
)

// Tolerances of the checks, as the protocol and the acceptance criteria allow. Delays that the test itself
// causes are measured, and allowed in addition (ledger.allowedDelay).
const (
	// pauseSlack is how long a process may be paused between reading its clock and writing.
	pauseSlack = 150 * time.Millisecond
	// clockReadSlack allows for the difference between the clock readings of two goroutines at one event.
	clockReadSlack = 10 * time.Millisecond
	// clientWaitSlack is how much longer than allowed a client waits for its response, so that a late
	// response is distinguished from a missing one.
	clientWaitSlack = 250 * time.Millisecond
	// clientCloseSlack is the protocol's tolerance for attempts after the client's close.
	clientCloseSlack = 100 * time.Millisecond
	// deadlineSlack is the protocol's tolerance for the header with the deadline.
	deadlineSlack = 150 * time.Millisecond
	// responseSlack is how long past its deadline a response may still arrive.
	responseSlack = 500 * time.Millisecond
	// protocolSlack is the protocol's tolerance for each time limit that is measured on sockets.
	protocolSlack = 50 * time.Millisecond
	// notificationDeadline is the time after a change from which sidecars count as notified of it.
	notificationDeadline = 6 * time.Second
)

// attemptResult is whether an attempt may have had an effect.
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
	// slowReadTime is the total length of the pauses of a server that reads slowly.
	slowReadTime time.Duration
	result       attemptResult
	finished     time.Time
}

func (a *attempt) end(result attemptResult) {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.result, a.finished = result, time.Now()
}

// request is one request of a client with all observations of it.
type request struct {
	id, class string
	sidecar   *sidecar
	timeout   time.Duration
	behaviour behaviour
	// complete is when its last byte was written; zero: it was not written completely.
	complete time.Time
	// clientClosed is when the client closed its connection before a response; zero: it did not.
	clientClosed time.Time
	attempts     []*attempt
	status       int // of the response; 0: there is none
	body         string
	respondedAt  time.Time
	resent       bool // sent again on a new connection since a close crossed the request
	freshConn    bool // it was the first request on its connection
	err          error
}

// drainPeriod is an interval in which a server was listed as draining.
type drainPeriod struct {
	server      string
	from, until time.Time // until is zero while the server is draining
}

// outage is an interval in which discovery was unreachable.
type outage struct {
	from, until time.Time // until is zero while it lasts
}

// ledger records every request, its attempts and its outcome, and checks the invariants on them.
type ledger struct {
	mu             sync.Mutex
	requests       map[string]*request
	drains         []drainPeriod
	outages        []outage // of discovery, in order
	counts         map[string]int
	violations     []Violation
	violationCount int
	stalls         *wait.Stalls // of the test's process
}

// allowedDelay returns by how much the test itself may have delayed an event, or its observation, between
// two times: by stalls of its own process, and by its pauses of the sidecar.
func (l *ledger) allowedDelay(s *sidecar, from, until time.Time) time.Duration {
	return l.stalls.Within(from, until) + s.pausedWithin(from, until)
}

func newLedger() *ledger {
	return &ledger{requests: make(map[string]*request), counts: make(map[string]int)}
}

// increment adds one to a counter.
func (l *ledger) increment(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[what]++
}

// recordPeak records the largest memory of a process, in bytes.
func (l *ledger) recordPeak(peak int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	const counter = "largest memory of a process, MB"
	l.counts[counter] = max(l.counts[counter], int(peak>>20))
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

// addRequest adds a new request.
func (l *ledger) addRequest(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.id] = r
}

// update calls change, which modifies a request, under the ledger's lock.
func (l *ledger) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// recordAttempt records the arrival of a complete request at a server. It returns nil if no client sent it.
func (l *ledger) recordAttempt(id, server string, began time.Time, deadline, slowReadTime time.Duration) *attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		return nil
	}
	a := &attempt{ledger: l, id: id, server: server, firstByte: began, complete: time.Now(), deadline: deadline, slowReadTime: slowReadTime}
	r.attempts = append(r.attempts, a)
	l.counts["attempts"]++
	return a
}

// recordDrain records that discovery lists a server as draining, or no longer does.
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

// recordDiscoveryState records whether discovery is down.
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

// reachableSince returns the time from which discovery was reachable without interruption up to until. from is
// when discovery received a change, started when the process started. reached reports whether the process
// could be notified of the change at all: it could not if discovery was down all the time since both the
// change and the start. A process that starts while discovery is down does not have the list of its
// predecessor.
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

// check checks the invariants on all recorded requests and on the logs of the sidecars.
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
			l.addViolationLocked(InvariantOwnChecks, "%s logged %d violations by its own checks, the first: %s", name, n, line)
		}
		if strings.Contains(log, "panic:") || strings.Contains(log, "DATA RACE") {
			l.addViolationLocked(InvariantProcess, "%s: the log has a panic or a data race", name)
		}
	}
}

// violationMark is the text in the log of a sidecar whose own checks find a violation.
const violationMark = "rule violated"

// checkResponse checks the response that the client received.
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
		l.addViolationLocked(InvariantOwnResponse, "%s of class %s: response has the wrong body %q", r.id, r.class, r.body)
	}
	if r.status != 503 && r.status != 429 {
		return
	}
	for _, a := range r.attempts {
		if a.result != neverRan && r.class == "once" {
			l.addViolationLocked(InvariantRefusal, "%s was refused, although %s may have run it", r.id, a.server)
		}
	}
}

// checkAnswered checks that a complete request got its response before its timeout.
func (l *ledger) checkAnswered(r *request) {
	killed := r.sidecar.killedSince(r.complete)
	switch {
	case r.status == 0 && !r.clientClosed.IsZero():
		l.counts["clients that left"]++
	case r.status == 0 && killed:
		l.counts["requests of a killed sidecar"]++
	case r.status == 0 && r.sidecar.descriptorsExhausted && r.freshConn && len(r.attempts) == 0:
		l.counts["new connections shut unread in a crowd"]++ // as the acceptance criteria allow
	case r.status == 0:
		l.addViolationLocked(InvariantAnswered, "%s of class %s, %v, %d attempts: no response: %v", r.id, r.class, r.behaviour, len(r.attempts), r.err)
	case r.respondedAt.Sub(r.complete) > r.timeout+responseSlack+l.allowedDelay(r.sidecar, r.complete, r.respondedAt):
		l.addViolationLocked(InvariantAnswered, "%s: the response took %v, the timeout is %v", r.id, r.respondedAt.Sub(r.complete), r.timeout)
	default:
		l.counts[fmt.Sprint("answers ", r.status)]++
	}
}

// checkAttempts checks the attempts that booking servers received.
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
			l.addViolationLocked(InvariantNoDuplicate, "non-idempotent request %s was run or may have been run %d times, want at most once", r.id, len(ran))
		case r.class == "keyed" && a.complete.Sub(ran[0].complete)-a.slowReadTime > repeatWindow+protocolSlack+l.allowedDelay(r.sidecar, ran[0].complete, a.complete):
			l.addViolationLocked(InvariantNoDuplicate, "%s was repeated %v after its first attempt, outside its window", r.id, a.complete.Sub(ran[0].complete))
		}
	}
	if len(r.attempts) > maxAttempts {
		l.addViolationLocked(InvariantNoDuplicate, "%s was sent to servers %d times, which is more than the attempts that a request may have", r.id, len(r.attempts))
	}
}

// checkAttemptTime checks that an attempt arrived while its client waited, and its deadline.
func (l *ledger) checkAttemptTime(r *request, a *attempt) {
	if r.complete.IsZero() {
		if !r.clientClosed.IsZero() || r.err != nil {
			return // the sidecar may have read the request completely although the write failed
		}
		l.addViolationLocked(InvariantNothingAfterEnd, "%s was forwarded although the client never completed it", r.id)
		return
	}
	latest := r.complete.Add(r.timeout + protocolSlack)
	if clientEnd := r.clientClosed.Add(clientCloseSlack); !r.clientClosed.IsZero() && clientEnd.Before(latest) {
		latest = clientEnd
	}
	if responseEnd := r.respondedAt.Add(protocolSlack); !r.respondedAt.IsZero() && responseEnd.Before(latest) {
		latest = responseEnd
	}
	// A server that reads slowly gets the last byte later than its kernel does.
	if late := a.complete.Sub(latest) - a.slowReadTime; late > clockReadSlack+l.allowedDelay(r.sidecar, r.complete, a.complete) {
		l.addViolationLocked(InvariantNothingAfterEnd, "%s of class %s, %v, reached %s %v after the end of the request (first byte %v after the request was complete; status %d, timeout %v, client disconnected %v)",
			r.id, r.class, r.behaviour, a.server, late, a.firstByte.Sub(r.complete), r.status, r.timeout, !r.clientClosed.IsZero())
	}
	left := r.timeout - a.firstByte.Sub(r.complete)
	if excess := a.deadline - left; excess > deadlineSlack+clockReadSlack+l.stalls.Within(r.complete, a.firstByte) {
		l.addViolationLocked(InvariantDeadlineHeader, "%s: %s received the timeout %v, the client has %v left", r.id, a.server, a.deadline, left)
	}
}

// checkDrain checks that no attempt reached a draining server after the drain grace.
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
		notifiedBy := since.Add(notificationDeadline)
		if late := a.firstByte.Sub(notifiedBy.Add(drainGrace)); late > clockReadSlack+l.stalls.Within(notifiedBy, a.firstByte) {
			l.addViolationLocked(InvariantDrain, "%s reached %s %v after its drain grace", a.id, a.server, late)
		}
	}
}

// result returns the counts and the violations.
func (l *ledger) result() (counts map[string]int, violations []Violation, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.counts), append([]Violation(nil), l.violations...), l.violationCount
}
