package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/time/rate"

	"barleywick/internal/membership/gossip"
	"barleywick/internal/registry"
)

const (
	// writeTimeout is how long a write may take until a quorum has it on disk.
	writeTimeout = 5 * time.Second

	// transferTimeout is how long a replica that ends waits until another leads. The others
	// elect one by themselves if none does.
	transferTimeout = 2 * time.Second

	// diskEndTimeout is how long a replica that ends waits for calls of its disk.
	diskEndTimeout   = 2 * time.Second
	endPollInterval  = 10 * time.Millisecond
	diskPollInterval = 100 * time.Millisecond
	// hungDiskElections is after how many election timeouts the others have replaced a leader
	// whose disk hangs: it has led for staleElections of them.
	hungDiskElections = 2 * staleElections

	raftPoolSize       = 3 // connections kept to each other replica
	raftTimeout        = 2 * time.Second
	commitsPerElection = 4 // commit messages at least within an election timeout
	snapshotCheck      = 30 * time.Second
	snapshotEntries    = 4096 // log entries after which a snapshot is made, and that are kept behind it

	peerCallTimeout    = time.Second // for an HTTP call to another replica
	maxPeerConnections = 4           // to one replica, for such calls
)

var errTransferTimeout = errors.New("no other replica has taken it in time")

// Replica is one replica of the registry: a Raft node, the state machine that its log
// drives, and the HTTP interface to both.
type Replica struct {
	self   registry.ReplicaInfo
	config atomic.Pointer[Config]

	storage      *storage
	raft         *raft.Raft
	transport    *leaderTransport
	stateMachine *stateMachine
	leadership   leadership
	verifier     *leadershipVerifier

	peerClient *http.Client                // calls other replicas
	gossip     atomic.Pointer[gossip.Node] // nil without membership

	reads             registry.FreshnessTracker
	heldIndex         atomic.Uint64         // of the log; the state is known to hold all commands up to it
	readsError        atomic.Pointer[error] // of the latest try to confirm reads
	ready             atomic.Bool           // it has caught up with the group once since its start
	limiter           *callLimiter
	leaseWriteLimiter *rate.Limiter
	maxConnections    int // that its listener accepts at once
	broadcaster       *watchBroadcaster
	openWatches       atomic.Int64 // long polls among them
	watchVersions     watchVersions
	counters          counters

	polls      context.Context // ends when the replica begins to shut down
	endPolls   context.CancelFunc
	ctx        context.Context // ends when the replica is closed
	cancel     context.CancelFunc
	raftEnded  chan struct{} // closed once Raft has ended, and answers nobody any more
	background sync.WaitGroup
}

// counters are totals since the start, served as metrics.
type counters struct {
	refusedCalls     atomic.Uint64 // answered with 503 and Retry-After
	writes           atomic.Uint64 // commands applied for calls to this replica
	expiredInstances atomic.Uint64
	renewedClaims    atomic.Uint64
	grantedLeases    atomic.Uint64
	expiredClaims    atomic.Uint64
}

// Open starts a replica. It takes over the listener on which other replicas connect,
// and closes it also when it returns an error.
func Open(c *Config, peers net.Listener) (*Replica, error) {
	logger := newRaftLogger()
	disk, err := openStorage(c, logger)
	if err != nil {
		peers.Close()
		return nil, err
	}
	r := newReplica(c, disk)
	if err := r.startRaft(c, peers, logger); err != nil {
		r.cancel()
		peers.Close()
		disk.Close()
		return nil, err
	}
	r.background.Go(r.followLeadership)
	r.background.Go(r.confirmReads)
	r.background.Go(r.endWatchesWhenStale)
	r.background.Go(func() { r.verifier.run(r.ctx) })
	return r, nil
}

func newReplica(c *Config, disk *storage) *Replica {
	broadcaster := newWatchBroadcaster()
	r := &Replica{
		self:              c.Self(),
		storage:           disk,
		stateMachine:      newStateMachine(broadcaster),
		broadcaster:       broadcaster,
		limiter:           &callLimiter{limits: c.Limits},
		leaseWriteLimiter: rate.NewLimiter(rate.Limit(c.Leases.WritesPerSecond), int(c.Leases.WritesPerSecond)),
		maxConnections:    c.Limits.maxConnections(),
		raftEnded:         make(chan struct{}),
	}
	r.peerClient = &http.Client{
		Timeout: peerCallTimeout,
		Transport: &http.Transport{
			MaxConnsPerHost: maxPeerConnections, DisableCompression: true, DialContext: c.Routes.Dialer(peerCallTimeout),
		},
	}
	r.verifier = newLeadershipVerifier(r.confirmLeadership)
	r.config.Store(c)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.polls, r.endPolls = context.WithCancel(r.ctx)
	return r
}

// startRaft starts the Raft node on the replica's storage, and bootstraps the group on
// an empty one.
func (r *Replica) startRaft(c *Config, peers net.Listener, logger *raftLogger) error {
	settings, err := raftSettings(c, logger)
	if err != nil {
		return err
	}
	layer := newStreamLayer(peers, c.Routes, func() (group string, founded uint64) {
		r.stateMachine.view(func(s *registry.State) { founded = s.FirstVersion() })
		return c.Group, founded
	})
	transportSettings := &raft.NetworkTransportConfig{Stream: layer, MaxPool: raftPoolSize, Timeout: raftTimeout, Logger: logger}
	if c.Membership != nil {
		transportSettings.ServerAddressProvider = addressProvider{r}
	}
	network := raft.NewNetworkTransportWithConfig(transportSettings)
	var started atomic.Pointer[raft.Raft] // nil until NewRaft has returned
	r.transport = newLeaderTransport(network,
		func(term uint64) error { return r.checkLeadershipClaim(started.Load(), term) },
		func(id raft.ServerID) bool { return isVoter(started.Load(), id) })
	if (r.storage.isNew || r.storage.foundingCutShort) && !c.Join {
		if err := r.bootstrap(c, settings); err != nil {
			r.transport.Close()
			return fmt.Errorf("found the group: %w", err)
		}
	}
	r.raft, err = raft.NewRaft(settings, r.stateMachine, r.storage.log, r.storage.terms, r.storage.snapshots, r.transport)
	if err != nil {
		r.transport.Close()
		return fmt.Errorf("start on %s: %w", c.DataDir, err)
	}
	started.Store(r.raft)
	return nil
}

func raftSettings(c *Config, logger *raftLogger) (*raft.Config, error) {
	election := c.electionTimeout()
	settings := raft.DefaultConfig()
	settings.LocalID = raft.ServerID(c.ID)
	settings.HeartbeatTimeout = election
	settings.ElectionTimeout = election
	settings.LeaderLeaseTimeout = election / 2
	settings.CommitTimeout = min(settings.CommitTimeout, election/commitsPerElection)
	settings.SnapshotInterval = snapshotCheck
	settings.SnapshotThreshold = snapshotEntries
	settings.TrailingLogs = snapshotEntries
	settings.Logger = logger
	settings.NoLegacyTelemetry = true
	if err := raft.ValidateConfig(settings); err != nil {
		return nil, fmt.Errorf("timing: %w", err)
	}
	return settings, nil
}

// bootstrap writes the group's first configuration to an empty log. Every founding
// replica writes the same. A founding that was cut short is completed.
func (r *Replica) bootstrap(c *Config, settings *raft.Config) error {
	var group raft.Configuration
	for _, m := range c.Replicas {
		group.Servers = append(group.Servers, raft.Server{ID: raft.ServerID(m.ID), Address: raft.ServerAddress(m.Raft)})
	}
	err := raft.BootstrapCluster(settings, r.storage.log, r.storage.bolt, r.storage.snapshots, r.transport, group)
	if errors.Is(err, raft.ErrCantBootstrap) && r.storage.foundingCutShort {
		// It was ended between the two writes: there is a term, and no entry.
		return r.storage.log.StoreLog(&raft.Log{Index: 1, Term: foundingTerm, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(group)})
	}
	return err
}

// PrepareShutdown hands leadership over and ends the watches and the long polls. Calls are
// still answered.
func (r *Replica) PrepareShutdown() {
	if r.raft.State() == raft.Leader && len(r.voters()) > 1 {
		if err := r.transferLeadership(); err != nil {
			slog.Warn("registry: leadership transfer failed", "err", err)
		}
	}
	r.endPolls()
	r.broadcaster.close()
}

// transferLeadership hands leadership over. Raft's own goroutine may be stuck in a call of
// the disk, so it is not waited for any longer than a transfer may take.
func (r *Replica) transferLeadership() error {
	transferred := make(chan error, 1)
	go func() { transferred <- r.awaitOrder(r.raft.LeadershipTransfer) }() // ends with Raft at the latest
	select {
	case err := <-transferred:
		return err
	case <-time.After(transferTimeout):
		return errTransferTimeout
	}
}

// Close stops the replica. The connections to and from other replicas are closed before
// Raft ends: it waits for its goroutines, and one of them may read a snapshot from a
// connection on which nothing arrives any more.
func (r *Replica) Close() error {
	r.endPolls()
	r.broadcaster.close()
	r.cancel()
	r.storage.refuseWrites()
	transportErr := r.transport.Close()
	unfinished, raftErr := r.shutDownRaft()
	close(r.raftEnded)
	r.background.Wait()
	r.peerClient.CloseIdleConnections()
	if unfinished {
		return errors.Join(raftErr, transportErr) // the log is locked until the disk has finished
	}
	return errors.Join(raftErr, transportErr, r.storage.Close())
}

// shutDownRaft ends Raft, and waits for the calls of the disk, some of which Raft's end does not
// wait for. It waits for diskEndTimeout at most where there is one: nobody has been told of
// what such a call stores, and the log takes it whole or not at all, as in a crash. unfinished
// says that there is one.
func (r *Replica) shutDownRaft() (unfinished bool, err error) {
	begun := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- r.raft.Shutdown().Error() }() // ends with the process at the latest
	poll := time.NewTicker(endPollInterval)
	defer poll.Stop()
	for raftEnded := false; ; {
		select {
		case err = <-ended:
			raftEnded = true
		case <-poll.C:
		}
		call, running := r.storage.terms.calls.oldest()
		switch {
		case running && time.Since(begun) >= diskEndTimeout:
			slog.Warn("registry: ends without a call that its disk has not finished",
				"call", call.name, "running", time.Since(call.started).Round(time.Millisecond))
			return true, err
		case raftEnded && !running:
			return false, err
		}
	}
}

// awaitOrder waits for what becomes of an order to Raft. At its end the library leaves unanswered
// what its log has committed and its state machine has not applied, and while the disk hangs it
// takes no order and answers none.
func (r *Replica) awaitOrder(order func() raft.Future) error {
	answered := make(chan error, 1)
	go func() { answered <- order().Error() }() // one that is never answered ends with the process
	poll := time.NewTicker(diskPollInterval)
	defer poll.Stop()
	for {
		select {
		case err := <-answered:
			return err
		case <-r.raftEnded:
			select {
			case err := <-answered:
				return err
			default:
				return raft.ErrRaftShutdown
			}
		case <-poll.C:
			if r.diskHangs() {
				return errDiskHangs
			}
		}
	}
}

// diskHangs reports whether a write to the disk has been running for so long that callers do
// better to try another replica, or again later: the others, if there are any, have elected a
// leader that can write.
func (r *Replica) diskHangs() bool {
	bound := writeTimeout
	if len(r.voters()) > 1 {
		bound = min(bound, hungDiskElections*r.config.Load().electionTimeout())
	}
	return r.storage.terms.calls.longest(time.Now()) > bound
}

// apply has the group apply a command. When it returns without an error, a quorum has
// the command on disk.
func (r *Replica) apply(c registry.Command) (registry.Result, error) {
	c.AtMS = time.Now().UnixMilli()
	text, err := json.Marshal(c)
	if err != nil {
		return registry.Result{}, fmt.Errorf("write command: %w", err)
	}
	var future raft.ApplyFuture
	err = r.awaitOrder(func() raft.Future {
		future = r.raft.Apply(text, writeTimeout)
		return future
	})
	if err != nil {
		return registry.Result{}, err
	}
	r.counters.writes.Add(1)
	result, ok := future.Response().(registry.Result)
	if !ok {
		return registry.Result{}, fmt.Errorf("command %s: answered with %T", c.Op, future.Response())
	}
	return result, result.Err
}

// Reload puts other limits and session rules in force. Nothing else may differ from the
// configuration that the replica was started with.
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
