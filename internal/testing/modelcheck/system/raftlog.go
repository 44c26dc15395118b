package system

import (
	"barleywick/internal/registry"
	"encoding/json"
)

// logEntry is one of the group's log.
type logEntry struct {
	data []byte
	term uint64
}

// uncommittedEntry is a command that a leader took and no majority has: a later leader may have it
// committed all the same, if it is one that has it.
type uncommittedEntry struct {
	logEntry
	replicaID int
}

// replicate gives a replica what it has not got of the log.
func (g *raftModel) replicate(r *replica) {
	if r.diskFull {
		return
	}
	r.persisted = len(g.log)
	if len(g.log)-r.applied > 0 {
		g.w.after(g.w.jitter(messageLatency), r.whileAlive(func() { g.catchUp(r) }))
	}
}

// catchUp applies what a replica has, and keeps a snapshot now and then.
func (g *raftModel) catchUp(r *replica) {
	for r.applied < r.persisted {
		g.apply(r)
	}
	if r.applied-r.snapshotIndex > snapshotInterval && !r.diskFull {
		text, err := json.Marshal(r.state)
		if err != nil {
			g.w.violated("r%d: its state cannot be written: %v", r.id, err)
			return
		}
		r.snapshot, r.snapshotIndex = text, r.applied
		g.w.recordStep("snapshot")
	}
}

// apply applies the next entry: of bytes, as all replicas read the same.
func (g *raftModel) apply(r *replica) registry.Result {
	e := g.log[r.applied]
	r.applied++
	var c registry.Command
	if err := json.Unmarshal(e.data, &c); err != nil {
		g.w.violated("entry %d cannot be read: %v", r.applied, err)
		return registry.Result{Err: err}
	}
	if c.Term != 0 && c.Term != e.term {
		return registry.Result{Err: registry.ErrConflict}
	}
	return r.state.Apply(c)
}

// commit has a command carried out by the leader, if a majority takes it; else it is in limbo.
func (g *raftModel) commit(r *replica, c registry.Command) (res registry.Result, ok bool) {
	c.AtMS = startTime.Add(r.now).UnixMilli()
	text, err := json.Marshal(c)
	if err != nil {
		g.w.violated("a command cannot be written: %v", err)
		return res, false
	}
	if r.diskFull {
		return res, false
	}
	if !g.hasMajority(r, true) {
		some := []int{r.id}
		for _, b := range g.replicas {
			if b != r && g.reaches(r, b) && !b.diskFull {
				some = append(some, b.id)
			}
		}
		for _, at := range some {
			g.uncommitted = append(g.uncommitted, uncommittedEntry{logEntry{text, g.term}, at})
		}
		return res, false
	}
	if len(g.uncommitted) > 0 { // its own, from before it had its majority back: they come first
		for _, l := range g.uncommitted {
			if l.replicaID == r.id {
				g.log = append(g.log, l.logEntry)
			}
		}
		g.uncommitted = nil
	}
	g.log = append(g.log, logEntry{text, g.term})
	for _, b := range g.replicas {
		if g.reaches(r, b) && !b.diskFull {
			g.replicate(b)
		}
	}
	r.persisted = len(g.log)
	for r.applied < len(g.log) {
		res = g.apply(r)
	}
	g.w.checker.checkWrite(g.w, r.state, c.Fence, res.Err)
	g.w.looked()
	return res, true
}

// write is a write that came to a replica.
func (g *raftModel) write(r *replica, c registry.Command, reply func(registry.Result, error)) {
	if !g.isLeader(r) {
		if g.w.now <= g.staleUntil[r.id] {
			return // it believes that it leads, and nobody takes what it has
		}
		reply(registry.Result{}, errNotLeader)
		return
	}
	if res, ok := g.commit(r, c); ok {
		g.w.after(g.w.jitter(commitLatency), r.whileAlive(func() { reply(res, res.Err) }))
	}
}

// verifyLeadership calls back once a replica has made verifyLeadership, from now on, that it leads.
func (g *raftModel) verifyLeadership(r *replica, then func(), reply func(error)) {
	if !g.isLeader(r) {
		if g.w.now > g.staleUntil[r.id] {
			reply(errNotLeader)
		}
		return
	}
	term := g.term
	g.w.after(g.w.jitter(2*messageLatency), r.whileAlive(func() {
		if g.isLeader(r) && g.term == term && g.hasMajority(r, false) {
			then()
		}
	}))
}

// renewClaims is a sign of life that came to a replica.
func (g *raftModel) renewClaims(r *replica, of registry.Holder, claims []registry.ClaimRef, reply func([]registry.ClaimStatus, error)) {
	if !g.isLeader(r) {
		g.verifyLeadership(r, nil, func(err error) { reply(nil, err) })
		return
	}
	at := g.leaderTime()
	g.verifyLeadership(r, func() { reply(g.claims.RenewClaims(r.state.Leases(), of, claims, at), nil) }, func(err error) { reply(nil, err) })
}
