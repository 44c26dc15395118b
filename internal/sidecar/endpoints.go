package sidecar

import (
	"log/slog"
	"maps"
	"net/netip"
	"time"

	"barleywick/internal/registry/client"
	"barleywick/internal/settings"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

// What the endpoint list says of an endpoint's health. Any other word means draining.
const (
	healthUp      = "up"
	healthRemoved = "removed"
)

// endpoint is a booking server of the endpoint list.
type endpoint struct {
	id                  policy.ServerID
	entry               client.Endpoint // as the list has it
	server              *upstream.Server
	startedAt           time.Duration   // on the balancer's clock
	probes              []*pendingProbe // in the order in which the balancer asked for them
	inFlight            int             // attempts
	consecutiveTimeouts int             // attempts that ended without a sign of life, since one got a response
	drainingSince       time.Duration   // 0: it does not drain
}

// pendingProbe is a probe that was asked for. Its result waits for those before it.
type pendingProbe struct {
	endpoint *endpoint
	done     bool
	ok       bool
	load     policy.LoadReport
}

// endpointTable holds the endpoint list.
type endpointTable struct {
	byName    map[string]*endpoint
	byID      map[policy.ServerID]*endpoint
	lastID    policy.ServerID
	updatedAt time.Duration // of the last watch event or poll; 0: none yet
	zones     zoneTable
}

func newEndpointTable(zones []string) endpointTable {
	return endpointTable{
		byName: make(map[string]*endpoint), byID: make(map[policy.ServerID]*endpoint), zones: newZoneTable(zones),
	}
}

// add makes a new endpoint of an entry.
func (t *endpointTable) add(entry client.Endpoint) *endpoint {
	t.lastID++
	e := &endpoint{id: t.lastID, server: upstream.NewServer(entry.Dial)}
	t.byName[entry.Host], t.byID[e.id] = e, e
	return e
}

func (t *endpointTable) remove(e *endpoint) {
	delete(t.byName, e.entry.Host)
	delete(t.byID, e.id)
}

// zoneTable numbers zones: first the configured ones, in their order.
type zoneTable struct {
	configured int
	numbers    map[string]int
	next       int
}

func newZoneTable(configured []string) zoneTable {
	t := zoneTable{configured: len(configured), numbers: make(map[string]int), next: len(configured)}
	for i, name := range configured {
		t.numbers[name] = i
	}
	return t
}

// number returns a zone's number, a new one for a zone that has none.
func (t *zoneTable) number(name string) int {
	n, ok := t.numbers[name]
	if !ok {
		n = t.next
		t.next++
		t.numbers[name] = n
	}
	return n
}

// forgetUnused forgets the zones that are neither configured nor any endpoint's.
func (t *zoneTable) forgetUnused(endpoints map[string]*endpoint) {
	if len(t.numbers) <= t.configured+len(endpoints) {
		return
	}
	used := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		used[e.entry.Site] = true
	}
	maps.DeleteFunc(t.numbers, func(name string, number int) bool {
		return number >= t.configured && !used[name]
	})
}

// applyListing applies a list message and passes it to the balancer.
func (l *eventLoop) applyListing(kind policy.ListKind, update client.ListUpdate) {
	listed, named := l.enterEndpoints(kind, update.Endpoints)
	l.balancer.List(l.clock.now, kind, listed)
	for _, e := range l.endpoints.byName {
		l.updateDrain(e)
	}
	for name, e := range l.endpoints.byName {
		if e.entry.Health == healthRemoved || (kind != policy.ListDelta && !named[name]) {
			l.endpoints.remove(e)
			l.transport.Pool().Retire(e.server)
		}
	}
	l.endpoints.zones.forgetUnused(l.endpoints.byName)
	if len(l.endpoints.byName) > 0 || kind != policy.ListCached {
		l.endpointsKnown.Store(true)
	}
}

// enterEndpoints enters the entries of a list message, and returns them as the balancer's endpoints
// and by their names. An entry that cannot be read leaves its endpoint as it was.
func (l *eventLoop) enterEndpoints(kind policy.ListKind, entries []client.Endpoint) (listed []policy.Endpoint, named map[string]bool) {
	listed = make([]policy.Endpoint, 0, len(entries))
	named = make(map[string]bool, len(entries))
	for _, entry := range entries {
		if named[entry.Host] && kind != policy.ListDelta {
			slog.Warn("discovery: endpoint listed twice", "host", entry.Host)
		}
		p, ok := l.enterEndpoint(entry)
		if !ok && entry.Health != healthRemoved {
			slog.Warn("discovery: endpoint ignored", "host", entry.Host, "dial", entry.Dial, "health", entry.Health, "malformed", entry.Malformed)
			if e := l.endpoints.byName[entry.Host]; e != nil {
				p, ok = l.enterEndpoint(e.entry)
			}
		}
		if ok {
			named[entry.Host] = true
			listed = append(listed, p)
		}
	}
	return listed, named
}

// enterEndpoint enters one entry of the list.
func (l *eventLoop) enterEndpoint(entry client.Endpoint) (policy.Endpoint, bool) {
	if entry.Host == "" || entry.Malformed {
		return policy.Endpoint{}, false
	}
	e := l.endpoints.byName[entry.Host]
	if _, err := netip.ParseAddrPort(entry.Dial); err != nil {
		if e == nil || entry.Health == healthUp {
			return policy.Endpoint{}, false
		}
		entry.Dial = e.entry.Dial // it gets nothing new: its address does not matter
	}
	if e == nil {
		e = l.endpoints.add(entry)
	} else if e.entry.Dial != entry.Dial || e.entry.BornMS != entry.BornMS { // open connections lead nowhere now
		l.transport.Pool().Retire(e.server)
		e.server, e.drainingSince = upstream.NewServer(entry.Dial), 0
	}
	// A start ahead of this machine's clock would keep the server warming up for too long: it is
	// taken for now, and stays so while the entry names the same start.
	if e.entry.BornMS != entry.BornMS || e.startedAt == 0 {
		e.startedAt = policy.StartedAt(settings.DurationFromMillis(entry.BornMS), l.clock.now, l.clock.wallStep())
	}
	e.entry = entry
	return e.forBalancer(l.endpoints.zones.number(entry.Site)), true
}

// forBalancer returns the endpoint as the balancer takes it.
func (e *endpoint) forBalancer(zone int) policy.Endpoint {
	p := policy.Endpoint{ID: e.id, Zone: zone, Weight: e.entry.Share, Started: e.startedAt, State: policy.Draining}
	p.Cell = -int(e.id) // without a cell it shares its keys with no other
	if e.entry.Block != nil {
		p.Cell = *e.entry.Block
	}
	switch e.entry.Health {
	case healthUp:
		p.State = policy.Ready
	case healthRemoved:
		p.State = policy.Removed
	}
	return p
}

// updateDrain applies what the list says of an endpoint's drain: it gets nothing new, its attempts
// end, and its idle connections are closed. A drain that is cancelled takes all of that back.
func (l *eventLoop) updateDrain(e *endpoint) {
	draining := e.entry.Health != healthUp
	switch {
	case draining && e.drainingSince == 0:
		e.drainingSince = l.clock.now
		l.transport.Pool().Drain(e.server)
		slog.Info("upstream: draining", "host", e.entry.Host, "running", e.inFlight)
		l.logDrained(e)
	case !draining && e.drainingSince != 0:
		e.drainingSince = 0
		l.transport.Pool().Resume(e.server)
		slog.Info("upstream: drain cancelled", "host", e.entry.Host)
	}
}

// logDrained says when a draining endpoint has no attempt of this sidecar any more.
func (l *eventLoop) logDrained(e *endpoint) {
	if e.drainingSince != 0 && e.inFlight == 0 {
		slog.Info("upstream: drained", "host", e.entry.Host, "after", l.clock.now-e.drainingSince)
	}
}

// deliverProbes passes an endpoint's probe results on in the order in which they were asked for, as
// the balancer matches them: a later one may be back first.
func (l *eventLoop) deliverProbes(e *endpoint) {
	for len(e.probes) > 0 && e.probes[0].done {
		p := e.probes[0]
		e.probes = e.probes[1:]
		if p.ok || e.drainingSince == 0 { // a probe that was not sent because of the drain says nothing of the server
			l.balancer.Probed(l.clock.now, e.id, p.ok, p.load)
		}
	}
}
