package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/time/rate"

	"barleywick/internal/membership/gossip"
	"barleywick/internal/registry"
)

const (
	// writeTimeout is how long a write may take to reach a quorum's disks.
	writeTimeout = 5 * time.Second
	// staleElections is after how many election time-outs without a leader's word a
	// replica says that what it tells may be stale.
	staleElections = 3
	// expiryInterval is how often the leader looks for sessions that have ended: a
	// part of the shortest time to live.
	expiryInterval = 100 * time.Millisecond
	// memberKeyPrefix begins the records that name replicas added later.
	memberKeyPrefix = "member:"

	raftPoolSize    = 3 // connections kept to each replica
	raftTimeout     = 2 * time.Second
	peerCallTimeout = time.Second
	catchUpInterval = 50 * time.Millisecond
)

// Replica is one replica of the registry.
type Replica struct {
	self         registry.ReplicaInfo
	config       atomic.Pointer[Config]
	stateMachine *stateMachine
	broadcaster  *watchBroadcaster
	limiter      *callLimiter
	storage      *storage
	raft         *raft.Raft
	transport    *raft.NetworkTransport
	peerClient   *http.Client
	gossip       atomic.Pointer[gossip.Node] // nil: it knows no members

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	ready         atomic.Bool // it has caught up with the group once since its start
	openWatches   atomic.Int64
	watchVersions watchVersions

	maxConnections    int           // that its listener lets in
	refusedCalls      atomic.Uint64 // calls told to come back
	leaseWriteLimiter *rate.Limiter
	verifier          *leadershipVerifier
	renewals          atomic.Uint64 // claims renewed
	granted           atomic.Uint64 // leases granted to calls taken here
	ended             atomic.Uint64 // claims ended as their time was up
	writes            atomic.Uint64
	expired           atomic.Uint64 // instances removed for their silence

	mu       sync.Mutex
	sessions *registry.SessionTracker // while it leads
	followed uint64                   // the list's version that they are those of
	held     bool                     // expiry is held back
	leases   *registry.ClaimTracker
	term     uint64 // in which it leads
}

// Open starts a replica on the listener given for other replicas, which it takes over.
func Open(c *Config, peers net.Listener) (*Replica, error) {
	self := c.Self()
	logger := newRaftLogger()
	d, err := openStorage(c, logger)
	if err != nil {
		peers.Close()
		return nil, err
	}
	h := newWatchBroadcaster()
	r := &Replica{self: self, broadcaster: h, stateMachine: newStateMachine(h), limiter: &callLimiter{limits: c.Limits}, storage: d, maxConnections: c.Limits.maxConnections()}
	r.leaseWriteLimiter = rate.NewLimiter(rate.Limit(c.Leases.WritesPerSecond), int(c.Leases.WritesPerSecond))
	r.peerClient = &http.Client{Timeout: peerCallTimeout, Transport: &http.Transport{MaxConnsPerHost: 4, DisableCompression: true, DialContext: c.Routes.Dial(peerCallTimeout)}}
	r.verifier = newLeadershipVerifier()
	r.config.Store(c)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if err := r.start(c, peers, logger); err != nil {
		r.cancel()
		peers.Close()
		d.bolt.Close()
		return nil, err
	}
	r.background.Go(r.followLeadership)
	r.background.Go(r.catchUp)
	r.background.Go(r.endWatchesWhenStale)
	r.background.Go(r.runVerifications)
	return r, nil
}

func (r *Replica) start(c *Config, peers net.Listener, logger *raftLogger) error {
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(c.ID)
	rc.HeartbeatTimeout, rc.ElectionTimeout, rc.LeaderLeaseTimeout = c.electionTimeout(), c.electionTimeout(), c.electionTimeout()/2
	rc.CommitTimeout = min(rc.CommitTimeout, c.electionTimeout()/4)
	rc.SnapshotInterval, rc.SnapshotThreshold, rc.TrailingLogs = 30*time.Second, 4096, 4096
	rc.Logger = logger
	rc.NoLegacyTelemetry = true
	if err := raft.ValidateConfig(rc); err != nil {
		return fmt.Errorf("timing: %w", err)
	}
	layer := newStreamLayer(peers, c.Routes, func() (group string, founded uint64) {
		r.stateMachine.view(func(s *registry.State) { founded = s.FirstVersion() })
		return c.Group, founded
	})
	r.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: layer, MaxPool: raftPoolSize, Timeout: raftTimeout, Logger: logger, ServerAddressProvider: addressProvider{r},
	})
	if r.storage.isNew && !c.Join {
		var group raft.Configuration
		for _, m := range c.Replicas {
			group.Servers = append(group.Servers, raft.Server{ID: raft.ServerID(m.ID), Address: raft.ServerAddress(m.Raft)})
		}
		if err := raft.BootstrapCluster(rc, r.storage.log, r.storage.bolt, r.storage.snapshots, r.transport, group); err != nil {
			r.transport.Close()
			return fmt.Errorf("found the group: %w", err)
		}
	}
	var err error
	if r.raft, err = raft.NewRaft(rc, r.stateMachine, r.storage.log, r.storage.terms, r.storage.snapshots, r.transport); err != nil {
		r.transport.Close()
		return fmt.Errorf("start on %s: %w", c.DataDir, err)
	}
	return nil
}

// PrepareShutdown hands leadership over and ends the watches; calls are answered still.
func (r *Replica) PrepareShutdown() {
	if r.raft.State() == raft.Leader && len(r.voters()) > 1 {
		if err := r.raft.LeadershipTransfer().Error(); err != nil {
			slog.Warn("leadership was not handed over", "err", err)
		}
	}
	r.broadcaster.close()
}

// Close stops the replica.
func (r *Replica) Close() error {
	r.broadcaster.close()
	r.cancel()
	close(r.storage.terms.closing)
	err := r.raft.Shutdown().Error()
	r.background.Wait()
	r.peerClient.CloseIdleConnections()
	return errors.Join(err, r.transport.Close(), r.storage.bolt.Close())
}

// followLeadership leads while this replica is the leader.
func (r *Replica) followLeadership() {
	var leading sync.WaitGroup
	stop := func() {}
	defer func() {
		stop()
		leading.Wait()
	}()
	for {
		select {
		case leads := <-r.raft.LeaderCh():
			stop()
			leading.Wait()
			if stop = func() {}; leads {
				ctx, cancel := context.WithCancel(r.ctx)
				stop = cancel
				leading.Go(func() { r.lead(ctx) })
			}
		case <-r.ctx.Done():
			return
		}
	}
}

// lead founds the group if nobody has, and removes instances whose sessions end.
// Each session has its full time from now on, whatever the last leader knew.
func (r *Replica) lead(ctx context.Context) {
	// What is counted and applied here holds for this term alone: one that was lost and
	// won again may have had another leader in between, whose commits this one has to
	// apply, and whose sessions and claims need their full time.
	term := r.raft.CurrentTerm()
	if err := r.raft.Barrier(writeTimeout).Error(); err != nil {
		return // no leader any more
	}
	if _, err := r.apply(registry.Command{Op: registry.OpFoundGroup, Group: r.config.Load().Group}); err != nil {
		slog.Error("the group cannot be founded", "err", err)
		return
	}
	rules := r.config.Load().Sessions
	sessions := registry.NewSessionTracker(rules.Floor, time.Duration(rules.WindowMS)*time.Millisecond)
	r.mu.Lock()
	r.sessions, r.followed, r.term = sessions, 0, term
	r.leases = registry.NewClaimTracker(time.Duration(r.config.Load().Leases.MaxTTLMS) * time.Millisecond)
	r.syncSessionsLocked(time.Now())
	r.syncLeasesLocked(time.Now())
	live := sessions.Len()
	r.mu.Unlock()
	slog.Info("leading", "term", r.raft.CurrentTerm(), "sessions", live, "seq", r.stateMachine.seq())
	defer func() {
		r.mu.Lock()
		r.sessions, r.leases, r.held = nil, nil, false
		r.mu.Unlock()
		slog.Info("leading no more")
	}()
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C: // its time may be one from before this process was stopped
			if r.requireLeader() != nil {
				continue // it is about to be told
			}
			r.expireSessions(time.Now(), term)
			r.expireClaims(time.Now(), term)
		}
	}
}

// syncSessionsLocked lets the sessions be those of the state. The lock is held.
func (r *Replica) syncSessionsLocked(now time.Time) {
	var entries []registry.Registration
	var seq uint64
	r.stateMachine.view(func(s *registry.State) {
		if seq = s.Seq(); seq != r.followed { // every change of a session is one of the list's version
			entries = s.Registrations()
		}
	})
	if seq != r.followed {
		r.followed = seq
		r.sessions.Sync(entries, now)
	}
}

// expireSessions removes the instances whose sessions have ended, unless too many have at once.
func (r *Replica) expireSessions(now time.Time, term uint64) {
	r.mu.Lock()
	if rules := r.config.Load().Sessions; r.sessions.SetFloor(rules.Floor) {
		slog.Info("sessions: another floor", "floor", rules.Floor)
	}
	r.syncSessionsLocked(now)
	ended, held, changed := r.sessions.Expired(now)
	r.held = held
	live := r.sessions.Len()
	r.mu.Unlock()
	if changed && held {
		slog.Warn("sessions: too many have ended at once: none is removed until they renew or are removed by hand", "of", live)
	} else if changed {
		slog.Info("sessions: removals go on")
	}
	if len(ended) == 0 {
		return
	}
	if _, err := r.apply(registry.Command{Op: registry.OpExpireSessions, ExpiredSessions: ended, Term: term}); err != nil {
		slog.Warn("sessions: not removed", "err", err)
		return
	}
	r.expired.Add(uint64(len(ended)))
	hosts := make([]string, len(ended))
	for i, e := range ended {
		hosts[i] = e.Host
	}
	slog.Info("sessions: removed for their silence", "hosts", hosts)
}

// renewSession notes a sign of life. Only a leader may, and one is a leader no longer
// than its lease: a replica that was cut off takes no word for another's.
func (r *Replica) renewSession(host, session string, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.requireLeaderLocked(); err != nil {
		return err
	}
	var entry registry.Registration
	r.stateMachine.view(func(s *registry.State) { entry, _ = s.Registration(host) })
	if session == "" || entry.Session != session { // the state may be ahead of what is followed
		return fmt.Errorf("%w: host %.64s has no such session: register again", registry.ErrNotFound, host)
	}
	if !r.sessions.Renew(host, session, now) {
		r.syncSessionsLocked(now) // it was registered a moment ago, and has its full time
	}
	return nil
}

// apply has a command carried out by the group. When it returns without an error,
// a quorum has it on disk.
func (r *Replica) apply(c registry.Command) (registry.Result, error) {
	c.AtMS = time.Now().UnixMilli()
	text, err := json.Marshal(c)
	if err != nil {
		return registry.Result{}, fmt.Errorf("write command: %w", err)
	}
	f := r.raft.Apply(text, writeTimeout)
	if err := f.Error(); err != nil {
		return registry.Result{}, err
	}
	r.writes.Add(1)
	result, ok := f.Response().(registry.Result)
	if !ok {
		return registry.Result{}, fmt.Errorf("command %s: answered with %T", c.Op, f.Response())
	}
	return result, result.Err
}

// freshness says how fresh what this replica tells is, for the header.
func (r *Replica) freshness(now time.Time) (word string, age time.Duration) {
	if r.raft.State() == raft.Leader {
		return registry.ReadCurrent, 0
	}
	last := r.raft.LastContact()
	if last.IsZero() {
		return registry.ReadStale, 0
	}
	age = max(0, now.Sub(last)) // the leader may have been heard since now was read
	if leader, _ := r.raft.LeaderWithID(); leader == "" || age > staleElections*r.config.Load().electionTimeout() {
		return registry.ReadStale, age
	}
	return registry.ReadCurrent, age
}

// errNewLeader says that this replica leads and is not ready to: it has to apply
// what its predecessors committed, or to found the group.
var errNewLeader = errors.New("this replica has just been elected")

// requireLeader returns an error unless this replica requireLeader and has applied what its
// predecessors committed.
func (r *Replica) requireLeader() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requireLeaderLocked()
}

// requireLeaderTerm is leads, and the term in which.
func (r *Replica) requireLeaderTerm() (term uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.term, r.requireLeaderLocked()
}

func (r *Replica) requireLeaderLocked() error {
	switch {
	case r.raft.State() != raft.Leader:
		return raft.ErrNotLeader
	case r.sessions == nil, r.term != r.raft.CurrentTerm():
		return errNewLeader
	}
	return nil
}

// linearize makes sure that this replica leads and has applied all that any
// replica has acknowledged.
func (r *Replica) linearize() error {
	term, err := r.requireLeaderTerm()
	if err != nil {
		return err
	}
	commit := r.raft.CommitIndex()
	if err := r.verifyLeadership(); err != nil {
		return err
	}
	// It may have lost the lead after the index was read and have won it again: what others
	// have committed in between is not within that index.
	if now, err := r.requireLeaderTerm(); err != nil || now != term {
		return errNewLeader
	}
	for deadline := time.Now().Add(writeTimeout); r.raft.AppliedIndex() < commit; {
		if time.Now().After(deadline) {
			return errors.New("the log is applied too slowly")
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// catchUp makes the replica ready once it holds what the group held when it
// came: before, it would tell watchers of a list that they have left behind.
func (r *Replica) catchUp() {
	for r.ctx.Err() == nil {
		if seq, err := r.leaderListVersion(); err == nil && seq > 0 && r.stateMachine.seq() >= seq {
			r.ready.Store(true)
			slog.Info("ready", "seq", r.stateMachine.seq())
			return
		}
		select {
		case <-time.After(catchUpInterval/2 + rand.N(catchUpInterval)):
		case <-r.ctx.Done():
		}
	}
}

// leaderListVersion asks the leader for the list's version.
func (r *Replica) leaderListVersion() (uint64, error) {
	_, id := r.raft.LeaderWithID()
	if string(id) == r.self.ID {
		if err := r.linearize(); err != nil {
			return 0, err
		}
		return r.stateMachine.seq(), nil
	}
	leader, ok := r.findReplica(string(id))
	if !ok {
		return 0, errNoLeader
	}
	req, err := http.NewRequestWithContext(r.ctx, http.MethodGet, "http://"+leader.HTTP+registry.APIPath+"status?linearizable=1", nil)
	if err != nil {
		return 0, err
	}
	resp, err := r.peerClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var status registry.StatusResponse
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("the leader answers %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return 0, err
	}
	return status.Seq, nil
}

var errNoLeader = errors.New("no leader is known: this replica has no contact with a quorum")

// endWatchesWhenStale ends the watches when this replica becomes stale: those that can follow
// another replica do, and the others come back and are told that it is.
func (r *Replica) endWatchesWhenStale() {
	tick := time.NewTicker(r.config.Load().electionTimeout() / 2)
	defer tick.Stop()
	was := registry.ReadCurrent
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-tick.C: // its time may be one from before this process was stopped
			word, age := r.freshness(time.Now())
			if word != was && word == registry.ReadStale && r.ready.Load() {
				slog.Warn("no leader is heard of: the list goes on as stale", "age", age)
				r.broadcaster.endWatches()
			} else if word != was && word == registry.ReadCurrent {
				slog.Info("a leader is heard of again")
			}
			was = word
		}
	}
}

// voters are the replicas that count for a quorum.
func (r *Replica) voters() []raft.Server {
	f := r.raft.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	return f.Configuration().Servers
}

// findReplica finds a replica by its id: where the fleet's members see it, or else one of the
// founding ones, or one added since.
func (r *Replica) findReplica(id string) (registry.ReplicaInfo, bool) {
	if m, ok := r.gossipedAddress(id); ok {
		return m, true
	}
	var m registry.ReplicaInfo
	added := false
	r.stateMachine.view(func(s *registry.State) {
		if rec, ok := s.Record(memberKeyPrefix + id); ok {
			added = json.Unmarshal(rec.Value, &m) == nil
		}
	})
	if added {
		return m, true
	}
	all := r.config.Load().Replicas
	if i := slices.IndexFunc(all, func(m registry.ReplicaInfo) bool { return m.ID == id }); i >= 0 {
		return all[i], true
	}
	return registry.ReplicaInfo{}, false
}

// leader is the replica that leads, if one is known.
func (r *Replica) leader() (registry.ReplicaInfo, bool) {
	_, id := r.raft.LeaderWithID()
	if id == "" {
		return registry.ReplicaInfo{}, false
	}
	return r.findReplica(string(id))
}

// addReplica takes a replica into the group.
func (r *Replica) addReplica(m registry.ReplicaInfo) error {
	if err := r.requireLeader(); err != nil {
		return err
	}
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	if _, err := r.apply(registry.Command{Op: registry.OpPutRecord, Key: memberKeyPrefix + m.ID, Value: text}); err != nil {
		return err
	}
	return r.raft.AddVoter(raft.ServerID(m.ID), raft.ServerAddress(m.Raft), 0, writeTimeout).Error()
}

// removeReplica takes a replica out of the group.
func (r *Replica) removeReplica(id string) error {
	if err := r.requireLeader(); err != nil {
		return err
	}
	if !slices.ContainsFunc(r.voters(), func(s raft.Server) bool { return string(s.ID) == id }) {
		return fmt.Errorf("%w: no replica %.64s in the group", registry.ErrNotFound, id)
	}
	if err := r.raft.RemoveServer(raft.ServerID(id), 0, writeTimeout).Error(); err != nil {
		return err
	}
	_, err := r.apply(registry.Command{Op: registry.OpDeleteRecord, Key: memberKeyPrefix + id})
	return err
}

// Reload puts other limits and rules on sessions in force.
func (r *Replica) Reload(fresh *Config) error {
	next, err := r.config.Load().reloaded(fresh)
	if err != nil {
		return err
	}
	if n := next.Limits.maxConnections(); n > r.maxConnections {
		return fmt.Errorf("limits: they add up to %d connections, and this replica was started for %d", n, r.maxConnections)
	}
	r.config.Store(next)
	r.limiter.setLimits(next.Limits)
	return nil
}

// watchVersions are what each open watch has been sent.
type watchVersions struct {
	mu   sync.Mutex
	open map[*atomic.Uint64]bool
}

// add takes a watch in that has been sent nothing yet.
func (v *watchVersions) add() *atomic.Uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.open == nil {
		v.open = make(map[*atomic.Uint64]bool)
	}
	at := new(atomic.Uint64)
	v.open[at] = true
	return at
}

func (v *watchVersions) remove(at *atomic.Uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.open, at)
}

// oldest is the oldest version among the watches, or none where there is no watch.
func (v *watchVersions) oldest(none uint64) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	for at := range v.open {
		none = min(none, at.Load())
	}
	return none
}

// Status tells how the replica stands.
func (r *Replica) Status() registry.StatusResponse {
	word, _ := r.freshness(time.Now())
	s := registry.StatusResponse{
		ID: r.self.ID, State: strings.ToLower(r.raft.State().String()), Read: word, Ready: r.ready.Load(),
		Term: r.raft.CurrentTerm(), Applied: r.raft.AppliedIndex(), Watches: int(r.openWatches.Load()),
	}
	if m, ok := r.leader(); ok {
		s.Leader = m.ID
	}
	r.stateMachine.view(func(st *registry.State) { s.Group, s.Seq = st.Group(), st.Seq() })
	s.WatchSeq = r.watchVersions.oldest(s.Seq)
	for _, v := range r.voters() {
		m, ok := r.findReplica(string(v.ID))
		if !ok {
			m = registry.ReplicaInfo{ID: string(v.ID), Raft: string(v.Address)}
		}
		s.Replicas = append(s.Replicas, m)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.ExpiryHeld = r.held; r.sessions != nil {
		s.Sessions, s.Claims = r.sessions.Len(), r.leases.Len()
	}
	return s
}
