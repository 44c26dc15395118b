package system

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"barleywick/internal/registry"
)

// entry is one of the group's log.
type entry struct {
	text []byte
	term uint64
}

// replica is one of the registry's: a real state machine over a log of which it has a part.
type replica struct {
	process
	id    int
	state *registry.State
	at    int // how much of the log it has applied
	have  int // how much of it is on its disk
	snap  []byte
	snapN int
	full  bool // its disk takes nothing more
}

// limbo is a command that a leader took and no majority has: a later leader may have it
// committed all the same, if it is one that has it.
type limbo struct {
	entry
	at int
}

// group is Raft, as far as what rests on it can tell: one leader a term, entries that a
// majority has on disk stay, what no majority has may come to be or not, and a leader that
// was cut off or stopped believes for a while.
type group struct {
	w        *world
	replicas []*replica
	log      []entry
	limbo    []limbo
	term     uint64
	leader   int // -1: none
	ready    bool
	lostAt   time.Duration // when the leader lost its majority; 0: it has one
	clock    *registry.ClaimTracker
	believes map[int]time.Duration // until when a replica believes that it leads still
}

const (
	electionAfter = 300 * time.Millisecond
	believesFor   = 300 * time.Millisecond
	groupTick     = 100 * time.Millisecond
	commitTakes   = 2 * time.Millisecond
	leaseTTL      = 2 * time.Second
	snapshotEvery = 60 // entries, about
)

var (
	errNotLeader = errors.New("not the leader")
	errSilent    = errors.New("no answer")
)

func newGroup(w *world) *group {
	g := &group{w: w, leader: -1, believes: make(map[int]time.Duration)}
	for i := range 3 {
		r := &replica{process: w.process(fmt.Sprint("r", i)), id: i, state: registry.NewState()}
		r.boot = func() { g.recover(r) }
		g.replicas = append(g.replicas, r)
	}
	return g
}

// recover is a start on the replica's own folder.
func (g *group) recover(r *replica) {
	r.state, r.at = registry.NewState(), 0
	if r.snap != nil {
		if err := json.Unmarshal(r.snap, r.state); err != nil {
			g.w.broken("r%d: its own snapshot cannot be read: %v", r.id, err)
			return
		}
		r.at = r.snapN
	}
	g.catchUp(r)
	if r.starts > 1 {
		g.w.step("replica restarts")
	}
}

// reaches says whether two replicas hear each other.
func (g *group) reaches(a, b *replica) bool {
	ok := func(r *replica) bool { return r.up && !r.stopped && !r.mute && !r.deaf }
	return ok(a) && (a == b || ok(b))
}

// with is how many replicas hear one; writing: and can write.
func (g *group) with(a *replica, writing bool) (n int) {
	for _, b := range g.replicas {
		if g.reaches(a, b) && !(writing && b.full) {
			n++
		}
	}
	return n
}

func (g *group) majority(a *replica, writing bool) bool {
	return a.up && !a.stopped && g.with(a, writing) > len(g.replicas)/2
}

// leads says whether a replica is the leader, whatever else believes so.
func (g *group) leads(r *replica) bool { return g.leader == r.id && g.ready }

// tick is the group's own time: elections, and what a leader has to do.
func (g *group) tick() {
	now := g.w.now
	for id, until := range g.believes {
		if r := g.replicas[id]; now > until && !r.stopped || id == g.leader || !r.up {
			delete(g.believes, id)
		}
	}
	for _, r := range g.replicas {
		if r.up && !r.stopped && g.leader >= 0 && g.reaches(g.replicas[g.leader], r) {
			g.replicate(r)
		}
	}
	switch {
	case g.leader >= 0 && g.majority(g.replicas[g.leader], true):
		g.lostAt = 0
		g.lead()
	case g.lostAt == 0:
		g.lostAt = now
	case now-g.lostAt > electionAfter:
		g.elect()
	}
	g.w.after(groupTick, g.tick)
}

// replicate gives a replica what it has not got of the log.
func (g *group) replicate(r *replica) {
	if r.full {
		return
	}
	r.have = len(g.log)
	if len(g.log)-r.at > 0 {
		g.w.after(g.w.spread(hop), r.alive(func() { g.catchUp(r) }))
	}
}

// catchUp applies what a replica has, and keeps a snapshot now and then.
func (g *group) catchUp(r *replica) {
	for r.at < r.have {
		g.apply(r)
	}
	if r.at-r.snapN > snapshotEvery && !r.full {
		text, err := json.Marshal(r.state)
		if err != nil {
			g.w.broken("r%d: its state cannot be written: %v", r.id, err)
			return
		}
		r.snap, r.snapN = text, r.at
		g.w.step("snapshot")
	}
}

// apply applies the next entry: of bytes, as all replicas read the same.
func (g *group) apply(r *replica) registry.Result {
	e := g.log[r.at]
	r.at++
	var c registry.Command
	if err := json.Unmarshal(e.text, &c); err != nil {
		g.w.broken("entry %d cannot be read: %v", r.at, err)
		return registry.Result{Err: err}
	}
	if c.Term != 0 && c.Term != e.term {
		return registry.Result{Err: registry.ErrConflict}
	}
	return r.state.Apply(c)
}

// elect makes one of those the leader that have all that a majority has.
func (g *group) elect() {
	var able []*replica
	for _, r := range g.replicas {
		if r.id != g.leader && !r.full && r.have == len(g.log) && g.majority(r, true) {
			able = append(able, r)
		}
	}
	if old := g.leader; old >= 0 {
		if g.replicas[old].up {
			g.believes[old] = g.w.now + believesFor
		}
		if r := g.replicas[old]; len(able) == 0 && !r.full && r.have == len(g.log) && g.majority(r, true) {
			able = append(able, r)
		}
	}
	if len(able) == 0 {
		return
	}
	r := able[g.w.rng.IntN(len(able))]
	g.term++
	g.leader, g.lostAt = r.id, 0
	// What the last leader took and this one has comes to be now; the rest never does.
	for _, l := range g.limbo {
		if l.at == r.id {
			g.log = append(g.log, l.entry)
		}
	}
	g.limbo = nil
	r.have = len(g.log)
	g.catchUp(r)
	g.clock = registry.NewClaimTracker(leaseTTL)
	g.clock.Sync(r.state.Leases(), g.leaderTime())
	g.ready = true
	g.w.step("leader elected")
}

// leaderTime is what the leader's clock says: leases are counted on it.
func (g *group) leaderTime() time.Time { return begin.Add(g.replicas[g.leader].reads()) }

// lead does what a leader does by itself.
func (g *group) lead() {
	r := g.replicas[g.leader]
	g.catchUp(r)
	g.clock.Sync(r.state.Leases(), g.leaderTime())
	ended, open := g.clock.TakeExpired(g.leaderTime())
	if open {
		g.commit(r, registry.Command{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand), Term: g.term})
	}
	if len(ended) > 0 {
		g.w.step("lease ended")
		g.commit(r, registry.Command{Op: registry.OpExpireClaims, Lease: &registry.LeaseCommand{Expired: ended}, Term: g.term})
	}
}

// wakes notes that a replica that was stopped goes on: it may believe that it leads still.
func (g *group) wakes(p *process) {
	for _, r := range g.replicas {
		if &r.process == p && r.id != g.leader && g.believes[r.id] != 0 {
			g.believes[r.id] = g.w.now + believesFor
		}
	}
}

// commit has a command carried out by the leader, if a majority takes it; else it is in limbo.
func (g *group) commit(r *replica, c registry.Command) (res registry.Result, ok bool) {
	c.AtMS = begin.Add(r.now).UnixMilli()
	text, err := json.Marshal(c)
	if err != nil {
		g.w.broken("a command cannot be written: %v", err)
		return res, false
	}
	if r.full {
		return res, false
	}
	if !g.majority(r, true) {
		some := []int{r.id}
		for _, b := range g.replicas {
			if b != r && g.reaches(r, b) && !b.full {
				some = append(some, b.id)
			}
		}
		for _, at := range some {
			g.limbo = append(g.limbo, limbo{entry{text, g.term}, at})
		}
		return res, false
	}
	if len(g.limbo) > 0 { // its own, from before it had its majority back: they come first
		for _, l := range g.limbo {
			if l.at == r.id {
				g.log = append(g.log, l.entry)
			}
		}
		g.limbo = nil
	}
	g.log = append(g.log, entry{text, g.term})
	for _, b := range g.replicas {
		if g.reaches(r, b) && !b.full {
			g.replicate(b)
		}
	}
	r.have = len(g.log)
	for r.at < len(g.log) {
		res = g.apply(r)
	}
	g.w.judge.effect(g.w, r.state, c.Fence, res.Err)
	g.w.looked()
	return res, true
}

// take is a write that came to a replica.
func (g *group) take(r *replica, c registry.Command, reply func(registry.Result, error)) {
	if !g.leads(r) {
		if g.w.now <= g.believes[r.id] {
			return // it believes that it leads, and nobody takes what it has
		}
		reply(registry.Result{}, errNotLeader)
		return
	}
	if res, ok := g.commit(r, c); ok {
		g.w.after(g.w.spread(commitTakes), r.alive(func() { reply(res, res.Err) }))
	}
}

// sure calls back once a replica has made sure, from now on, that it leads.
func (g *group) sure(r *replica, then func(), reply func(error)) {
	if !g.leads(r) {
		if g.w.now > g.believes[r.id] {
			reply(errNotLeader)
		}
		return
	}
	term := g.term
	g.w.after(g.w.spread(2*hop), r.alive(func() {
		if g.leads(r) && g.term == term && g.majority(r, false) {
			then()
		}
	}))
}

// renew is a sign of life that came to a replica.
func (g *group) renew(r *replica, of registry.Holder, claims []registry.ClaimRef, reply func([]registry.ClaimStatus, error)) {
	if !g.leads(r) {
		g.sure(r, nil, func(err error) { reply(nil, err) })
		return
	}
	at := g.leaderTime()
	g.sure(r, func() { reply(g.clock.RenewClaims(r.state.Leases(), of, claims, at), nil) }, func(err error) { reply(nil, err) })
}
