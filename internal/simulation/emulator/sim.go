package emulator

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"barleywick/internal/overload"
	"barleywick/policy"
)

// Decider is what decides for one sidecar; policy.Balancer is one.
type Decider interface {
	Start(now time.Duration)
	Request(now time.Duration, q policy.Request)
	Outcome(now time.Duration, o policy.Outcome)
	ClientGone(now time.Duration, id policy.RequestID)
	Wake(now time.Duration)
	Probed(now time.Duration, id policy.ServerID, ok bool, l policy.LoadReport)
	List(now time.Duration, kind policy.ListKind, entries []policy.Endpoint)
}

// Begin is what a Decider is made from, at one start of a sidecar.
type Begin struct {
	Scenario *Scenario
	Sidecar  int
	Config   policy.Config
	Seed     uint64
	Host     policy.Host
}

// Make makes the Decider of one start of a sidecar.
type Make func(Begin) (Decider, error)

// Balancer is the real one.
func Balancer(b Begin) (Decider, error) { return policy.New(b.Config, b.Seed, b.Host) }

// Sim plays a scenario in simulated time. All of it runs in the caller's goroutine;
// what happens follows from scenario, seed and Decider alone.
type Sim struct {
	make  Make
	now   time.Duration
	queue events
	count uint64 // of events ever planned: ties go in the order of planning

	*Fleet
	advice  *advice         // nil: the fleet has no word on an overload
	at      []time.Duration // when each server is looked at next
	nodes   []*node
	list    *list
	clients *clients
	check   *Checker
	rec     *Record

	luck  *rand.Rand // of troubles, servers and network: the same for all variants
	chaos *rand.Rand // of what depends on what the sidecars did

	// What troubles do to the whole.
	cut                   []int // by zone
	spoiltPart, resetPart float64

	failure error
}

// events are what is to happen, in time.
type events []event

type event struct {
	at time.Duration
	n  uint64
	do func()
}

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].n < e[j].n)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// Dawn is the time at which a day begins: a decision module takes time 0 for long ago.
const Dawn = time.Hour

// stream numbers of the random sources that follow from a seed.
const (
	streamLuck = iota + 1
	streamChaos
	streamClients
	streamArrivals
	streamMoods
	streamServers
)

// NewSim prepares a day. The scenario must not be changed any more.
func NewSim(sc *Scenario, seed uint64, decide Make) (*Sim, error) {
	if err := sc.Check(); err != nil {
		return nil, err
	}
	for i, t := range sc.Troubles {
		if troubleKinds[t.Name].begin == nil {
			return nil, fmt.Errorf("scenario: troubles[%d]: %s is for real sockets only", i, t.Name)
		}
	}
	s := &Sim{make: decide, now: Dawn, cut: make([]int, len(sc.Zones))}
	s.luck = source(seed, streamLuck, 0)
	s.chaos = source(seed, streamChaos, 0)
	s.check = newChecker(sc, func(i int) (int, int) { return s.Group(i) })
	s.rec = NewRecord(sc, seed)
	s.Fleet = NewFleet(sc, seed, s.luck)
	s.list = newList(s)
	for _, sv := range s.Servers {
		s.at = append(s.at, Never)
		s.list.know(sv)
	}
	for i := range sc.Sidecars {
		s.nodes = append(s.nodes, &node{sim: s, index: i, zone: sc.ZoneOf(i), idle: make(map[int][]time.Duration)})
	}
	s.clients = newClients(s)
	if sc.Advice {
		s.advice = newAdvice(s)
	}
	for i := range sc.Troubles {
		t := &sc.Troubles[i]
		s.plan(Dawn+time.Duration(t.At), func() {
			undo := troubleKinds[t.Name].begin(s, t)
			if undo != nil {
				s.after(time.Duration(t.For), undo)
			}
		})
	}
	return s, nil
}

// add starts a new server, cold, of which the list learns in time.
func (s *Sim) add(zone int, k Kind, cell *Cell, speed float64) {
	sv := s.Place(zone, k, cell, speed, s.now)
	s.at = append(s.at, Never)
	sv.Start(s.now)
	s.list.changed(sv)
}

// plan has something done at a time.
func (s *Sim) plan(at time.Duration, do func()) {
	s.count++
	heap.Push(&s.queue, event{max(at, s.now), s.count, do})
}

func (s *Sim) after(d time.Duration, do func()) { s.plan(s.now+d, do) }

// checkEvery is after how many events a day looks whether it is to be cut short.
const checkEvery = 1024

// Run plays the day to its end, or until ctx is done: the record then tells of the
// part that was played.
func (s *Sim) Run(ctx context.Context) (*Record, error) {
	for _, n := range s.nodes {
		n.start()
	}
	s.clients.begin()
	s.sample()
	s.foresee()
	end := Dawn + time.Duration(s.sc.Length) + s.longest() + 2*time.Duration(s.sc.Rules.AnswerSlack)
	for n := 0; len(s.queue) > 0 && s.failure == nil; n++ {
		if n%checkEvery == 0 && ctx.Err() != nil {
			s.finish(true)
			return s.rec, ctx.Err()
		}
		e := heap.Pop(&s.queue).(event)
		if e.at > end {
			break
		}
		s.now = e.at
		e.do()
	}
	s.now = end
	s.check.Finish(end)
	s.finish(false)
	return s.rec, s.failure
}

// finish sums the day up.
func (s *Sim) finish(partial bool) {
	s.rec.Events = int(s.count)
	s.rec.Finish(s.check, partial)
}

// sample notes the servers' state, once a second.
func (s *Sim) sample() {
	for _, sv := range s.Servers {
		waiting, capacity := sv.State(s.now)
		s.rec.Sample(s.now-Dawn, sv.Zone, waiting, capacity)
	}
	s.after(time.Second, s.sample)
}

// longest is the longest deadline.
func (s *Sim) longest() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.sc.Classes {
		longest = max(longest, time.Duration(c.Deadline))
	}
	return longest
}

// touch brings a server up to now, answers what has ended and plans its next end.
func (s *Sim) touch(sv *Server) {
	for _, j := range sv.Advance(s.now) {
		s.ended(sv, j)
	}
	next := sv.Next()
	if next == Never || (s.at[sv.Index] <= next && s.at[sv.Index] > s.now) {
		return // what is planned comes in time
	}
	s.at[sv.Index] = next
	s.plan(next, func() {
		if s.at[sv.Index] == next {
			s.at[sv.Index] = Never
		}
		if sv.Alive {
			s.touch(sv)
		}
	})
}

// ended takes a request that a server is done with.
func (s *Sim) ended(sv *Server, j *Job) {
	a := j.Owner.(*attempt)
	if j.Dropped {
		s.check.Ended(a.r.id, a.n, false)
		s.reply(sv, a, policy.Rejected)
		return
	}
	a.done = true
	if a.ended || a.r.over {
		s.rec.Wasted(s.now, j.spent)
	}
	a.spent = j.spent
	switch {
	case j.Failed:
		s.rec.Wasted(s.now, j.spent)
		s.reply(sv, a, policy.Errored)
	case s.spoiltPart > 0 && s.chaos.Float64() < s.spoiltPart:
		a.spoilt = true
		s.rec.Wasted(s.now, j.spent)
		s.reply(sv, a, policy.Errored)
	default:
		s.reply(sv, a, policy.Served)
	}
}

// reply lets an answer travel back to the sidecar.
func (s *Sim) reply(sv *Server, a *attempt, end policy.Ending) {
	n, epoch := a.r.node, a.r.epoch
	if !s.reach(n.zone, sv.Zone) || sv.Silent {
		return // it is lost; the attempt times out
	}
	s.after(s.way(n.zone, sv.Zone), func() {
		if n.epoch == epoch {
			n.end(a, end)
		}
	})
}

// reach says whether two zones hear each other.
func (s *Sim) reach(a, b int) bool { return a == b || s.cut[a]+s.cut[b] == 0 }

// way is the time of a message one way.
func (s *Sim) way(a, b int) time.Duration {
	d := time.Duration(s.sc.Network.Near)
	if a != b {
		d = time.Duration(s.sc.Network.Far)
	}
	return time.Duration(float64(d) * (1 + s.sc.Network.Jitter*(2*s.chaos.Float64()-1)))
}

// kill ends a server's process: its connections are reset.
func (s *Sim) kill(sv *Server) {
	if !sv.Alive {
		return
	}
	s.touch(sv)
	for _, n := range s.nodes {
		delete(n.idle, sv.Index)
	}
	for _, j := range sv.Kill(s.now) {
		a := j.Owner.(*attempt)
		s.rec.Wasted(s.now, j.spent)
		s.reply(sv, a, policy.Broken)
	}
	s.list.changed(sv)
}

// revive starts servers again, cold.
func (s *Sim) revive(dead []*Server) {
	for _, sv := range dead {
		if !sv.Alive {
			sv.Start(s.now)
			s.list.changed(sv)
		}
	}
}

// silence cuts a machine off, or brings it back.
func (s *Sim) silence(sv *Server, on bool) {
	sv.Silent = on
	s.list.changed(sv)
}

// node is one sidecar: it carries out what its Decider decides. It is policy.Host.
type node struct {
	sim   *Sim
	index int
	zone  int
	up    bool
	epoch int // of its starts: what was planned for an earlier one is void
	b     Decider
	open  map[policy.RequestID]*request
	idle  map[int][]time.Duration // by server: since when each idle connection is

	known    []policy.Endpoint // the list as last had
	leaving  bool              // a planned end: nothing new comes, what it has is answered
	watching bool
	askedAt  time.Duration // it called for the list last
	refused  bool          // and that call failed

	counts  []overload.TenantCounts // since the last digest, by tenant; nil: nobody is told
	digests uint64
	taker   overload.AdviceFilter

	deciding *request // being handed to the module
	shed     uint64   // what it had shed before
}

// request is one try of a client, at its sidecar.
type request struct {
	id       policy.RequestID
	node     *node
	epoch    int
	call     *call
	deadline time.Duration
	attempts []*attempt
	over     bool
	began    time.Duration
	shed     bool // the module said so
}

// attempt is one send.
type attempt struct {
	r     *request
	n     int
	to    *Server
	ended bool // the sidecar has its outcome
	done  bool // the server has run it
	spent float64
	conn  bool // a connection is up

	sent   time.Duration
	ending policy.Ending
	spoilt bool
	job    *Job // at the server; nil: it has not come there
}

// start begins the sidecar's life, knowing the list as it last had it.
func (n *node) start() {
	s := n.sim
	n.epoch++
	n.open = make(map[policy.RequestID]*request)
	b, err := s.make(Begin{s.sc, n.index, s.sc.Policy(n.zone), s.seed ^ uint64(n.index)<<32 ^ uint64(n.epoch)<<8, n})
	if err != nil {
		s.failure = fmt.Errorf("sidecar %d: %w", n.index, err)
		return
	}
	n.b, n.up, n.leaving, n.watching, n.askedAt = b, true, false, false, s.now
	if n.known == nil {
		n.known = s.list.all()
	}
	b.Start(s.now)
	b.List(s.now, policy.ListCached, n.known)
	if s.advice != nil {
		s.advice.tell(n)
	}
}

// restart kills a sidecar; it is back after a while. What it held is void: its
// client went with it.
func (s *Sim) restart(n *node, down time.Duration) {
	if !n.up {
		return
	}
	n.up = false
	n.epoch++
	for _, id := range slices.Sorted(maps.Keys(n.open)) {
		r := n.open[id]
		if !r.over {
			s.clients.killed(r.call)
		}
		r.over = true
		s.check.Left(id)
		for _, a := range r.attempts {
			if a.conn && !a.ended {
				a.to.Open = max(0, a.to.Open-1)
			}
			a.ended = true
		}
	}
	n.open = nil
	for i := range s.Servers {
		if free := n.idle[i]; len(free) > 0 {
			s.Servers[i].Open = max(0, s.Servers[i].Open-len(free))
		}
	}
	clear(n.idle)
	s.check.Killed(n.index)
	s.list.leave(n)
	s.rec.Restarts++
	s.after(down, n.start)
}

// leaveIn is the longest that a sidecar is given for its answers at a planned end,
// beyond the longest deadline; leaveLook is how often it is looked at meanwhile.
const (
	leaveIn   = 700 * time.Millisecond
	leaveLook = 20 * time.Millisecond
)

// leave ends a sidecar as planned: nothing new comes, and it goes when all that it has
// is answered, or its time is up.
func (s *Sim) leave(n *node, down time.Duration) {
	if !n.up || n.leaving {
		return
	}
	n.leaving = true
	by := s.now + s.longest() + leaveIn
	var look func()
	look = func() {
		if len(n.open) > 0 && s.now < by {
			n.mine(leaveLook, look)
			return
		}
		s.restart(n, down)
	}
	look()
}

// mine plans something for this life of the sidecar.
func (n *node) mine(d time.Duration, do func()) {
	epoch := n.epoch
	n.sim.after(d, func() {
		if n.epoch == epoch {
			do()
		}
	})
}

// take brings the sidecar a client's try.
func (n *node) take(r *request, work time.Duration) {
	s := n.sim
	r.node, r.epoch, r.began = n, n.epoch, s.now
	n.open[r.id] = r
	if n.counts != nil {
		n.counts[r.call.Tenant].Requests++
	}
	s.check.Asked(r.id, n.index, r.call.Class, r.deadline)
	late := r.deadline + time.Duration(s.sc.Rules.AnswerSlack) - s.now
	n.mine(late+1, func() {
		if !r.over {
			s.check.Overdue(s.now, r.id)
			r.over = true
			n.b.ClientGone(s.now, r.id)
			s.clients.lost(r)
		}
	})
	n.deciding, n.shed = r, sheds(n.b)
	n.b.Request(s.now, policy.Request{
		ID: r.id, Class: r.call.Class, Tenant: r.call.Tenant, TimeLeft: r.deadline - s.now, ExpectedWork: work, AffinityKey: r.call.Key,
	})
	n.deciding = nil
}

// Send starts the next attempt of a request.
func (n *node) Send(id policy.RequestID, to policy.ServerID, timeout, _ time.Duration) {
	s := n.sim
	sv := s.Servers[int(to)-1]
	s.check.Sent(s.now, id, sv.Index)
	r := n.open[id]
	if r == nil {
		return // the Checker has it
	}
	a := &attempt{r: r, n: len(r.attempts), to: sv, sent: s.now}
	r.attempts = append(r.attempts, a)
	s.rec.Sends++
	h := s.rec.harm(s.now)
	h.Sends++
	if n := len(r.attempts); n > 1 {
		h.again(r.attempts[n-2].ending)
	}
	if sv.Zone != n.zone {
		s.rec.Crossed++
	}
	timeout = min(timeout, r.deadline-s.now)
	n.mine(max(0, timeout), func() { n.end(a, policy.TimedOut) })
	n.dial(a)
}

// dial gets the attempt a connection and sends it.
func (n *node) dial(a *attempt) {
	s, sv := n.sim, a.to
	way := s.way(n.zone, sv.Zone)
	idle := n.idle[sv.Index]
	for len(idle) > 0 { // the one used last; those that stood too long are closed
		since := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		if s.now-since <= time.Duration(s.sc.Network.IdleFor) {
			n.idle[sv.Index] = idle
			a.conn = true
			s.after(way, func() { s.arrive(a) })
			return
		}
		sv.Open = max(0, sv.Open-1)
	}
	n.idle[sv.Index] = idle
	s.rec.Handshakes++
	h := s.rec.harm(s.now)
	h.Handshakes++
	if sv.crowded() {
		h.HandshakesCrowded++
	}
	if sv.Silent || !s.reach(n.zone, sv.Zone) { // no word comes back
		n.mine(time.Duration(s.sc.Network.ConnectWithin), func() { n.fail(a, policy.NoConnection) })
		return
	}
	s.after(way, func() {
		s.touch(sv)
		if !sv.Connect(time.Duration(s.sc.Network.Handshake)) {
			s.nodeAfter(a, way, func() { n.fail(a, policy.NoConnection) })
			return
		}
		if a.ended { // called off meanwhile
			sv.Open = max(0, sv.Open-1)
			return
		}
		a.conn = true
		s.after(2*way, func() { s.arrive(a) })
	})
}

// nodeAfter plans something for the life of the sidecar that began an attempt.
func (s *Sim) nodeAfter(a *attempt, d time.Duration, do func()) {
	s.after(d, func() {
		if a.r.node.epoch == a.r.epoch {
			do()
		}
	})
}

// fail ends an attempt that proves not to have run.
func (n *node) fail(a *attempt, end policy.Ending) {
	n.sim.check.Ended(a.r.id, a.n, false)
	n.end(a, end)
}

// arrive brings an attempt to its server.
func (s *Sim) arrive(a *attempt) {
	sv, n := a.to, a.r.node
	if sv.Silent || !s.reach(n.zone, sv.Zone) {
		return // swallowed
	}
	if a.ended { // called off on its way, or its sidecar is dead: it is never whole
		return
	}
	s.touch(sv)
	work := a.r.call.Work
	if sv.Alive && sv.Cold(s.now) > 0 {
		s.check.Reached(s.now, n.index, sv.Index, sv.Born, work, sv.Cold(s.now))
	}
	j := &Job{Work: work, Key: a.r.call.Key, Deadline: a.r.deadline, Owner: a}
	if c := s.sc.Classes[a.r.call.Class]; c.Effect == "keyed" {
		j.Repeat, j.Window = uint64(a.r.id)+1, time.Duration(c.Window)
	}
	switch fell := sv.Fell; sv.Arrive(s.now, j) {
	case Taken:
		a.job = j
		if s.resetPart > 0 && s.chaos.Float64() < s.resetPart {
			s.nodeAfter(a, time.Duration(s.chaos.Float64()*float64(100*time.Millisecond)), func() { n.end(a, policy.Broken) })
		}
		s.touch(sv)
	case Away:
		s.check.Ended(a.r.id, a.n, false)
		s.rec.TurnedAway++
		s.rec.harm(s.now).TurnedAway++
		s.reply(sv, a, policy.Rejected)
	case Nobody:
		if sv.Fell && !fell {
			s.rec.Fell++
			s.kill(sv)
		}
		s.check.Ended(a.r.id, a.n, false)
		s.reply(sv, a, policy.NoConnection)
	}
}

// end gives the sidecar the outcome of an attempt, once.
func (n *node) end(a *attempt, end policy.Ending) {
	if a.ended {
		return
	}
	a.ended, a.ending = true, end
	s, r := n.sim, a.r
	if a.conn {
		if end == policy.Served || end == policy.Errored || end == policy.Rejected {
			n.idle[a.to.Index] = append(n.idle[a.to.Index], s.now)
		} else {
			a.to.Open = max(0, a.to.Open-1)
		}
	}
	if end != policy.Rejected && end != policy.NoConnection && end != policy.NotSent {
		s.check.Ended(r.id, a.n, true)
	}
	settled := r.over
	if end == policy.Served && !r.over {
		settled = true
		n.answer(r, AnswerServed, 0)
	} else if end == policy.Served && a.done {
		s.rec.Wasted(s.now, a.spent)
	}
	if n.b != nil && n.up {
		n.b.Outcome(s.now, policy.Outcome{ID: r.id, Attempt: a.n, Ending: end, Settled: settled})
	}
	if r.over {
		n.forget(r)
	}
}

// forget drops a request that is over and has no attempt out.
func (n *node) forget(r *request) {
	for _, a := range r.attempts {
		if !a.ended {
			return
		}
	}
	delete(n.open, r.id)
}

// answer gives the client its one final answer.
func (n *node) answer(r *request, a Answer, pause time.Duration) {
	s := n.sim
	s.check.Answered(s.now, r.id, a)
	if r.over {
		return
	}
	r.over = true
	n.count(r, a)
	s.clients.answered(r, a, pause)
}

// Refuse ends a request; trying again is harmless.
func (n *node) Refuse(id policy.RequestID, pause time.Duration) {
	n.give(id, AnswerRefused, pause)
}

// Fail ends a request.
func (n *node) Fail(id policy.RequestID) { n.give(id, AnswerFailed, 0) }

func (n *node) give(id policy.RequestID, a Answer, pause time.Duration) {
	r := n.open[id]
	if r == nil || r.over {
		return // ended a moment ago, which the protocol forgives
	}
	r.shed = n.deciding == r && sheds(n.b) > n.shed
	n.answer(r, a, pause)
	n.forget(r)
}

// Cancel calls off one attempt.
func (n *node) Cancel(id policy.RequestID, attempt int) {
	r := n.open[id]
	if r == nil || attempt >= len(r.attempts) {
		return
	}
	n.mine(0, func() { n.end(r.attempts[attempt], policy.Cancelled) })
}

// Wake asks for a call of the Decider's Wake.
func (n *node) Wake(d time.Duration) {
	n.mine(max(d, time.Microsecond), func() { n.b.Wake(n.sim.now) })
}

// probeFor is how long a probe waits for its answer.
const probeFor = 500 * time.Millisecond

// Probe asks a server for its load.
func (n *node) Probe(to policy.ServerID) {
	s, sv := n.sim, n.sim.Servers[int(to)-1]
	s.rec.Probes++
	h := s.rec.harm(s.now)
	h.Probes++
	if sv.crowded() {
		h.ProbesCrowded++
	}
	if sv.Silent || !s.reach(n.zone, sv.Zone) {
		n.mine(probeFor, func() { n.b.Probed(s.now, to, false, policy.UnknownLoad) })
		return
	}
	way := s.way(n.zone, sv.Zone)
	n.mine(way, func() {
		if !sv.Alive || sv.Fell {
			n.mine(way, func() { n.b.Probed(s.now, to, false, policy.UnknownLoad) })
			return
		}
		s.touch(sv)
		r := sv.Probe(s.now)
		s.touch(sv)
		n.mine(way, func() {
			n.b.Probed(s.now, to, true, policy.LoadReport{InFlight: -1, Queued: r.Queue, Utilization: float64(float32(r.Busy)), ServedPerSecond: float64(float32(r.Rate))})
		})
	})
}

// WatchList asks for the list.
func (n *node) WatchList() {
	n.askedAt = n.sim.now
	n.mine(0, func() { n.sim.list.watch(n) })
}

// unheard looks whether a sidecar that follows no watch has gone without asking for so
// long that it counts as told of a server's end or drain.
func (n *node) unheard(server int) {
	s, within := n.sim, time.Duration(n.sim.sc.Rules.AskWithin)
	if n.refused {
		within *= askedInVain
	}
	switch e := s.list.entries[server]; {
	case n.watching || e.entry.State == policy.Ready:
	case s.now < n.askedAt+within:
		n.mine(n.askedAt+within-s.now, func() { n.unheard(server) })
	default:
		s.check.Told(s.now, n.index, server, false, e.entry.Started)
	}
}

// askedInVain is how many times as long a sidecar has whose last call failed.
const askedInVain = 4

// told gives the sidecar news of the list.
func (n *node) told(kind policy.ListKind, entries []policy.Endpoint) {
	s := n.sim
	n.refused = false
	if kind == policy.ListFull {
		named := make(map[policy.ServerID]bool, len(entries))
		for _, e := range entries {
			named[e.ID] = true
		}
		for _, e := range n.known {
			if !named[e.ID] {
				s.check.Told(s.now, n.index, int(e.ID)-1, false, e.Started)
			}
		}
		n.known = entries
	} else {
		n.known = merge(n.known, entries)
	}
	for _, e := range entries {
		s.check.Told(s.now, n.index, int(e.ID)-1, e.State == policy.Ready, e.Started)
	}
	n.b.List(s.now, kind, entries)
}

// merge applies changes to a list.
func merge(list, changes []policy.Endpoint) []policy.Endpoint {
	merged := append([]policy.Endpoint(nil), list...)
	for _, c := range changes {
		found := false
		for i := range merged {
			if merged[i].ID == c.ID {
				merged[i], found = c, true
			}
		}
		if !found {
			merged = append(merged, c)
		}
	}
	kept := merged[:0]
	for _, e := range merged {
		if e.State != policy.Removed {
			kept = append(kept, e)
		}
	}
	return kept
}

// weight is a machine's size as the list has it: roughly right, and as precise as the wire.
func weight(sv *Server) float64 {
	return float64(float32(cmp.Or(math.Round(sv.Kind.capacity()*10)/10, 1)))
}
