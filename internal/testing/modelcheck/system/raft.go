package system

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"barleywick/internal/registry"
)

// replica is one of the registry's: a real state machine over a log of which it has a part.
type replica struct {
	process
	id            int
	state         *registry.State
	applied       int // how much of the log it has applied
	persisted     int // how much of it is on its disk
	snapshot      []byte
	snapshotIndex int
	diskFull      bool // its disk takes nothing more
}

// raftModel is Raft, as far as what rests on it can tell: one leader a term, entries that a
// majority has on disk stay, what no majority has may come to be or not, and a leader that
// was cut off or stopped believes for a while.
type raftModel struct {
	w            *world
	replicas     []*replica
	log          []logEntry
	uncommitted  []uncommittedEntry
	term         uint64
	leader       int // -1: none
	ready        bool
	quorumLostAt time.Duration // when the leader lost its majority; 0: it has one
	claims       *registry.ClaimTracker
	staleUntil   map[int]time.Duration // until when a replica believes that it leads still
}

const (
	electionTimeout   = 300 * time.Millisecond
	staleLeaderPeriod = 300 * time.Millisecond
	raftTick          = 100 * time.Millisecond
	commitLatency     = 2 * time.Millisecond
	leaseTTL          = 2 * time.Second
	snapshotInterval  = 60 // entries, about
)

var (
	errNotLeader    = errors.New("not the leader")
	errUnresponsive = errors.New("no answer")
)

func newRaftModel(w *world) *raftModel {
	g := &raftModel{w: w, leader: -1, staleUntil: make(map[int]time.Duration)}
	for i := range 3 {
		r := &replica{process: w.process(fmt.Sprint("r", i)), id: i, state: registry.NewState()}
		r.onStart = func() { g.restart(r) }
		g.replicas = append(g.replicas, r)
	}
	return g
}

// restart is a start on the replica's own folder.
func (g *raftModel) restart(r *replica) {
	r.state, r.applied = registry.NewState(), 0
	if r.snapshot != nil {
		if err := json.Unmarshal(r.snapshot, r.state); err != nil {
			g.w.violated("r%d: its own snapshot cannot be read: %v", r.id, err)
			return
		}
		r.applied = r.snapshotIndex
	}
	g.catchUp(r)
	if r.incarnation > 1 {
		g.w.recordStep("replica restarts")
	}
}

// reaches says whether two replicas hear each other.
func (g *raftModel) reaches(a, b *replica) bool {
	ok := func(r *replica) bool { return r.up && !r.paused && !r.outboundBlocked && !r.inboundBlocked }
	return ok(a) && (a == b || ok(b))
}

// countReachable is how many replicas hear one; writing: and can write.
func (g *raftModel) countReachable(a *replica, writing bool) (n int) {
	for _, b := range g.replicas {
		if g.reaches(a, b) && !(writing && b.diskFull) {
			n++
		}
	}
	return n
}

func (g *raftModel) hasMajority(a *replica, writing bool) bool {
	return a.up && !a.paused && g.countReachable(a, writing) > len(g.replicas)/2
}

// isLeader says whether a replica is the leader, whatever else believes so.
func (g *raftModel) isLeader(r *replica) bool { return g.leader == r.id && g.ready }

// tick is the group's own time: elections, and what a leader has to do.
func (g *raftModel) tick() {
	now := g.w.now
	for id, until := range g.staleUntil {
		if r := g.replicas[id]; now > until && !r.paused || id == g.leader || !r.up {
			delete(g.staleUntil, id)
		}
	}
	for _, r := range g.replicas {
		if r.up && !r.paused && g.leader >= 0 && g.reaches(g.replicas[g.leader], r) {
			g.replicate(r)
		}
	}
	switch {
	case g.leader >= 0 && g.hasMajority(g.replicas[g.leader], true):
		g.quorumLostAt = 0
		g.leaderTick()
	case g.quorumLostAt == 0:
		g.quorumLostAt = now
	case now-g.quorumLostAt > electionTimeout:
		g.elect()
	}
	g.w.after(raftTick, g.tick)
}

// elect makes one of those the leader that have all that a majority has.
func (g *raftModel) elect() {
	var able []*replica
	for _, r := range g.replicas {
		if r.id != g.leader && !r.diskFull && r.persisted == len(g.log) && g.hasMajority(r, true) {
			able = append(able, r)
		}
	}
	if old := g.leader; old >= 0 {
		if g.replicas[old].up {
			g.staleUntil[old] = g.w.now + staleLeaderPeriod
		}
		if r := g.replicas[old]; len(able) == 0 && !r.diskFull && r.persisted == len(g.log) && g.hasMajority(r, true) {
			able = append(able, r)
		}
	}
	if len(able) == 0 {
		return
	}
	r := able[g.w.rng.IntN(len(able))]
	g.term++
	g.leader, g.quorumLostAt = r.id, 0
	// What the last leader took and this one has comes to be now; the rest never does.
	for _, l := range g.uncommitted {
		if l.replicaID == r.id {
			g.log = append(g.log, l.logEntry)
		}
	}
	g.uncommitted = nil
	r.persisted = len(g.log)
	g.catchUp(r)
	g.claims = registry.NewClaimTracker(leaseTTL)
	g.claims.Sync(r.state.Leases(), g.leaderTime())
	g.ready = true
	g.w.recordStep("leader elected")
}

// leaderTime is what the leader's clock says: leases are counted on it.
func (g *raftModel) leaderTime() time.Time { return startTime.Add(g.replicas[g.leader].monotonic()) }

// leaderTick does what a leader does by itself.
func (g *raftModel) leaderTick() {
	r := g.replicas[g.leader]
	g.catchUp(r)
	g.claims.Sync(r.state.Leases(), g.leaderTime())
	ended, open := g.claims.TakeExpired(g.leaderTime())
	if open {
		g.commit(r, registry.Command{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand), Term: g.term})
	}
	if len(ended) > 0 {
		g.w.recordStep("lease ended")
		g.commit(r, registry.Command{Op: registry.OpExpireClaims, Lease: &registry.LeaseCommand{Expired: ended}, Term: g.term})
	}
}

// resumed notes that a replica that was stopped goes on: it may believe that it leads still.
func (g *raftModel) resumed(p *process) {
	for _, r := range g.replicas {
		if &r.process == p && r.id != g.leader && g.staleUntil[r.id] != 0 {
			g.staleUntil[r.id] = g.w.now + staleLeaderPeriod
		}
	}
}
