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
func (m *raftModel) replicate(r *replica) {
	if r.diskFull {
		return
	}
	r.persisted = len(m.log)
	if len(m.log)-r.applied > 0 {
		m.w.after(m.w.jitter(messageLatency), r.whileAlive(func() { m.catchUp(r) }))
	}
}

// catchUp applies what a replica has, and keeps a snapshot now and then.
func (m *raftModel) catchUp(r *replica) {
	for r.applied < r.persisted {
		m.apply(r)
	}
	if r.applied-r.snapshotIndex > snapshotInterval && !r.diskFull {
		text, err := json.Marshal(r.state)
		if err != nil {
			m.w.violated("r%d: its state cannot be written: %v", r.id, err)
			return
		}
		r.snapshot, r.snapshotIndex = text, r.applied
		m.w.recordStep("snapshot")
	}
}

// apply applies the next entry: of bytes, as all replicas read the same.
func (m *raftModel) apply(r *replica) registry.Result {
	e := m.log[r.applied]
	r.applied++
	var c registry.Command
	if err := json.Unmarshal(e.data, &c); err != nil {
		m.w.violated("entry %d cannot be read: %v", r.applied, err)
		return registry.Result{Err: err}
	}
	if c.Term != 0 && c.Term != e.term {
		return registry.Result{Err: registry.ErrConflict}
	}
	return r.state.Apply(c)
}

// commit has a command carried out by the leader, if a majority takes it; else it is in limbo.
func (m *raftModel) commit(r *replica, c registry.Command) (res registry.Result, ok bool) {
	c.AtMS = startTime.Add(r.now).UnixMilli()
	text, err := json.Marshal(c)
	if err != nil {
		m.w.violated("a command cannot be written: %v", err)
		return res, false
	}
	if r.diskFull {
		return res, false
	}
	if !m.hasMajority(r, true) {
		some := []int{r.id}
		for _, b := range m.replicas {
			if b != r && m.reaches(r, b) && !b.diskFull {
				some = append(some, b.id)
			}
		}
		for _, at := range some {
			m.uncommitted = append(m.uncommitted, uncommittedEntry{logEntry{text, m.term}, at})
		}
		return res, false
	}
	if len(m.uncommitted) > 0 { // its own, from before it had its majority back: they come first
		for _, l := range m.uncommitted {
			if l.replicaID == r.id {
				m.log = append(m.log, l.logEntry)
			}
		}
		m.uncommitted = nil
	}
	m.log = append(m.log, logEntry{text, m.term})
	for _, b := range m.replicas {
		if m.reaches(r, b) && !b.diskFull {
			m.replicate(b)
		}
	}
	r.persisted = len(m.log)
	for r.applied < len(m.log) {
		res = m.apply(r)
	}
	m.w.checker.checkWrite(m.w, r.state, c.Fence, res.Err)
	m.w.looked()
	return res, true
}

// write is a write that came to a replica.
func (m *raftModel) write(r *replica, c registry.Command, reply func(registry.Result, error)) {
	if !m.isLeader(r) {
		if m.w.now <= m.staleUntil[r.id] {
			return // it believes that it leads, and nobody takes what it has
		}
		reply(registry.Result{}, errNotLeader)
		return
	}
	if res, ok := m.commit(r, c); ok {
		m.w.after(m.w.jitter(commitLatency), r.whileAlive(func() { reply(res, res.Err) }))
	}
}

// verifyLeadership calls back once a replica has made verifyLeadership, from now on, that it leads.
func (m *raftModel) verifyLeadership(r *replica, then func(), reply func(error)) {
	if !m.isLeader(r) {
		if m.w.now > m.staleUntil[r.id] {
			reply(errNotLeader)
		}
		return
	}
	term := m.term
	m.w.after(m.w.jitter(2*messageLatency), r.whileAlive(func() {
		if m.isLeader(r) && m.term == term && m.hasMajority(r, false) {
			then()
		}
	}))
}

// renewClaims is a sign of life that came to a replica.
func (m *raftModel) renewClaims(r *replica, of registry.Holder, claims []registry.ClaimRef, reply func([]registry.ClaimStatus, error)) {
	if !m.isLeader(r) {
		m.verifyLeadership(r, nil, func(err error) { reply(nil, err) })
		return
	}
	at := m.leaderTime()
	m.verifyLeadership(r, func() { reply(m.claims.RenewClaims(r.state.Leases(), of, claims, at), nil) }, func(err error) { reply(nil, err) })
}
