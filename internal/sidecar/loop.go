package sidecar

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"barleywick/internal/registry/client"
	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/gate"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

const (
	eventQueueSize   = 1024
	countersInterval = time.Minute
)

// eventLoop owns the balancer. It receives all events through a channel, and carries out the balancer's
// decisions without ever waiting for I/O. Only its goroutine accesses its fields, unless a field's comment
// says otherwise.
type eventLoop struct {
	config    *config.Config
	balancer  *policy.Balancer
	transport *upstream.Transport
	gate      *gate.Gate

	events chan event // may be sent by any goroutine
	queued []event    // created by the loop itself

	lifetime    context.Context // ends when run returns, and cancels the attempts in flight
	endLifetime context.CancelFunc
	tasks       sync.WaitGroup // attempts and probes in progress

	clock     balancerClock
	wakeTimer wakeTimer
	requests  requestTable
	endpoints endpointTable

	// endpointsKnown reports whether this sidecar has an endpoint list. Any goroutine may read it.
	endpointsKnown atomic.Bool
	pollRequests   chan client.Call // calls for the endpoint list that the balancer requests

	fleet     fleetComponents
	observers requestObservers
	// connections counts the client connections on which requests may arrive; nil: there are none.
	connections connectionCounter
	counters    []counterLogger // logged together with the balancer's counters
	// discovery returns the state of the watch of the endpoint list; nil: there is none.
	discovery func() client.WatchStatus
}

// connectionCounter counts client connections.
type connectionCounter interface {
	// possiblyActive returns the number of connections on which a request is in progress or may still arrive.
	possiblyActive() int
}

// counterLogger is a component that logs its counters.
type counterLogger interface{ LogCounters() }

// newEventLoop returns a loop that accepts events from now on until run has returned.
func newEventLoop(c *config.Config, transport *upstream.Transport, g *gate.Gate) (*eventLoop, error) {
	lifetime, end := context.WithCancel(context.Background())
	l := &eventLoop{
		config: c, transport: transport, gate: g,
		events: make(chan event, eventQueueSize), lifetime: lifetime, endLifetime: end,
		clock: newBalancerClock(), wakeTimer: newWakeTimer(),
		requests: newRequestTable(c.Limits.Memory().RequestIDs), endpoints: newEndpointTable(c.Zones), pollRequests: make(chan client.Call, 1),
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

// tenantNames returns the tenants' names. Without tenants there is a single, unnamed bulkhead.
func tenantNames(c *config.Config) []string {
	if len(c.Tenants) == 0 {
		return []string{""}
	}
	return c.Tenants
}

// post sends an event to the loop, and returns false if the loop has ended. It may be called by any
// goroutine.
func (l *eventLoop) post(e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.lifetime.Done():
		return false
	}
}

// run handles events until ctx ends, then cancels attempts and probes, and waits for them.
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

// releaseCapacity releases the capacity that this process no longer needs, and returns the capacity that
// it keeps, or nil once the loop has ended. It may be called by any goroutine.
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

// expectedRequests returns how many requests may still arrive at this process after a successor has taken
// over the listening socket: some are being read then, others wait for this loop.
func (l *eventLoop) expectedRequests() int {
	if l.connections == nil {
		return 0
	}
	return max(0, l.connections.possiblyActive()-l.requests.ids.count())
}
