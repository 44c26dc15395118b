package membershiptest

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"barleywick/internal/membership"
	"barleywick/internal/membership/gossip"
)

// Fleet is members in one process.
type Fleet struct {
	Net     *Network
	Members []*Member
	tasks   sync.WaitGroup
}

// Member is one of them.
type Member struct {
	*gossip.Node
	index   int
	net     *Network
	stop    context.CancelFunc
	stopped bool
}

// seedCount is how many members all know the addresses of.
const seedCount = 3

// StartFleet starts members that all know the same few. They probe each other at a pace.
func StartFleet(net *Network, members int, probe time.Duration, log *slog.Logger) (*Fleet, error) {
	f := &Fleet{Net: net}
	for i := range members {
		if err := f.Add(i, fmt.Sprint("m", i), 0, probe, log); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// Add starts one member more.
func (f *Fleet) Add(at int, name string, incarnation uint64, probe time.Duration, log *slog.Logger) error {
	c := membership.Config{Fleet: "trial", Listen: Addr(at), ProbeMS: probe.Milliseconds()}
	for i := range seedCount {
		c.Seeds = append(c.Seeds, Addr(i))
	}
	node, err := gossip.Start(gossip.Options{
		Config: c, Transport: f.Net.Transport(at), Logger: log,
		Self: membership.Info{Name: name, Role: membership.RoleSidecar, Incarnation: incarnation},
	})
	if err != nil {
		return fmt.Errorf("trial: member %d: %w", at, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Member{Node: node, index: at, net: f.Net, stop: cancel}
	f.Members = append(f.Members, m)
	f.tasks.Go(func() {
		if err := node.Run(ctx); err != nil {
			log.Error("trial: a member ended", "member", name, "err", err)
		}
	})
	return nil
}

// Kill ends a member without a word.
func (m *Member) Kill() {
	m.net.mu.Lock()
	m.net.nodes[Addr(m.index)].dead = true
	m.net.mu.Unlock()
	m.stopped = true
	m.stop()
}

// Leave has a member say goodbye.
func (m *Member) Leave() {
	m.stopped = true
	m.stop()
}

// Stop ends all members, without goodbyes.
func (f *Fleet) Stop() {
	for _, m := range f.Members {
		m.Kill()
	}
	f.tasks.Wait()
}

// Running are the members that run.
func (f *Fleet) Running() (some []*Member) {
	for _, m := range f.Members {
		if !m.stopped {
			some = append(some, m)
		}
	}
	return some
}

// Agree says whether some members all see the same fleet, of a size.
func Agree(some []*Member, size int) bool {
	var digest string
	for _, m := range some {
		a := m.View()
		if digest == "" {
			digest = a.Digest
		}
		if a.Present != size || a.Digest != digest {
			return false
		}
	}
	return true
}

const pollInterval = 50 * time.Millisecond

// WaitUntil waits until something holds, and returns how long that took.
func WaitUntil(within time.Duration, holds func() bool) (time.Duration, error) {
	began := time.Now()
	for !holds() {
		if time.Since(began) > within {
			return 0, fmt.Errorf("not within %v", within)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(began), nil
}

// Suspicions are how often living members took each other for silent, and lost each other.
func (f *Fleet) Suspicions() (suspected, lost uint64) {
	for _, m := range f.Running() {
		c := m.Stats()
		suspected += c.Suspicions
		lost += c.Unreachable
	}
	return suspected, lost
}
