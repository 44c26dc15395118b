package sidecar

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/gate"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

const (
	eventBacklog     = 1024
	countersInterval = time.Minute
)

// eventLoop owns the balancer: every event comes to it by a channel, and it carries out what the
// balancer decides without ever waiting for I/O. Its goroutine alone reads and writes its fields,
// except those that say otherwise.
type eventLoop struct {
	config    *config.Config
	balancer  *policy.Balancer
	transport *upstream.Transport
	gate      *gate.Gate

	events chan event // from any goroutine
	queued []event    // that the loop makes itself

	lifetime    context.Context // ends with run, and attempts with it
	endLifetime context.CancelFunc
	tasks       sync.WaitGroup // attempts and probes under way

	clock     balancerClock
	wakeTimer wakeTimer
	requests  requestTable
	endpoints endpointTable

	// endpointsKnown is read by any goroutine: this sidecar has an endpoint list.
	endpointsKnown atomic.Bool
	pollRequests   chan struct{} // the balancer wants the endpoint list polled

	fleet     fleetParts
	observers requestObservers
	// connections counts the client connections that may bring a request; nil: there are none.
	connections connectionCounter
	counters    []counterLogger // are logged with the balancer's counters
}

// connectionCounter counts client connections.
type connectionCounter interface {
	// possiblyActive returns how many may still bring a request, or have one in progress.
	possiblyActive() int
}

// counterLogger is a part that logs its counters.
type counterLogger interface{ LogCounters() }

// newEventLoop makes a loop that lives from now on until run has ended.
func newEventLoop(c *config.Config, transport *upstream.Transport, g *gate.Gate) (*eventLoop, error) {
	lifetime, end := context.WithCancel(context.Background())
	l := &eventLoop{
		config: c, transport: transport, gate: g,
		events: make(chan event, eventBacklog), lifetime: lifetime, endLifetime: end,
		clock: newBalancerClock(), wakeTimer: newWakeTimer(),
		requests: newRequestTable(), endpoints: newEndpointTable(c.Zones), pollRequests: make(chan struct{}, 1),
		observers: requestObservers{
			classes: c.Classes, tenants: tenantNames(c), objectives: c.Policy.Classes,
			trace: slog.Default().Enabled(lifetime, slog.LevelDebug),
		},
	}
	balancer, err := policy.New(c.Policy, c.Seed, l)
	if err != nil {
		end()
		return nil, err
	}
	l.balancer = balancer
	l.clock.now = l.clock.read()
	balancer.Start(l.clock.now)
	if c.KnownEndpoints != nil {
		l.applyListing(policy.ListCached, *c.KnownEndpoints)
	}
	return l, nil
}

// tenantNames returns the names of the bulkheads; without tenants there is one without a name.
func tenantNames(c *config.Config) []string {
	if len(c.Tenants) == 0 {
		return []string{""}
	}
	return c.Tenants
}

// post hands an event to the loop, and says whether the loop is there to handle it. It may be
// called by any goroutine.
func (l *eventLoop) post(e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.lifetime.Done():
		return false
	}
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
			l.clock.now = l.clock.read()
			e.handle(l)
		case <-l.wakeTimer.timer.C:
			l.clock.now = l.clock.read()
			l.wake()
		case <-logTick.C:
			l.logCounters()
		}
		l.handleQueued()
	}
}

func (l *eventLoop) handleQueued() {
	for len(l.queued) > 0 {
		e := l.queued[0]
		l.queued = l.queued[1:]
		e.handle(l)
	}
}

func (l *eventLoop) wake() {
	if l.wakeTimer.fired(l.clock.now) {
		l.balancer.Wake(l.clock.now)
	}
}

func (l *eventLoop) logCounters() {
	slog.Info("balancer: counters", "counters", l.balancer.Counters())
	for _, c := range l.counters {
		c.LogCounters()
	}
}

// releaseCapacity releases what this process does not need any more, and returns the capacity that
// it keeps; nothing once the loop has ended. It may be called by any goroutine.
func (l *eventLoop) releaseCapacity() []policy.BulkheadCapacity {
	reserved := make(chan []policy.BulkheadCapacity, 1)
	if !l.post(handoverStarted{reserved}) {
		return nil
	}
	select {
	case capacity := <-reserved:
		return capacity
	case <-l.lifetime.Done():
		return nil
	}
}

// expectedRequests is how many requests may still come to this process although a successor has its
// place: some are being read, or wait for this loop, as the listening socket is passed on.
func (l *eventLoop) expectedRequests() int {
	if l.connections == nil {
		return 0
	}
	return max(0, l.connections.possiblyActive()-l.requests.ids.count())
}
