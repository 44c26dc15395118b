// Package model is a small world in which the real state machine of leases, the real
// count of a leader and the real holder's code run together, step by step, without a
// clock, a network or a goroutine: what may happen next is listed, and somebody
// chooses. Search tries all choices to a depth; Walk draws them from a seed. A judge
// that shares no code with leases watches what was granted and done.
package model

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"barleywick/internal/lease"
	"barleywick/internal/registry"
	"barleywick/internal/testing/modelcheck"
)

// Setup is the size of a world.
type Setup struct {
	Holders       int
	Leases        int
	TTL           time.Duration
	Tick          time.Duration // of true time
	MaxInFlight   int           // under way at once
	MaxDuplicates int           // messages that may come twice, and calls for a lease made again
	MaxLosses     int           // messages that may be lost
	MaxElections  int           // changes of leader
	MaxRestores   int
	MaxRestarts   int
	EndTime       time.Duration // no tick after this
	// SharedName gives the first two holders one name: the second started later.
	SharedName bool
	// ClockRates is how fast each process's clock runs, the leader's last, in thousandths;
	// none: all run true.
	ClockRates []int64
}

// holder is one process with at most one claim on each lease.
type holder struct {
	identity registry.Holder
	sessions []*lease.Session
}

type kind int

const (
	acquire kind = iota
	renewal
	release
	write
	answer // to an acquire or a renewal
)

var kindNames = []string{"acquire", "renewal", "release", "write", "answer"}

// message is one call or answer on its way.
type message struct {
	kind       kind
	holder     int
	lease      int
	claim      registry.Claim
	sentAt     time.Duration // by the holder's clock
	token      uint64        // of a write
	answer     registry.ClaimStatus
	toAcquire  bool // the answer is to an acquire
	duplicated bool
}

// pendingVerification is a renewal that came to a leader, which now makes sure that it leads.
type pendingVerification struct {
	message
	receivedAt time.Time
	leader     int
}

// World is one state of everything.
type World struct {
	Setup
	now           time.Duration // true time
	state         *registry.State
	backup        []byte
	clock         *registry.ClaimTracker
	leader        int // counts leaders
	holders       []*holder
	network       []message
	verifications []pendingVerification
	claimCount    int // ids given
	duplicates    int
	losses        int
	restores      int // restores so far
	restarts      int // restarts so far
	checker       checker
}

// Counts is what a judge has seen.
type Counts struct {
	Steps, Grants, Acts, Writes, Refused, Faults int
}

// checker knows nothing of how leases work: it is told which token was given to whom,
// who says at a moment that it may act, and which writes took effect.
type checker struct {
	Counts
	claimByToken map[uint64]string // token -> claim
	highestToken uint64
	newestToken  []uint64 // by lease: the token of the last grant
	violation    error
}

var epoch = time.UnixMilli(1_700_000_000_000)

// New makes a world in which grants have begun.
func New(s Setup) *World {
	w := &World{Setup: s, state: registry.NewState(), checker: checker{claimByToken: make(map[uint64]string), newestToken: make([]uint64, s.Leases)}}
	w.mustApply(registry.Command{Op: registry.OpFoundGroup, Group: "g", AtMS: epoch.UnixMilli()})
	w.mustApply(registry.Command{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand)})
	w.checker.highestToken = w.state.Leases().LastToken()
	var err error
	if w.backup, err = w.state.MarshalJSON(); err != nil {
		panic(err)
	}
	for i := range s.Holders {
		h := &holder{identity: registry.Holder{Name: fmt.Sprint("k", i), Incarnation: 1}, sessions: make([]*lease.Session, s.Leases)}
		if s.SharedName && i < 2 {
			h.identity = registry.Holder{Name: "k", Incarnation: uint64(i + 1)}
		}
		w.holders = append(w.holders, h)
	}
	w.elect()
	return w
}

func (w *World) mustApply(c registry.Command) {
	if r := w.state.Apply(c); r.Err != nil {
		panic(r.Err)
	}
}

// Clone returns a copy that shares nothing that changes.
func (w *World) Clone() *World {
	c := *w
	c.state, c.clock = w.state.Clone(), w.clock.Clone()
	c.holders = make([]*holder, len(w.holders))
	for i, h := range w.holders {
		n := &holder{identity: h.identity, sessions: make([]*lease.Session, len(h.sessions))}
		for j, t := range h.sessions {
			if t != nil {
				one := *t
				n.sessions[j] = &one
			}
		}
		c.holders[i] = n
	}
	c.network, c.verifications = slices.Clone(w.network), slices.Clone(w.verifications)
	c.checker.claimByToken = make(map[uint64]string, len(w.checker.claimByToken))
	for k, v := range w.checker.claimByToken {
		c.checker.claimByToken[k] = v
	}
	c.checker.newestToken = slices.Clone(w.checker.newestToken)
	return &c
}

func (w *World) clockRate(process int) int64 {
	if len(w.ClockRates) == 0 {
		return 1000
	}
	return w.ClockRates[process]
}

// holderClock is what a holder's clock says; they all began at different readings.
func (w *World) holderClock(h int) time.Duration {
	return time.Duration(int64(w.now)*w.clockRate(h)/1000) + time.Duration(h+1)*time.Hour
}

// leaderClock is what the leader's clock says.
func (w *World) leaderClock() time.Time {
	return epoch.Add(time.Duration(int64(w.now) * w.clockRate(w.Holders) / 1000))
}

// elect puts a new leader in place, which gives every claim its full time.
func (w *World) elect() {
	w.leader++
	w.clock = registry.NewClaimTracker(w.TTL)
	w.clock.Sync(w.state.Leases(), w.leaderClock())
}

func leaseName(i int) string { return fmt.Sprint("task-", i) }

// Step is one thing that may happen next.
type Step = modelcheck.Step[*World]

// checkedStep makes a step's act of what changes the world; the judge looks after it.
func checkedStep(do func(w *World)) func(w *World) error {
	return func(w *World) error {
		w.checker.Steps++
		do(w)
		return w.checkInvariants()
	}
}

// Steps lists what may happen next.
func (w *World) Steps() []Step {
	all := make([]Step, 0, 64)
	put := func(weight int, fault bool, do func(w *World), format string, names ...any) {
		one := Step{Format: format, Do: checkedStep(do), Weight: weight, Of: -1}
		if fault {
			one.Do = checkedStep(func(w *World) { w.checker.Faults++; do(w) })
		}
		if len(names) > 0 {
			one.A = names[0]
		}
		if len(names) > 1 {
			one.B = names[1]
		}
		all = append(all, one)
	}
	add := func(weight int, do func(w *World), format string, names ...any) {
		put(weight, false, do, format, names...)
	}
	fault := func(weight int, do func(w *World), format string, names ...any) {
		put(weight, true, do, format, names...)
	}
	if w.now < w.EndTime {
		add(20, func(w *World) { w.now += w.Tick; w.expire() }, "tick")
	}
	room := len(w.network) < w.MaxInFlight
	for i, h := range w.holders {
		from := len(all)
		for j, t := range h.sessions {
			switch {
			case t == nil || t.Ended(w.holderClock(i)):
				if room {
					add(6, func(w *World) { w.acquireNew(i, j) }, "k%d asks for %d", i, j)
				}
			case room && t.Token() == 0 && w.duplicates < w.MaxDuplicates:
				add(2, func(w *World) {
					w.duplicates++
					w.send(acquire, i, j)
				}, "k%d asks again for %d", i, j)
			}
			if t != nil && !t.Ended(w.holderClock(i)) && room {
				add(10, func(w *World) { w.send(renewal, i, j) }, "k%d renews %d", i, j)
			}
			if t != nil && t.Held(w.holderClock(i)) && room {
				add(12, func(w *World) { w.send(write, i, j) }, "k%d writes under %d", i, j)
				add(2, func(w *World) {
					w.send(release, i, j)
					w.holders[i].sessions[j].Resign()
				}, "k%d gives %d up", i, j)
			}
		}
		if w.restarts < w.MaxRestarts {
			fault(1, func(w *World) { w.restart(i) }, "k%d is killed and starts again", i)
		}
		for k := from; k < len(all); k++ {
			all[k].Of = i
		}
	}
	for i, m := range w.network {
		add(12, func(w *World) { w.deliver(i) }, "%s of k%d comes", kindNames[m.kind], m.holder)
		if w.losses < w.MaxLosses {
			fault(2, func(w *World) {
				w.losses++
				w.network = slices.Delete(w.network, i, i+1)
			}, "%s of k%d is lost", kindNames[m.kind], m.holder)
		}
		if w.duplicates < w.MaxDuplicates && !m.duplicated && room {
			fault(2, func(w *World) {
				w.duplicates++
				w.network[i].duplicated = true
				w.network = append(w.network, w.network[i])
			}, "%s of k%d is doubled", kindNames[m.kind], m.holder)
		}
	}
	for i, c := range w.verifications {
		add(20, func(w *World) { w.finishVerification(i) }, "the renewal of k%d is checked", c.holder)
	}
	if w.leader <= w.MaxElections {
		fault(1, func(w *World) { w.elect() }, "another leads")
	}
	if w.restores < w.MaxRestores {
		fault(1, func(w *World) {
			w.restores++
			w.mustApply(registry.Command{Op: registry.OpRestore, Backup: w.backup})
			w.expire()
		}, "an old backup is restored")
	}
	return all
}

// acquireNew makes a new claim.
func (w *World) acquireNew(i, j int) {
	h := w.holders[i]
	w.claimCount++
	h.sessions[j] = &lease.Session{LeaseName: leaseName(j), ClaimID: fmt.Sprintf("claim-%05d", w.claimCount), Holder: h.identity, TTL: w.TTL}
	w.send(acquire, i, j)
}

// restart lets a process forget all it knew.
func (w *World) restart(i int) {
	w.restarts++
	h := w.holders[i]
	h.identity.Incarnation = uint64(2 + w.restarts) // later than any before
	h.sessions = make([]*lease.Session, w.Leases)
}

func (w *World) send(k kind, i, j int) {
	h := w.holders[i]
	t := h.sessions[j]
	now := w.holderClock(i)
	if k == acquire {
		t.AcquireSent(now)
	}
	m := message{kind: k, holder: i, lease: j, sentAt: now}
	m.claim = registry.Claim{ID: t.ClaimID, Holder: h.identity, TTLMS: w.TTL.Milliseconds()}
	m.token = t.Token()
	w.network = append(w.network, m)
}

// deliver lets a message come to where it goes.
func (w *World) deliver(i int) {
	m := w.network[i]
	w.network = slices.Delete(w.network, i, i+1)
	name := leaseName(m.lease)
	switch m.kind {
	case acquire:
		r := w.state.Apply(registry.Command{Op: registry.OpAcquireLease, Lease: &registry.LeaseCommand{Name: name, Claim: m.claim, Wait: true}})
		w.follow()
		a := registry.ClaimStatus{Lease: name, ClaimID: m.claim.ID, Token: r.Token, QueuePosition: r.QueuePosition, Ended: errors.Is(r.Err, registry.ErrClaimEnded)}
		w.network = append(w.network, message{kind: answer, holder: m.holder, lease: m.lease, claim: m.claim, answer: a, toAcquire: true})
	case renewal:
		w.verifications = append(w.verifications, pendingVerification{m, w.leaderClock(), w.leader})
	case release:
		w.state.Apply(registry.Command{Op: registry.OpReleaseLease, Lease: &registry.LeaseCommand{Name: name, Claim: m.claim}})
		w.follow()
	case write:
		r := w.state.Apply(registry.Command{
			Op: registry.OpPutRecord, Key: name, Value: fmt.Append(nil, m.token, m.sentAt), Fence: &registry.Fence{Lease: name, Token: m.token},
		})
		w.checker.checkWrite(m, r.Err)
	case answer:
		if t := w.holders[m.holder].sessions[m.lease]; t != nil && t.ClaimID == m.claim.ID && t.Holder == m.claim.Holder {
			if m.toAcquire {
				t.Acquired(m.answer, w.holderClock(m.holder))
			} else {
				t.Renewed(m.answer, m.sentAt, w.holderClock(m.holder))
			}
		}
	}
}

// finishVerification ends a leader's check: it fails where another leads since the call came.
func (w *World) finishVerification(i int) {
	c := w.verifications[i]
	w.verifications = slices.Delete(w.verifications, i, i+1)
	if c.leader != w.leader {
		return
	}
	a := w.clock.RenewClaims(w.state.Leases(), c.claim.Holder, []registry.ClaimRef{{Lease: leaseName(c.lease), ClaimID: c.claim.ID}}, c.receivedAt)
	w.network = append(w.network, message{kind: answer, holder: c.holder, lease: c.lease, claim: c.claim, sentAt: c.sentAt, answer: a[0]})
}

// expire lets the leader end what is due, as soon as it is.
func (w *World) expire() {
	w.clock.Sync(w.state.Leases(), w.leaderClock())
	ended, open := w.clock.TakeExpired(w.leaderClock())
	if open {
		w.mustApply(registry.Command{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand)})
	}
	if len(ended) > 0 {
		w.mustApply(registry.Command{Op: registry.OpExpireClaims, Lease: &registry.LeaseCommand{Expired: ended}})
	}
	w.follow()
}

func (w *World) follow() { w.clock.Sync(w.state.Leases(), w.leaderClock()) }

// checkInvariants is what the judge sees after each step.
func (w *World) checkInvariants() error {
	for j := range w.Leases {
		if l, _ := w.state.Leases().Lease(leaseName(j)); l.Grant != nil {
			if err := w.checker.checkGrant(j, l.Grant.Token, l.Grant.ID); err != nil {
				return err
			}
		}
	}
	if w.checker.violation != nil {
		return w.checker.violation
	}
	for j := range w.Leases {
		var may []string
		for i, h := range w.holders {
			if t := h.sessions[j]; t != nil {
				one := *t // asking must not change it
				if one.CheckAct(w.holderClock(i), time.Millisecond) == nil {
					may = append(may, fmt.Sprintf("k%d with token %d", i, t.Token()))
				}
			}
		}
		if w.checker.Acts += len(may); len(may) > 1 {
			return fmt.Errorf("two may act under lease %d at %v: %s", j, w.now, strings.Join(may, ", "))
		}
	}
	return nil
}

// checkGrant notes a grant: tokens only grow, and each is one claim's.
func (j *checker) checkGrant(lease int, token uint64, claim string) error {
	switch owner, known := j.claimByToken[token]; {
	case known && owner != claim:
		return fmt.Errorf("token %d was given to %s and to %s", token, owner, claim)
	case known:
	case token <= j.highestToken:
		return fmt.Errorf("token %d was given after %d", token, j.highestToken)
	default:
		j.claimByToken[token], j.highestToken, j.newestToken[lease] = claim, token, token
		j.Grants++
	}
	return nil
}

// checkWrite notes a write. One that takes effect is its writer's, under the newest grant of
// the lease: else an older holder's act has come after a newer one began.
func (j *checker) checkWrite(m message, err error) {
	switch {
	case err != nil:
		j.Refused++
	case m.token < j.newestToken[m.lease] || j.claimByToken[m.token] != m.claim.ID:
		j.violation = fmt.Errorf("a write of %s under lease %d took effect with token %d, the newest is %d", m.claim.ID, m.lease, m.token, j.newestToken[m.lease])
	default:
		j.Writes++
	}
}
