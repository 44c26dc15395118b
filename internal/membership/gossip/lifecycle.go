package gossip

import (
	"barleywick/internal/membership"
	"context"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// createMemberlist begins as the process of this incarnation.
func (n *Node) createMemberlist() error {
	n.mu.Lock()
	n.view = membership.NewView(n.self, n.options.Config.ForgetAfter(), n.now())
	n.mu.Unlock()
	logger := log.New(&memberlistLog{n}, "", 0)
	inner := n.options.Transport
	if inner == nil {
		var err error
		if inner, err = listen(n.options.Config.Listen, logger); err != nil {
			return err
		}
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label = n.self.Key(), "barleywick/"+n.options.Config.Fleet
	c.Transport, c.Logger = newMappedTransport(inner, n.options.Config.Routes, &n.traffic), logger
	c.TCPTimeout, c.GossipInterval, c.PushPullInterval = callTimeout, gossipInterval, pushPullInterval
	c.ProbeInterval, c.ProbeTimeout = n.options.Config.ProbeInterval(), n.options.Config.ProbeInterval()/2
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = suspicionMult, suspicionMaxTimeoutMult
	c.GossipToTheDeadTime = 3 * pushPullInterval
	c.EnableCompression = false // a few hundred bytes: it costs more than it spares
	d := &delegate{n}
	c.Delegate, c.Events, c.Alive, c.Ping = d, d, d, d
	list, err := memberlist.Create(c)
	if err != nil {
		_ = c.Transport.Shutdown()
		return fmt.Errorf("membership: %w", err)
	}
	n.list.Store(list)
	return nil
}

// Run keeps this process a member until ctx ends, and says goodbye then.
func (n *Node) Run(ctx context.Context) error {
	if n.processes != nil {
		defer n.processes.close()
	}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	in, end := context.WithCancel(ctx)
	defer end()
	tasks.Go(func() { n.deliverChanges(in) })
	n.join(in)
	if err := n.supersede(in); err != nil {
		return err
	}
	tasks.Go(func() { n.reconnect(in) })
	last := time.Now()
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return n.leave()
		case <-n.replaced: // this process has been replaced
			n.mu.Lock()
			s, _ := n.view.Get(n.self.Key())
			n.mu.Unlock()
			if s.Status == membership.StatusReplaced {
				n.log.Error("members: a later process has this one's name: it is a member no more; give one of them another name", "name", n.self.Name, "later", s.By)
				end()
				tasks.Wait()
				_ = n.list.Load().Shutdown()
				<-ctx.Done() // whatever else it does, it goes on
				return nil
			}
		case <-tick.C:
			now := time.Now()
			n.runRound(now.Sub(last))
			last = now
		}
	}
}

// supersede makes this process the later one of its name, where its clock says otherwise:
// whoever was there when it came, began before.
func (n *Node) supersede(ctx context.Context) error {
	n.mu.Lock()
	latest, _ := n.view.Latest(n.self.Name)
	n.mu.Unlock()
	if latest.Incarnation <= n.self.Incarnation {
		return nil
	}
	if n.options.Transport != nil {
		return fmt.Errorf("membership: %s is there already, as %s", n.self.Name, latest.Key())
	}
	n.log.Error("members: another process of this name is there, and its start is later by the clock; this one goes before it", "name", n.self.Name, "other", latest.Key())
	if err := n.list.Load().Shutdown(); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	n.mu.Lock()
	n.self.Incarnation = latest.Incarnation + 1
	n.mu.Unlock()
	if err := n.createMemberlist(); err != nil {
		return err
	}
	n.join(ctx)
	return nil
}

// leave says goodbye and stops.
func (n *Node) leave() error {
	n.broadcast(message{Kind: messageLeave, Key: n.self.Key()})
	time.Sleep(2 * gossipInterval) // the goodbye goes out with the next gossip, before SWIM's own word
	err := n.list.Load().Leave(leaveTimeout)
	n.saveCache()
	return errors.Join(err, n.list.Load().Shutdown())
}

// runRound is one round: what is past is forgotten, and others are told what is seen here.
func (n *Node) runRound(since time.Duration) {
	now := n.now()
	n.mu.Lock()
	if since > roundInterval+pauseThreshold {
		n.log.Warn("members: this process was stopped, or had no time to run", "for", since)
		n.resumedAt = now
	}
	healed, done := n.view.Tick(now)
	for host, until := range n.unresponsive {
		if now >= until {
			delete(n.unresponsive, host)
		}
	}
	side, digest := n.view.Partition(), n.view.Digest()
	var others []string
	for _, s := range n.view.List() {
		if s.Status.CountsAsPresent() && s.Key() != n.self.Key() {
			others = append(others, s.Key())
		}
	}
	was := n.partitioned
	n.partitioned = side.Partitioned()
	var to []string
	for range min(membership.DigestFanout, len(others)) {
		i := rand.IntN(len(others))
		to = append(to, others[i])
		others[i] = others[len(others)-1]
		others = others[:len(others)-1]
	}
	n.mu.Unlock()
	switch {
	case n.partitioned && !was:
		n.log.Warn("members: some fell silent", "here", side.Present, "lost", side.Unreachable, "minority", side.Minority())
	case was && !n.partitioned:
		n.log.Info("members: nobody is missing", "here", side.Present)
	}
	if done {
		n.healRounds.Store(uint64(healed))
		n.log.Info("members: all is whole again", "here", side.Present, "rounds", healed)
	}
	n.send(to, message{Kind: messageDigest, Key: n.self.Key(), Digest: digest})
	if n.partitioned != was || done {
		n.notifyChanged()
	}
}
