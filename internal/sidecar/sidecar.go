// Package sidecar runs the decision module on real sockets: it takes requests
// from the application beside it, carries them to upstreams as the module
// decides, and follows discovery. It decides nothing itself.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"barleywick/internal/registry/client"
	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/gate"
	"barleywick/internal/sidecar/handover"
	"barleywick/internal/sidecar/overloadreporter"
	"barleywick/internal/sidecar/policyfollower"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

const sweepEvery = time.Second

// Option adds a part to a sidecar that not every program links, as it takes memory whether the
// configuration names it or not.
type Option func(*runOptions)

type runOptions struct {
	exporter  MetricsExporter
	newMember func(*config.Config) FleetMember
}

// WithMetrics has a sidecar measured, and its metrics served where the configuration says.
func WithMetrics(e MetricsExporter) Option { return func(o *runOptions) { o.exporter = e } }

// WithMembership says what makes a sidecar a member of the fleet where its configuration asks for it.
func WithMembership(newMember func(*config.Config) FleetMember) Option {
	return func(o *runOptions) { o.newMember = newMember }
}

// Run listens and serves until stop is done, then finishes what was taken. At
// each value of reload it reads its configuration again. Where the configuration
// says how, it takes the place of a process that serves already, and lets another
// take its own.
func Run(stop context.Context, reload <-chan os.Signal, c *config.Config, opts ...Option) error {
	var o runOptions
	for _, set := range opts {
		set(&o)
	}
	if c.Takeover != nil {
		old, err := handover.Connect(c.Handover())
		if err == nil {
			defer old.Close()
			return serve(stop, reload, c, o, old.Listener(), old)
		}
		if !errors.Is(err, handover.ErrNoPredecessor) {
			return err
		}
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	return serve(stop, reload, c, o, ln, nil)
}

// probePath is where servers are probed.
func probePath(c *config.Config) string {
	if c.Policy.LoadReports {
		return "/stats"
	}
	return "/health/live"
}

// serve runs a sidecar on a listener, and in the place of an old process if there is one.
func serve(stop context.Context, reload <-chan os.Signal, c *config.Config, o runOptions, ln net.Listener, old *handover.Predecessor) error {
	defer ln.Close()
	pool := upstream.NewPool(c.DialTimeout, c.UpstreamIdleTimeout, c.Connections.Servers, c.Seed)
	defer pool.Close()
	sendGate := gate.New()
	transport := upstream.NewTransport(pool, sendGate, probePath(c), c.LoadReportColumns)
	l, err := newEventLoop(c, transport, sendGate)
	if err != nil {
		return err
	}
	l.exporter = o.exporter
	run, end := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	defer func() {
		end()
		loops.Wait()
	}()
	discovery := client.WatcherOptions{
		Addrs: c.DiscoveryAddrs(), LastKnown: c.KnownEndpoints, Seed: c.Seed, Grace: c.Policy.DrainGrace,
		Deliver: func(news client.ListUpdate) { l.post(endpointsListed{news}) },
	}
	if c.Policy.PollList {
		discovery.MaxStagger = policy.SubscribeDelay(c.Policy.Balancers)
		discovery.Polls, discovery.OnLoss = l.pollRequests, func(loss client.ListLoss) { l.post(listingLost{loss}) }
	}
	d := client.NewWatcher(discovery)
	limited := newLimitedListener(ln, c.Connections.Clients)
	defer limited.Close()
	enforcer := &policyEnforcer{config: c, loop: l, listener: limited, pool: pool}
	governed, dismiss := context.WithCancel(run)
	defer dismiss()
	l.activeConnections = limited.possiblyActive
	limited.gate = sendGate
	l.logOtherCounters = func() {
		limited.logCounters()
		pool.LogCounters()
		sendGate.LogCounters()
	}
	var gov *policyfollower.Follower
	ungoverned := make(chan error, 1)
	if c.FleetPolicy != nil {
		gov, err = policyfollower.New(c, enforcer)
		if err != nil {
			return err
		}
		l.admits, l.policyStatus, l.recordOutcome = gov.Admitting, gov.Status, gov.RecordRequest
		loops.Go(func() {
			if err := gov.Run(governed); err != nil {
				ungoverned <- err
			}
		})
	}
	var adv *overloadreporter.Reporter
	if c.Overload != nil {
		if adv, err = overloadreporter.New(c, l.tenantNames(), l); err != nil {
			return err
		}
		l.countForOverload()
		l.adviceStatus = adv.Status
		loops.Go(func() { adv.Run(run) })
	}
	var member FleetMember
	if c.Membership != nil {
		if o.newMember == nil {
			return errors.New("membership is set, and this program has none: start barleywick-metered, which has")
		}
		member = o.newMember(c)
		l.reportUnresponsive = member.ReportUnresponsive
	}
	measure, err := serveMetrics(run, c, l, limited, pool)
	if err != nil {
		return err
	}
	if measure != nil {
		loops.Go(measure)
	}
	loops.Go(func() { d.Follow(run) })
	loops.Go(func() { l.run(run) })
	loops.Go(func() { sweep(run, pool) })

	ending := newGracefulShutdown(limited, sendGate, policy.ShutdownTimeout(c.Policy.Classes))
	clients := newClientHandler(c, l, ending)
	clients.governor, clients.adviser, clients.member = gov, adv, member
	if member != nil {
		loops.Go(func() { member.Run(run) })
		loops.Go(func() {
			runMembership(run, member, l, func() (phase string, epoch uint64) {
				if gov != nil {
					epoch = gov.Status().Epoch
				}
				if p := clients.phase(); p != phaseServing {
					phase = p.String()
				}
				return phase, epoch
			})
		})
	}
	server := clients.newServer()
	defer server.Close()
	served := make(chan error, 1)
	go func() { served <- server.Serve(limited) }()
	took := make(chan error, 1)
	if old == nil {
		limited.start()
		took <- nil
	} else {
		slog.Info("takeover: taking over from predecessor", "name", c.Name, "listen", c.Listen)
		loops.Go(func() {
			if err := old.TakeOver(run, &newProcess{loop: l, listener: limited, started: took}); err != nil {
				took <- err
			}
		})
	}
	inPlace := false // it serves, or did
	var offered *handover.Server
	var asked <-chan *handover.Successor
	defer func() {
		if offered != nil {
			offered.Close()
		}
	}()
	for {
		select {
		case err := <-served:
			return fmt.Errorf("serve: %w", err)
		case err := <-took:
			if err != nil {
				return err
			}
			inPlace = true
			slog.Info("serving", "name", c.Name, "listen", c.Listen, "balancers", c.Policy.Balancers)
			if c.Takeover == nil {
				continue
			}
			if offered, err = handover.Listen(c.Handover(), ln); err != nil {
				slog.Error("takeover: no successor possible", "err", err)
				continue
			}
			asked = offered.Successors()
		case err := <-ungoverned:
			return err
		case next := <-asked:
			if err := offered.HandOver(next); err != nil {
				slog.Warn("takeover: handover failed, still serving", "err", err)
				continue
			}
			asked = nil
			if err := ending.handOver(); err != nil {
				return err
			}
			loops.Go(func() { next.ReportReserved(run, l.releaseCapacity) })
		case <-stop.Done():
			if !inPlace && len(took) == 0 {
				return nil // the old process goes on
			}
			stop = context.Background() // once: a second signal changes nothing
			asked = nil                 // a new process would come too late
			ending.begin()
		case <-ending.phaseDue():
			if done, err := ending.advance(); done || err != nil {
				dismiss() // it has answered all: it gives its seat up
				return err
			}
		case <-reload: // also while it drains: discovery may move, and answers are owed still
			was := c.DiscoveryAddrs()
			if err := c.Reload(); err != nil {
				slog.Error("configuration: the old one stays in force", "err", err)
				continue
			}
			enforcer.applyConnectionLimits()
			if now := c.DiscoveryAddrs(); !slices.Equal(now, was) {
				d.SetAddrs(now)
			}
		}
	}
}

// newProcess is this process as it takes a predecessor's place.
type newProcess struct {
	loop     *eventLoop
	listener *limitedListener
	started  chan<- error // gets nil when the place is this process's
}

func (p *newProcess) Ready() bool { return p.loop.ready.Load() }

func (p *newProcess) StartAccepting() {
	p.listener.start()
	p.started <- nil
}

func (p *newProcess) ReserveForPredecessor(reserved []policy.BulkheadCapacity) {
	p.loop.post(predecessorReported{reserved})
}

// sweep closes idle upstream connections in time.
func sweep(ctx context.Context, p *upstream.Pool) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			p.Sweep(now)
		case <-ctx.Done():
			return
		}
	}
}
