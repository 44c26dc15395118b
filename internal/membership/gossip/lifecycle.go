package gossip

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"barleywick/internal/membership"
)

// labelPrefix is the prefix of the label of every packet; the fleet's name follows. The label
// separates fleets from each other.
const labelPrefix = "barleywick/"

const (
	// stopTimeout bounds how long a member takes to stop, even if its disk, its callbacks or its
	// peers hang.
	stopTimeout = 4 * time.Second
	// lastSaveTimeout bounds how much of stopTimeout the member may spend on the last save of the
	// cache.
	lastSaveTimeout = 3 * time.Second
)

// createMemberlist starts memberlist with an empty view, under the node's current incarnation.
func (n *Node) createMemberlist() error {
	n.mu.Lock()
	n.view = membership.NewView(n.self, n.options.Config.ForgetAfter(), n.now())
	n.mu.Unlock()
	logger := log.New(&memberlistLog{n}, "", 0)
	transport := n.options.Transport
	if transport == nil {
		var err error
		if transport, err = listen(n.options.Config.Listen, logger); err != nil {
			return err
		}
	}
	config := n.memberlistConfig(logger)
	config.Transport = newMappedTransport(transport, n.options.Config.Routes, &n.traffic)
	list, err := memberlist.Create(config)
	if err != nil {
		return fmt.Errorf("membership: %w", errors.Join(err, config.Transport.Shutdown()))
	}
	n.list.Store(list)
	return nil
}

func (n *Node) memberlistConfig(logger *log.Logger) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label = n.Self().Key(), labelPrefix+n.options.Config.Fleet
	c.Logger = logger
	c.TCPTimeout, c.GossipInterval, c.PushPullInterval = callTimeout, gossipInterval, pushPullInterval
	c.ProbeInterval, c.ProbeTimeout = n.options.Config.ProbeInterval(), n.options.Config.ProbeInterval()/2
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = suspicionMult, suspicionMaxTimeoutMult
	c.GossipToTheDeadTime = 3 * pushPullInterval
	c.EnableCompression = false // for a few hundred bytes it costs more than it saves
	d := &delegate{n}
	c.Delegate, c.Events, c.Alive, c.Ping = d, d, d, d
	return c
}

// Run joins the fleet and keeps this process a member until ctx ends. It then announces
// that the process leaves. It returns within stopTimeout after ctx has ended; operations that
// still hang then continue in the background.
func (n *Node) Run(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- n.run(ctx) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	select {
	case err := <-ended:
		return err
	case <-time.After(stopTimeout):
		return fmt.Errorf("membership: %s has not left within %v", n.options.Self.Name, stopTimeout)
	}
}

func (n *Node) run(ctx context.Context) error {
	if n.processes != nil {
		defer n.processes.close()
	}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	taskCtx, stopTasks := context.WithCancel(ctx)
	defer stopTasks()
	tasks.Go(func() { n.deliverChanges(taskCtx) })
	saved := make(chan struct{})
	go func() { // not in tasks: a sync may never return
		defer close(saved)
		n.saveLoop(taskCtx)
	}()
	runUntil(ctx, func() { n.join(taskCtx) })
	if err := n.supersede(taskCtx); err != nil {
		return err
	}
	tasks.Go(func() { n.reconnectLoop(taskCtx) })
	if laterKey := n.runRounds(ctx); laterKey != "" {
		n.log.Error("members: replaced by a later process of the same name", "name", n.Self().Name, "later", laterKey)
		stopTasks()
		tasks.Wait()
		if err := n.list.Load().Shutdown(); err != nil {
			n.log.Debug("members: shutdown failed", "err", err)
		}
		<-ctx.Done() // the rest of the process continues without membership
		return nil
	}
	return n.leave(saved)
}

// runUntil runs a call that cannot be cancelled, and returns when the call has returned or ctx
// has ended.
func runUntil(ctx context.Context, call func()) {
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		call()
	}()
	select {
	case <-returned:
	case <-ctx.Done():
	}
}

// runRounds runs a round at each interval until ctx ends, or until a later process with the same
// name replaces this one; then it returns that process's key.
func (n *Node) runRounds(ctx context.Context) (laterKey string) {
	lastRound := time.Now()
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ""
		case <-n.replacedSignal:
			if self, _ := n.Get(n.Self().Key()); self.Status == membership.StatusReplaced {
				return self.Evidence
			}
		case <-ticker.C:
			now := time.Now()
			n.runRound(now.Sub(lastRound))
			lastRound = now
		}
	}
}

// supersede raises this process's incarnation above that of another process with the same name if
// that one's is higher because of its clock, since this process has started later. It does nothing
// if ctx has ended.
func (n *Node) supersede(ctx context.Context) error {
	n.mu.Lock()
	latest, _ := n.view.Latest(n.self.Name)
	n.mu.Unlock()
	if ctx.Err() != nil || latest.Incarnation <= n.Self().Incarnation {
		return nil
	}
	if n.options.Transport != nil {
		return fmt.Errorf("membership: another process named %s is already a member: %s", n.Self().Name, latest.Key())
	}
	n.log.Error("members: taking a higher incarnation than another process of this name", "name", n.Self().Name, "other", latest.Key())
	if err := n.list.Load().Shutdown(); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	n.mu.Lock()
	n.self.Incarnation = latest.Incarnation + 1
	n.mu.Unlock()
	signal(n.saveNow)
	if err := n.createMemberlist(); err != nil {
		return err
	}
	n.join(ctx)
	return nil
}

// leave announces that this process leaves, waits for the cache's last save, and stops.
func (n *Node) leave(saved <-chan struct{}) error {
	saveTimer := time.NewTimer(lastSaveTimeout)
	defer saveTimer.Stop()
	n.broadcast(message{Kind: messageLeave, Key: n.Self().Key()})
	time.Sleep(2 * gossipInterval) // so that the message is sent before SWIM's own
	err := n.list.Load().Leave(leaveTimeout)
	select {
	case <-saved: // while the address is still in use: another process that starts there reads the cache
	case <-saveTimer.C:
		n.log.Warn("members: cache not saved in time", "bound", lastSaveTimeout)
	}
	return errors.Join(err, n.list.Load().Shutdown())
}

// runRound expires outdated state, and sends this view's digest to some members.
func (n *Node) runRound(sinceLast time.Duration) {
	now := n.now()
	n.mu.Lock()
	if sinceLast > roundInterval+pauseThreshold {
		n.log.Warn("members: process was paused", "for", sinceLast)
		n.resumedAt = now
	}
	healRounds, healed := n.view.Tick(now)
	n.expireUnresponsive(now)
	partition, digest := n.view.Partition(), n.view.Digest()
	wasPartitioned := n.partitioned
	n.partitioned = partition.Partitioned()
	partitionChanged := n.partitioned != wasPartitioned
	targets := n.digestTargets()
	n.mu.Unlock()

	if partitionChanged {
		n.logPartition(partition)
	}
	if healed {
		n.counters.healRounds.Store(uint64(healRounds))
		n.log.Info("members: all views agree again", "present", partition.Present, "rounds", healRounds)
	}
	n.send(targets, message{Kind: messageDigest, Key: n.Self().Key(), Digest: digest})
	if partitionChanged || healed {
		n.notifyChanged()
	}
}

func (n *Node) logPartition(partition membership.PartitionState) {
	if partition.Partitioned() {
		n.log.Warn("members: members unreachable", "present", partition.Present, "unreachable", partition.Unreachable, "minority", partition.Minority())
		return
	}
	n.log.Info("members: no members unreachable", "present", partition.Present)
}

// digestTargets draws the keys of the members to which this round's digest is sent. The caller holds
// the lock.
func (n *Node) digestTargets() (targets []string) {
	var peers []string
	for _, member := range n.view.List() {
		if member.Status.CountsAsPresent() && member.Key() != n.self.Key() {
			peers = append(peers, member.Key())
		}
	}
	for range min(membership.DigestFanout, len(peers)) {
		i := rand.IntN(len(peers))
		targets = append(targets, peers[i])
		peers[i] = peers[len(peers)-1]
		peers = peers[:len(peers)-1]
	}
	return targets
}
