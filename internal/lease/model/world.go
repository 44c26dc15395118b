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
	Holders  int
	Leases   int
	TTL      time.Duration
	Tick     time.Duration // of true time
	Messages int           // under way at once
	Copies   int           // messages that may come twice, and calls for a lease made again
	Losses   int           // messages that may be lost
	Leaders  int           // changes of leader
	Restores int
	Restarts int
	Ends     time.Duration // no tick after this
	// Namesakes gives the first two holders one name: the second started later.
	Namesakes bool
	// Rates is how fast each process's clock runs, the leader's last, in thousandths;
	// none: all run true.
	Rates []int64
}

// holder is one process with at most one claim on each lease.
type holder struct {
	of      registry.Holder
	tenures []*lease.Session
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
	kind   kind
	holder int
	lease  int
	claim  registry.Claim
	sent   time.Duration // by the holder's clock
	token  uint64        // of a write
	answer registry.ClaimStatus
	first  bool // the answer is to an acquire
	copied bool
}

// verifying is a renewal that came to a leader, which now makes sure that it leads.
type verifying struct {
	message
	at     time.Time
	leader int
}

// World is one state of everything.
type World struct {
	Setup
	now     time.Duration // true time
	state   *registry.State
	backup  []byte
	clock   *registry.ClaimTracker
	leader  int // counts leaders
	holders []*holder
	network []message
	checks  []verifying
	claims  int // ids given
	copies  int
	losses  int
	loads   int // restores so far
	starts  int // restarts so far
	judge   judge
}

// Counts is what a judge has seen.
type Counts struct {
	Steps, Grants, Acts, Writes, Refused, Faults int
}

// judge knows nothing of how leases work: it is told which token was given to whom,
// who says at a moment that it may act, and which writes took effect.
type judge struct {
	Counts
	owners  map[uint64]string // token -> claim
	highest uint64
	newest  []uint64 // by lease: the token of the last grant
	spoilt  error
}

var start = time.UnixMilli(1_700_000_000_000)

// New makes a world in which grants have begun.
func New(s Setup) *World {
	w := &World{Setup: s, state: registry.NewState(), judge: judge{owners: make(map[uint64]string), newest: make([]uint64, s.Leases)}}
	w.must(registry.Command{Op: registry.OpFoundGroup, Group: "g", AtMS: start.UnixMilli()})
	w.must(registry.Command{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand)})
	w.judge.highest = w.state.Leases().LastToken()
	var err error
	if w.backup, err = w.state.MarshalJSON(); err != nil {
		panic(err)
	}
	for i := range s.Holders {
		h := &holder{of: registry.Holder{Name: fmt.Sprint("k", i), Incarnation: 1}, tenures: make([]*lease.Session, s.Leases)}
		if s.Namesakes && i < 2 {
			h.of = registry.Holder{Name: "k", Incarnation: uint64(i + 1)}
		}
		w.holders = append(w.holders, h)
	}
	w.elect()
	return w
}

func (w *World) must(c registry.Command) {
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
		n := &holder{of: h.of, tenures: make([]*lease.Session, len(h.tenures))}
		for j, t := range h.tenures {
			if t != nil {
				one := *t
				n.tenures[j] = &one
			}
		}
		c.holders[i] = n
	}
	c.network, c.checks = slices.Clone(w.network), slices.Clone(w.checks)
	c.judge.owners = make(map[uint64]string, len(w.judge.owners))
	for k, v := range w.judge.owners {
		c.judge.owners[k] = v
	}
	c.judge.newest = slices.Clone(w.judge.newest)
	return &c
}

func (w *World) rate(process int) int64 {
	if len(w.Rates) == 0 {
		return 1000
	}
	return w.Rates[process]
}

// reads is what a holder's clock says; they all began at different readings.
func (w *World) reads(h int) time.Duration {
	return time.Duration(int64(w.now)*w.rate(h)/1000) + time.Duration(h+1)*time.Hour
}

// leaderNow is what the leader's clock says.
func (w *World) leaderNow() time.Time {
	return start.Add(time.Duration(int64(w.now) * w.rate(w.Holders) / 1000))
}

// elect puts a new leader in place, which gives every claim its full time.
func (w *World) elect() {
	w.leader++
	w.clock = registry.NewClaimTracker(w.TTL)
	w.clock.Sync(w.state.Leases(), w.leaderNow())
}

func leaseName(i int) string { return fmt.Sprint("task-", i) }

// Step is one thing that may happen next.
type Step = modelcheck.Step[*World]

// plain makes a step's act of what changes the world; the judge looks after it.
func plain(do func(w *World)) func(w *World) error {
	return func(w *World) error {
		w.judge.Steps++
		do(w)
		return w.look()
	}
}

// Steps lists what may happen next.
func (w *World) Steps() []Step {
	all := make([]Step, 0, 64)
	put := func(weight int, fault bool, do func(w *World), format string, names ...any) {
		one := Step{Format: format, Do: plain(do), Weight: weight, Of: -1}
		if fault {
			one.Do = plain(func(w *World) { w.judge.Faults++; do(w) })
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
	if w.now < w.Ends {
		add(20, func(w *World) { w.now += w.Tick; w.expire() }, "tick")
	}
	room := len(w.network) < w.Messages
	for i, h := range w.holders {
		from := len(all)
		for j, t := range h.tenures {
			switch {
			case t == nil || t.Ended(w.reads(i)):
				if room {
					add(6, func(w *World) { w.begin(i, j) }, "k%d asks for %d", i, j)
				}
			case room && t.Token() == 0 && w.copies < w.Copies:
				add(2, func(w *World) {
					w.copies++
					w.send(acquire, i, j)
				}, "k%d asks again for %d", i, j)
			}
			if t != nil && !t.Ended(w.reads(i)) && room {
				add(10, func(w *World) { w.send(renewal, i, j) }, "k%d renews %d", i, j)
			}
			if t != nil && t.Held(w.reads(i)) && room {
				add(12, func(w *World) { w.send(write, i, j) }, "k%d writes under %d", i, j)
				add(2, func(w *World) {
					w.send(release, i, j)
					w.holders[i].tenures[j].Resign()
				}, "k%d gives %d up", i, j)
			}
		}
		if w.starts < w.Restarts {
			fault(1, func(w *World) { w.restart(i) }, "k%d is killed and starts again", i)
		}
		for k := from; k < len(all); k++ {
			all[k].Of = i
		}
	}
	for i, m := range w.network {
		add(12, func(w *World) { w.deliver(i) }, "%s of k%d comes", kindNames[m.kind], m.holder)
		if w.losses < w.Losses {
			fault(2, func(w *World) {
				w.losses++
				w.network = slices.Delete(w.network, i, i+1)
			}, "%s of k%d is lost", kindNames[m.kind], m.holder)
		}
		if w.copies < w.Copies && !m.copied && room {
			fault(2, func(w *World) {
				w.copies++
				w.network[i].copied = true
				w.network = append(w.network, w.network[i])
			}, "%s of k%d is doubled", kindNames[m.kind], m.holder)
		}
	}
	for i, c := range w.checks {
		add(20, func(w *World) { w.verified(i) }, "the renewal of k%d is checked", c.holder)
	}
	if w.leader <= w.Leaders {
		fault(1, func(w *World) { w.elect() }, "another leads")
	}
	if w.loads < w.Restores {
		fault(1, func(w *World) {
			w.loads++
			w.must(registry.Command{Op: registry.OpRestore, Backup: w.backup})
			w.expire()
		}, "an old backup is restored")
	}
	return all
}

// begin makes a new claim.
func (w *World) begin(i, j int) {
	h := w.holders[i]
	w.claims++
	h.tenures[j] = &lease.Session{LeaseName: leaseName(j), ClaimID: fmt.Sprintf("claim-%05d", w.claims), Holder: h.of, TTL: w.TTL}
	w.send(acquire, i, j)
}

// restart lets a process forget all it knew.
func (w *World) restart(i int) {
	w.starts++
	h := w.holders[i]
	h.of.Incarnation = uint64(2 + w.starts) // later than any before
	h.tenures = make([]*lease.Session, w.Leases)
}

func (w *World) send(k kind, i, j int) {
	h := w.holders[i]
	t := h.tenures[j]
	now := w.reads(i)
	if k == acquire {
		t.AcquireSent(now)
	}
	m := message{kind: k, holder: i, lease: j, sent: now}
	m.claim = registry.Claim{ID: t.ClaimID, Holder: h.of, TTLMS: w.TTL.Milliseconds()}
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
		w.network = append(w.network, message{kind: answer, holder: m.holder, lease: m.lease, claim: m.claim, answer: a, first: true})
	case renewal:
		w.checks = append(w.checks, verifying{m, w.leaderNow(), w.leader})
	case release:
		w.state.Apply(registry.Command{Op: registry.OpReleaseLease, Lease: &registry.LeaseCommand{Name: name, Claim: m.claim}})
		w.follow()
	case write:
		r := w.state.Apply(registry.Command{
			Op: registry.OpPutRecord, Key: name, Value: fmt.Append(nil, m.token, m.sent), Fence: &registry.Fence{Lease: name, Token: m.token},
		})
		w.judge.wrote(m, r.Err)
	case answer:
		if t := w.holders[m.holder].tenures[m.lease]; t != nil && t.ClaimID == m.claim.ID && t.Holder == m.claim.Holder {
			if m.first {
				t.Acquired(m.answer, w.reads(m.holder))
			} else {
				t.Renewed(m.answer, m.sent, w.reads(m.holder))
			}
		}
	}
}

// verified ends a leader's check: it fails where another leads since the call came.
func (w *World) verified(i int) {
	c := w.checks[i]
	w.checks = slices.Delete(w.checks, i, i+1)
	if c.leader != w.leader {
		return
	}
	a := w.clock.RenewClaims(w.state.Leases(), c.claim.Holder, []registry.ClaimRef{{Lease: leaseName(c.lease), ClaimID: c.claim.ID}}, c.at)
	w.network = append(w.network, message{kind: answer, holder: c.holder, lease: c.lease, claim: c.claim, sent: c.sent, answer: a[0]})
}

// expire lets the leader end what is due, as soon as it is.
func (w *World) expire() {
	w.clock.Sync(w.state.Leases(), w.leaderNow())
	ended, open := w.clock.TakeExpired(w.leaderNow())
	if open {
		w.must(registry.Command{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand)})
	}
	if len(ended) > 0 {
		w.must(registry.Command{Op: registry.OpExpireClaims, Lease: &registry.LeaseCommand{Expired: ended}})
	}
	w.follow()
}

func (w *World) follow() { w.clock.Sync(w.state.Leases(), w.leaderNow()) }

// look is what the judge sees after each step.
func (w *World) look() error {
	for j := range w.Leases {
		if l, _ := w.state.Leases().Lease(leaseName(j)); l.Grant != nil {
			if err := w.judge.granted(j, l.Grant.Token, l.Grant.ID); err != nil {
				return err
			}
		}
	}
	if w.judge.spoilt != nil {
		return w.judge.spoilt
	}
	for j := range w.Leases {
		var may []string
		for i, h := range w.holders {
			if t := h.tenures[j]; t != nil {
				one := *t // asking must not change it
				if one.CheckAct(w.reads(i), time.Millisecond) == nil {
					may = append(may, fmt.Sprintf("k%d with token %d", i, t.Token()))
				}
			}
		}
		if w.judge.Acts += len(may); len(may) > 1 {
			return fmt.Errorf("two may act under lease %d at %v: %s", j, w.now, strings.Join(may, ", "))
		}
	}
	return nil
}

// granted notes a grant: tokens only grow, and each is one claim's.
func (j *judge) granted(lease int, token uint64, claim string) error {
	switch owner, known := j.owners[token]; {
	case known && owner != claim:
		return fmt.Errorf("token %d was given to %s and to %s", token, owner, claim)
	case known:
	case token <= j.highest:
		return fmt.Errorf("token %d was given after %d", token, j.highest)
	default:
		j.owners[token], j.highest, j.newest[lease] = claim, token, token
		j.Grants++
	}
	return nil
}

// wrote notes a write. One that takes effect is its writer's, under the newest grant of
// the lease: else an older holder's act has come after a newer one began.
func (j *judge) wrote(m message, err error) {
	switch {
	case err != nil:
		j.Refused++
	case m.token < j.newest[m.lease] || j.owners[m.token] != m.claim.ID:
		j.spoilt = fmt.Errorf("a write of %s under lease %d took effect with token %d, the newest is %d", m.claim.ID, m.lease, m.token, j.newest[m.lease])
	default:
		j.Writes++
	}
}
