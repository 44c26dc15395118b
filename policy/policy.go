// The interface is api.go.

package policy

import (
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

// Counters returns what was done so far.
func (b *Balancer) Counters() Counters { return b.counters }

// Balancer makes the decisions of one sidecar.
type Balancer struct {
	cfg                 Config
	host                Host
	rng                 *rand.Rand
	subsetSalt          uint64  // of its own order of servers
	subsetShare         float64 // the part of the balancers that keep to a server
	classes             []class
	bulkheads           []bulkhead
	requests            map[RequestID]*request
	openRequests        []*request         // in order of arrival; ended ones are swept out by Wake
	servers             []*server          // in the order in which the list named them
	totalSlots          int                // of all compartments
	configuredBulkheads []BulkheadCapacity // as configured, by tenant
	configuredAttempts  int                // at most, as configured
	configuredBalancers int                // as configured
	configuredProbing   bool               // as configured
	fleetLimits         FleetLimits        // the fleet's word
	handedOver          bool               // another process takes this one's place
	admittedShares      []float64          // the fleet's word on an overload, by tenant
	adviceUntil         time.Duration      // until when it counts
	expectedInFlight    float64            // what the slots of all balancers hold while traffic is at the quotas
	totalQuota          float64            // of all tenants together
	readyWeight         float64            // of all ready servers
	peakWeight          float64            // the most of it that there was, followed down
	peakAt              time.Duration
	healthyWeight       float64       // of those not judged unwell
	usualLatency        time.Duration // usual time of an answer, over all classes
	averageWork         float64       // expected of a request, on average
	averageObjective    float64       // mean aim, in seconds
	wakeAt              time.Duration
	pollAt              time.Duration // when to ask for the list next; 0: no need
	pollFailures        int
	staleSince          time.Duration // since when changes of the list may have been missed
	nextBulkhead        int
	twoProcesses        bool // another process of this sidecar lives
	lowTraffic          bool // own traffic tells too little of a server's load
	requestCount        int
	congestionSum       float64 // what answers took of their aims, added up over those of late
	congestionWeight    float64 // and how many they are
	congestionAt        time.Duration
	zones               map[int]*zone
	probeFrom           int           // where listen begins
	anyUnresponsive     bool          // a server or zone may be silent: listen looks at each
	cells               []cell        // of the pick under way
	weightClasses       []weightClass // what servers can do, by their listed weight
	counters            Counters
}

// scheduleWake sees to it that Wake comes after d at the latest.
func (b *Balancer) scheduleWake(now, d time.Duration) {
	if b.wakeAt == 0 || now+d < b.wakeAt {
		b.wakeAt = now + d
		b.host.Wake(d)
	}
}
