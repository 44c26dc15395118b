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

// pendingProbe is one pendingProbe that was asked for; its result waits for those before it.
type pendingProbe struct {
	endpoint *endpoint
	done     bool
	ok       bool
	load     policy.LoadReport
}

// endpoint is an upstream of the list.
type endpoint struct {
	id                policy.ServerID
	entry             client.Endpoint
	peer              *upstream.Server
	startedAt         time.Duration
	probes            []*pendingProbe // in the order the module asked for them
	inFlight          int             // attempts under way
	consecutiveSilent int             // that ended in silence, since one was answered
	drainingSince     time.Duration   // since when it drains; 0: it does not
}

// deliverProbes hands a host's probe results over in the order they were asked
// for, as the module matches them: a later one may be back first.
func (l *eventLoop) deliverProbes(h *endpoint) {
	for len(h.probes) > 0 && h.probes[0].done {
		p := h.probes[0]
		h.probes = h.probes[1:]
		if p.ok || h.drainingSince == 0 { // a probe that was not sent for the drain is no word against the host
			l.balancer.Probed(l.now, h.id, p.ok, p.load)
		}
	}
}

// applyListing takes news of the applyListing over and passes them to the module.
func (l *eventLoop) applyListing(kind policy.ListKind, news client.ListUpdate) {
	servers := make([]policy.Endpoint, 0, len(news.Endpoints))
	named := make(map[string]bool, len(news.Endpoints))
	for _, e := range news.Endpoints {
		if named[e.Host] && kind != policy.ListDelta {
			slog.Warn("discovery: host listed twice", "host", e.Host)
		}
		s, ok := l.enterEndpoint(e)
		if !ok && e.Health != "removed" {
			slog.Warn("discovery: entry passed over", "host", e.Host, "dial", e.Dial, "health", e.Health, "spoilt", e.Malformed)
			if h := l.endpoints[e.Host]; h != nil {
				s, ok = l.enterEndpoint(h.entry) // it stays as it was known
			}
		}
		if ok {
			named[e.Host] = true
			servers = append(servers, s)
		}
	}
	l.balancer.List(l.now, kind, servers)
	for _, h := range l.endpoints {
		l.updateDrain(h)
	}
	for name, h := range l.endpoints {
		if h.entry.Health == "removed" || (kind != policy.ListDelta && !named[name]) {
			delete(l.endpoints, name)
			delete(l.endpointsByID, h.id)
			l.transport.Pool().Retire(h.peer)
		}
	}
	l.forgetUnusedZones()
	if len(l.endpoints) > 0 || kind != policy.ListCached {
		l.ready.Store(true)
	}
}

// updateDrain puts into force what the list says of a host's updateDrain: nothing new goes
// there, what runs ends, and idle connections are closed; or all that is taken back.
func (l *eventLoop) updateDrain(h *endpoint) {
	drains := h.entry.Health != "up"
	switch {
	case drains && h.drainingSince == 0:
		h.drainingSince = l.now
		l.transport.Pool().Drain(h.peer)
		slog.Info("upstream drains", "host", h.entry.Host, "running", h.inFlight)
		l.logDrained(h)
	case !drains && h.drainingSince != 0:
		h.drainingSince = 0
		l.transport.Pool().Resume(h.peer)
		slog.Info("upstream's drain is called off", "host", h.entry.Host)
	}
}

// logDrained says when a host that drains has nothing of ours any more.
func (l *eventLoop) logDrained(h *endpoint) {
	if h.drainingSince != 0 && h.inFlight == 0 {
		slog.Info("upstream drained", "host", h.entry.Host, "after", l.now-h.drainingSince)
	}
}

// forgetUnusedZones lets go of the sites that the settings do not name and no host is at any more.
func (l *eventLoop) forgetUnusedZones() {
	if len(l.zoneNumbers) <= len(l.config.Zones)+len(l.endpoints) {
		return
	}
	used := make(map[string]bool, len(l.endpoints))
	for _, h := range l.endpoints {
		used[h.entry.Site] = true
	}
	maps.DeleteFunc(l.zoneNumbers, func(name string, number int) bool {
		return number >= len(l.config.Zones) && !used[name]
	})
}

// enterEndpoint takes one entry of the list over. A word for its health that is not
// known means nothing new, as draining does.
func (l *eventLoop) enterEndpoint(e client.Endpoint) (policy.Endpoint, bool) {
	if e.Host == "" || e.Malformed {
		return policy.Endpoint{}, false
	}
	h := l.endpoints[e.Host]
	if _, err := netip.ParseAddrPort(e.Dial); err != nil {
		if h == nil || e.Health == "up" {
			return policy.Endpoint{}, false
		}
		e.Dial = h.entry.Dial // it is to get nothing new: its address does not matter
	}
	if h == nil {
		l.lastEndpointID++
		h = &endpoint{id: l.lastEndpointID, peer: upstream.NewServer(e.Dial)}
		l.endpoints[e.Host], l.endpointsByID[h.id] = h, h
	} else if h.entry.Dial != e.Dial || h.entry.BornMS != e.BornMS { // what was open to it leads nowhere now
		l.transport.Pool().Retire(h.peer)
		h.peer, h.drainingSince = upstream.NewServer(e.Dial), 0
	}
	// A start ahead of this machine's clock would keep an upstream cold for too
	// long; it is taken for now, and stays so while the entry names the same start.
	if h.entry.BornMS != e.BornMS || h.startedAt == 0 {
		h.startedAt = policy.StartedAt(settings.DurationFromMillis(e.BornMS), l.now, l.wallClockStep())
	}
	h.entry = e
	site, ok := l.zoneNumbers[e.Site]
	if !ok {
		site = l.nextZone
		l.nextZone++
		l.zoneNumbers[e.Site] = site
	}
	s := policy.Endpoint{ID: h.id, Zone: site, Weight: e.Share, Started: h.startedAt, State: policy.Draining}
	if s.Cell = -int(h.id); e.Block != nil { // without a cell it shares its keys with no other
		s.Cell = *e.Block
	}
	switch e.Health {
	case "up":
		s.State = policy.Ready
	case "removed":
		s.State = policy.Removed
	}
	return s, true
}
