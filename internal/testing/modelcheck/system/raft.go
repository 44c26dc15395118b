package system

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"barleywick/internal/registry"
)

// replica is a replica of the registry: the production state machine over the part of the log that it has.
type replica struct {
	process
	id            int
	state         *registry.State
	applied       int // number of log entries applied to its state
	persisted     int // number of log entries on its disk
	snapshot      []byte
	snapshotIndex int
	diskFull      bool // writes to its disk fail
}

// raftModel models the properties of Raft that the registry relies on: there is one leader per term;
// an entry that a majority has persisted is never lost; an entry without a majority may be committed
// later or never; and a leader that was partitioned or paused still believes for a while that it leads.
type raftModel struct {
	w            *world
	replicas     []*replica
	log          []logEntry
	uncommitted  []uncommittedEntry
	term         uint64
	leader       int // -1: none
	ready        bool
	quorumLostAt time.Duration // time at which the leader lost its quorum; 0: it has one
	claims       *registry.ClaimTracker
	staleUntil   map[int]time.Duration // by replica ID: until when a former leader still believes that it leads
}

const (
	electionTimeout   = 300 * time.Millisecond
	staleLeaderPeriod = 300 * time.Millisecond
	raftTick          = 100 * time.Millisecond
	commitLatency     = 2 * time.Millisecond
	leaseTTL          = 2 * time.Second
	snapshotInterval  = 60 // approximate number of entries between two snapshots
)

var (
	errNotLeader    = errors.New("replica is not the leader")
	errUnresponsive = errors.New("no response before the timeout")
)

func newRaftModel(w *world) *raftModel {
	m := &raftModel{w: w, leader: -1, staleUntil: make(map[int]time.Duration)}
	for i := range 3 {
		r := &replica{process: w.process(fmt.Sprint("r", i)), id: i, state: registry.NewState()}
		r.onStart = func() { m.restart(r) }
		m.replicas = append(m.replicas, r)
	}
	return m
}

// restart restores a replica's state from its own snapshot and log.
func (m *raftModel) restart(r *replica) {
	r.state, r.applied = registry.NewState(), 0
	if r.snapshot != nil {
		if err := json.Unmarshal(r.snapshot, r.state); err != nil {
			m.w.recordViolation("r%d: decode its own snapshot: %v", r.id, err)
			return
		}
		r.applied = r.snapshotIndex
	}
	m.catchUp(r)
	if r.incarnation > 1 {
		m.w.recordStep("replica restarts")
	}
}

// reaches reports whether two replicas can exchange messages.
func (m *raftModel) reaches(a, b *replica) bool {
	ok := func(r *replica) bool { return r.up && !r.paused && !r.outboundBlocked && !r.inboundBlocked }
	return ok(a) && (a == b || ok(b))
}

// countReachable returns the number of replicas that a replica reaches, itself included. With
// writable, only replicas whose disk is not full count.
func (m *raftModel) countReachable(a *replica, writable bool) (n int) {
	for _, b := range m.replicas {
		if m.reaches(a, b) && !(writable && b.diskFull) {
			n++
		}
	}
	return n
}

// hasMajority reports whether a replica reaches a quorum; with writable, a quorum of replicas whose disk is not full.
func (m *raftModel) hasMajority(a *replica, writable bool) bool {
	return a.up && !a.paused && m.countReachable(a, writable) > len(m.replicas)/2
}

// isLeader reports whether a replica is the current leader. A former one that still believes that it leads is not.
func (m *raftModel) isLeader(r *replica) bool { return m.leader == r.id && m.ready }

// tick runs the periodic work: replication, elections and the leader's own tasks.
func (m *raftModel) tick() {
	now := m.w.now
	for id, until := range m.staleUntil {
		if r := m.replicas[id]; now > until && !r.paused || id == m.leader || !r.up {
			delete(m.staleUntil, id)
		}
	}
	for _, r := range m.replicas {
		if r.up && !r.paused && m.leader >= 0 && m.reaches(m.replicas[m.leader], r) {
			m.replicate(r)
		}
	}
	switch {
	case m.leader >= 0 && m.hasMajority(m.replicas[m.leader], true):
		m.quorumLostAt = 0
		m.leaderTick()
	case m.quorumLostAt == 0:
		m.quorumLostAt = now
	case now-m.quorumLostAt > electionTimeout:
		m.elect()
	}
	m.w.after(raftTick, m.tick)
}

// elect draws the new leader from the replicas that have every committed entry and reach a quorum. The
// previous leader is elected only if no other replica qualifies.
func (m *raftModel) elect() {
	var candidates []*replica
	for _, r := range m.replicas {
		if r.id != m.leader && !r.diskFull && r.persisted == len(m.log) && m.hasMajority(r, true) {
			candidates = append(candidates, r)
		}
	}
	if old := m.leader; old >= 0 {
		if m.replicas[old].up {
			m.staleUntil[old] = m.w.now + staleLeaderPeriod
		}
		if r := m.replicas[old]; len(candidates) == 0 && !r.diskFull && r.persisted == len(m.log) && m.hasMajority(r, true) {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return
	}
	r := candidates[m.w.rng.IntN(len(candidates))]
	m.term++
	m.leader, m.quorumLostAt = r.id, 0
	// Uncommitted entries of the previous leader are committed now if the new one has them, otherwise never.
	m.commitOwnEntries(r)
	r.persisted = len(m.log)
	m.catchUp(r)
	m.claims = registry.NewClaimTracker(leaseTTL)
	m.claims.Sync(r.state.Leases(), m.leaderTime())
	m.ready = true
	m.w.recordStep("leader elected")
}

// leaderTime returns the time on the leader's clock, by which leases expire.
func (m *raftModel) leaderTime() time.Time { return startTime.Add(m.replicas[m.leader].monotonic()) }

// leaderTick opens grants and expires claims, which are the leader's tasks.
func (m *raftModel) leaderTick() {
	r := m.replicas[m.leader]
	m.catchUp(r)
	m.claims.Sync(r.state.Leases(), m.leaderTime())
	ended, open := m.claims.TakeExpired(m.leaderTime())
	if open {
		m.commit(r, registry.Command{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand), Term: m.term})
	}
	if len(ended) > 0 {
		m.w.recordStep("lease ended")
		m.commit(r, registry.Command{Op: registry.OpExpireClaims, Lease: &registry.LeaseCommand{Expired: ended}, Term: m.term})
	}
}

// handleUnpause is called when a process is unpaused. A former leader then still believes for a
// while that it leads.
func (m *raftModel) handleUnpause(p *process) {
	for _, r := range m.replicas {
		if &r.process == p && r.id != m.leader && m.staleUntil[r.id] != 0 {
			m.staleUntil[r.id] = m.w.now + staleLeaderPeriod
		}
	}
}
