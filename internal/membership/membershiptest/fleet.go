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

// fleetName is part of every packet, so it counts in the measured bytes.
const fleetName = "trial"

// seedCount is the number of members that all members have as seeds.
const seedCount = 3

// Fleet is a fleet of members in one process.
type Fleet struct {
	Network *Network
	Members []*Member
	tasks   sync.WaitGroup
}

// Member is one member of a Fleet.
type Member struct {
	*gossip.Node
	index   int
	network *Network
	cancel  context.CancelFunc
	stopped bool
}

// StartFleet starts members with the same seeds.
func StartFleet(network *Network, members int, probeInterval time.Duration, logger *slog.Logger) (*Fleet, error) {
	f := &Fleet{Network: network}
	for i := range members {
		if err := f.Add(i, fmt.Sprint("m", i), 0, probeInterval, logger); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// Add starts one more member. With incarnation 0, the member takes one from its clock.
func (f *Fleet) Add(index int, name string, incarnation uint64, probeInterval time.Duration, logger *slog.Logger) error {
	config := membership.Config{Fleet: fleetName, Listen: Addr(index), ProbeMS: probeInterval.Milliseconds()}
	for i := range seedCount {
		config.Seeds = append(config.Seeds, Addr(i))
	}
	node, err := gossip.Start(gossip.Options{
		Config: config, Transport: f.Network.Transport(index), Logger: logger,
		Self: membership.Info{Name: name, Role: membership.RoleSidecar, Incarnation: incarnation},
	})
	if err != nil {
		return fmt.Errorf("membershiptest: member %d: %w", index, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.Members = append(f.Members, &Member{Node: node, index: index, network: f.Network, cancel: cancel})
	f.tasks.Go(func() {
		if err := node.Run(ctx); err != nil {
			logger.Error("membershiptest: member failed", "member", name, "err", err)
		}
	})
	return nil
}

// Kill stops a member without an announcement.
func (m *Member) Kill() {
	m.network.close(m.index)
	m.Leave()
}

// Leave stops a member, which announces that it leaves if the network permits.
func (m *Member) Leave() {
	m.stopped = true
	m.cancel()
}

// Stop kills all members and waits until they have ended.
func (f *Fleet) Stop() {
	for _, m := range f.Members {
		m.Kill()
	}
	f.tasks.Wait()
}

// Running returns the members that have neither been killed nor left.
func (f *Fleet) Running() (running []*Member) {
	for _, m := range f.Members {
		if !m.stopped {
			running = append(running, m)
		}
	}
	return running
}

// Agree reports whether the views of members are equal and have the given number of members present.
func Agree(members []*Member, present int) bool {
	var digest string
	for _, m := range members {
		view := m.View()
		if digest == "" {
			digest = view.Digest
		}
		if view.Present != present || view.Digest != digest {
			return false
		}
	}
	return true
}

// pollInterval is the time between two evaluations of a condition by WaitUntil.
const pollInterval = 50 * time.Millisecond

// WaitUntil waits until a condition holds, and returns how long that took. It returns an error after a
// timeout.
func WaitUntil(timeout time.Duration, condition func() bool) (time.Duration, error) {
	start := time.Now()
	for !condition() {
		if time.Since(start) > timeout {
			return 0, fmt.Errorf("condition not met within %v", timeout)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start), nil
}

// totals are sums over members since their start.
type totals struct {
	suspicions, unreachable uint64
	bytes, packets          float64
}

func sumStats(members []*Member) (sum totals) {
	for _, m := range members {
		stats := m.Stats()
		sum.suspicions += stats.Suspicions
		sum.unreachable += stats.Unreachable
		sum.bytes += float64(stats.BytesSent)
		sum.packets += float64(stats.PacketsSent)
	}
	return sum
}
