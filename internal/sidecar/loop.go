package sidecar

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/gate"
	"barleywick/internal/sidecar/outcome"
	"barleywick/internal/sidecar/overloadreporter"
	"barleywick/internal/sidecar/policyfollower"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

// eventLoop owns the Balancer: every event comes to it by a channel, and it carries
// out what the Balancer decides without ever waiting for I/O.
type eventLoop struct {
	config       *config.Config
	balancer     *policy.Balancer
	transport    *upstream.Transport
	gate         *gate.Gate
	events       chan any
	queued       []any // events that the loop makes itself
	ready        atomic.Bool
	pollRequests chan struct{} // the module wants to subscribe to the list

	lifetime    context.Context // ends with run, and attempts with it
	endLifetime context.CancelFunc
	tasks       sync.WaitGroup // attempts and probes under way

	traceRequests bool          // each attempt and answer goes to the log
	listUpdatedAt time.Duration // the last news of the list; 0: none yet

	adviceStatus   func() overloadreporter.Status // the fleet's on an overload; nil: it has none
	policyStatus   func() policyfollower.Status   // how it stands towards the fleet's policy; nil: there is none
	overloadCounts *overloadreporter.Counts       // of requests since the last digest; nil: nobody is told
	recordOutcome  func(outcome.Outcome)          // counts the end of a request; may be nil
	// activeConnections is how many client connections are open that may have something to say; nil: none.
	activeConnections func() int
	admits            func() bool // whether a new request may be taken; nil: any may

	exporter MetricsExporter // is told of each request; nil: nothing is measured

	reportUnresponsive func(host string) // tells the fleet of a server that does not answer; nil: nobody is told

	logOtherCounters func() // logs what else there is to tell with the module's counters; may be nil

	startedAt time.Time
	wallNow   func() time.Time // the machine's clock, which may be set
	now       time.Duration    // the module's clock at the event under way
	timer     *time.Timer
	wakeAt    time.Duration // when Wake is due; 0: not armed

	lastID         policy.RequestID
	requests       map[policy.RequestID]*request
	requestNames   requestNames
	lastEndpointID policy.ServerID
	endpoints      map[string]*endpoint
	endpointsByID  map[policy.ServerID]*endpoint
	zoneNumbers    map[string]int
	nextZone       int
}

const (
	eventBacklog     = 1024
	countersInterval = time.Minute
)

// newEventLoop makes a loop that lives from now on until run has ended.
func newEventLoop(c *config.Config, up *upstream.Transport, g *gate.Gate) (*eventLoop, error) {
	life, end := context.WithCancel(context.Background())
	l := &eventLoop{
		lifetime: life, endLifetime: end,
		config: c, transport: up, gate: g, startedAt: time.Now(), traceRequests: slog.Default().Enabled(life, slog.LevelDebug),
		wallNow: time.Now, events: make(chan any, eventBacklog), pollRequests: make(chan struct{}, 1), timer: time.NewTimer(time.Hour),
		requests: make(map[policy.RequestID]*request), requestNames: requestNames{inUse: make(map[string]bool)},
		endpoints: make(map[string]*endpoint), endpointsByID: make(map[policy.ServerID]*endpoint), zoneNumbers: make(map[string]int),
	}
	for i, z := range c.Zones {
		l.zoneNumbers[z] = i
	}
	l.nextZone = len(c.Zones)
	b, err := policy.New(c.Policy, c.Seed, l)
	if err != nil {
		end()
		return nil, err
	}
	l.balancer = b
	l.now = l.clock()
	b.Start(l.now)
	if c.KnownEndpoints != nil {
		l.applyListing(policy.ListCached, *c.KnownEndpoints)
	}
	return l, nil
}

// clock is the module's time: it runs monotonically and began at Unix time, so
// that an upstream's earlier start is a positive time on it. Counted from 0, an
// upstream that started before this process would pass for one of long ago, and
// the rule on cold upstreams would be lost.
func (l *eventLoop) clock() time.Duration {
	return time.Duration(l.startedAt.UnixNano()) + time.Since(l.startedAt)
}

// wallClockStep is by how much the wall clock has been set ahead since this process began.
func (l *eventLoop) wallClockStep() time.Duration {
	wall := time.Duration(l.wallNow().UnixNano())
	return wall - l.clock()
}

// post hands an event to the loop, and says whether the loop is there to take it.
func (l *eventLoop) post(e any) bool {
	select {
	case l.events <- e:
		return true
	case <-l.lifetime.Done():
		return false
	}
}

// releaseCapacity gives up what this process does not need any more, and returns what it
// keeps; nothing once the loop has ended.
func (l *eventLoop) releaseCapacity() []policy.BulkheadCapacity {
	held := make(chan []policy.BulkheadCapacity, 1)
	if !l.post(handoverStarted{held}) {
		return nil
	}
	select {
	case h := <-held:
		return h
	case <-l.lifetime.Done():
		return nil
	}
}

// expectedRequests is how many requests may come to this process although another takes its
// place: some are being read, or wait for this loop, as the listener is given away.
func (l *eventLoop) expectedRequests() int {
	if l.activeConnections == nil {
		return 0
	}
	return max(0, l.activeConnections()-l.requestNames.count())
}

// run handles events until ctx ends, and then ends all that is under way.
func (l *eventLoop) run(ctx context.Context) {
	defer l.tasks.Wait()
	defer l.endLifetime()
	logTick := time.NewTicker(countersInterval)
	defer logTick.Stop()
	for {
		select {
		case <-ctx.Done():
			l.logCounters()
			return
		case e := <-l.events:
			l.now = l.clock()
			l.handle(e)
		case <-l.timer.C:
			l.now = l.clock()
			l.wake()
		case <-logTick.C:
			l.logCounters()
		}
		for len(l.queued) > 0 {
			e := l.queued[0]
			l.queued = l.queued[1:]
			l.handle(e)
		}
	}
}

// logCounters says what was done so far.
func (l *eventLoop) logCounters() {
	slog.Info("counters", "counters", l.balancer.Counters())
	if l.logOtherCounters != nil {
		l.logOtherCounters()
	}
}

func (l *eventLoop) wake() {
	if l.wakeAt == 0 {
		return
	}
	if l.now < l.wakeAt { // the module would pass it over and never be woken again
		l.timer.Reset(l.wakeAt - l.now)
		return
	}
	l.wakeAt = 0
	l.balancer.Wake(l.now)
}

func (l *eventLoop) handle(e any) {
	switch e := e.(type) {
	case requestArrived:
		l.admitRequest(e.request)
	case clientDisconnected:
		if r := e.request; r.id != 0 && !r.closed {
			l.closeRequest(r)
			l.recordEnd(r, outcome.ClientVanished)
			l.balancer.ClientGone(l.now, r.id)
		}
	case attemptEnded:
		l.attemptEnded(e)
	case probeCompleted:
		p := e.probe
		p.done, p.ok, p.load = true, e.ok, e.load
		l.deliverProbes(p.endpoint)
	case endpointsListed:
		l.listUpdatedAt = l.now
		kind := policy.ListDelta
		if e.listing.Full {
			kind = policy.ListFull
		}
		l.applyListing(kind, e.listing)
	case listingLost:
		l.balancer.ListLost(l.now, policy.ListLoss(e.loss))
	case handoverStarted:
		e.held <- l.balancer.HandOver(l.expectedRequests())
	case predecessorReported:
		l.balancer.ReserveForPredecessor(l.now, e.held)
	case statusRequested:
		e.state <- l.status()
	case digestRequested:
		e.digest <- l.digest()
	case adviceReceived:
		l.balancer.Advise(l.now, e.advice)
	case sidecarCountChanged:
		l.balancer.SetFleetSize(e.sidecars)
	case fleetPolicyReceived:
		l.balancer.SetFleetLimits(l.now, e.rule)
		close(e.done)
	}
}
