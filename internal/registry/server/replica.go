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
