package emulator

import (
	"cmp"
	"math"
	"time"

	"barleywick/policy"
)

// listServer is the service that tells sidecars of the servers. It learns of changes
// late, brings them to its watchers in batches, and answers calls in turn: one that
// has waited too long fails, though it has cost what it cost.
type listServer struct {
	sim          *Sim
	entries      []listEntry // by server
	log          []int       // servers, in the order of their changes
	down         bool
	extraDelay   time.Duration // than usual
	busyUntil    time.Duration // when it is done with the calls it has
	flushPlanned bool          // watches are brought what changed soon
	notified     int           // the part of the log that watches have been brought
}

type listEntry struct {
	known  bool
	entry  policy.Endpoint
	change int // of the news under way; older news are void
}

func newListServer(s *Sim) *listServer { return &listServer{sim: s, busyUntil: s.now} }

// addKnown puts a server on the list, from the beginning.
func (l *listServer) addKnown(sv *Server) {
	*l.entryOf(sv) = listEntry{known: true, entry: l.entry(sv)}
}

// entryOf is the list's place for a server; it holds until the next server comes.
func (l *listServer) entryOf(sv *Server) *listEntry {
	for len(l.entries) <= sv.Index {
		l.entries = append(l.entries, listEntry{})
	}
	return &l.entries[sv.Index]
}

// entry is how the list sees a server now.
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

// unreachableDelayFactor is how much longer the list takes to learn of a machine that says nothing.
const unreachableDelayFactor = 3

// changed has the list learn of a server's state as it will be then.
func (l *listServer) changed(sv *Server) {
	spec, at := l.sim.scenario.List, l.entryOf(sv)
	at.change++
	n := at.change
	late := time.Duration(spec.RemovalDelay)
	switch {
	case sv.Unreachable:
		late *= unreachableDelayFactor
	case sv.Alive && !sv.Draining:
		late = time.Duration(spec.AdditionDelay)
	}
	l.sim.after(late+l.extraDelay, func() {
		at := l.entryOf(sv) // servers may have come
		now := l.entry(sv)
		if at.change != n && at.known {
			return // later news bring it
		}
		if at.known && at.entry == now || !at.known && now.State == policy.Removed {
			return
		}
		*at = listEntry{known: true, entry: now, change: at.change}
		if now.State != policy.Ready {
			for _, n := range l.sim.nodes {
				n.afterInEpoch(time.Duration(l.sim.scenario.Rules.PollDeadline), func() { n.checkNotified(sv.Index) })
			}
		}
		l.log = append(l.log, sv.Index)
		if !l.flushPlanned {
			l.flushPlanned = true
			l.sim.after(time.Duration(spec.Period), l.notifyWatches)
		}
	})
}

// notifyWatches tells all watches what changed.
func (l *listServer) notifyWatches() {
	l.flushPlanned = false
	if l.down {
		return // it is told when the watches come back
	}
	changes := l.since(l.notified)
	l.notified = len(l.log)
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

// since is what changed after a place in the log, each server once.
func (l *listServer) since(from int) (changes []policy.Endpoint) {
	seen := make(map[int]bool)
	for _, i := range l.log[from:] {
		if !seen[i] {
			seen[i] = true
			changes = append(changes, l.entries[i].entry)
		}
	}
	return changes
}

// fullList is the whole list.
func (l *listServer) fullList() (all []policy.Endpoint) {
	for _, e := range l.entries {
		if e.known && e.entry.State != policy.Removed {
			all = append(all, e.entry)
		}
	}
	return all
}

// watch is a sidecar's call for the list and all changes from then on.
func (l *listServer) watch(n *node) {
	s, spec := l.sim, l.sim.scenario.List
	s.record.ListCalls++
	s.record.impactAt(s.now).ListCalls++
	way := s.delay(n.zone, 0)
	if l.down {
		n.afterInEpoch(2*way, func() { l.callFailed(n) })
		return
	}
	begin := max(l.busyUntil, s.now+way)
	lines := float64(spec.PerCall)
	if !n.watching {
		lines += float64(len(l.entries))
	}
	l.busyUntil = begin + time.Duration(lines/spec.PerMS*float64(time.Millisecond))
	if begin-s.now > time.Duration(spec.MaxWait) {
		n.afterInEpoch(time.Duration(spec.MaxWait), func() { l.callFailed(n) })
		return
	}
	n.afterInEpoch(l.busyUntil-s.now, func() {
		if l.down {
			l.callFailed(n)
			return
		}
		n.watching = true
		all := l.fullList()
		n.afterInEpoch(way, func() { n.listReceived(policy.ListFull, all) })
	})
}

func (l *listServer) callFailed(n *node) {
	l.sim.record.ListFailed++
	l.sim.record.impactAt(l.sim.now).ListFailed++
	n.watching, n.pollFailed = false, true
	n.decider.List(l.sim.now, policy.ListFailed, nil)
}

// takeDown takes the service down: its watches end.
func (l *listServer) takeDown() {
	l.down = true
	for _, n := range l.sim.nodes {
		if n.up && n.watching {
			n.afterInEpoch(l.sim.delay(n.zone, 0), func() { l.callFailed(n) })
		}
	}
}

// endWatch ends the watch of a sidecar that is gone.
func (l *listServer) endWatch(n *node) { n.watching = false }

// weight is a machine's size as the list has it: roughly right, and as precise as the wire.
func weight(sv *Server) float64 {
	return float64(float32(cmp.Or(math.Round(sv.Kind.capacity()*10)/10, 1)))
}
