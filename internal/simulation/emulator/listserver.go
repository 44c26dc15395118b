package emulator

import (
	"cmp"
	"math"
	"time"

	"barleywick/policy"
)

// listServer models the discovery service. It receives changes with a delay, sends them to watches in
// batches, and answers polls in order. A poll that has waited too long fails, but still uses the service's
// time.
type listServer struct {
	sim            *Sim
	entries        []listEntry // by server
	log            []int       // server indexes, in the order of their changes
	down           bool
	extraDelay     time.Duration // added to the delay of changes by faults
	busyUntil      time.Duration // when the polls received so far are answered
	flushScheduled bool          // a batch of watch events is scheduled
	notifiedUpTo   int           // length of the part of log that was sent to watches
}

type listEntry struct {
	listed    bool
	entry     policy.Endpoint
	changeSeq int // number of the last scheduled change; earlier ones are skipped
}

func newListServer(s *Sim) *listServer { return &listServer{sim: s, busyUntil: s.now} }

// addInitial lists a server from the start of the run.
func (l *listServer) addInitial(sv *Server) {
	*l.entryOf(sv) = listEntry{listed: true, entry: l.entry(sv)}
}

// entryOf returns the entry of a server. The pointer is valid until the next server is added.
func (l *listServer) entryOf(sv *Server) *listEntry {
	for len(l.entries) <= sv.Index {
		l.entries = append(l.entries, listEntry{})
	}
	return &l.entries[sv.Index]
}

// entry returns a server's present state as an endpoint of the list.
func (l *listServer) entry(sv *Server) policy.Endpoint {
	e := policy.Endpoint{
		ID: policy.ServerID(sv.Index + 1), Zone: sv.Zone, Cell: sv.Cell.Number, State: policy.Ready, Weight: weight(sv), Started: sv.StartedAt,
	}
	switch {
	case !sv.Alive || sv.Unreachable:
		e.State = policy.Removed
	case sv.Draining:
		e.State = policy.Draining
	}
	return e
}

// unreachableDelayFactor multiplies the delay for a machine that became unreachable, which the service
// detects later than a process that ended.
const unreachableDelayFactor = 3

// changed schedules an update of a server's entry. The update takes the server's state at that later time.
func (l *listServer) changed(sv *Server) {
	spec, entry := l.sim.scenario.List, l.entryOf(sv)
	entry.changeSeq++
	n := entry.changeSeq
	delay := time.Duration(spec.RemovalDelay)
	switch {
	case sv.Unreachable:
		delay *= unreachableDelayFactor
	case sv.Alive && !sv.Draining:
		delay = time.Duration(spec.AdditionDelay)
	}
	l.sim.after(delay+l.extraDelay, func() {
		entry := l.entryOf(sv) // the earlier pointer is invalid if servers were added
		current := l.entry(sv)
		if entry.changeSeq != n && entry.listed {
			return // a later scheduled change updates the entry
		}
		if entry.listed && entry.entry == current || !entry.listed && current.State == policy.Removed {
			return
		}
		*entry = listEntry{listed: true, entry: current, changeSeq: entry.changeSeq}
		if current.State != policy.Ready {
			for _, n := range l.sim.nodes {
				n.afterInEpoch(time.Duration(l.sim.scenario.Rules.PollDeadline), func() { n.checkNotified(sv.Index) })
			}
		}
		l.log = append(l.log, sv.Index)
		if !l.flushScheduled {
			l.flushScheduled = true
			l.sim.after(time.Duration(spec.Period), l.notifyWatches)
		}
	})
}

// notifyWatches sends the changes to all watches.
func (l *listServer) notifyWatches() {
	l.flushScheduled = false
	if l.down {
		return // sidecars poll the full list when the service is back
	}
	changes := l.changesSince(l.notifiedUpTo)
	l.notifiedUpTo = len(l.log)
	for _, n := range l.sim.nodes {
		if n.up && n.watching {
			n.afterInEpoch(l.sim.delay(n.zone, 0), func() {
				if n.watching {
					n.listReceived(policy.ListDelta, changes)
				}
			})
		}
	}
}

// changesSince returns the entries that changed after a position in the log, each server once.
func (l *listServer) changesSince(from int) (changes []policy.Endpoint) {
	seen := make(map[int]bool)
	for _, i := range l.log[from:] {
		if !seen[i] {
			seen[i] = true
			changes = append(changes, l.entries[i].entry)
		}
	}
	return changes
}

// fullList returns all endpoints that are not removed.
func (l *listServer) fullList() (all []policy.Endpoint) {
	for _, e := range l.entries {
		if e.listed && e.entry.State != policy.Removed {
			all = append(all, e.entry)
		}
	}
	return all
}

// watch answers a sidecar's poll and subscribes it to later changes.
func (l *listServer) watch(n *node) {
	s, spec := l.sim, l.sim.scenario.List
	s.record.ListCalls++
	s.record.impactAt(s.now).ListCalls++
	oneWay := s.delay(n.zone, 0)
	if l.down {
		n.afterInEpoch(2*oneWay, func() { l.pollFailed(n) })
		return
	}
	start := max(l.busyUntil, s.now+oneWay)
	cost := float64(spec.PerCall)
	if !n.watching {
		cost += float64(len(l.entries))
	}
	l.busyUntil = start + time.Duration(cost/spec.PerMS*float64(time.Millisecond))
	if start-s.now > time.Duration(spec.MaxWait) {
		n.afterInEpoch(time.Duration(spec.MaxWait), func() { l.pollFailed(n) })
		return
	}
	n.afterInEpoch(l.busyUntil-s.now, func() {
		if l.down {
			l.pollFailed(n)
			return
		}
		n.watching = true
		all := l.fullList()
		n.afterInEpoch(oneWay, func() { n.listReceived(policy.ListFull, all) })
	})
}

func (l *listServer) pollFailed(n *node) {
	l.sim.record.ListFailed++
	l.sim.record.impactAt(l.sim.now).ListFailed++
	n.watching, n.pollFailed = false, true
	n.decider.List(l.sim.now, policy.ListFailed, nil)
}

// takeDown stops the service and fails its watches.
func (l *listServer) takeDown() {
	l.down = true
	for _, n := range l.sim.nodes {
		if n.up && n.watching {
			n.afterInEpoch(l.sim.delay(n.zone, 0), func() { l.pollFailed(n) })
		}
	}
}

// endWatch ends the watch of a sidecar that has ended.
func (l *listServer) endWatch(n *node) { n.watching = false }

// weight returns a machine's capacity as listed: rounded to one decimal, with the precision of the wire.
func weight(sv *Server) float64 {
	return float64(float32(cmp.Or(math.Round(sv.Kind.capacity()*10)/10, 1)))
}
