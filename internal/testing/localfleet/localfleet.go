// Package localfleet runs a scenario on real sockets: registry replicas as the discovery service,
// the emulator's servers behind listeners, real sidecar processes, and clients of the protocol. All
// of it runs on loopback and ends before Run returns.
package localfleet

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"barleywick/internal/addressmap"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
	"barleywick/internal/registry/server"
	"barleywick/internal/simulation/emulator"
	"barleywick/internal/testing/loadgen"
	"barleywick/policy"
)

// Options configure a run.
type Options struct {
	Scenario *emulator.Scenario
	Seed     uint64
	Program  string                 // path of the sidecar executable
	Registry int                    // number of registry replicas; 0 means 1
	Logs     string                 // folder for the sidecars' logs; if empty, the logs are removed at the end
	Progress func(*emulator.Record) // called once a second with the record so far; may be nil
}

// localFleet is the state of a run.
type localFleet struct {
	scenario      *emulator.Scenario
	seed          uint64
	program       string
	dir           string // temporary, removed at the end
	logDir        string
	began         time.Time     // corresponds to emulator.StartTime
	arrivalsStart time.Duration // start of the calls, relative to began
	random        *rand.Rand
	fleet         *emulator.Fleet
	links         *linkSet
	replicas      int
	sidecars      []*sidecarProcess
	registry      *client.Client
	tasks         sync.WaitGroup // background goroutines

	mu             sync.Mutex // guards the fields below
	record         *emulator.Record
	checker        *emulator.Checker
	servers        []*bookingServer
	attempts       map[string]*openAttempt // open attempts, by Request-Id
	nextID         policy.RequestID
	malformedShare float64 // fraction of the responses that are malformed
	resetShare     float64 // fraction of the requests that are reset
	failure        error   // the first failure of the run itself
}

// openAttempt is an attempt of a client that has no result yet.
type openAttempt struct {
	id       policy.RequestID
	call     emulator.Call
	deadline time.Duration
	sends    int
}

// Limits of a run, since all its processes share one machine.
const (
	maxSidecars = 64
	maxServers  = 256
	maxRate     = 5000
	// maxListDelay is less than the silence after which a sidecar reopens a watch.
	maxListDelay = 2500 * time.Millisecond
)

// supportedFaults are the faults that can be injected on real sockets.
var supportedFaults = []string{"slow", "fast_errors", "neighbour", "heavy_tail", "burst", "kill", "vanish", "zone_lost", "partition", "list_down", "stale_list", "replace", "herd", "roll", "spoilt", "reset", "bad_clients"}

// Check returns an error if a scenario cannot be run on real sockets.
func Check(sc *emulator.Scenario) error {
	if err := sc.Check(); err != nil {
		return err
	}
	switch rate := sc.Rate(); {
	case sc.Sidecars > maxSidecars:
		return fmt.Errorf("localfleet: sidecars is %d, want at most %d on one machine", sc.Sidecars, maxSidecars)
	case sc.Servers > maxServers:
		return fmt.Errorf("localfleet: servers is %d, want at most %d on one machine", sc.Servers, maxServers)
	case rate > maxRate:
		return fmt.Errorf("localfleet: load and servers result in %.0f requests a second, want at most %d", rate, maxRate)
	}
	for i, t := range sc.Faults {
		if t.Name == "stale_list" && time.Duration(t.Extra) > maxListDelay {
			return fmt.Errorf("localfleet: troubles[%d]: stale_list: extra is %v, %v at most: sidecars reopen a watch that is silent for longer", i, time.Duration(t.Extra), maxListDelay)
		}
		if !slices.Contains(supportedFaults, t.Name) {
			return fmt.Errorf("localfleet: troubles[%d]: fault %s is supported only in simulated time; real sockets support %v", i, t.Name, supportedFaults)
		}
	}
	return nil
}

// Run runs a scenario to its end, or until ctx ends; the record then covers the part that was run.
// When Run returns, none of its processes, listeners and temporary files is left.
func Run(ctx context.Context, o Options) (rec *emulator.Record, err error) {
	if err := Check(o.Scenario); err != nil {
		return nil, err
	}
	if o.Registry != 0 && o.Registry != 1 && o.Registry != 3 {
		return nil, fmt.Errorf("localfleet: registry has %d replicas, want 1 or 3", o.Registry)
	}
	l := &localFleet{replicas: max(1, o.Registry), began: time.Now(), scenario: o.Scenario, seed: o.Seed, program: o.Program, logDir: o.Logs, attempts: make(map[string]*openAttempt)}
	if l.dir, err = os.MkdirTemp("", "localfleet-"); err != nil {
		return nil, fmt.Errorf("localfleet: %w", err)
	}
	defer os.RemoveAll(l.dir)
	if l.logDir == "" {
		l.logDir = l.dir
	}
	l.random = rand.New(rand.NewPCG(o.Seed, 0))
	l.fleet = emulator.NewFleet(o.Scenario, o.Seed, l.random)
	l.links = newLinks(l)
	defer l.links.close()
	l.record = emulator.NewRecord(o.Scenario, o.Seed)
	l.checker = emulator.NewSocketChecker(o.Scenario, l.fleet)
	registryCtx, stopRegistry := context.WithCancel(context.Background())
	defer func() {
		l.stop()
		stopRegistry()
		l.tasks.Wait()
		if err == nil {
			err = l.failure
		}
	}()
	if err := l.start(ctx, registryCtx); err != nil {
		if ctx.Err() != nil {
			return l.finish(true), ctx.Err()
		}
		return nil, err
	}
	interrupted := l.sendCalls(ctx, o.Progress)
	if rec = l.finish(interrupted); interrupted {
		return rec, ctx.Err()
	}
	return rec, nil
}

// now returns the time of the emulator's model.
func (l *localFleet) now() time.Duration { return emulator.StartTime + time.Since(l.began) }

// fail records the first failure of the run itself.
func (l *localFleet) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure == nil {
		l.failure = err
	}
}

func (l *localFleet) updateRecord(update func(*emulator.Record)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update(l.record)
}

// start starts the registry, the servers and the sidecars.
func (l *localFleet) start(ctx, registryCtx context.Context) error {
	discovery, err := l.startRegistry(ctx, registryCtx)
	if err != nil {
		return err
	}
	for _, sv := range l.fleet.Servers {
		if err := l.addServer(sv, false); err != nil {
			return err
		}
	}
	if err := l.awaitListed(ctx); err != nil {
		return err
	}
	starts := make(chan error, l.scenario.Sidecars)
	for i := range l.scenario.Sidecars {
		s := &sidecarProcess{owner: l, index: i}
		if s.log, err = os.Create(filepath.Join(l.logDir, fmt.Sprintf("n%d.log", i))); err != nil {
			return fmt.Errorf("localfleet: %w", err)
		}
		l.sidecars = append(l.sidecars, s)
		addrs, err := l.links.listAddrs(i, discovery)
		if err != nil {
			return err
		}
		if err := s.prepare(addrs); err != nil {
			return err
		}
	}
	for _, s := range l.sidecars {
		go func() { starts <- s.start(ctx) }() // received below
	}
	for range l.sidecars { // receives all results and keeps the first error
		err = cmp.Or(err, <-starts)
	}
	for _, s := range l.sidecars {
		s.up = true
	}
	return err
}

// startRegistry runs the replicas of the registry in this process and returns the addresses on which
// they serve. The connections between replicas go over links.
func (l *localFleet) startRegistry(ctx, registryCtx context.Context) (discovery []string, err error) {
	members := make([]registry.ReplicaInfo, l.replicas)
	addrs, err := freeAddrs(2 * len(members)) // one for HTTP and one for Raft
	if err != nil {
		return nil, err
	}
	for i := range members {
		m := &members[i]
		m.ID = fmt.Sprint("r", i)
		m.HTTP, m.Raft = addrs[2*i], addrs[2*i+1]
		discovery = append(discovery, m.HTTP)
	}
	ended := make(chan error, len(members))
	for _, m := range members {
		path, err := l.writeReplicaConfig(m, members)
		if err != nil {
			return nil, err
		}
		l.tasks.Go(func() { ended <- server.Run(registryCtx, nil, path) })
	}
	if l.registry, err = client.New(discovery, l.seed); err != nil {
		return nil, err
	}
	return discovery, l.awaitRegistry(ctx, ended)
}

// writeReplicaConfig writes the configuration of one replica and returns its path.
func (l *localFleet) writeReplicaConfig(m registry.ReplicaInfo, members []registry.ReplicaInfo) (path string, err error) {
	routes, err := l.linkReplica(m, members)
	if err != nil {
		return "", err
	}
	data := filepath.Join(l.dir, m.ID)
	if err := os.Mkdir(data, 0o700); err != nil {
		return "", fmt.Errorf("localfleet: %w", err)
	}
	text, err := json.Marshal(map[string]any{"group": "localfleet", "id": m.ID, "data": data, "replicas": members, "routes": routes})
	if err != nil {
		return "", err
	}
	path = filepath.Join(l.dir, m.ID+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return "", fmt.Errorf("localfleet: %w", err)
	}
	return path, nil
}

// linkReplica adds a link from one replica to each address of the others.
func (l *localFleet) linkReplica(from registry.ReplicaInfo, members []registry.ReplicaInfo) (addressmap.Map, error) {
	routes := make(addressmap.Map)
	for _, to := range members {
		if to == from {
			continue
		}
		for protocol, addr := range map[string]string{"raft": to.Raft, "http": to.HTTP} {
			link, err := l.links.net.AddTCP(from.ID+">"+to.ID+":"+protocol, addr)
			if err != nil {
				return nil, err
			}
			routes[addr] = link.Addr()
		}
	}
	return routes, nil
}

// awaitRegistry waits until all replicas are ready.
func (l *localFleet) awaitRegistry(ctx context.Context, ended <-chan error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if statuses, complete := l.registry.Statuses(ctx); complete && len(statuses) == l.replicas {
			return nil
		}
		select {
		case err := <-ended:
			return fmt.Errorf("localfleet: a registry replica ended before the registry was ready: %w", err)
		case <-ctx.Done():
			return fmt.Errorf("localfleet: the registry did not become ready: %w", ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// addServer starts a server behind a listener.
func (l *localFleet) addServer(sv *emulator.Server, cold bool) error {
	b := &bookingServer{owner: l, name: fmt.Sprintf("s%d", sv.Index), model: sv, changed: make(chan struct{}, 1)}
	l.mu.Lock()
	l.servers = append(l.servers, b)
	l.mu.Unlock()
	return b.start(cold)
}

// allServers returns all servers that were started.
func (l *localFleet) allServers() []*bookingServer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.servers)
}

// notifyStarted records in the checker that sidecars may send to a server again.
func (l *localFleet) notifyStarted(server int, born time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.sidecars {
		l.checker.EndpointNotified(l.now(), i, server, true, born)
	}
}

// awaitListed waits until the registry lists all servers.
func (l *localFleet) awaitListed(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		list, err := l.registry.Registrations(ctx)
		if err == nil && len(list.Registrations) == len(l.fleet.Servers) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("localfleet: the registry does not list all servers: %w", errors.Join(ctx.Err(), err))
		case <-time.After(pollInterval):
		}
	}
}

// stop ends the sidecars, then the servers, and closes the registry client.
func (l *localFleet) stop() {
	var ends sync.WaitGroup
	for _, s := range l.sidecars {
		ends.Go(func() {
			if err := s.stop(); err != nil {
				l.fail(err)
			}
			if s.client != nil {
				s.client.Close()
			}
			s.log.Close()
		})
	}
	ends.Wait()
	for _, b := range l.allServers() {
		ends.Go(b.stop)
	}
	ends.Wait()
	if l.registry != nil {
		l.registry.Close()
	}
}

// sendCalls sends the calls of the scenario and reports whether it was interrupted.
func (l *localFleet) sendCalls(ctx context.Context, progress func(*emulator.Record)) (interrupted bool) {
	l.arrivalsStart = time.Since(l.began)
	begin := l.began.Add(l.arrivalsStart)
	var calls sync.WaitGroup
	backgroundCtx, stopBackground := context.WithCancel(context.Background())
	var background sync.WaitGroup
	defer background.Wait()
	defer stopBackground()
	background.Go(func() { l.sampleServers(backgroundCtx, progress) })
	background.Go(func() { l.injectFaults(backgroundCtx) })
	arrivals := emulator.NewArrivals(l.scenario, l.seed)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		c, more := arrivals.Next()
		if !more {
			break
		}
		timer.Reset(max(0, c.At-time.Since(begin)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			calls.Wait()
			return true
		}
		calls.Go(func() { l.call(c) })
	}
	calls.Wait()
	return false
}

// sampleServers records the state of the servers and reports progress, once a second.
func (l *localFleet) sampleServers(ctx context.Context, progress func(*emulator.Record)) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		now := l.now()
		for _, b := range l.allServers() {
			b.mu.Lock()
			waiting, capacity := b.model.State(now)
			b.mu.Unlock()
			l.updateRecord(func(r *emulator.Record) {
				r.Sample(now-emulator.StartTime-l.arrivalsStart, b.model.Zone, waiting, capacity)
			})
		}
		if progress != nil {
			l.updateRecord(progress)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// findAttempt returns an open attempt, or nil.
func (l *localFleet) findAttempt(id string) *openAttempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts[id]
}

// attemptSent records that a request has reached a server and returns the number of the attempt.
func (l *localFleet) attemptSent(t *openAttempt, sv *emulator.Server, now time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checker.AttemptSent(now, t.id, sv.Index)
	l.record.Sends++
	if l.scenario.ZoneOf(t.call.Sidecar) != sv.Zone {
		l.record.CrossZoneSends++
	}
	if capacity := sv.ColdCapacity(now); capacity > 0 {
		l.checker.ColdServerReached(now, t.call.Sidecar, sv.Index, sv.StartedAt, t.call.Work, capacity)
	}
	t.sends++
	return t.sends - 1
}

func (l *localFleet) attemptEnded(t *openAttempt, n int, ran bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checker.AttemptEnded(t.id, n, ran)
}

// drawFault draws whether the active faults make a response malformed or reset its request.
func (l *localFleet) drawFault() (malformed, reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.malformedShare > 0 && l.random.Float64() < l.malformedShare, l.resetShare > 0 && l.random.Float64() < l.resetShare
}

// finish completes the record.
func (l *localFleet) finish(interrupted bool) *emulator.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checker.Finish(l.now())
	l.record.Finish(l.checker, interrupted)
	return l.record
}

// call makes a call, with retries, and records its result.
func (l *localFleet) call(c emulator.Call) {
	s, class := l.sidecars[c.Sidecar], l.scenario.Classes[c.Class]
	began := time.Now()
	retryRandom := rand.New(rand.NewPCG(l.seed, uint64(c.At)))
	l.mu.Lock()
	if !s.up {
		l.mu.Unlock()
		return // clients stop and start with their sidecar
	}
	l.record.AddRequest(c)
	l.mu.Unlock()
	refusedOnly, cause := true, "failed"
	for n := 1; ; n++ {
		timeout := time.Duration(float64(time.Duration(class.Deadline)-time.Since(began)) * l.scenario.Clients.AttemptShare)
		if timeout < time.Millisecond {
			break
		}
		out, clientStopped := l.attempt(s, c, timeout)
		took := time.Since(began)
		if clientStopped {
			l.updateRecord(func(r *emulator.Record) { r.AddAbandoned(c) })
			return
		}
		answer := emulator.AnswerFailed
		switch out.Outcome {
		case loadgen.Served:
			l.updateRecord(func(r *emulator.Record) { r.AddServed(c, took, "late") })
			return
		case loadgen.Refused:
			answer = emulator.AnswerRefused
		}
		if cause = out.Outcome.String(); answer != emulator.AnswerRefused {
			refusedOnly = false
		}
		if !class.RetriesAfter(answer) || n > l.scenario.Clients.Retries {
			break
		}
		time.Sleep(l.scenario.Clients.RetryDelay(n, out.RetryAfter, time.Duration(l.scenario.Rules.RetryAfter), retryRandom))
	}
	l.updateRecord(func(r *emulator.Record) { r.AddUnserved(c, refusedOnly, time.Since(began), cause) })
}

// attempt makes one attempt and reports whether the client was stopped with its sidecar.
func (l *localFleet) attempt(s *sidecarProcess, c emulator.Call, timeout time.Duration) (out loadgen.Response, clientStopped bool) {
	class := l.scenario.Classes[c.Class]
	l.mu.Lock()
	if !s.up {
		l.mu.Unlock()
		return out, true
	}
	l.nextID++
	t := &openAttempt{id: l.nextID, call: c, deadline: l.now() + timeout}
	name := fmt.Sprintf("%016x", uint64(t.id)*0x9e3779b97f4a7c15) // needs only to be unique
	l.attempts[name] = t
	l.checker.RequestReceived(t.id, s.index, c.Class, t.deadline)
	l.record.ClientAttempts++
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout+emulator.SocketSlack)
	defer cancel()
	out = s.client.Do(ctx, loadgen.Request{
		ID: name, Class: class.Name, Idempotency: loadgen.Idempotency(class.Idempotency), Tenant: l.scenario.Tenants[c.Tenant].Name, AffinityKey: fmt.Sprint(c.Key), Timeout: timeout, WorkHint: c.Hint,
	}, nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.attempts, name)
	now := l.now()
	switch {
	case out.Outcome == loadgen.Lost && !s.up:
		l.checker.ClientGone(t.id)
		return out, true
	case out.Outcome == loadgen.Lost:
		l.checker.Overdue(now, t.id)
	case out.Outcome == loadgen.Served && string(out.Body) != responseTo(name):
		l.checker.WrongResponse(now, t.id)
	default:
		l.checker.Answered(now, t.id, map[loadgen.Outcome]emulator.Answer{loadgen.Served: emulator.AnswerServed, loadgen.Refused: emulator.AnswerRefused, loadgen.Failed: emulator.AnswerFailed}[out.Outcome])
	}
	return out, false
}
