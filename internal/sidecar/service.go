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

	"barleywick/internal/mutation"
	"barleywick/internal/registry/client"
	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/gate"
	"barleywick/internal/sidecar/handover"
	"barleywick/internal/sidecar/overloadreporter"
	"barleywick/internal/sidecar/policyfollower"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

const poolSweepInterval = time.Second

// service is one running sidecar. Its parts are started in the order of start, and stopped in the
// reverse order.
type service struct {
	config      *config.Config
	options     runOptions
	listener    net.Listener
	predecessor *handover.Predecessor // whose place it takes; nil: there is none

	stops []func() // of the parts that were started

	background context.Context // ends when the background tasks are to end
	tasks      sync.WaitGroup  // the background tasks

	pool           *upstream.Pool
	gate           *gate.Gate
	loop           *eventLoop
	watcher        *client.Watcher
	clientListener *limitedListener
	enforcer       *policyEnforcer
	follower       *policyfollower.Follower // nil: there is no fleet policy
	leaveRoster    context.CancelFunc       // ends the follower
	reporter       *overloadreporter.Reporter
	member         FleetMember
	shutdown       *gracefulShutdown
	handler        *clientHandler
	handoverServer *handover.Server // nil: no successor can come

	// What the parts tell the service.
	served       chan error                 // the HTTP server has ended
	inPlace      chan error                 // this process may accept, or cannot take the predecessor's place
	policyFailed chan error                 // this sidecar cannot act by the fleet policy
	successors   <-chan *handover.Successor // nil: none may come

	accepting bool // it accepts, or did

	reading   bool              // the configuration is being read again
	readAgain bool              // and has to be once more afterwards
	reloaded  chan reloadResult // what was read
}

// reloadResult is a configuration that was read again, or why it cannot be used.
type reloadResult struct {
	fresh *config.Config
	err   error
}

// serve runs a sidecar on a listener, in the place of a predecessor if there is one.
func serve(stop context.Context, reload <-chan os.Signal, c *config.Config, o runOptions, ln net.Listener, old *handover.Predecessor) error {
	s := &service{
		config: c, options: o, listener: ln, predecessor: old,
		served: make(chan error, 1), inPlace: make(chan error, 1), policyFailed: make(chan error, 1),
		reloaded: make(chan reloadResult, 1),
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return err
	}
	return s.run(stop, reload)
}

// start starts the parts, each after those that it needs.
func (s *service) start() error {
	for _, startPart := range []func() error{
		s.startListener,
		s.startUpstreams,
		s.createLoop,
		s.startBackground,
		s.createClientListener,
		s.startPolicyFollower,
		s.startOverloadReporter,
		s.createMember,
		s.startMetrics,
		s.startDiscovery,
		s.startLoop,
		s.startPoolSweep,
		s.createHandler,
		s.startMembership,
		s.startServer,
		s.startAccepting,
	} {
		if err := startPart(); err != nil {
			return err
		}
	}
	return nil
}

// onStop has a part stopped before those that were started earlier.
func (s *service) onStop(stop func()) { s.stops = append(s.stops, stop) }

// stop stops the parts that were started, the last one first.
func (s *service) stop() {
	for _, stop := range slices.Backward(s.stops) {
		stop()
	}
}

// goBackground starts a background task.
func (s *service) goBackground(task func(ctx context.Context)) {
	s.tasks.Go(func() { task(s.background) })
}

func (s *service) startListener() error {
	s.onStop(func() { s.listener.Close() })
	return nil
}

func (s *service) startUpstreams() error {
	c := s.config
	s.pool = upstream.NewPool(c.DialTimeout, c.UpstreamIdleTimeout, c.Connections.Servers, c.Seed)
	s.onStop(s.pool.Close)
	s.gate = gate.New()
	return nil
}

// probePath is the path by which booking servers are probed.
func probePath(c *config.Config) string {
	if c.Policy.LoadReports {
		return "/stats"
	}
	return "/health/live"
}

func (s *service) createLoop() (err error) {
	transport := upstream.NewTransport(s.pool, s.gate, probePath(s.config), s.config.LoadReportColumns)
	if s.loop, err = newEventLoop(s.config, transport, s.gate); err != nil {
		return err
	}
	s.loop.observers.exporter = s.options.exporter
	return nil
}

func (s *service) startBackground() error {
	var end context.CancelFunc
	s.background, end = context.WithCancel(context.Background())
	s.onStop(func() {
		end()
		s.tasks.Wait()
	})
	return nil
}

func (s *service) createClientListener() error {
	s.clientListener = newLimitedListener(s.listener, s.config.Connections.Clients)
	s.onStop(func() { s.clientListener.Close() })
	s.clientListener.gate = s.gate
	s.loop.connections = s.clientListener
	s.loop.counters = []counterLogger{s.clientListener, s.pool, s.gate}
	s.enforcer = newPolicyEnforcer(s.config, s.loop, s.clientListener, s.pool)
	return nil
}

func (s *service) startPolicyFollower() (err error) {
	var ctx context.Context
	ctx, s.leaveRoster = context.WithCancel(s.background)
	s.onStop(s.leaveRoster)
	if s.config.FleetPolicy == nil {
		return nil
	}
	if s.follower, err = policyfollower.New(s.config, s.enforcer); err != nil {
		return err
	}
	s.loop.fleet.policy, s.loop.observers.policy = s.follower, s.follower
	s.tasks.Go(func() {
		if err := s.follower.Run(ctx); err != nil {
			s.policyFailed <- err
		}
	})
	return nil
}

func (s *service) startOverloadReporter() (err error) {
	if s.config.Overload == nil {
		return nil
	}
	if s.reporter, err = overloadreporter.New(s.config, tenantNames(s.config), s.loop); err != nil {
		return err
	}
	s.loop.observers.overload, s.loop.fleet.overload = s.loop.newOverloadCounts(), s.reporter
	s.goBackground(s.reporter.Run)
	return nil
}

func (s *service) createMember() error {
	if s.config.Membership == nil {
		return nil
	}
	if s.options.newMember == nil {
		return errors.New("membership is set, and this program has none: start sidecar-metrics, which has")
	}
	s.member = s.options.newMember(s.config)
	s.loop.fleet.member = s.member
	return nil
}

func (s *service) startMetrics() error {
	if s.options.exporter == nil {
		return nil
	}
	ln, err := net.Listen("tcp", s.config.Metrics.Listen)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	status := &statusReader{loop: s.loop, listener: s.clientListener, pool: s.pool}
	s.goBackground(func(ctx context.Context) { serveMetrics(ctx, s.options.exporter, ln, status) })
	return nil
}

func (s *service) startDiscovery() error {
	c := s.config
	options := client.WatcherOptions{
		Addrs: c.DiscoveryAddrs(), LastKnown: c.KnownEndpoints, Seed: c.Seed, Grace: c.Policy.DrainGrace,
		Deliver: func(listing client.ListUpdate) { s.loop.post(endpointsListed{listing}) },
	}
	if c.Policy.PollList {
		options.MaxStagger = policy.SubscribeDelay(c.Policy.Balancers)
		options.Polls = s.loop.pollRequests
		options.OnLoss = func(loss client.ListLoss) { s.loop.post(listingLost{loss}) }
	}
	s.watcher = client.NewWatcher(options)
	s.goBackground(s.watcher.Follow)
	return nil
}

func (s *service) startLoop() error {
	s.goBackground(s.loop.run)
	return nil
}

func (s *service) startPoolSweep() error {
	s.goBackground(func(ctx context.Context) { sweepPool(ctx, s.pool) })
	return nil
}

// sweepPool closes idle upstream connections in time.
func sweepPool(ctx context.Context, p *upstream.Pool) {
	interval := time.NewTicker(poolSweepInterval)
	defer interval.Stop()
	for {
		select {
		case now := <-interval.C:
			p.Sweep(now)
		case <-ctx.Done():
			return
		}
	}
}

func (s *service) createHandler() error {
	s.shutdown = newGracefulShutdown(s.clientListener, s.gate, policy.ShutdownTimeout(s.config.Policy.Classes))
	s.handler = newClientHandler(s.config, s.loop, s.shutdown)
	s.handler.policyFollower, s.handler.overloadReporter, s.handler.member = s.follower, s.reporter, s.member
	return nil
}

func (s *service) startMembership() error {
	if s.member == nil {
		return nil
	}
	s.goBackground(s.member.Run)
	s.goBackground(func(ctx context.Context) { runMembership(ctx, s.member, s.loop, s.announce) })
	return nil
}

// announce returns what the fleet is told of this sidecar.
func (s *service) announce() (phase string, epoch uint64) {
	if s.follower != nil {
		epoch = s.follower.Status().Epoch
	}
	if p := s.handler.phase(); p != phaseServing {
		phase = p.String()
	}
	return phase, epoch
}

func (s *service) startServer() error {
	server := s.handler.newServer()
	s.onStop(func() { server.Close() })
	go func() { s.served <- server.Serve(s.clientListener) }()
	return nil
}

// startAccepting accepts connections, or takes the predecessor's place first.
func (s *service) startAccepting() error {
	s.onStop(func() {
		if s.handoverServer != nil {
			s.handoverServer.Close()
		}
	})
	if s.predecessor == nil {
		s.StartAccepting()
		return nil
	}
	slog.Info("takeover: taking over from predecessor", "name", s.config.Name, "listen", s.config.Listen)
	s.goBackground(func(ctx context.Context) {
		if err := s.predecessor.TakeOver(ctx, s); err != nil {
			s.inPlace <- err
		}
	})
	return nil
}

var _ handover.NewProcess = (*service)(nil)

// Ready says whether the service has an endpoint list.
func (s *service) Ready() bool { return s.loop.endpointsKnown.Load() }

// StartAccepting accepts connections from now on.
func (s *service) StartAccepting() {
	s.clientListener.start()
	s.inPlace <- nil
}

// ReserveForPredecessor has the balancer leave capacity to the predecessor.
func (s *service) ReserveForPredecessor(reserved []policy.BulkheadCapacity) {
	s.loop.post(predecessorReported{reserved})
}

// run handles what the parts and the operator tell the service, until it has ended.
func (s *service) run(stop context.Context, reload <-chan os.Signal) error {
	for {
		select {
		case err := <-s.served:
			return fmt.Errorf("serve: %w", err)
		case err := <-s.inPlace:
			if err != nil {
				return err
			}
			s.handleInPlace()
		case err := <-s.policyFailed:
			return err
		case successor := <-s.successors:
			if err := s.handleSuccessor(successor); err != nil {
				return err
			}
		case <-stop.Done():
			if !s.accepting && len(s.inPlace) == 0 {
				return nil // the predecessor keeps its place
			}
			stop = context.Background() // once: a second signal changes nothing
			s.handleStop()
		case <-s.shutdown.phaseDue():
			if ended, err := s.advanceShutdown(); ended {
				return err
			}
		case <-reload:
			s.beginReload()
		case result := <-s.reloaded:
			s.finishReload(result)
		}
	}
}

// advanceShutdown takes the shutdown to its next phase. ended says that it was the last, or
// has failed.
func (s *service) advanceShutdown() (ended bool, err error) {
	done, err := s.shutdown.advance()
	if !done && err == nil {
		return false, nil
	}
	s.leaveRoster() // every request is answered
	return true, err
}

// handleInPlace is called when this process accepts connections.
func (s *service) handleInPlace() {
	s.accepting = true
	slog.Info("serving", "name", s.config.Name, "listen", s.config.Listen, "balancers", s.config.Policy.Balancers)
	if s.config.Takeover == nil {
		return
	}
	server, err := handover.Listen(s.config.Handover(), s.listener)
	if err != nil {
		slog.Error("takeover: no successor possible", "err", err)
		return
	}
	s.handoverServer, s.successors = server, server.Successors()
}

// handleSuccessor gives this process's place to a successor.
func (s *service) handleSuccessor(successor *handover.Successor) error {
	if err := s.handoverServer.HandOver(successor); err != nil {
		slog.Warn("takeover: handover failed, still serving", "err", err)
		return nil
	}
	s.successors = nil
	if err := s.shutdown.handOver(); err != nil {
		return err
	}
	s.goBackground(func(ctx context.Context) { successor.ReportReserved(ctx, s.loop.releaseCapacity) })
	return nil
}

// handleStop begins the graceful shutdown.
func (s *service) handleStop() {
	s.successors = nil // a new process would come too late
	s.shutdown.begin()
}

// beginReload begins to read the configuration again. It does so also while the process drains:
// discovery may move while requests are still to be answered. Nothing waits for the read, whose
// disk may hang.
func (s *service) beginReload() {
	if mutation.EndOnReloadInShutdown && s.shutdown.signalled.Load() {
		os.Exit(0)
	}
	if s.reading {
		s.readAgain = true
		return
	}
	s.reading = true
	go func() { // not awaited at the end
		fresh, err := s.config.ReadAgain()
		s.reloaded <- reloadResult{fresh, err}
	}()
}

// finishReload takes over what was read, and begins to read once more if that was asked for
// meanwhile.
func (s *service) finishReload(result reloadResult) {
	s.takeOver(result)
	s.reading = false
	if s.readAgain {
		s.readAgain = false
		s.beginReload()
	}
}

func (s *service) takeOver(result reloadResult) {
	if result.err != nil {
		slog.Error("configuration: reload failed, nothing changed", "err", result.err)
		return
	}
	before := s.config.DiscoveryAddrs()
	s.config.Adopt(result.fresh)
	s.enforcer.configureLimits(s.config.Connections)
	if now := s.config.DiscoveryAddrs(); !slices.Equal(now, before) {
		s.watcher.SetAddrs(now)
	}
}
