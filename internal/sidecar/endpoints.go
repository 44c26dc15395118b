package sidecar

import (
	"cmp"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
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
	claimOrder          uint64          // see addressClaim
	superseded          bool            // another endpoint's process is at its address
}

func (e *endpoint) claim() addressClaim {
	return addressClaim{bornMS: e.entry.BornMS, order: e.claimOrder}
}

// pendingProbe is a requested probe. Its result is held back until the results of earlier probes are in.
type pendingProbe struct {
	endpoint *endpoint
	server   *upstream.Server // the process that was asked
	done     bool
	answered bool
	load     policy.LoadReport
}

// endpointTable holds the endpoints of the endpoint list.
type endpointTable struct {
	byName    map[string]*endpoint
	byID      map[policy.ServerID]*endpoint
	lastID    policy.ServerID
	lastClaim uint64
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
	e := &endpoint{id: t.lastID, server: upstream.NewServer(entry.Dial), claimOrder: t.nextClaim()}
	t.byName[entry.Host], t.byID[e.id] = e, e
	return e
}

// nextClaim returns the order of a claim to an address that is made now.
func (t *endpointTable) nextClaim() uint64 {
	t.lastClaim++
	return t.lastClaim
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
	entered, names := l.applyEntries(kind, update.Endpoints)
	entered = append(entered, l.updateAddressOwners(kind, names)...)
	listed := make([]policy.Endpoint, 0, len(entered))
	for _, e := range entered {
		listed = append(listed, e.forBalancer(l.endpoints.zones.number(e.entry.Site)))
	}
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

// updateAddressOwners determines which endpoints are superseded by another one at their address, and returns those
// that this message has changed in this. Nothing is sent to an endpoint that is superseded: the process at its address
// is another server.
func (l *eventLoop) updateAddressOwners(kind policy.ListKind, names map[string]bool) (changed []*endpoint) {
	isListed := func(e *endpoint) bool {
		return e.entry.Health != healthRemoved && (kind == policy.ListDelta || names[e.entry.Host])
	}
	owners := addressOwners(l.endpoints.byName, isListed)
	for _, e := range l.endpoints.byName {
		superseded := isListed(e) && owners[e.entry.Dial] != e.claim()
		if superseded == e.superseded {
			continue
		}
		e.superseded = superseded
		l.transport.Pool().RemoveServer(e.server)
		if !superseded {
			l.replaceServer(e)
		}
		slog.Info("upstream: address taken over", "host", e.entry.Host, "dial", e.entry.Dial, "by_another", superseded)
		changed = append(changed, e)
	}
	slices.SortFunc(changed, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	return changed
}

// replaceServer gives an endpoint a server without connections, as another process is at its address.
func (l *eventLoop) replaceServer(e *endpoint) {
	l.transport.Pool().RemoveServer(e.server)
	e.server, e.drainingSince, e.consecutiveTimeouts = upstream.NewServer(e.entry.Dial), 0, 0
}

// applyEntries applies the entries of a list message. It returns their endpoints, and the set of their names. An
// invalid entry leaves its endpoint unchanged.
func (l *eventLoop) applyEntries(kind policy.ListKind, entries []client.Endpoint) (listed []*endpoint, names map[string]bool) {
	listed = make([]*endpoint, 0, len(entries))
	names = make(map[string]bool, len(entries))
	for _, entry := range entries {
		if names[entry.Host] && kind != policy.ListDelta {
			slog.Warn("discovery: endpoint listed twice", "host", entry.Host)
		}
		e, ok := l.applyEntry(entry)
		if !ok && entry.Health != healthRemoved {
			slog.Warn("discovery: endpoint ignored", "host", entry.Host, "dial", entry.Dial, "health", entry.Health, "malformed", entry.Malformed)
			if known := l.endpoints.byName[entry.Host]; known != nil {
				e, ok = l.applyEntry(known.entry)
			}
		}
		if ok {
			names[entry.Host] = true
			listed = append(listed, e)
		}
	}
	return listed, names
}

// applyEntry applies one entry of the list, and reports whether the entry is valid.
func (l *eventLoop) applyEntry(entry client.Endpoint) (*endpoint, bool) {
	if entry.Host == "" || entry.Malformed {
		return nil, false
	}
	e := l.endpoints.byName[entry.Host]
	if _, err := netip.ParseAddrPort(entry.Dial); err != nil {
		if e == nil || entry.Health == healthUp {
			return nil, false
		}
		entry.Dial = e.entry.Dial // the endpoint gets no new requests: its address does not matter
	}
	replaced := e != nil && (e.entry.Dial != entry.Dial || e.entry.BornMS != entry.BornMS)
	if e == nil {
		e = l.endpoints.add(entry)
	}
	// A start time ahead of this host's clock would prolong the slow start: the current time is used
	// instead, and kept as long as the entry has the same start time.
	if e.entry.BornMS != entry.BornMS || e.startedAt == 0 {
		e.startedAt = policy.StartedAt(settings.DurationFromMillis(entry.BornMS), l.clock.now, l.clock.wallStep())
	}
	e.entry = entry
	if replaced { // its connections are no longer usable
		l.replaceServer(e)
		e.claimOrder, e.superseded = l.endpoints.nextClaim(), false
	}
	return e, true
}

// forBalancer converts the endpoint to the balancer's type.
func (e *endpoint) forBalancer(zone int) policy.Endpoint {
	p := policy.Endpoint{ID: e.id, Zone: zone, Weight: e.entry.Share, Started: e.startedAt, State: policy.Draining}
	p.Cell = -int(e.id) // a cell of its own: a server without a listed cell shares cached keys with no other
	if e.entry.Block != nil {
		p.Cell = *e.entry.Block
	}
	switch {
	case e.entry.Health == healthRemoved:
		p.State = policy.Removed
	case e.entry.Health == healthUp && !e.superseded:
		p.State = policy.Ready
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
		if p.server != e.server {
			continue // it says nothing about the process that is there now
		}
		if p.answered || e.drainingSince == 0 { // a probe that was not sent because of a drain says nothing about the server
			l.balancer.Probed(l.clock.now, e.id, p.answered, p.load)
		}
	}
}
