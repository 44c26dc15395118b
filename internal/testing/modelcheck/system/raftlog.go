package system

import (
	"encoding/json"

	"barleywick/internal/registry"
)

// logEntry is an entry of the Raft log: a command in its JSON form.
type logEntry struct {
	data []byte
	term uint64
}

// uncommittedEntry is an entry that a replica has but no majority has. It is committed if that
// replica becomes the leader.
type uncommittedEntry struct {
	logEntry
	replicaID int
}

// replicate sends a replica the log entries that it is missing.
func (m *raftModel) replicate(r *replica) {
	if r.diskFull {
		return
	}
	r.persisted = len(m.log)
	if len(m.log)-r.applied > 0 {
		m.w.after(m.w.jitter(messageLatency), r.whileAlive(func() { m.catchUp(r) }))
	}
}

// catchUp applies the entries that a replica has persisted, and takes a snapshot about every snapshotInterval entries.
func (m *raftModel) catchUp(r *replica) {
	for r.applied < r.persisted {
		m.apply(r)
	}
	if r.applied-r.snapshotIndex > snapshotInterval && !r.diskFull {
		text, err := json.Marshal(r.state)
		if err != nil {
			m.w.recordViolation("r%d: encode its state: %v", r.id, err)
			return
		}
		r.snapshot, r.snapshotIndex = text, r.applied
		m.w.recordStep("snapshot")
	}
}

// apply applies the next entry to a replica's state. Each replica decodes the entry itself.
func (m *raftModel) apply(r *replica) registry.Result {
	e := m.log[r.applied]
	r.applied++
	var c registry.Command
	if err := json.Unmarshal(e.data, &c); err != nil {
		m.w.recordViolation("decode log entry %d: %v", r.applied, err)
		return registry.Result{Err: err}
	}
	if c.Term != 0 && c.Term != e.term {
		return registry.Result{Err: registry.ErrConflict}
	}
	return r.state.Apply(c)
}

// commit appends a command to the log and applies it at the leader, if the leader has a quorum;
// otherwise the entry stays uncommitted at the replicas that received it.
func (m *raftModel) commit(r *replica, c registry.Command) (res registry.Result, ok bool) {
	c.AtMS = startTime.Add(r.now).UnixMilli()
	text, err := json.Marshal(c)
	if err != nil {
		m.w.recordViolation("encode a command: %v", err)
		return res, false
	}
	if r.diskFull {
		return res, false
	}
	if !m.hasMajority(r, true) {
		m.keepUncommitted(r, logEntry{text, m.term})
		return res, false
	}
	m.commitOwnEntries(r) // entries from before it regained its quorum precede the new one
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
	m.w.checker.checkCommitted(m.w)
	return res, true
}

// keepUncommitted stores an entry at a leader without a quorum and at the replicas that it reaches.
func (m *raftModel) keepUncommitted(leader *replica, e logEntry) {
	m.uncommitted = append(m.uncommitted, uncommittedEntry{e, leader.id})
	for _, r := range m.replicas {
		if r != leader && m.reaches(leader, r) && !r.diskFull {
			m.uncommitted = append(m.uncommitted, uncommittedEntry{e, r.id})
		}
	}
}

// commitOwnEntries commits the uncommitted entries that a leader has, and discards the others.
func (m *raftModel) commitOwnEntries(leader *replica) {
	for _, e := range m.uncommitted {
		if e.replicaID == leader.id {
			m.log = append(m.log, e.logEntry)
		}
	}
	m.uncommitted = nil
}

// write handles a command that a client sent to a replica. A leader without a quorum does not reply.
func (m *raftModel) write(r *replica, c registry.Command, reply func(registry.Result, error)) {
	if !m.isLeader(r) {
		if m.w.now <= m.staleUntil[r.id] {
			return // a stale leader: it still believes that it leads, and gets no quorum
		}
		reply(registry.Result{}, errNotLeader)
		return
	}
	if res, ok := m.commit(r, c); ok {
		m.w.after(m.w.jitter(commitLatency), r.whileAlive(func() { reply(res, res.Err) }))
	}
}

// verifyLeadership calls onVerified once a quorum has confirmed that the replica leads. A replica
// that does not lead replies with an error, unless it still believes that it does: then it does not reply.
func (m *raftModel) verifyLeadership(r *replica, onVerified func(), reply func(error)) {
	if !m.isLeader(r) {
		if m.w.now > m.staleUntil[r.id] {
			reply(errNotLeader)
		}
		return
	}
	term := m.term
	m.w.after(m.w.jitter(2*messageLatency), r.whileAlive(func() {
		if m.isLeader(r) && m.term == term && m.hasMajority(r, false) {
			onVerified()
		}
	}))
}

// renewClaims handles a renewal that a controller sent to a replica.
func (m *raftModel) renewClaims(r *replica, holder registry.Holder, claims []registry.ClaimRef, reply func([]registry.ClaimStatus, error)) {
	if !m.isLeader(r) {
		m.verifyLeadership(r, nil, func(err error) { reply(nil, err) })
		return
	}
	at := m.leaderTime()
	m.verifyLeadership(r, func() { reply(m.claims.RenewClaims(r.state.Leases(), holder, claims, at), nil) }, func(err error) { reply(nil, err) })
}
