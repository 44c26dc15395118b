// The interface is api.go.

package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	busyTick = 10 * time.Millisecond  // how often open requests are looked at
	idleTick = 100 * time.Millisecond // and the rest when none is open

	slotObjectiveShare = 0.12 // slots hold a quota's traffic for this share of the aim (deriveSlots)
	slotDeviations     = 2.0  // and this many standard deviations of such a count more
	maxTrafficMultiple = 5.0  // one balancer may carry this multiple of an even part of the traffic
	slotsPerServer     = 3.0  // slots for each server first listed, where no quota is known
	queuePlacesPerSlot = 0.15 // queue places for each slot: short, just enough to keep slots fed

	maxVotes = 64 // for what is usual: so much is remembered

	lowTrafficRate        = 1.0 // own requests a second for each server; below, traffic is thin
	crowdedObjectiveShare = 0.3 // a server whose answers take this share of the aim is crowded
)

// New makes a Balancer, or returns an error that names the unusable field.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	if err := validate(cfg); err != nil {
		return nil, err
	}
	if len(cfg.Tenants) == 0 {
		cfg.Tenants = []Tenant{{Share: 1}}
	}
	b := &Balancer{cfg: cfg, host: host}
	b.requests, b.zones = make(map[RequestID]*request), make(map[int]*zone)
	b.bulkheads = make([]bulkhead, len(cfg.Tenants))
	b.configuredBulkheads = make([]BulkheadCapacity, len(cfg.Tenants))
	b.configuredAttempts, b.configuredProbing = cfg.MaxAttempts, cfg.MayProbe
	b.configuredBalancers = cfg.Balancers
	b.rng = rand.New(rand.NewPCG(seed, 0))
	b.subsetSalt = b.rng.Uint64()
	for _, c := range cfg.Classes {
		b.classes = append(b.classes, class{Class: c, usualLatency: c.LatencyObjective / 8})
		b.averageObjective += c.LatencyObjective.Seconds() / float64(len(cfg.Classes))
	}
	b.usualLatency = time.Duration(b.averageObjective / 8 * float64(time.Second))
	b.sizeBulkheads()
	return b, nil
}

// sizeBulkheads sizes the walls, once, by Little's law: the quotas times a small share of the mean aim. As
// traffic is uneven each balancer gets a multiple of its even part, and two standard deviations (Poisson).
func (b *Balancer) sizeBulkheads() {
	shares := 0.0
	for _, t := range b.cfg.Tenants {
		shares += t.Share
		b.totalQuota += t.Quota
	}
	b.expectedInFlight = cmp.Or(
		b.totalQuota*b.averageObjective*slotObjectiveShare, slotsPerServer*float64(len(b.servers)))
	total, room := b.expectedInFlight*min(1, maxTrafficMultiple/float64(b.cfg.Balancers)), slotDeviations
	if b.cfg.Slots > 0 {
		total, room = float64(b.cfg.Slots), 0
	}
	for i, t := range b.cfg.Tenants {
		mean := total * t.Share / shares
		slots := max(1, int(math.Ceil(mean+room*math.Sqrt(mean))))
		b.configuredBulkheads[i] = BulkheadCapacity{slots, int(math.Ceil(float64(slots) * queuePlacesPerSlot))}
	}
	b.applyFleetLimits()
}

// Start begins the Balancer's life; it must be the first event.
func (b *Balancer) Start(now time.Duration) {
	if b.cfg.PollList {
		b.pollList(now)
	}
	b.scheduleWake(now, idleTick)
}

// Request takes a request on. It is answered once, by an Outcome that settles it or through the Host, in its
// time. An id that is still held is passed over; an unknown class or tenant, or no time left, is refused.
func (b *Balancer) Request(now time.Duration, q Request) {
	if _, held := b.requests[q.ID]; held {
		return
	}
	unknown := q.Class < 0 || q.Class >= len(b.classes) || q.Tenant < 0 || q.Tenant >= len(b.bulkheads)
	if unknown || q.TimeLeft <= 0 {
		b.counters.Refused++
		b.host.Refuse(q.ID, 0)
		return
	}
	r := &request{
		id: q.ID, class: &b.classes[q.Class], bulkhead: &b.bulkheads[q.Tenant],
		expectedWork: q.ExpectedWork, affinityKey: q.AffinityKey,
	}
	r.deadline = now + min(q.TimeLeft, time.Hour)
	begun := now // of the client's first try
	if r.class.hasUnusualTimeLeft(q.TimeLeft) && (q.ClientRetry || !b.cfg.ClientsMarkRetries) {
		begun = min(now, r.deadline-r.class.Deadline)
	}
	stretch := time.Duration(r.class.ObjectiveWorkFactor * float64(q.ExpectedWork))
	r.objectiveAt = min(r.deadline, begun+r.class.LatencyObjective+stretch)
	r.usefulUntil = r.objectiveAt
	if r.class.LateShare > 0 || (r.class.ObjectiveWorkFactor > 0 && q.ExpectedWork == 0) {
		r.usefulUntil = r.deadline
	}
	if r.shutdownDeadline = NoLimit; q.ShutdownIn > 0 {
		r.boundByShutdown(now + q.ShutdownIn)
	}
	b.learnWork(q.ExpectedWork)
	b.requests[r.id] = r
	b.openRequests = append(b.openRequests, r)
	b.scheduleWake(now, busyTick)
	b.probeForLoad()
	late := now > r.latestSend() // or as good as: it takes nothing from others
	if late {
		r.usefulUntil, r.objectiveAt = r.deadline, r.deadline
	}
	if b.shouldShed(now, late, b.adviceRejects(now, q.Tenant)) {
		b.counters.Shed++
		b.finish(r)
		return
	}
	switch {
	case b.dispatch(now, r):
	case late || len(r.bulkhead.queue)+r.bulkhead.reserved.Places >= r.bulkhead.queuePlaces:
		b.finish(r) // full: refuse promptly
	default:
		r.bulkhead.queue = append(r.bulkhead.queue, r)
	}
}

// hasUnusualTimeLeft says whether a request has another time left than most of its class lately: retries have
// what is left of the whole, less than a first one or, where tries are cut short, more.
func (c *class) hasUnusualTimeLeft(left time.Duration) bool {
	if c.usualVotes == 0 {
		c.usualTimeLeft = left
	}
	if (left - c.usualTimeLeft).Abs() > 2*busyTick {
		c.usualVotes-- // a majority vote
		return true
	}
	c.usualVotes = min(c.usualVotes+1, maxVotes)
	return false
}

// Outcome takes the end of an attempt. What is unknown or came before is passed over.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].state != inFlight {
		return
	}
	a := &r.attempts[o.Attempt]
	a.state = mayHaveRun
	if o.Ending == Rejected || o.Ending == NoConnection || o.Ending == NotSent {
		a.state = neverRan
	}
	a.server.inFlight--
	r.inFlight--
	r.bulkhead.used--
	b.observeOutcome(now, r, a, o.Ending)
	switch {
	case r.ended && r.inFlight == 0:
		delete(b.requests, r.id)
	case !r.ended && (o.Settled || o.Ending == Served || r.streaming):
		b.closeRequest(r)
	case !r.ended && r.inFlight == 0:
		b.retryOrFinish(now, r)
	}
	b.dispatchQueued(now)
}

// ClientGone takes that a client quit: nothing more is owed for the request.
func (b *Balancer) ClientGone(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && !r.ended {
		b.closeRequest(r)
		b.dispatchQueued(now)
	}
}

// StreamBegun takes that a request's answer has begun to stream: the client owns it now.
func (b *Balancer) StreamBegun(id RequestID) {
	if r := b.requests[id]; r != nil {
		r.streaming = true
	}
}

// Wake takes that a time asked for with Host.Wake has come.
func (b *Balancer) Wake(now time.Duration) {
	if now < b.wakeAt {
		return // an older timer
	}
	if b.cfg.PollList && b.pollAt > 0 && now >= b.pollAt {
		b.pollList(now)
	}
	b.dispatchQueued(now)
	soon := now + 2*max(busyTick, b.cfg.EventPeriod)
	for _, r := range b.openRequests {
		waited := r.inFlight == 0 && (soon > r.deadline || now >= r.latestSend() || !r.mayRepeat(now, nil))
		if !r.ended && !r.streaming && (waited || now >= r.deadline) {
			b.finish(r)
		}
	}
	b.suspectZones(now)
	b.probeUnresponsive(now)
	b.openRequests = slices.DeleteFunc(b.openRequests, func(r *request) bool { return r.ended })
	b.wakeAt = 0
	if len(b.openRequests) > 0 {
		b.scheduleWake(now, busyTick)
	}
	b.scheduleWake(now, idleTick)
}

// latestSend is when a wait stops being worth it: servers would work for answers that come late.
func (r *request) latestSend() time.Duration {
	return r.objectiveAt - min(2*r.class.usualLatency, r.class.LatencyObjective/2)
}

// dispatch sends a request if a slot of its compartment and a server are free.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	if r.bulkhead.full() {
		return false
	}
	s := b.pick(now, r)
	return s != nil && b.send(now, r, s)
}

// Probed takes the result of a probe.
func (b *Balancer) Probed(now time.Duration, id ServerID, ok bool, l LoadReport) {
	s := b.server(id)
	if s == nil {
		return
	}
	if !ok {
		s.unresponsive, b.anyUnresponsive = true, true
		b.recordFailure(now, s)
		b.dispatchQueued(now)
		return
	}
	if s.unresponsive { // anything else that is held against it only an answer to a request takes back
		b.markHealthy(now, s)
	}
	b.heardFrom(now, s)
	if held := s.reportedInFlight(l); held >= 0 {
		s.reportedAt, s.otherInFlight = now, max(0, held-float64(s.inFlight))
	}
	if now >= s.warmAt {
		b.learnCapacity(s, l)
	}
	b.dispatchQueued(now)
}

// retryOrFinish gives a request whose attempts have all failed another one, or ends it.
func (b *Balancer) retryOrFinish(now time.Duration, r *request) {
	switch {
	case len(r.attempts) >= b.cfg.MaxAttempts || !r.mayRepeat(now, nil) || now >= r.latestSend():
		b.finish(r)
	case !b.dispatch(now, r):
		r.bulkhead.queue = slices.Insert(r.bulkhead.queue, 0, r) // it has waited already: to the front
	}
}

// dispatchQueued gives free slots to what waits, one compartment after the other.
func (b *Balancer) dispatchQueued(now time.Duration) {
	b.nextBulkhead = (b.nextBulkhead + 1) % len(b.bulkheads)
	for i := range b.bulkheads {
		c := &b.bulkheads[(b.nextBulkhead+i)%len(b.bulkheads)]
		for n := 0; n < len(c.queue) && !c.full(); {
			switch r := c.queue[n]; {
			case now >= r.latestSend():
				b.finish(r) // which takes it out of the queue
			case b.dispatch(now, r):
				c.queue = slices.Delete(c.queue, n, n+1)
			default:
				n++ // it may be bound to where it has been: it must not hold up the others
			}
		}
	}
}

// mayRepeat says whether the class allows an attempt now, on a server or (nil)
// on some server: what may have run must be dropped there if it comes again.
func (r *request) mayRepeat(now time.Duration, s *server) bool {
	first := r.firstPossibleRun()
	switch {
	case first == nil || r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == NonIdempotent || now >= r.repeatDeadline(first):
		return false
	case s == nil || r.class.DedupScope == ScopeAll:
		return true
	}
	return s.Zone == first.server.Zone && (r.class.DedupScope == ScopeZone || s.Cell == first.server.Cell)
}

// repeatDeadline is until when a keyed request may be sent again. A margin is kept to the window's end:
// the sender may be held up between this decision and its write.
func (r *request) repeatDeadline(first *attempt) time.Duration {
	return first.sentAt + r.class.DedupWindow - min(repeatMargin, r.class.DedupWindow/4)
}

// maySend says whether the rules let a request go to a server now.
func (b *Balancer) maySend(now time.Duration, r *request, s *server) bool {
	sending := SendFacts{
		Now: now, ClientDeadline: r.deadline, ShutdownDeadline: r.shutdownDeadline, RepeatDeadline: NoLimit,
		Answered: r.ended || r.streaming, ServerState: s.State, MayHaveRun: r.firstPossibleRun() != nil,
		Attempts: len(r.attempts), MaxAttempts: b.cfg.MaxAttempts, InFlight: r.inFlight,
		SlowStartExhausted: !b.slowStartAllows(now, r, s),
	}
	if sending.MayHaveRun {
		sending.Repeatable = r.mayRepeat(now, s)
	}
	return sending.Decide() == Allowed
}

// send is the one place that sends.
func (b *Balancer) send(now time.Duration, r *request, s *server) bool {
	if !b.maySend(now, r, s) {
		return false
	}
	b.chargeSlowStart(now, r, s)
	start := time.Duration(0)
	if first := r.firstPossibleRun(); first != nil && r.class.Idempotency == IdempotentByKey {
		start = r.repeatDeadline(first) - now
	}
	r.attempts = append(r.attempts, attempt{server: s, sentAt: now})
	r.inFlight++
	s.inFlight++
	r.bulkhead.used++
	if len(r.attempts) > 1 {
		b.counters.Retries++
	}
	b.host.Send(r.id, s.ID, r.usefulUntil-now, start)
	return true
}

// List takes news of the server list.
func (b *Balancer) List(now time.Duration, kind ListKind, entries []Endpoint) {
	if kind == ListFailed {
		b.ListLost(now, ListLoss{Unresponsive: true})
		return
	}
	if kind != ListCached && b.cfg.PollList {
		b.pollAt, b.pollFailures = 0, 0
	}
	if kind != ListDelta {
		for _, s := range b.servers {
			s.State = Removed // until the list names it
		}
	}
	for _, e := range entries {
		b.updateEndpoint(now, e)
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool { return s.State == Removed })
	if b.expectedInFlight == 0 {
		b.sizeBulkheads() // no quotas: the first list is all there is to go by
	}
	b.forgetZones()
	b.updateWeights(now)
	rate := cmp.Or(b.totalQuota/float64(max(1, len(b.servers))), 8/b.averageObjective) / float64(b.cfg.Balancers)
	b.lowTraffic = b.cfg.MayProbe && rate < lowTrafficRate
	b.chooseSubset(rate / lowTrafficRate)
	b.dispatchQueued(now)
}

// updateEndpoint takes over one line of the list.
func (b *Balancer) updateEndpoint(now time.Duration, e Endpoint) {
	if !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
		e.Weight = 1 // no weights, even turns
	}
	s := b.server(e.ID)
	if s == nil {
		s = &server{currentWeight: b.rng.Float64() * e.Weight} // balancers must not begin in step
		b.servers = append(b.servers, s)
	}
	fresh := e.Started > s.Started
	if b.zones[e.Zone] == nil {
		b.zones[e.Zone] = new(zone)
	}
	s.Endpoint, s.zone = e, b.zones[e.Zone]
	s.capacity = b.capacityOf(e.Weight)
	if fresh { // cold, and nothing known of it holds any more
		s.warmAt = max(s.warmAt, e.Started+b.cfg.SlowStartWindow)
		s.outlier, s.consecutiveFailures, s.suspected, s.answeredAt = false, 0, false, now
		s.consecutiveSlow, s.ejectedUntil = 0, 0
		b.heardFrom(now, s)
		// All balancers are told at once: their first sends together would push it over.
		s.nextSlowStartSend = now + time.Duration(b.rng.Float64()*float64(b.slowStartInterval(now, s)))
	}
}

// finish is the one place that answers: refused where that is true, failed where it is not.
func (b *Balancer) finish(r *request) {
	byKeyAnywhere := r.class.Idempotency == IdempotentByKey && r.class.DedupScope == ScopeAll
	if r.firstPossibleRun() == nil || r.class.Idempotency == Idempotent || byKeyAnywhere {
		b.counters.Refused++
		pause := time.Duration((1 + b.rng.Float64()) * float64(b.usualLatency)) // spread: not all at once
		b.host.Refuse(r.id, min(b.cfg.MaxRetryAfter, pause))
	} else {
		b.counters.Failed++
		b.host.Fail(r.id)
	}
	b.closeRequest(r)
}

// closeRequest closes a request that has its answer: out of the queue, attempts called off.
func (b *Balancer) closeRequest(r *request) {
	r.ended = true
	if i := slices.Index(r.bulkhead.queue, r); i >= 0 {
		r.bulkhead.queue = slices.Delete(r.bulkhead.queue, i, i+1)
	}
	for i := range r.attempts {
		if r.attempts[i].state == inFlight && b.cfg.MayCancel {
			b.host.Cancel(r.id, i)
		}
	}
	if r.inFlight == 0 {
		delete(b.requests, r.id)
	}
}
