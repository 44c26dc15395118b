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
	// writeTimeout is how long a quorum may take to store a write on disk.
	writeTimeout = 5 * time.Second

	// transferTimeout bounds the leadership transfer during shutdown. If it fails, the other
	// replicas elect a leader after their election timeout.
	transferTimeout = 2 * time.Second

	// diskShutdownTimeout is how long shutdown waits for disk calls in progress.
	diskShutdownTimeout  = 2 * time.Second
	shutdownPollInterval = 10 * time.Millisecond
	diskPollInterval     = 100 * time.Millisecond
	// hungDiskElections is the number of election timeouts after which the other replicas have
	// replaced a leader whose disk hangs. Its heartbeats stop after
	// staleAfterElectionTimeouts of them.
	hungDiskElections = 2 * staleAfterElectionTimeouts

	raftPoolSize          = 3 // idle connections kept per replica
	raftTimeout           = 2 * time.Second
	commitsPerElection    = 4 // minimum number of commit messages per election timeout
	snapshotCheckInterval = 30 * time.Second
	snapshotEntries       = 4096 // log entries between snapshots, and entries kept before a snapshot

	peerCallTimeout    = time.Second // timeout of an HTTP call to another replica
	maxPeerConnections = 4           // HTTP connections per replica
)

var errTransferTimeout = errors.New("no other replica took over leadership before the timeout")

// Replica is one replica of the registry: a Raft node, its state machine, and the HTTP interface
// to both.
type Replica struct {
	self   registry.ReplicaInfo
	config atomic.Pointer[Config]

	storage      *storage
	raft         *raft.Raft
	transport    *leaderTransport
	stateMachine *stateMachine
	leadership   leadership
	verifier     *leadershipVerifier

	peerClient *http.Client                // for calls to other replicas
	gossip     atomic.Pointer[gossip.Node] // nil without membership

	reads             registry.FreshnessTracker
	heldIndex         atomic.Uint64         // the state is known to include all log entries up to this index
	readsError        atomic.Pointer[error] // result of the last attempt to confirm reads
	ready             atomic.Bool           // set once the replica has caught up with the group after its start
	limiter           *callLimiter
	leaseWriteLimiter *rate.Limiter
	maxConnections    int // limit of concurrent connections on the HTTP listener, fixed at start
	broadcaster       *watchBroadcaster
	openWatches       openCalls
	openLongPolls     openCalls
	watchVersions     watchVersions
	counters          counters

	longPollCtx  context.Context // done when the replica begins to shut down
	endLongPolls context.CancelFunc
	ctx          context.Context // done when the replica is closed
	cancel       context.CancelFunc
	raftEnded    chan struct{} // closed after Raft has stopped; it completes no more futures then
	background   sync.WaitGroup
}

// counters are totals since process start, served as metrics.
type counters struct {
	refusedCalls     atomic.Uint64 // calls answered with 503 and Retry-After
	writes           atomic.Uint64 // commands applied by this replica as leader
	expiredInstances atomic.Uint64
	renewedClaims    atomic.Uint64
	grantedLeases    atomic.Uint64
	expiredClaims    atomic.Uint64
}

// Open starts a replica. It takes ownership of peers, the listener for other replicas, and closes
// it also when it returns an error.
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
	r.longPollCtx, r.endLongPolls = context.WithCancel(r.ctx)
	return r
}

// startRaft starts the Raft node on the replica's storage. On an empty storage it bootstraps the
// group first, unless the replica joins a running one.
func (r *Replica) startRaft(c *Config, peers net.Listener, logger *raftLogger) error {
	settings, err := raftSettings(c, logger)
	if err != nil {
		return err
	}
	layer := newStreamLayer(peers, c.Routes, peerIdentity{history: r.history, id: c.ID, replicaAt: r.replicaAt})
	transportSettings := &raft.NetworkTransportConfig{Stream: layer, MaxPool: raftPoolSize, Timeout: raftTimeout, Logger: logger}
	if c.Membership != nil {
		transportSettings.ServerAddressProvider = addressProvider{r}
	}
	network := raft.NewNetworkTransportWithConfig(transportSettings)
	var started atomic.Pointer[raft.Raft] // nil until NewRaft has returned
	r.transport = newLeaderTransport(network,
		func(term uint64) error { return r.checkLeadershipClaim(started.Load(), term) },
		func(id raft.ServerID) bool { return isVoter(started.Load(), id) })
	if (r.storage.isNew || r.storage.foundingInterrupted) && !c.Join {
		if err := r.bootstrap(c, settings); err != nil {
			r.transport.Close()
			return fmt.Errorf("found the group: %w", err)
		}
	}
	r.raft, err = raft.NewRaft(settings, r.stateMachine, r.storage.log, r.storage.terms, r.storage.snapshots, r.transport)
	if err != nil {
		r.transport.Close()
		return fmt.Errorf("start Raft on %s: %w", c.DataDir, err)
	}
	started.Store(r.raft)
	return nil
}

// history returns the group's name and founding version; 0: this replica has no data of the group yet.
func (r *Replica) history() (group string, founded uint64) {
	r.stateMachine.view(func(s *registry.State) { founded = s.FirstVersion() })
	return r.config.Load().Group, founded
}

func raftSettings(c *Config, logger *raftLogger) (*raft.Config, error) {
	election := c.electionTimeout()
	settings := raft.DefaultConfig()
	settings.LocalID = raft.ServerID(c.ID)
	settings.HeartbeatTimeout = election
	settings.ElectionTimeout = election
	settings.LeaderLeaseTimeout = election / 2
	settings.CommitTimeout = min(settings.CommitTimeout, election/commitsPerElection)
	settings.SnapshotInterval = snapshotCheckInterval
	settings.SnapshotThreshold = snapshotEntries
	settings.TrailingLogs = snapshotEntries
	settings.Logger = logger
	settings.NoLegacyTelemetry = true
	if err := raft.ValidateConfig(settings); err != nil {
		return nil, fmt.Errorf("timing: %w", err)
	}
	return settings, nil
}

// bootstrap writes the group's first configuration to an empty log. Every founding replica writes
// the same configuration. A bootstrap that was interrupted is completed.
func (r *Replica) bootstrap(c *Config, settings *raft.Config) error {
	var group raft.Configuration
	for _, m := range c.Replicas {
		group.Servers = append(group.Servers, raft.Server{ID: raft.ServerID(m.ID), Address: raft.ServerAddress(m.Raft)})
	}
	err := raft.BootstrapCluster(settings, r.storage.log, r.storage.bolt, r.storage.snapshots, r.transport, group)
	if errors.Is(err, raft.ErrCantBootstrap) && r.storage.foundingInterrupted {
		// The process ended between the two writes: the term is stored, the entry is not.
		return r.storage.log.StoreLog(&raft.Log{Index: 1, Term: foundingTerm, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(group)})
	}
	return err
}

// PrepareShutdown transfers leadership and ends the watches and the long polls. Other calls are
// still served.
func (r *Replica) PrepareShutdown() {
	if r.raft.State() == raft.Leader && len(r.voters()) > 1 {
		if err := r.transferLeadership(); err != nil {
			slog.Warn("registry: leadership transfer failed", "err", err)
		}
	}
	r.endLongPolls()
	r.broadcaster.close()
}

// transferLeadership transfers leadership to another replica. It waits for transferTimeout at
// most, since Raft's main goroutine may be blocked in a disk call.
func (r *Replica) transferLeadership() error {
	transferred := make(chan error, 1)
	go func() { transferred <- r.awaitRaftFuture(r.raft.LeadershipTransfer) }() // returns when Raft stops at the latest
	select {
	case err := <-transferred:
		return err
	case <-time.After(transferTimeout):
		return errTransferTimeout
	}
}

// Close stops the replica. The connections to and from other replicas are closed before Raft is
// stopped: Raft waits for its goroutines, and one of them may be reading a snapshot from a
// stalled connection.
func (r *Replica) Close() error {
	r.endLongPolls()
	r.broadcaster.close()
	r.cancel()
	r.storage.refuseWrites()
	transportErr := r.transport.Close()
	unfinished, raftErr := r.shutDownRaft()
	close(r.raftEnded)
	r.background.Wait()
	r.peerClient.CloseIdleConnections()
	if unfinished {
		return errors.Join(raftErr, transportErr) // closing the log would block until the disk call returns
	}
	return errors.Join(raftErr, transportErr, r.storage.Close())
}

// shutDownRaft stops Raft and waits for the disk calls in progress, some of which Raft itself does
// not wait for. If a disk call is still running after diskShutdownTimeout, it returns with
// unfinished set. That is safe: what such a call stores has not been acknowledged, and the log
// stores it completely or not at all, as in a crash.
func (r *Replica) shutDownRaft() (unfinished bool, err error) {
	begun := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- r.raft.Shutdown().Error() }() // returns when the process exits at the latest
	poll := time.NewTicker(shutdownPollInterval)
	defer poll.Stop()
	for raftEnded := false; ; {
		select {
		case err = <-ended:
			raftEnded = true
		case <-poll.C:
		}
		call, running := r.storage.terms.calls.oldest()
		switch {
		case running && time.Since(begun) >= diskShutdownTimeout:
			slog.Warn("registry: shutting down with an unfinished disk call",
				"call", call.name, "running", time.Since(call.started).Round(time.Millisecond))
			return true, err
		case raftEnded && !running:
			return false, err
		}
	}
}

// awaitRaftFuture starts a Raft operation and returns its result. It returns raft.ErrRaftShutdown
// once Raft has stopped, since the library never completes the futures of entries that are
// committed but not applied at that time. It returns errDiskHangs if the disk hangs, since the
// library neither accepts nor completes operations meanwhile.
func (r *Replica) awaitRaftFuture(start func() raft.Future) error {
	answered := make(chan error, 1)
	go func() { answered <- start().Error() }() // a future that is never completed blocks until the process exits
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

// diskHangs reports whether a log write has been running for so long that callers should try
// another replica or retry later: by then the other replicas, if there are any, have elected a
// leader that can write.
func (r *Replica) diskHangs() bool {
	bound := writeTimeout
	if len(r.voters()) > 1 {
		bound = min(bound, hungDiskElections*r.config.Load().electionTimeout())
	}
	return r.storage.terms.calls.longestLogWrite(time.Now()) > bound
}

// apply replicates a command and returns its result. If it returns without an error, a quorum has
// stored the command on disk.
func (r *Replica) apply(c registry.Command) (registry.Result, error) {
	c.AtMS = time.Now().UnixMilli()
	text, err := json.Marshal(c)
	if err != nil {
		return registry.Result{}, fmt.Errorf("encode command: %w", err)
	}
	var future raft.ApplyFuture
	err = r.awaitRaftFuture(func() raft.Future {
		future = r.raft.Apply(text, writeTimeout)
		return future
	})
	if err != nil {
		return registry.Result{}, err
	}
	r.counters.writes.Add(1)
	result, ok := future.Response().(registry.Result)
	if !ok {
		return registry.Result{}, fmt.Errorf("command %s: got result of unexpected type %T", c.Op, future.Response())
	}
	return result, result.Err
}

// Reload applies the limits and session rules of a fresh configuration. All other settings must
// equal those that the replica was started with.
func (r *Replica) Reload(fresh *Config) error {
	next, err := r.config.Load().reloaded(fresh)
	if err != nil {
		return err
	}
	if n := next.Limits.maxConnections(); n > r.maxConnections {
		return fmt.Errorf("limits: got %d connections in total, want at most %d, the total at start", n, r.maxConnections)
	}
	r.config.Store(next)
	r.limiter.setLimits(next.Limits)
	return nil
}
