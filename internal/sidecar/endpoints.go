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

// Values of an endpoint's health in the endpoint list. Any other value means draining.
const (
	healthUp      = "up"
	healthRemoved = "removed"
)

// endpoint is a booking server in the endpoint list.
type endpoint struct {
	id                  policy.ServerID
	entry               client.Endpoint // the latest entry in the list
	server              *upstream.Server
	startedAt           time.Duration   // on the balancer's clock
	probes              []*pendingProbe // in the order in which the balancer requested them
	inFlight            int             // number of attempts in flight
	consecutiveTimeouts int             // consecutive attempts that timed out or got no connection
	drainingSince       time.Duration   // 0: not draining
}

// pendingProbe is a requested probe. Its result is held back until the results of earlier probes are in.
type pendingProbe struct {
	endpoint *endpoint
	done     bool
	answered bool
	load     policy.LoadReport
}

// endpointTable holds the endpoints of the endpoint list.
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

// add creates an endpoint for a list entry.
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

// zoneTable assigns numbers to zones: first to the configured zones, in their order.
type zoneTable struct {
	configured   int
	numberByName map[string]int
	nextNumber   int
}

func newZoneTable(configured []string) zoneTable {
	t := zoneTable{configured: len(configured), numberByName: make(map[string]int), nextNumber: len(configured)}
	for i, name := range configured {
		t.numberByName[name] = i
	}
	return t
}

// number returns a zone's number, and assigns one to a new zone.
func (t *zoneTable) number(name string) int {
	n, ok := t.numberByName[name]
	if !ok {
		n = t.nextNumber
		t.nextNumber++
		t.numberByName[name] = n
	}
	return n
}

// removeUnused removes the zones that are not configured and have no endpoint.
func (t *zoneTable) removeUnused(endpoints map[string]*endpoint) {
	if len(t.numberByName) <= t.configured+len(endpoints) {
		return
	}
	used := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		used[e.entry.Site] = true
	}
	maps.DeleteFunc(t.numberByName, func(name string, number int) bool {
		return number >= t.configured && !used[name]
	})
}

// applyListing applies a message of the endpoint list and passes it to the balancer.
func (l *eventLoop) applyListing(kind policy.ListKind, update client.ListUpdate) {
	listed, names := l.applyEntries(kind, update.Endpoints)
	l.balancer.List(l.clock.now, kind, listed)
	for _, e := range l.endpoints.byName {
		l.updateDrain(e)
	}
	for name, e := range l.endpoints.byName {
		if e.entry.Health == healthRemoved || (kind != policy.ListDelta && !names[name]) {
			l.endpoints.remove(e)
			l.transport.Pool().RemoveServer(e.server)
		}
	}
	l.endpoints.zones.removeUnused(l.endpoints.byName)
	if len(l.endpoints.byName) > 0 || kind != policy.ListCached {
		l.endpointsKnown.Store(true)
	}
}

// applyEntries applies the entries of a list message. It returns the endpoints for the balancer, and the
// set of their names. An invalid entry leaves its endpoint unchanged.
func (l *eventLoop) applyEntries(kind policy.ListKind, entries []client.Endpoint) (listed []policy.Endpoint, names map[string]bool) {
	listed = make([]policy.Endpoint, 0, len(entries))
	names = make(map[string]bool, len(entries))
	for _, entry := range entries {
		if names[entry.Host] && kind != policy.ListDelta {
			slog.Warn("discovery: endpoint listed twice", "host", entry.Host)
		}
		p, ok := l.applyEntry(entry)
		if !ok && entry.Health != healthRemoved {
			slog.Warn("discovery: endpoint ignored", "host", entry.Host, "dial", entry.Dial, "health", entry.Health, "malformed", entry.Malformed)
			if e := l.endpoints.byName[entry.Host]; e != nil {
				p, ok = l.applyEntry(e.entry)
			}
		}
		if ok {
			names[entry.Host] = true
			listed = append(listed, p)
		}
	}
	return listed, names
}

// applyEntry applies one entry of the list, and reports whether the entry is valid.
func (l *eventLoop) applyEntry(entry client.Endpoint) (policy.Endpoint, bool) {
	if entry.Host == "" || entry.Malformed {
		return policy.Endpoint{}, false
	}
	e := l.endpoints.byName[entry.Host]
	if _, err := netip.ParseAddrPort(entry.Dial); err != nil {
		if e == nil || entry.Health == healthUp {
			return policy.Endpoint{}, false
		}
		entry.Dial = e.entry.Dial // the endpoint gets no new requests: its address does not matter
	}
	if e == nil {
		e = l.endpoints.add(entry)
	} else if e.entry.Dial != entry.Dial || e.entry.BornMS != entry.BornMS { // the server was replaced: its connections are no longer usable
		l.transport.Pool().RemoveServer(e.server)
		e.server, e.drainingSince = upstream.NewServer(entry.Dial), 0
	}
	// A start time ahead of this host's clock would prolong the slow start: the current time is used
	// instead, and kept as long as the entry has the same start time.
	if e.entry.BornMS != entry.BornMS || e.startedAt == 0 {
		e.startedAt = policy.StartedAt(settings.DurationFromMillis(entry.BornMS), l.clock.now, l.clock.wallStep())
	}
	e.entry = entry
	return e.forBalancer(l.endpoints.zones.number(entry.Site)), true
}

// forBalancer converts the endpoint to the balancer's type.
func (e *endpoint) forBalancer(zone int) policy.Endpoint {
	p := policy.Endpoint{ID: e.id, Zone: zone, Weight: e.entry.Share, Started: e.startedAt, State: policy.Draining}
	p.Cell = -int(e.id) // a cell of its own: a server without a listed cell shares cached keys with no other
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

// updateDrain starts or cancels an endpoint's drain according to the list. A draining endpoint gets no new
// attempts, its attempts in flight finish, and its idle connections are closed. After a cancelled drain
// it gets attempts again.
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

// logDrained logs that a draining endpoint has no attempt of this sidecar left.
func (l *eventLoop) logDrained(e *endpoint) {
	if e.drainingSince != 0 && e.inFlight == 0 {
		slog.Info("upstream: drained", "host", e.entry.Host, "after", l.clock.now-e.drainingSince)
	}
}

// deliverProbes passes an endpoint's probe results to the balancer in the order in which the probes were
// requested, by which the balancer matches them. Probes may complete in another order.
func (l *eventLoop) deliverProbes(e *endpoint) {
	for len(e.probes) > 0 && e.probes[0].done {
		p := e.probes[0]
		e.probes = e.probes[1:]
		if p.answered || e.drainingSince == 0 { // a probe that was not sent because of a drain says nothing about the server
			l.balancer.Probed(l.clock.now, e.id, p.answered, p.load)
		}
	}
}
