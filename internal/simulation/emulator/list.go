package emulator

import (
	"time"

	"barleywick/policy"
)

// list is the service that tells sidecars of the servers. It learns of changes
// late, brings them to its watchers in batches, and answers calls in turn: one that
// has waited too long fails, though it has cost what it cost.
type list struct {
	sim     *Sim
	entries []listed // by server
	log     []int    // servers, in the order of their changes
	down    bool
	later   time.Duration // than usual
	free    time.Duration // when it is done with the calls it has
	flush   bool          // watches are brought what changed soon
	told    int           // the part of the log that watches have been brought
}

type listed struct {
	known bool
	entry policy.Endpoint
	n     int // of the news under way; older news are void
}

func newList(s *Sim) *list { return &list{sim: s, free: s.now} }

// know puts a server on the list, from the beginning.
func (l *list) know(sv *Server) {
	*l.of(sv) = listed{known: true, entry: l.entry(sv)}
}

// of is the list's place for a server; it holds until the next server comes.
func (l *list) of(sv *Server) *listed {
	for len(l.entries) <= sv.Index {
		l.entries = append(l.entries, listed{})
	}
	return &l.entries[sv.Index]
}

// entry is how the list sees a server now.
func (l *list) entry(sv *Server) policy.Endpoint {
	e := policy.Endpoint{
		ID: policy.ServerID(sv.Index + 1), Zone: sv.Zone, Cell: sv.Cell.Number, State: policy.Ready, Weight: weight(sv), Started: sv.Born,
	}
	switch {
	case !sv.Alive || sv.Silent:
		e.State = policy.Removed
	case sv.Draining:
		e.State = policy.Draining
	}
	return e
}

// silentNotice is how much longer the list takes to learn of a machine that says nothing.
const silentNotice = 3

// changed has the list learn of a server's state as it will be then.
func (l *list) changed(sv *Server) {
	spec, at := l.sim.sc.List, l.of(sv)
	at.n++
	n := at.n
	late := time.Duration(spec.Notice)
	switch {
	case sv.Silent:
		late *= silentNotice
	case sv.Alive && !sv.Draining:
		late = time.Duration(spec.Add)
	}
	l.sim.after(late+l.later, func() {
		at := l.of(sv) // servers may have come
		now := l.entry(sv)
		if at.n != n && at.known {
			return // later news bring it
		}
		if at.known && at.entry == now || !at.known && now.State == policy.Removed {
			return
		}
		*at = listed{known: true, entry: now, n: at.n}
		if now.State != policy.Ready {
			for _, n := range l.sim.nodes {
				n.mine(time.Duration(l.sim.sc.Rules.AskWithin), func() { n.unheard(sv.Index) })
			}
		}
		l.log = append(l.log, sv.Index)
		if !l.flush {
			l.flush = true
			l.sim.after(time.Duration(spec.Period), l.bring)
		}
	})
}

// bring tells all watches what changed.
func (l *list) bring() {
	l.flush = false
	if l.down {
		return // it is told when the watches come back
	}
	changes := l.since(l.told)
	l.told = len(l.log)
	for _, n := range l.sim.nodes {
		if n.up && n.watching {
			n.mine(l.sim.way(n.zone, 0), func() {
				if n.watching {
					n.told(policy.ListDelta, changes)
				}
			})
		}
	}
}

// since is what changed after a place in the log, each server once.
func (l *list) since(from int) (changes []policy.Endpoint) {
	seen := make(map[int]bool)
	for _, i := range l.log[from:] {
		if !seen[i] {
			seen[i] = true
			changes = append(changes, l.entries[i].entry)
		}
	}
	return changes
}

// all is the whole list.
func (l *list) all() (all []policy.Endpoint) {
	for _, e := range l.entries {
		if e.known && e.entry.State != policy.Removed {
			all = append(all, e.entry)
		}
	}
	return all
}

// watch is a sidecar's call for the list and all changes from then on.
func (l *list) watch(n *node) {
	s, spec := l.sim, l.sim.sc.List
	s.rec.ListCalls++
	s.rec.harm(s.now).ListCalls++
	way := s.way(n.zone, 0)
	if l.down {
		n.mine(2*way, func() { l.failed(n) })
		return
	}
	begin := max(l.free, s.now+way)
	lines := float64(spec.PerCall)
	if !n.watching {
		lines += float64(len(l.entries))
	}
	l.free = begin + time.Duration(lines/spec.PerMS*float64(time.Millisecond))
	if begin-s.now > time.Duration(spec.WaitMost) {
		n.mine(time.Duration(spec.WaitMost), func() { l.failed(n) })
		return
	}
	n.mine(l.free-s.now, func() {
		if l.down {
			l.failed(n)
			return
		}
		n.watching = true
		all := l.all()
		n.mine(way, func() { n.told(policy.ListFull, all) })
	})
}

func (l *list) failed(n *node) {
	l.sim.rec.ListFailed++
	l.sim.rec.harm(l.sim.now).ListFailed++
	n.watching, n.refused = false, true
	n.b.List(l.sim.now, policy.ListFailed, nil)
}

// fail takes the service down: its watches end.
func (l *list) fail() {
	l.down = true
	for _, n := range l.sim.nodes {
		if n.up && n.watching {
			n.mine(l.sim.way(n.zone, 0), func() { l.failed(n) })
		}
	}
}

// leave ends the watch of a sidecar that is gone.
func (l *list) leave(n *node) { n.watching = false }
