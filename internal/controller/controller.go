// Package controller is a process that holds fleet-wide tasks: any number of keepers run,
// and each task is one keeper's at a time, by a lease. Which one's is decided by
// rendezvous hashing over those that are present; a second one stands by.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"barleywick/internal/lease"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

// presenceLeasePrefix begins the names of leases that say which keepers there are. A keeper
// without its own holds no task, so of two processes with one name one is idle.
const presenceLeasePrefix = "keeper:"

// settleTTLs is for how many lease lengths a keeper has to be present before tasks
// are handed over to it: as long as it takes to notice that one has gone, twice.
const settleTTLs = 2

// Controller is one process.
type Controller struct {
	name           string
	ttl            time.Duration
	client         *client.Client
	member         *lease.Manager
	tasks          []Task
	leaseUpdates   chan registry.LeasesResponse // the latest alone
	fleet          *fleetView                   // what its membership tells; nil: it has none
	membersChanged chan struct{}                // the members have changed

	mu   sync.Mutex
	held map[string]*lease.Handle
}

// New makes a keeper of these tasks.
func New(c *Config, tasks func(k *Controller) []Task) (*Controller, error) {
	r, err := client.New(c.Registry, rand.Uint64())
	if err != nil {
		return nil, err
	}
	k := &Controller{name: c.Name, ttl: c.leaseTTL(), client: r.WithAddressMap(c.Routes), held: make(map[string]*lease.Handle), leaseUpdates: make(chan registry.LeasesResponse, 1), membersChanged: make(chan struct{}, 1)}
	k.member = lease.NewManager(lease.Options{
		Registry: r, TTL: k.ttl, OnChange: k.onLeases,
		// The start's time tells the later of two processes. It decides nothing between
		// holders: a clock that was set back costs a place in a line.
		Holder: registry.Holder{Name: c.Name, Incarnation: uint64(time.Now().UnixMicro())},
	})
	if c.Membership != nil {
		if k.fleet, err = joinFleet(c, k); err != nil {
			return nil, err
		}
	}
	k.tasks = tasks(k)
	return k, nil
}

// onLeases keeps the latest news for the loop.
func (k *Controller) onLeases(news registry.LeasesResponse) {
	select {
	case <-k.leaseUpdates:
	default:
	}
	k.leaseUpdates <- news // there is one that hears
}

// Run holds tasks until ctx ends, and gives them up then.
func (k *Controller) Run(ctx context.Context) error {
	defer k.client.Close()
	// Claims are given up after ctx has ended: what renews them goes on until then.
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	running.Go(func() { k.member.Run(life) })
	if k.fleet != nil {
		running.Go(func() { k.fleet.run(life) })
	}
	defer running.Wait()
	defer end()
	for {
		err := k.member.Hold(ctx, presenceLeasePrefix+k.name, func(ctx context.Context, _ *lease.Handle) error {
			k.present(ctx)
			return ctx.Err()
		})
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("keeper %s: %w", k.name, err)
		}
	}
}

// present claims tasks and hands them over for as long as this keeper is present.
func (k *Controller) present(ctx context.Context) {
	s := &placement{settle: settleTTLs * k.ttl}
	running := make(map[string]context.CancelFunc)
	var all sync.WaitGroup
	defer all.Wait()
	var news registry.LeasesResponse
	tick := time.NewTicker(k.ttl / 2) // what has settled is nobody's news
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case news = <-k.leaseUpdates:
		case <-k.membersChanged:
		case <-tick.C:
		}
		if news.Version == 0 {
			continue
		}
		now := lease.BootTime()
		var present []string
		leases := make(map[string]registry.Lease, len(news.Leases))
		for _, l := range news.Leases {
			leases[l.Name] = l
			if name, ok := strings.CutPrefix(l.Name, presenceLeasePrefix); ok && l.Grant != nil && l.Grant.Name == name && !k.fleet.hasEnded(l.Grant.Holder) {
				present = append(present, name)
			}
		}
		s.update(present, now)
		for _, t := range k.tasks {
			claims, stop := s.shouldClaim(t.LeaseName, k.name), running[t.LeaseName]
			holds := k.term(t.LeaseName) != nil
			if t.Timed && k.fleet.inMinority() {
				claims, holds = false, false // it stops also what it holds
			}
			switch {
			case claims && stop == nil:
				in, cancel := context.WithCancel(ctx)
				running[t.LeaseName] = cancel
				all.Go(func() { k.hold(in, t) })
			case !claims && stop != nil && !holds: // it stands by no longer
				stop()
				delete(running, t.LeaseName)
			case holds:
				var waiting []string
				for _, c := range leases[t.LeaseName].Queue {
					if k.fleet.canReceive(c.Holder) {
						waiting = append(waiting, c.Name)
					}
				}
				if to, hand := s.handOverTarget(t.LeaseName, k.name, waiting, now); hand {
					k.HandOver(t.LeaseName, to)
				}
			}
		}
	}
}

// hold runs a task whenever its lease is this keeper's, until ctx ends.
func (k *Controller) hold(ctx context.Context, t Task) {
	for ctx.Err() == nil {
		err := k.member.Hold(ctx, t.LeaseName, func(ctx context.Context, term *lease.Handle) error {
			k.setTerm(t.LeaseName, term)
			defer k.setTerm(t.LeaseName, nil)
			if err := t.Run(ctx, term); err != nil {
				return err
			}
			return ctx.Err()
		})
		if ctx.Err() == nil {
			slog.Error("keeper: a task cannot be held", "lease", t.LeaseName, "err", err)
			select {
			case <-time.After(k.ttl):
			case <-ctx.Done():
			}
		}
	}
}

func (k *Controller) setTerm(name string, t *lease.Handle) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t == nil {
		delete(k.held, name)
		return
	}
	k.held[name] = t
}

func (k *Controller) term(name string) *lease.Handle {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held[name]
}

// HeldTokens are the tasks that it holds, with their tokens.
func (k *Controller) HeldTokens() map[string]uint64 {
	k.mu.Lock()
	terms := make([]*lease.Handle, 0, len(k.held))
	for _, t := range k.held {
		terms = append(terms, t)
	}
	k.mu.Unlock()
	held := make(map[string]uint64, len(terms))
	for _, t := range terms {
		held[t.LeaseName()] = t.Token()
	}
	return held
}

// HandOver stops a task and gives its lease to another keeper that waits for it.
func (k *Controller) HandOver(name, to string) {
	if t := k.term(name); t != nil {
		slog.Info("keeper: handing over", "lease", name, "to", to)
		t.HandOver(to)
	}
}

// pause waits, or returns ctx's error.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
