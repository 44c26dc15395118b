package system

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"barleywick/internal/registry"
)

// replica is a replica of the registry: the real state machine over the part of the log that it has.
type replica struct {
	process
	id            int
	state         *registry.State
	applied       int // how many entries of the log it has applied
	persisted     int // how many are on its disk
	snapshot      []byte
	snapshotIndex int
	diskFull      bool // its disk takes no more writes
}

// raftModel has the properties of Raft that the registry relies on: one leader a term; an entry
// that a majority has on disk stays; one that no majority has may be committed later or never;
// and a leader that was cut off or paused believes for a while that it still leads.
type raftModel struct {
	w            *world
	replicas     []*replica
	log          []logEntry
	uncommitted  []uncommittedEntry
	term         uint64
	leader       int // -1: none
	ready        bool
	quorumLostAt time.Duration // when the leader lost its quorum; 0: it has one
	claims       *registry.ClaimTracker
	staleUntil   map[int]time.Duration // until when a former leader believes that it still leads
}

const (
	electionTimeout   = 300 * time.Millisecond
	staleLeaderPeriod = 300 * time.Millisecond
	raftTick          = 100 * time.Millisecond
	commitLatency     = 2 * time.Millisecond
	leaseTTL          = 2 * time.Second
	snapshotInterval  = 60 // entries between two snapshots, about
)

var (
	errNotLeader    = errors.New("not the leader")
	errUnresponsive = errors.New("no answer")
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

// restart restores a replica from its own snapshot and log.
func (m *raftModel) restart(r *replica) {
	r.state, r.applied = registry.NewState(), 0
	if r.snapshot != nil {
		if err := json.Unmarshal(r.snapshot, r.state); err != nil {
			m.w.violated("r%d: its own snapshot cannot be read: %v", r.id, err)
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

// countReachable returns how many replicas one reaches, itself included; with writing, only
// those whose disk takes writes.
func (m *raftModel) countReachable(a *replica, writing bool) (n int) {
	for _, b := range m.replicas {
		if m.reaches(a, b) && !(writing && b.diskFull) {
			n++
		}
	}
	return n
}

// hasMajority reports whether a replica reaches a quorum.
func (m *raftModel) hasMajority(a *replica, writing bool) bool {
	return a.up && !a.paused && m.countReachable(a, writing) > len(m.replicas)/2
}

// isLeader reports whether a replica leads, whichever others believe that they do.
func (m *raftModel) isLeader(r *replica) bool { return m.leader == r.id && m.ready }

// tick runs the periodic work: replication, elections, and what a leader does by itself.
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

// elect makes a replica the leader that has every committed entry.
func (m *raftModel) elect() {
	var able []*replica
	for _, r := range m.replicas {
		if r.id != m.leader && !r.diskFull && r.persisted == len(m.log) && m.hasMajority(r, true) {
			able = append(able, r)
		}
	}
	if old := m.leader; old >= 0 {
		if m.replicas[old].up {
			m.staleUntil[old] = m.w.now + staleLeaderPeriod
		}
		if r := m.replicas[old]; len(able) == 0 && !r.diskFull && r.persisted == len(m.log) && m.hasMajority(r, true) {
			able = append(able, r)
		}
	}
	if len(able) == 0 {
		return
	}
	r := able[m.w.rng.IntN(len(able))]
	m.term++
	m.leader, m.quorumLostAt = r.id, 0
	// Entries of the last leader that the new one has are committed now; the others never are.
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

// leaderTick opens grants and expires claims, as a leader does.
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

// resumed is called when a paused process goes on. A former leader believes for a while from
// then on that it still leads.
func (m *raftModel) resumed(p *process) {
	for _, r := range m.replicas {
		if &r.process == p && r.id != m.leader && m.staleUntil[r.id] != 0 {
			m.staleUntil[r.id] = m.w.now + staleLeaderPeriod
		}
	}
}
