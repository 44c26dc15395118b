package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"barleywick/internal/overload"
	"barleywick/policy"
)

// node is one sidecar. It implements policy.Host and executes the decisions of its Decider.
type node struct {
	sim     *Sim
	index   int
	zone    int
	up      bool
	epoch   int // incremented at each start and kill; events of earlier epochs are dropped
	decider Decider
	open    map[policy.RequestID]*request
	idle    map[int][]time.Duration // by server: the time since which each idle connection is idle

	endpoints    []policy.Endpoint // the endpoint list as last received
	shuttingDown bool              // graceful shutdown: no new requests are accepted, open ones are answered
	watching     bool
	polledAt     time.Duration // time of the last poll
	pollFailed   bool          // whether the last poll failed

	counts       []overload.TenantCounts // since the last digest, by tenant; nil: no digests are sent
	digests      uint64
	adviceFilter overload.AdviceFilter

	deciding   *request // the request that is being passed to the decision module
	shedBefore uint64   // the module's count of shed requests before the call
}

// start starts the sidecar with the endpoint list that it received last.
func (n *node) start() {
	s := n.sim
	n.epoch++
	n.open = make(map[policy.RequestID]*request)
	b, err := s.newDecider(DeciderOptions{s.scenario, n.index, s.scenario.Policy(n.zone), s.seed ^ uint64(n.index)<<32 ^ uint64(n.epoch)<<8, n})
	if err != nil {
		s.failure = fmt.Errorf("sidecar %d: %w", n.index, err)
		return
	}
	n.decider, n.up, n.shuttingDown, n.watching, n.polledAt = b, true, false, false, s.now
	if n.endpoints == nil {
		n.endpoints = s.list.fullList()
	}
	b.Start(s.now)
	b.List(s.now, policy.ListCached, n.endpoints)
	if s.advice != nil {
		s.advice.startReporting(n)
	}
}

// restart kills a sidecar and starts it again after the time down. Its open requests end without an answer, as
// its client is killed with it.
func (s *Sim) restart(n *node, down time.Duration) {
	if !n.up {
		return
	}
	n.up = false
	n.epoch++
	for _, id := range slices.Sorted(maps.Keys(n.open)) {
		r := n.open[id]
		if !r.closed {
			s.clients.sidecarEnded(r.call)
		}
		r.closed = true
		s.checker.ClientGone(id)
		for _, a := range r.attempts {
			if a.connected && !a.ended {
				a.server.OpenConnections = max(0, a.server.OpenConnections-1)
			}
			a.ended = true
		}
	}
	n.open = nil
	for i := range s.Servers {
		if idle := n.idle[i]; len(idle) > 0 {
			s.Servers[i].OpenConnections = max(0, s.Servers[i].OpenConnections-len(idle))
		}
	}
	clear(n.idle)
	s.checker.SidecarKilled(n.index)
	s.list.endWatch(n)
	s.record.Restarts++
	s.after(down, n.start)
}

// shutdownGrace is how long beyond the longest deadline a graceful shutdown may take to answer the open
// requests; shutdownCheckInterval is how often it checks whether all are answered.
const (
	shutdownGrace         = 700 * time.Millisecond
	shutdownCheckInterval = 20 * time.Millisecond
)

// shutDown shuts a sidecar down gracefully: it gets no new requests and ends when all open ones are
// answered, or after the grace period.
func (s *Sim) shutDown(n *node, down time.Duration) {
	if !n.up || n.shuttingDown {
		return
	}
	n.shuttingDown = true
	deadline := s.now + s.longestDeadline() + shutdownGrace
	var check func()
	check = func() {
		if len(n.open) > 0 && s.now < deadline {
			n.afterInEpoch(shutdownCheckInterval, check)
			return
		}
		s.restart(n, down)
	}
	check()
}

// afterInEpoch schedules an action that is dropped if the sidecar restarts before.
func (n *node) afterInEpoch(d time.Duration, action func()) {
	epoch := n.epoch
	n.sim.after(d, func() {
		if n.epoch == epoch {
			action()
		}
	})
}

// Wake schedules a call of the Decider's Wake.
func (n *node) Wake(d time.Duration) {
	n.afterInEpoch(max(d, time.Microsecond), func() { n.decider.Wake(n.sim.now) })
}

// probeTimeout bounds the wait for the response to a probe.
const probeTimeout = 500 * time.Millisecond

// Probe requests a load report from a server.
func (n *node) Probe(to policy.ServerID) {
	s, sv := n.sim, n.sim.Servers[int(to)-1]
	s.record.Probes++
	h := s.record.impactAt(s.now)
	h.Probes++
	if sv.queueHalfFull() {
		h.ProbesToFullQueues++
	}
	if sv.Unreachable || !s.reachable(n.zone, sv.Zone) {
		n.afterInEpoch(probeTimeout, func() { n.decider.Probed(s.now, to, false, policy.UnknownLoad) })
		return
	}
	oneWay := s.delay(n.zone, sv.Zone)
	n.afterInEpoch(oneWay, func() {
		if !sv.Alive || sv.Overloaded {
			n.afterInEpoch(oneWay, func() { n.decider.Probed(s.now, to, false, policy.UnknownLoad) })
			return
		}
		s.advanceServer(sv)
		r := sv.Probe(s.now)
		s.advanceServer(sv)
		n.afterInEpoch(oneWay, func() {
			n.decider.Probed(s.now, to, true, policy.LoadReport{InFlight: -1, Queued: r.Queue, Utilization: float64(float32(r.Busy)), ServedPerSecond: float64(float32(r.Rate))})
		})
	})
}

// WatchList polls the endpoint list and subscribes to its changes.
func (n *node) WatchList() {
	n.polledAt = n.sim.now
	n.afterInEpoch(0, func() { n.sim.list.watch(n) })
}

// FetchList polls the endpoint list. The emulated service answers every call with the full list and a subscription.
func (n *node) FetchList() { n.WatchList() }

// checkNotified checks whether a sidecar without a watch is past its poll deadline. From then on it counts
// as notified of a server's removal or drain, as it should have polled.
func (n *node) checkNotified(server int) {
	s, within := n.sim, time.Duration(n.sim.scenario.Rules.PollDeadline)
	if n.pollFailed {
		within *= failedPollFactor
	}
	switch e := s.list.entries[server]; {
	case n.watching || e.entry.State == policy.Ready:
	case s.now < n.polledAt+within:
		n.afterInEpoch(n.polledAt+within-s.now, func() { n.checkNotified(server) })
	default:
		s.checker.EndpointNotified(s.now, n.index, server, false, e.entry.Started)
	}
}

// failedPollFactor multiplies the poll deadline for a sidecar whose last poll failed.
const failedPollFactor = 4

// listReceived passes a full list or a watch event to the sidecar.
func (n *node) listReceived(kind policy.ListKind, entries []policy.Endpoint) {
	s := n.sim
	n.pollFailed = false
	if kind == policy.ListFull {
		listed := make(map[policy.ServerID]bool, len(entries))
		for _, e := range entries {
			listed[e.ID] = true
		}
		for _, e := range n.endpoints {
			if !listed[e.ID] {
				s.checker.EndpointNotified(s.now, n.index, int(e.ID)-1, false, e.Started)
			}
		}
		n.endpoints = entries
	} else {
		n.endpoints = mergeChanges(n.endpoints, entries)
	}
	for _, e := range entries {
		s.checker.EndpointNotified(s.now, n.index, int(e.ID)-1, e.State == policy.Ready, e.Started)
	}
	n.decider.List(s.now, kind, entries)
}

// mergeChanges returns a list with changes applied and removed endpoints dropped.
func mergeChanges(list, changes []policy.Endpoint) []policy.Endpoint {
	merged := append([]policy.Endpoint(nil), list...)
	for _, c := range changes {
		found := false
		for i := range merged {
			if merged[i].ID == c.ID {
				merged[i], found = c, true
			}
		}
		if !found {
			merged = append(merged, c)
		}
	}
	kept := merged[:0]
	for _, e := range merged {
		if e.State != policy.Removed {
			kept = append(kept, e)
		}
	}
	return kept
}
