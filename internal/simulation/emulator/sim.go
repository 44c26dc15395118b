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

// DeciderOptions is what a Decider is made from, at one start of a sidecar.
type DeciderOptions struct {
	Scenario *Scenario
	Sidecar  int
	Config   policy.Config
	Seed     uint64
	Host     policy.Host
}

// DeciderFactory makes the Decider of one start of a sidecar.
type DeciderFactory func(DeciderOptions) (Decider, error)

// NewBalancer is the real one.
func NewBalancer(b DeciderOptions) (Decider, error) { return policy.New(b.Config, b.Seed, b.Host) }

// Sim plays a scenario in simulated time. All of it runs in the caller's goroutine;
// what happens follows from scenario, seed and Decider alone.
type Sim struct {
	newDecider DeciderFactory
	now        time.Duration
	queue      events
	count      uint64 // of events ever planned: ties go in the order of planning

	*Fleet
	advice   *adviceTask     // nil: the fleet has no word on an overload
	nextLook []time.Duration // when each server is looked at next
	nodes    []*node
	list     *listService
	clients  *clients
	checker  *Checker
	record   *Record

	environment *rand.Rand // of troubles, servers and network: the same for all variants
	feedback    *rand.Rand // of what depends on what the sidecars did

	// What troubles do to the whole.
	partitioned                []int // by zone
	malformedShare, resetShare float64

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

// StartTime is the time at which a day begins: a decision module takes time 0 for long ago.
const StartTime = time.Hour

// stream numbers of the random sources that follow from a seed.
const (
	streamEnvironment = iota + 1
	streamFeedback
	streamClients
	streamArrivals
	streamClientChoices
	streamServers
)

// NewSim prepares a day. The scenario must not be changed any more.
func NewSim(sc *Scenario, seed uint64, decide DeciderFactory) (*Sim, error) {
	if err := sc.Check(); err != nil {
		return nil, err
	}
	for i, t := range sc.Faults {
		if faultKinds[t.Name].begin == nil {
			return nil, fmt.Errorf("scenario: troubles[%d]: %s is for real sockets only", i, t.Name)
		}
	}
	s := &Sim{newDecider: decide, now: StartTime, partitioned: make([]int, len(sc.Zones))}
	s.environment = source(seed, streamEnvironment, 0)
	s.feedback = source(seed, streamFeedback, 0)
	s.checker = newChecker(sc, func(i int) (int, int) { return s.Group(i) })
	s.record = NewRecord(sc, seed)
	s.Fleet = NewFleet(sc, seed, s.environment)
	s.list = newListService(s)
	for _, sv := range s.Servers {
		s.nextLook = append(s.nextLook, Never)
		s.list.addKnown(sv)
	}
	for i := range sc.Sidecars {
		s.nodes = append(s.nodes, &node{sim: s, index: i, zone: sc.ZoneOf(i), idle: make(map[int][]time.Duration)})
	}
	s.clients = newClients(s)
	if sc.OverloadAdvice {
		s.advice = newAdviceTask(s)
	}
	for i := range sc.Faults {
		t := &sc.Faults[i]
		s.schedule(StartTime+time.Duration(t.Start), func() {
			undo := faultKinds[t.Name].begin(s, t)
			if undo != nil {
				s.after(time.Duration(t.Duration), undo)
			}
		})
	}
	return s, nil
}

// add starts a new server, cold, of which the list learns in time.
func (s *Sim) add(zone int, k MachineKind, cell *Cell, speed float64) {
	sv := s.AddServer(zone, k, cell, speed, s.now)
	s.nextLook = append(s.nextLook, Never)
	sv.Start(s.now)
	s.list.changed(sv)
}

// schedule has something done at a time.
func (s *Sim) schedule(at time.Duration, do func()) {
	s.count++
	heap.Push(&s.queue, event{max(at, s.now), s.count, do})
}

func (s *Sim) after(d time.Duration, do func()) { s.schedule(s.now+d, do) }

// cancelCheckInterval is after how many events a day looks whether it is to be cut short.
const cancelCheckInterval = 1024

// Run plays the day to its end, or until ctx is done: the record then tells of the
// part that was played.
func (s *Sim) Run(ctx context.Context) (*Record, error) {
	for _, n := range s.nodes {
		n.start()
	}
	s.clients.scheduleNext()
	s.sample()
	s.informIdeally()
	end := StartTime + time.Duration(s.scenario.Length) + s.longestDeadline() + 2*time.Duration(s.scenario.Rules.AnswerSlack)
	for n := 0; len(s.queue) > 0 && s.failure == nil; n++ {
		if n%cancelCheckInterval == 0 && ctx.Err() != nil {
			s.finish(true)
			return s.record, ctx.Err()
		}
		e := heap.Pop(&s.queue).(event)
		if e.at > end {
			break
		}
		s.now = e.at
		e.do()
	}
	s.now = end
	s.checker.Finish(end)
	s.finish(false)
	return s.record, s.failure
}

// finish sums the day up.
func (s *Sim) finish(partial bool) {
	s.record.Events = int(s.count)
	s.record.Finish(s.checker, partial)
}

// sample notes the servers' state, once a second.
func (s *Sim) sample() {
	for _, sv := range s.Servers {
		waiting, capacity := sv.State(s.now)
		s.record.Sample(s.now-StartTime, sv.Zone, waiting, capacity)
	}
	s.after(time.Second, s.sample)
}

// longestDeadline is the longestDeadline deadline.
func (s *Sim) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.scenario.Classes {
		longest = max(longest, time.Duration(c.Deadline))
	}
	return longest
}

// advanceServer brings a server up to now, answers what has ended and plans its next end.
func (s *Sim) advanceServer(sv *Server) {
	for _, j := range sv.Advance(s.now) {
		s.jobEnded(sv, j)
	}
	next := sv.Next()
	if next == Never || (s.nextLook[sv.Index] <= next && s.nextLook[sv.Index] > s.now) {
		return // what is planned comes in time
	}
	s.nextLook[sv.Index] = next
	s.schedule(next, func() {
		if s.nextLook[sv.Index] == next {
			s.nextLook[sv.Index] = Never
		}
		if sv.Alive {
			s.advanceServer(sv)
		}
	})
}

// jobEnded takes a request that a server is done with.
func (s *Sim) jobEnded(sv *Server, j *Job) {
	a := j.Owner.(*attempt)
	if j.Dropped {
		s.checker.AttemptEnded(a.request.id, a.number, false)
		s.reply(sv, a, policy.Rejected)
		return
	}
	a.completed = true
	if a.ended || a.request.closed {
		s.record.AddWasted(s.now, j.work)
	}
	a.work = j.work
	switch {
	case j.Failed:
		s.record.AddWasted(s.now, j.work)
		s.reply(sv, a, policy.Errored)
	case s.malformedShare > 0 && s.feedback.Float64() < s.malformedShare:
		a.malformed = true
		s.record.AddWasted(s.now, j.work)
		s.reply(sv, a, policy.Errored)
	default:
		s.reply(sv, a, policy.Served)
	}
}

// reply lets an answer travel back to the sidecar.
func (s *Sim) reply(sv *Server, a *attempt, end policy.Ending) {
	n, epoch := a.request.node, a.request.epoch
	if !s.reachable(n.zone, sv.Zone) || sv.Unreachable {
		return // it is lost; the attempt times out
	}
	s.after(s.delay(n.zone, sv.Zone), func() {
		if n.epoch == epoch {
			n.endAttempt(a, end)
		}
	})
}

// reachable says whether two zones hear each other.
func (s *Sim) reachable(a, b int) bool { return a == b || s.partitioned[a]+s.partitioned[b] == 0 }

// delay is the time of a message one delay.
func (s *Sim) delay(a, b int) time.Duration {
	d := time.Duration(s.scenario.Network.NearDelay)
	if a != b {
		d = time.Duration(s.scenario.Network.FarDelay)
	}
	return time.Duration(float64(d) * (1 + s.scenario.Network.Jitter*(2*s.feedback.Float64()-1)))
}

// kill ends a server's process: its connections are reset.
func (s *Sim) kill(sv *Server) {
	if !sv.Alive {
		return
	}
	s.advanceServer(sv)
	for _, n := range s.nodes {
		delete(n.idle, sv.Index)
	}
	for _, j := range sv.Kill(s.now) {
		a := j.Owner.(*attempt)
		s.record.AddWasted(s.now, j.work)
		s.reply(sv, a, policy.Broken)
	}
	s.list.changed(sv)
}

// restartServers starts servers again, cold.
func (s *Sim) restartServers(dead []*Server) {
	for _, sv := range dead {
		if !sv.Alive {
			sv.Start(s.now)
			s.list.changed(sv)
		}
	}
}

// disconnect cuts a machine off, or brings it back.
func (s *Sim) disconnect(sv *Server, on bool) {
	sv.Unreachable = on
	s.list.changed(sv)
}

// node is one sidecar: it carries out what its Decider decides. It is policy.Host.
type node struct {
	sim     *Sim
	index   int
	zone    int
	up      bool
	epoch   int // of its starts: what was planned for an earlier one is void
	decider Decider
	open    map[policy.RequestID]*request
	idle    map[int][]time.Duration // by server: since when each idle connection is

	known        []policy.Endpoint // the list as last had
	shuttingDown bool              // a planned end: nothing new comes, what it has is answered
	watching     bool
	polledAt     time.Duration // it called for the list last
	pollFailed   bool          // and that call failed

	counts       []overload.TenantCounts // since the last digest, by tenant; nil: nobody is told
	digests      uint64
	adviceFilter overload.AdviceFilter

	deciding *request // being handed to the module
	shed     uint64   // what it had shed before
}

// request is one try of a client, at its sidecar.
type request struct {
	id         policy.RequestID
	node       *node
	epoch      int
	call       *call
	deadline   time.Duration
	attempts   []*attempt
	closed     bool
	receivedAt time.Duration
	shed       bool // the module said so
}

// attempt is one send.
type attempt struct {
	request   *request
	number    int
	to        *Server
	ended     bool // the sidecar has its outcome
	completed bool // the server has run it
	work      float64
	connected bool // a connection is up

	sent      time.Duration
	ending    policy.Ending
	malformed bool
	job       *Job // at the server; nil: it has not come there
}

// start begins the sidecar's life, knowing the list as it last had it.
func (n *node) start() {
	s := n.sim
	n.epoch++
	n.open = make(map[policy.RequestID]*request)
	b, err := s.newDecider(DeciderOptions{s.scenario, n.index, s.scenario.Policy(n.zone), s.seed ^ uint64(n.index)<<32 ^ uint64(n.epoch)<<8, n})
	if err != nil {
		s.failure = fmt.Errorf("sidecar %d: %w", n.index, err)
		return
	}
	n.decider, n.up, n.shuttingDown, n.watching, n.polledAt = b, true, false, false, s.now
	if n.known == nil {
		n.known = s.list.fullList()
	}
	b.Start(s.now)
	b.List(s.now, policy.ListCached, n.known)
	if s.advice != nil {
		s.advice.startReporting(n)
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
		if !r.closed {
			s.clients.sidecarEnded(r.call)
		}
		r.closed = true
		s.checker.ClientGone(id)
		for _, a := range r.attempts {
			if a.connected && !a.ended {
				a.to.OpenConnections = max(0, a.to.OpenConnections-1)
			}
			a.ended = true
		}
	}
	n.open = nil
	for i := range s.Servers {
		if free := n.idle[i]; len(free) > 0 {
			s.Servers[i].OpenConnections = max(0, s.Servers[i].OpenConnections-len(free))
		}
	}
	clear(n.idle)
	s.checker.SidecarKilled(n.index)
	s.list.endWatch(n)
	s.record.Restarts++
	s.after(down, n.start)
}

// shutdownGrace is the longest that a sidecar is given for its answers at a planned end,
// beyond the longest deadline; shutdownCheckInterval is how often it is looked at meanwhile.
const (
	shutdownGrace         = 700 * time.Millisecond
	shutdownCheckInterval = 20 * time.Millisecond
)

// shutDown ends a sidecar as planned: nothing new comes, and it goes when all that it has
// is answered, or its time is up.
func (s *Sim) shutDown(n *node, down time.Duration) {
	if !n.up || n.shuttingDown {
		return
	}
	n.shuttingDown = true
	by := s.now + s.longestDeadline() + shutdownGrace
	var look func()
	look = func() {
		if len(n.open) > 0 && s.now < by {
			n.afterInEpoch(shutdownCheckInterval, look)
			return
		}
		s.restart(n, down)
	}
	look()
}

// afterInEpoch plans something for this life of the sidecar.
func (n *node) afterInEpoch(d time.Duration, do func()) {
	epoch := n.epoch
	n.sim.after(d, func() {
		if n.epoch == epoch {
			do()
		}
	})
}

// receive brings the sidecar a client's try.
func (n *node) receive(r *request, work time.Duration) {
	s := n.sim
	r.node, r.epoch, r.receivedAt = n, n.epoch, s.now
	n.open[r.id] = r
	if n.counts != nil {
		n.counts[r.call.Tenant].Requests++
	}
	s.checker.RequestReceived(r.id, n.index, r.call.Class, r.deadline)
	late := r.deadline + time.Duration(s.scenario.Rules.AnswerSlack) - s.now
	n.afterInEpoch(late+1, func() {
		if !r.closed {
			s.checker.Overdue(s.now, r.id)
			r.closed = true
			n.decider.ClientGone(s.now, r.id)
			s.clients.unanswered(r)
		}
	})
	n.deciding, n.shed = r, shedCount(n.decider)
	n.decider.Request(s.now, policy.Request{
		ID: r.id, Class: r.call.Class, Tenant: r.call.Tenant, TimeLeft: r.deadline - s.now, ExpectedWork: work, AffinityKey: r.call.Key,
	})
	n.deciding = nil
}

// Send starts the next attempt of a request.
func (n *node) Send(id policy.RequestID, to policy.ServerID, timeout, _ time.Duration) {
	s := n.sim
	sv := s.Servers[int(to)-1]
	s.checker.AttemptSent(s.now, id, sv.Index)
	r := n.open[id]
	if r == nil {
		return // the Checker has it
	}
	a := &attempt{request: r, number: len(r.attempts), to: sv, sent: s.now}
	r.attempts = append(r.attempts, a)
	s.record.Sends++
	h := s.record.impactAt(s.now)
	h.Sends++
	if n := len(r.attempts); n > 1 {
		h.countRetry(r.attempts[n-2].ending)
	}
	if sv.Zone != n.zone {
		s.record.CrossZoneSends++
	}
	timeout = min(timeout, r.deadline-s.now)
	n.afterInEpoch(max(0, timeout), func() { n.endAttempt(a, policy.TimedOut) })
	n.dial(a)
}

// dial gets the attempt a connection and sends it.
func (n *node) dial(a *attempt) {
	s, sv := n.sim, a.to
	way := s.delay(n.zone, sv.Zone)
	idle := n.idle[sv.Index]
	for len(idle) > 0 { // the one used last; those that stood too long are closed
		since := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		if s.now-since <= time.Duration(s.scenario.Network.IdleTimeout) {
			n.idle[sv.Index] = idle
			a.connected = true
			s.after(way, func() { s.arrive(a) })
			return
		}
		sv.OpenConnections = max(0, sv.OpenConnections-1)
	}
	n.idle[sv.Index] = idle
	s.record.Handshakes++
	h := s.record.impactAt(s.now)
	h.Handshakes++
	if sv.queueHalfFull() {
		h.HandshakesToFullQueues++
	}
	if sv.Unreachable || !s.reachable(n.zone, sv.Zone) { // no word comes back
		n.afterInEpoch(time.Duration(s.scenario.Network.ConnectTimeout), func() { n.fail(a, policy.NoConnection) })
		return
	}
	s.after(way, func() {
		s.advanceServer(sv)
		if !sv.Connect(time.Duration(s.scenario.Network.HandshakeWork)) {
			s.afterForAttempt(a, way, func() { n.fail(a, policy.NoConnection) })
			return
		}
		if a.ended { // called off meanwhile
			sv.OpenConnections = max(0, sv.OpenConnections-1)
			return
		}
		a.connected = true
		s.after(2*way, func() { s.arrive(a) })
	})
}

// afterForAttempt plans something for the life of the sidecar that began an attempt.
func (s *Sim) afterForAttempt(a *attempt, d time.Duration, do func()) {
	s.after(d, func() {
		if a.request.node.epoch == a.request.epoch {
			do()
		}
	})
}

// fail ends an attempt that proves not to have run.
func (n *node) fail(a *attempt, end policy.Ending) {
	n.sim.checker.AttemptEnded(a.request.id, a.number, false)
	n.endAttempt(a, end)
}

// arrive brings an attempt to its server.
func (s *Sim) arrive(a *attempt) {
	sv, n := a.to, a.request.node
	if sv.Unreachable || !s.reachable(n.zone, sv.Zone) {
		return // swallowed
	}
	if a.ended { // called off on its way, or its sidecar is dead: it is never whole
		return
	}
	s.advanceServer(sv)
	work := a.request.call.Work
	if sv.Alive && sv.ColdCapacity(s.now) > 0 {
		s.checker.ColdServerReached(s.now, n.index, sv.Index, sv.StartedAt, work, sv.ColdCapacity(s.now))
	}
	j := &Job{Work: work, Key: a.request.call.Key, Deadline: a.request.deadline, Owner: a}
	if c := s.scenario.Classes[a.request.call.Class]; c.Idempotency == "keyed" {
		j.Repeat, j.Window = uint64(a.request.id)+1, time.Duration(c.DedupWindow)
	}
	switch fell := sv.Overloaded; sv.Arrive(s.now, j) {
	case Accepted:
		a.job = j
		if s.resetShare > 0 && s.feedback.Float64() < s.resetShare {
			s.afterForAttempt(a, time.Duration(s.feedback.Float64()*float64(100*time.Millisecond)), func() { n.endAttempt(a, policy.Broken) })
		}
		s.advanceServer(sv)
	case Rejected:
		s.checker.AttemptEnded(a.request.id, a.number, false)
		s.record.Rejected++
		s.record.impactAt(s.now).Rejected++
		s.reply(sv, a, policy.Rejected)
	case NotRunning:
		if sv.Overloaded && !fell {
			s.record.OverloadedServers++
			s.kill(sv)
		}
		s.checker.AttemptEnded(a.request.id, a.number, false)
		s.reply(sv, a, policy.NoConnection)
	}
}

// endAttempt gives the sidecar the outcome of an attempt, once.
func (n *node) endAttempt(a *attempt, end policy.Ending) {
	if a.ended {
		return
	}
	a.ended, a.ending = true, end
	s, r := n.sim, a.request
	if a.connected {
		if end == policy.Served || end == policy.Errored || end == policy.Rejected {
			n.idle[a.to.Index] = append(n.idle[a.to.Index], s.now)
		} else {
			a.to.OpenConnections = max(0, a.to.OpenConnections-1)
		}
	}
	if end != policy.Rejected && end != policy.NoConnection && end != policy.NotSent {
		s.checker.AttemptEnded(r.id, a.number, true)
	}
	settled := r.closed
	if end == policy.Served && !r.closed {
		settled = true
		n.answer(r, AnswerServed, 0)
	} else if end == policy.Served && a.completed {
		s.record.AddWasted(s.now, a.work)
	}
	if n.decider != nil && n.up {
		n.decider.Outcome(s.now, policy.Outcome{ID: r.id, Attempt: a.number, Ending: end, Settled: settled})
	}
	if r.closed {
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
	s.checker.Answered(s.now, r.id, a)
	if r.closed {
		return
	}
	r.closed = true
	n.count(r, a)
	s.clients.answered(r, a, pause)
}

// Refuse ends a request; trying again is harmless.
func (n *node) Refuse(id policy.RequestID, pause time.Duration) {
	n.finish(id, AnswerRefused, pause)
}

// Fail ends a request.
func (n *node) Fail(id policy.RequestID) { n.finish(id, AnswerFailed, 0) }

func (n *node) finish(id policy.RequestID, a Answer, pause time.Duration) {
	r := n.open[id]
	if r == nil || r.closed {
		return // ended a moment ago, which the protocol forgives
	}
	r.shed = n.deciding == r && shedCount(n.decider) > n.shed
	n.answer(r, a, pause)
	n.forget(r)
}

// Cancel calls off one attempt.
func (n *node) Cancel(id policy.RequestID, attempt int) {
	r := n.open[id]
	if r == nil || attempt >= len(r.attempts) {
		return
	}
	n.afterInEpoch(0, func() { n.endAttempt(r.attempts[attempt], policy.Cancelled) })
}

// Wake asks for a call of the Decider's Wake.
func (n *node) Wake(d time.Duration) {
	n.afterInEpoch(max(d, time.Microsecond), func() { n.decider.Wake(n.sim.now) })
}

// probeTimeout is how long a probe waits for its answer.
const probeTimeout = 500 * time.Millisecond

// Probe asks a server for its load.
func (n *node) Probe(to policy.ServerID) {
	s, sv := n.sim, n.sim.Servers[int(to)-1]
	s.record.Probes++
	h := s.record.impactAt(s.now)
	h.Probes++
	if sv.queueHalfFull() {
		h.ProbesToFullQueues++
	}
	if sv.Unreachable || !s.reachable(n.zone, sv.Zone) {
		n.afterInEpoch(probeTimeout, func() { n.decider.Probed(s.now, to, false, policy.UnknownLoad) })
		return
	}
	way := s.delay(n.zone, sv.Zone)
	n.afterInEpoch(way, func() {
		if !sv.Alive || sv.Overloaded {
			n.afterInEpoch(way, func() { n.decider.Probed(s.now, to, false, policy.UnknownLoad) })
			return
		}
		s.advanceServer(sv)
		r := sv.Probe(s.now)
		s.advanceServer(sv)
		n.afterInEpoch(way, func() {
			n.decider.Probed(s.now, to, true, policy.LoadReport{InFlight: -1, Queued: r.Queue, Utilization: float64(float32(r.Busy)), ServedPerSecond: float64(float32(r.Rate))})
		})
	})
}

// WatchList asks for the list.
func (n *node) WatchList() {
	n.polledAt = n.sim.now
	n.afterInEpoch(0, func() { n.sim.list.watch(n) })
}

// checkNotified looks whether a sidecar that follows no watch has gone without asking for so
// long that it counts as told of a server's end or drain.
func (n *node) checkNotified(server int) {
	s, within := n.sim, time.Duration(n.sim.scenario.Rules.PollDeadline)
	if n.pollFailed {
		within *= failedPollFactor
	}
	switch e := s.list.entries[server]; {
	case n.watching || e.entry.State == policy.Ready:
	case s.now < n.polledAt+within:
		n.afterInEpoch(n.polledAt+within-s.now, func() { n.checkNotified(server) })
	default:
		s.checker.EndpointNotified(s.now, n.index, server, false, e.entry.Started)
	}
}

// failedPollFactor is how many times as long a sidecar has whose last call failed.
const failedPollFactor = 4

// listReceived gives the sidecar news of the list.
func (n *node) listReceived(kind policy.ListKind, entries []policy.Endpoint) {
	s := n.sim
	n.pollFailed = false
	if kind == policy.ListFull {
		named := make(map[policy.ServerID]bool, len(entries))
		for _, e := range entries {
			named[e.ID] = true
		}
		for _, e := range n.known {
			if !named[e.ID] {
				s.checker.EndpointNotified(s.now, n.index, int(e.ID)-1, false, e.Started)
			}
		}
		n.known = entries
	} else {
		n.known = mergeChanges(n.known, entries)
	}
	for _, e := range entries {
		s.checker.EndpointNotified(s.now, n.index, int(e.ID)-1, e.State == policy.Ready, e.Started)
	}
	n.decider.List(s.now, kind, entries)
}

// mergeChanges applies changes to a list.
func mergeChanges(list, changes []policy.Endpoint) []policy.Endpoint {
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
