// The types of the interface are in api.go.

package policy

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	busyTick = 10 * time.Millisecond  // period of the checks while requests are open
	idleTick = 100 * time.Millisecond // period of the checks while no request is open

	// initialLatencyDivisor divides the objective to give the initial average latency.
	initialLatencyDivisor = 8
	maxTimeLeft           = time.Hour // limits the time left that a host passes
)

// Balancer makes the decisions of one sidecar.
type Balancer struct {
	cfg      Config // MaxAttempts, MayProbe and Balancers as restricted by the fleet limits
	host     Host
	rng      *rand.Rand
	classes  []class
	counters Counters

	requests     map[RequestID]*request
	openRequests []*request // in order of arrival; Wake removes the ended ones

	endpoints  endpointList
	bulkheads  bulkheads
	limits     fleetLimits
	takeover   takeoverState
	advice     activeAdvice
	subset     subset
	traffic    traffic
	capacities capacityModel
	congestion congestionEstimate
	probes     unresponsiveProbes
	poll       listPoll

	cells  []cell        // of the current selection; reused to save allocations
	wakeAt time.Duration // time of the next scheduled call of Wake; 0: none
}

// New returns a Balancer. An error names the invalid field of the configuration.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	if err := validate(cfg); err != nil {
		return nil, err
	}
	if len(cfg.Tenants) == 0 {
		cfg.Tenants = []Tenant{{Share: 1}}
	}
	b := &Balancer{
		cfg: cfg, host: host, rng: rand.New(rand.NewPCG(seed, 0)),
		requests:  make(map[RequestID]*request),
		endpoints: endpointList{zones: make(map[int]*zone)},
		bulkheads: newBulkheads(len(cfg.Tenants)),
		limits:    configuredLimits(cfg),
	}
	b.subset.salt = b.rng.Uint64()
	for _, c := range cfg.Classes {
		b.classes = append(b.classes, class{Class: c, averageLatency: c.LatencyObjective / initialLatencyDivisor})
		b.traffic.averageObjective += c.LatencyObjective.Seconds() / float64(len(cfg.Classes))
	}
	initialLatency := b.traffic.averageObjective / initialLatencyDivisor
	b.traffic.averageLatency = time.Duration(initialLatency * float64(time.Second))
	for _, t := range cfg.Tenants {
		b.traffic.quota += t.Quota
	}
	b.sizeBulkheads()
	return b, nil
}

// Counters returns the numbers of decisions so far.
func (b *Balancer) Counters() Counters { return b.counters }

// Start must be the first event. It subscribes to the endpoint list if the balancer polls it.
func (b *Balancer) Start(now time.Duration) {
	if b.cfg.PollList {
		b.startPolls(now)
	}
	b.scheduleWake(now, idleTick)
}

// Request accepts a request. It is answered exactly once before its deadline, by an Outcome that settles it
// or through the Host. A request whose id is still in use is ignored. One with an unknown class or tenant, or
// without any time left, is refused.
func (b *Balancer) Request(now time.Duration, q Request) {
	if _, inUse := b.requests[q.ID]; inUse {
		return
	}
	if !b.valid(q) {
		b.counters.Refused++
		b.host.Refuse(q.ID, 0)
		return
	}
	r := b.openRequest(now, q)
	b.probeForLoad()
	late := now > r.latestSend()
	if late { // it has a lower priority than other requests, but may use all of its time left
		r.usefulUntil, r.objectiveAt = r.deadline, r.deadline
	}
	if b.shouldShed(now, late, b.adviceRejectedShare(now, q.Tenant)) {
		b.counters.Shed++
		b.finish(r)
		return
	}
	switch {
	case b.dispatch(now, r):
	case late || !r.bulkhead.hasQueuePlace():
		b.finish(r) // refuse immediately
	default:
		r.bulkhead.queue = append(r.bulkhead.queue, r)
	}
}

// valid reports whether a request has a known class, a known tenant and any time left.
func (b *Balancer) valid(q Request) bool {
	classKnown := q.Class >= 0 && q.Class < len(b.classes)
	return classKnown && b.bulkheads.hasTenant(q.Tenant) && q.TimeLeft > 0
}

// openRequest creates and registers the state of a request.
func (b *Balancer) openRequest(now time.Duration, q Request) *request {
	r := newRequest(now, q, &b.classes[q.Class], &b.bulkheads.byTenant[q.Tenant], b.cfg.ClientsMarkRetries)
	b.traffic.observeWork(q.ExpectedWork)
	b.requests[r.id] = r
	b.openRequests = append(b.openRequests, r)
	b.scheduleWake(now, busyTick)
	return r
}

// Outcome handles the end of an attempt. Unknown attempts and those that have already ended are ignored.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].state != inFlight {
		return
	}
	a := &r.attempts[o.Attempt]
	a.end(o.Ending)
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

// ClientGone handles the disconnection of a client, whose request needs no response any more.
func (b *Balancer) ClientGone(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && !r.ended {
		b.closeRequest(r)
		b.dispatchQueued(now)
	}
}

// StreamStarted records that a response is being streamed to the client. From then on the request is neither
// retried nor answered.
func (b *Balancer) StreamStarted(id RequestID) {
	if r := b.requests[id]; r != nil {
		r.streaming = true
	}
}

// Wake handles the expiry of a timer that was set with Host.Wake.
func (b *Balancer) Wake(now time.Duration) {
	if now < b.wakeAt {
		return // a timer that has been superseded
	}
	if b.cfg.PollList && b.poll.due(now) {
		b.pollList(now)
	}
	b.dispatchQueued(now)
	b.finishOverdue(now)
	b.suspectZones(now)
	b.probeUnresponsive(now)
	b.openRequests = slices.DeleteFunc(b.openRequests, func(r *request) bool { return r.ended })
	b.wakeAt = 0
	if len(b.openRequests) > 0 {
		b.scheduleWake(now, busyTick)
	}
	b.scheduleWake(now, idleTick)
}

// finishOverdue finishes the requests whose deadline has passed, and those that cannot be sent any more.
func (b *Balancer) finishOverdue(now time.Duration) {
	nextCheck := now + 2*max(busyTick, b.cfg.EventPeriod)
	for _, r := range b.openRequests {
		if r.ended || r.streaming {
			continue
		}
		noFurtherAttempt := r.inFlight == 0 &&
			(nextCheck > r.deadline || now >= r.latestSend() || !r.mayRepeat(now, nil))
		if noFurtherAttempt || now >= r.deadline {
			b.finish(r)
		}
	}
}

// Probed handles the result of a probe.
func (b *Balancer) Probed(now time.Duration, id ServerID, ok bool, report LoadReport) {
	s := b.endpoints.find(id)
	if s == nil {
		return
	}
	if !ok {
		b.markUnresponsive(now, s)
		b.dispatchQueued(now)
		return
	}
	if s.unresponsive { // only a served request resets the health after other failures
		b.markHealthy(now, s)
	}
	s.recordArrival(now)
	s.learnLoad(now, report)
	if now >= s.slowStart.warmAt {
		b.learnCapacity(s, report)
	}
	b.dispatchQueued(now)
}

// scheduleWake ensures that Wake is called after d at the latest.
func (b *Balancer) scheduleWake(now, d time.Duration) {
	if b.wakeAt == 0 || now+d < b.wakeAt {
		b.wakeAt = now + d
		b.host.Wake(d)
	}
}
