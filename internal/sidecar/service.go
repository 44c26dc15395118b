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

	"barleywick/internal/httpinput"
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

const (
	poolSweepInterval = time.Second
	// uselessConnectionRate multiplies the rate of connections of no use, as every client's new connections wait behind them.
	uselessConnectionRate = 4
)

// service is a running sidecar. Its components are started in the order given in start, and stopped in
// the reverse order.
type service struct {
	config      *config.Config
	options     runOptions
	listener    net.Listener
	predecessor *handover.Predecessor // the process to take over from; nil: none

	stopFuncs []func() // of the components that were started

	background context.Context // cancelled to end the background tasks
	tasks      sync.WaitGroup  // the background tasks

	pool           *upstream.Pool
	responses      *upstream.ResponseMemory
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
	handoverServer *handover.Server // nil: no successor can connect

	// Messages from the components to the service.
	serverEnded   chan error                 // the HTTP server's error when it has ended
	acceptStarted chan error                 // nil when this process accepts connections, or the error of the take-over
	policyFailed  chan error                 // this sidecar cannot apply the fleet policy
	successors    <-chan *handover.Successor // nil: no successor is accepted

	accepting bool // this process has begun to accept connections

	reloading     bool              // a reload of the configuration is in progress
	reloadPending bool              // another reload was requested meanwhile
	reloaded      chan reloadResult // the result of a reload
}

// reloadResult is a reloaded configuration, or the reason why it cannot be used.
type reloadResult struct {
	config *config.Config
	err    error
}

// serve runs a sidecar on a listener. It takes over from predecessor if that is not nil.
func serve(stop context.Context, reload <-chan os.Signal, c *config.Config, o runOptions, ln net.Listener, predecessor *handover.Predecessor) error {
	s := &service{
		config: c, options: o, listener: ln, predecessor: predecessor,
		serverEnded: make(chan error, 1), acceptStarted: make(chan error, 1), policyFailed: make(chan error, 1),
		reloaded: make(chan reloadResult, 1),
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return err
	}
	return s.run(stop, reload)
}

// start starts the components, each after those that it depends on.
func (s *service) start() error {
	for _, startComponent := range []func() error{
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
		if err := startComponent(); err != nil {
			return err
		}
	}
	return nil
}

// onStop registers a function that stops a component. The functions are called in reverse order.
func (s *service) onStop(stop func()) { s.stopFuncs = append(s.stopFuncs, stop) }

// stop stops the components that were started, the last one first.
func (s *service) stop() {
	for _, stop := range slices.Backward(s.stopFuncs) {
		stop()
	}
}

// startTask starts a background task, which ends when its context is cancelled.
func (s *service) startTask(task func(ctx context.Context)) {
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

// probePath returns the request path of probes to booking servers.
func probePath(c *config.Config) string {
	if c.Policy.LoadReports {
		return "/stats"
	}
	return "/health/live"
}

func (s *service) createLoop() (err error) {
	transport := upstream.NewTransport(s.pool, s.gate, probePath(s.config), s.config.LoadReportColumns)
	limits := s.config.Limits.Memory()
	s.responses = upstream.NewResponseMemory(limits.Responses, limits.Oversize)
	transport.LimitMemory(s.responses)
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
	pacing := httpinput.Pacing(s.config.Limits.Cores)
	pacing.UselessInterval /= uselessConnectionRate
	memory := httpinput.NewMemory(s.config.Limits.Memory().Requests, pacing)
	logger := memoryLogger{memory, s.responses}
	memory.OnLimit = logger.logShortage
	s.clientListener.memory = memory
	s.loop.connections = s.clientListener
	s.loop.counters = []counterLogger{s.clientListener, logger, s.pool, s.gate}
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
	s.startTask(s.reporter.Run)
	return nil
}

func (s *service) createMember() error {
	if s.config.Membership == nil {
		return nil
	}
	if s.options.newMember == nil {
		return errors.New("membership is configured, but this program is built without it: run sidecar-metrics instead")
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
		return fmt.Errorf("listen for metrics: %w", err)
	}
	status := &statusReader{loop: s.loop, listener: s.clientListener, pool: s.pool}
	s.startTask(func(ctx context.Context) { serveMetrics(ctx, s.options.exporter, ln, status) })
	return nil
}

func (s *service) startDiscovery() error {
	c := s.config
	options := client.WatcherOptions{
		Addrs: c.DiscoveryAddrs(), LastKnown: c.KnownEndpoints, Seed: c.Seed, DrainGrace: c.Policy.DrainGrace,
		Deliver: func(listing client.ListUpdate) { s.loop.post(endpointsListed{listing}) },
	}
	if c.Policy.PollList {
		options.MaxStagger = policy.SubscribeDelay(c.Policy.Balancers, c.Policy.DrainGrace)
		options.Polls = s.loop.pollRequests
		options.OnLoss = func(loss client.ListLoss) { s.loop.post(listingLost{loss}) }
	}
	s.watcher = client.NewWatcher(options)
	s.loop.discovery = s.watcher.Status
	s.loop.counters = append(s.loop.counters, discoveryLogger{s.watcher.Status})
	s.startTask(s.watcher.Follow)
	return nil
}

func (s *service) startLoop() error {
	s.startTask(s.loop.run)
	return nil
}

func (s *service) startPoolSweep() error {
	s.startTask(func(ctx context.Context) { sweepPool(ctx, s.pool) })
	return nil
}

// sweepPool regularly closes upstream connections that have been idle for too long.
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
	s.startTask(s.member.Run)
	s.startTask(func(ctx context.Context) { runMembership(ctx, s.member, s.loop, s.announce) })
	return nil
}

// announce returns the phase and the policy epoch that this sidecar announces to the fleet.
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
	go func() { s.serverEnded <- server.Serve(s.clientListener) }()
	return nil
}

// startAccepting starts accepting connections, after the take-over from a predecessor if there is one.
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
	s.startTask(func(ctx context.Context) {
		if err := s.predecessor.TakeOver(ctx, s); err != nil {
			s.acceptStarted <- err
		}
	})
	return nil
}

var _ handover.SuccessorProcess = (*service)(nil)

// Ready reports whether the service has an endpoint list.
func (s *service) Ready() bool { return s.loop.endpointsKnown.Load() }

// StartAccepting starts accepting connections.
func (s *service) StartAccepting() {
	s.clientListener.start()
	s.acceptStarted <- nil
}

// ReserveForPredecessor makes the balancer leave capacity to the predecessor.
func (s *service) ReserveForPredecessor(reserved []policy.BulkheadCapacity) {
	s.loop.post(predecessorReported{reserved})
}

// run handles messages from the components and signals from the operator until the service has ended.
func (s *service) run(stop context.Context, reload <-chan os.Signal) error {
	for {
		select {
		case err := <-s.serverEnded:
			return fmt.Errorf("serve client connections: %w", err)
		case err := <-s.acceptStarted:
			if err != nil {
				return err
			}
			s.handleAcceptStarted()
		case err := <-s.policyFailed:
			return err
		case successor := <-s.successors:
			if err := s.handleSuccessor(successor); err != nil {
				return err
			}
		case <-stop.Done():
			if !s.accepting && len(s.acceptStarted) == 0 {
				return nil // the predecessor keeps serving
			}
			stop = context.Background() // a second signal has no effect
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

// advanceShutdown moves the shutdown to its next phase. ended is true if that phase is the last one, or
// the shutdown has failed.
func (s *service) advanceShutdown() (ended bool, err error) {
	done, err := s.shutdown.advance()
	if !done && err == nil {
		return false, nil
	}
	s.leaveRoster() // all requests have been answered
	return true, err
}

// handleAcceptStarted is called once this process accepts connections.
func (s *service) handleAcceptStarted() {
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

// handleSuccessor hands over to a successor, and starts the shutdown of this process.
func (s *service) handleSuccessor(successor *handover.Successor) error {
	if err := s.handoverServer.HandOver(successor); err != nil {
		slog.Warn("takeover: handover failed, still serving", "err", err)
		return nil
	}
	s.successors = nil
	if err := s.shutdown.handOver(); err != nil {
		return err
	}
	s.startTask(func(ctx context.Context) { successor.ReportReserved(ctx, s.loop.releaseCapacity) })
	return nil
}

// handleStop begins the graceful shutdown.
func (s *service) handleStop() {
	s.successors = nil // too late to hand over to a successor
	s.shutdown.start()
}

// beginReload starts reading the configuration again, even while the process drains: the discovery address
// may change while requests are in progress. The read runs in the background, as the disk may hang.
func (s *service) beginReload() {
	if mutation.EndOnReloadInShutdown && s.shutdown.signalled.Load() {
		os.Exit(0)
	}
	if s.reloading {
		s.reloadPending = true
		return
	}
	s.reloading = true
	go func() { // not awaited when the service stops
		reread, err := s.config.Reload()
		s.reloaded <- reloadResult{reread, err}
	}()
}

// finishReload applies the result of a reload, and starts another reload if one was requested meanwhile.
func (s *service) finishReload(result reloadResult) {
	s.applyReload(result)
	s.reloading = false
	if s.reloadPending {
		s.reloadPending = false
		s.beginReload()
	}
}

func (s *service) applyReload(result reloadResult) {
	if result.err != nil {
		slog.Error("configuration: reload failed, nothing changed", "err", result.err)
		return
	}
	before := s.config.DiscoveryAddrs()
	s.config.ApplyReloaded(result.config)
	s.enforcer.configureLimits(s.config.Connections)
	if now := s.config.DiscoveryAddrs(); !slices.Equal(now, before) {
		s.watcher.SetAddrs(now)
	}
}
