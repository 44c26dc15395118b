// Package localfleet plays a scenario on real sockets: the registry of this project as
// discovery, the emulator's servers behind listeners, real sidecar processes, and
// clients that ask by the protocol. All of it is on loopback and ends with the lab.
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

// Options are what a lab needs.
type Options struct {
	Scenario *emulator.Scenario
	Seed     uint64
	Program  string                 // the sidecar's
	Registry int                    // replicas of the list; 0: one
	Logs     string                 // the folder for the sidecars' logs; empty: they go with the lab
	Progress func(*emulator.Record) // called once a second with the record so far; may be nil
}

// lab is a scenario under way.
type lab struct {
	sc       *emulator.Scenario
	seed     uint64
	program  string
	folder   string // of its own, removed at the end
	logs     string
	began    time.Time     // the time that is emulator.Dawn
	day      time.Duration // when, since then, the day's first call may come
	luck     *rand.Rand
	fleet    *emulator.Fleet
	links    *links
	replicas int
	sidecars []*member
	registry *client.Client
	tasks    sync.WaitGroup // whatever runs beside

	mu      sync.Mutex // guards what follows
	rec     *emulator.Record
	check   *emulator.Checker
	servers []*booking
	tries   map[string]*try // open ones, by Request-Id
	nextID  policy.RequestID
	spoilt  float64 // part of the answers
	reset   float64 // part of the requests
	broke   error   // the first thing that the lab itself could not do
}

// try is one try of a client.
type try struct {
	id       policy.RequestID
	call     emulator.Call
	deadline time.Duration
	sends    int
}

// Limits of a lab: all of it shares one machine.
const (
	maxSidecars = 64
	maxServers  = 256
	maxRate     = 5000
	// mostStale is under the silence after which a sidecar takes a watch for dead.
	mostStale = 2500 * time.Millisecond
)

// playable are the troubles that can be played on real sockets.
var playable = []string{"slow", "fast_errors", "neighbour", "heavy_tail", "burst", "kill", "vanish", "zone_lost", "partition", "list_down", "stale_list", "replace", "herd", "roll", "spoilt", "reset", "bad_clients"}

// Check says whether a scenario can be played on real sockets.
func Check(sc *emulator.Scenario) error {
	if err := sc.Check(); err != nil {
		return err
	}
	switch rate := sc.Rate(); {
	case sc.Sidecars > maxSidecars:
		return fmt.Errorf("lab: sidecars is %d, %d at most share one machine", sc.Sidecars, maxSidecars)
	case sc.Servers > maxServers:
		return fmt.Errorf("lab: servers is %d, %d at most share one machine", sc.Servers, maxServers)
	case rate > maxRate:
		return fmt.Errorf("lab: load and servers make %.0f requests a second, %d at most", rate, maxRate)
	}
	for i, t := range sc.Faults {
		if t.Name == "stale_list" && time.Duration(t.Extra) > mostStale {
			return fmt.Errorf("lab: troubles[%d]: stale_list: extra is %v, %v at most: a watch that is silent for longer is opened again", i, time.Duration(t.Extra), mostStale)
		}
		if !slices.Contains(playable, t.Name) {
			return fmt.Errorf("lab: troubles[%d]: %s is for simulated time only; on real sockets there are %v", i, t.Name, playable)
		}
	}
	return nil
}

// Run plays a scenario to its end, or until ctx ends: the record then tells of the
// part that was played. When it returns, no process, listener or file of it is left.
func Run(ctx context.Context, o Options) (rec *emulator.Record, err error) {
	if err := Check(o.Scenario); err != nil {
		return nil, err
	}
	if o.Registry != 0 && o.Registry != 1 && o.Registry != 3 {
		return nil, fmt.Errorf("lab: registry is %d, there may be 1 or 3 replicas", o.Registry)
	}
	l := &lab{replicas: max(1, o.Registry), began: time.Now(), sc: o.Scenario, seed: o.Seed, program: o.Program, logs: o.Logs, tries: make(map[string]*try)}
	if l.folder, err = os.MkdirTemp("", "localfleet-"); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	defer os.RemoveAll(l.folder)
	if l.logs == "" {
		l.logs = l.folder
	}
	l.luck = rand.New(rand.NewPCG(o.Seed, 0))
	l.fleet = emulator.NewFleet(o.Scenario, o.Seed, l.luck)
	l.links = newLinks(l)
	defer l.links.close()
	l.rec = emulator.NewRecord(o.Scenario, o.Seed)
	l.check = emulator.NewSocketChecker(o.Scenario, l.fleet)
	life, end := context.WithCancel(context.Background())
	defer func() {
		l.stop()
		end()
		l.tasks.Wait()
		if err == nil {
			err = l.broke
		}
	}()
	if err := l.start(ctx, life); err != nil {
		if ctx.Err() != nil {
			return l.finish(true), ctx.Err()
		}
		return nil, err
	}
	cut := l.play(ctx, o.Progress)
	if rec = l.finish(cut); cut {
		return rec, ctx.Err()
	}
	return rec, nil
}

// now is the model's time.
func (l *lab) now() time.Duration { return emulator.StartTime + time.Since(l.began) }

// fail notes what the lab itself could not do.
func (l *lab) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broke == nil {
		l.broke = err
	}
}

func (l *lab) count(do func(*emulator.Record)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do(l.rec)
}

// start brings up registry, servers and sidecars.
func (l *lab) start(ctx, life context.Context) error {
	discovery, err := l.startRegistry(ctx, life)
	if err != nil {
		return err
	}
	for _, sv := range l.fleet.Servers {
		if err := l.addServer(sv, false); err != nil {
			return err
		}
	}
	if err := l.allListed(ctx); err != nil {
		return err
	}
	starts := make(chan error, l.sc.Sidecars)
	for i := range l.sc.Sidecars {
		s := &member{lab: l, index: i}
		if s.log, err = os.Create(filepath.Join(l.logs, fmt.Sprintf("n%d.log", i))); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
		l.sidecars = append(l.sidecars, s)
		addrs, err := l.links.list(i, discovery)
		if err != nil {
			return err
		}
		if err := s.prepare(addrs); err != nil {
			return err
		}
	}
	for _, s := range l.sidecars {
		go func() { starts <- s.start(ctx) }() // awaited below
	}
	for range l.sidecars { // all are awaited; the first to fail says why
		err = cmp.Or(err, <-starts)
	}
	for _, s := range l.sidecars {
		s.up = true
	}
	return err
}

// startRegistry runs the replicas of our registry in this process, and returns where
// they serve. What they say to each other goes over links.
func (l *lab) startRegistry(ctx, life context.Context) (discovery []string, err error) {
	members := make([]registry.ReplicaInfo, l.replicas)
	for i := range members {
		m := &members[i]
		m.ID = fmt.Sprint("r", i)
		if m.HTTP, err = freeAddr(); err != nil {
			return nil, err
		}
		if m.Raft, err = freeAddr(); err != nil {
			return nil, err
		}
		discovery = append(discovery, m.HTTP)
	}
	ended := make(chan error, len(members))
	for _, m := range members {
		routes := make(addressmap.Table)
		for _, to := range members {
			if to == m {
				continue
			}
			for what, addr := range map[string]string{"raft": to.Raft, "http": to.HTTP} {
				link, err := l.links.net.AddTCP(m.ID+">"+to.ID+":"+what, addr)
				if err != nil {
					return nil, err
				}
				routes[addr] = link.Addr()
			}
		}
		data := filepath.Join(l.folder, m.ID)
		if err := os.Mkdir(data, 0o700); err != nil {
			return nil, fmt.Errorf("lab: %w", err)
		}
		text, err := json.Marshal(map[string]any{"group": "lab", "id": m.ID, "data": data, "replicas": members, "routes": routes})
		if err != nil {
			return nil, err
		}
		path := filepath.Join(l.folder, m.ID+".json")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return nil, fmt.Errorf("lab: %w", err)
		}
		l.tasks.Go(func() { ended <- server.Run(life, nil, path) })
	}
	if l.registry, err = client.New(discovery, l.seed); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyIn)
	defer cancel()
	for {
		if got, all := l.registry.Statuses(ctx); all && len(got) == len(members) {
			return discovery, nil
		}
		select {
		case err := <-ended:
			return nil, fmt.Errorf("lab: a replica of the registry ended: %w", err)
		case <-ctx.Done():
			return nil, fmt.Errorf("lab: the registry is not ready: %w", ctx.Err())
		case <-time.After(pollEvery):
		}
	}
}

// addServer starts a server behind a listener.
func (l *lab) addServer(sv *emulator.Server, cold bool) error {
	b := &booking{lab: l, name: fmt.Sprintf("s%d", sv.Index), sv: sv, wake: make(chan struct{}, 1)}
	l.mu.Lock()
	l.servers = append(l.servers, b)
	l.mu.Unlock()
	return b.start(cold)
}

// all are the servers there have been.
func (l *lab) all() []*booking {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.servers)
}

// started books that sidecars may send to a server again, whatever they were told before.
func (l *lab) started(server int, born time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.sidecars {
		l.check.EndpointNotified(l.now(), i, server, true, born)
	}
}

// allListed waits until the registry lists all servers.
func (l *lab) allListed(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyIn)
	defer cancel()
	for {
		e, err := l.registry.Registrations(ctx)
		if err == nil && len(e.Registrations) == len(l.fleet.Servers) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("lab: the servers are not listed: %w", errors.Join(ctx.Err(), err))
		case <-time.After(pollEvery):
		}
	}
}

// stop ends all that was started, whatever of it there is.
func (l *lab) stop() {
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
	for _, b := range l.all() {
		ends.Go(b.stop)
	}
	ends.Wait()
	if l.registry != nil {
		l.registry.Close()
	}
}

// play plays the day, and says whether it was cut short.
func (l *lab) play(ctx context.Context, progress func(*emulator.Record)) (cut bool) {
	l.day = time.Since(l.began)
	begin := l.began.Add(l.day)
	var calls sync.WaitGroup
	side, done := context.WithCancel(context.Background())
	var beside sync.WaitGroup
	defer beside.Wait()
	defer done()
	beside.Go(func() { l.watch(side, progress) })
	beside.Go(func() { l.trouble(side) })
	arrivals := emulator.NewArrivals(l.sc, l.seed)
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

// watch samples the servers and tells the progress, once a second.
func (l *lab) watch(ctx context.Context, progress func(*emulator.Record)) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		now := l.now()
		for _, b := range l.all() {
			b.mu.Lock()
			waiting, capacity := b.sv.State(now)
			b.mu.Unlock()
			l.count(func(r *emulator.Record) { r.Sample(now-emulator.StartTime-l.day, b.sv.Zone, waiting, capacity) })
		}
		if progress != nil {
			l.count(progress)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// find returns an open try.
func (l *lab) find(id string) *try {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tries[id]
}

// sent books that a try has reached a server, and returns its number there.
func (l *lab) sent(t *try, sv *emulator.Server, now time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.check.AttemptSent(now, t.id, sv.Index)
	l.rec.Sends++
	if l.sc.ZoneOf(t.call.Sidecar) != sv.Zone {
		l.rec.CrossZoneSends++
	}
	if capacity := sv.ColdCapacity(now); capacity > 0 {
		l.check.ColdServerReached(now, t.call.Sidecar, sv.Index, sv.StartedAt, t.call.Work, capacity)
	}
	t.sends++
	return t.sends - 1
}

func (l *lab) ended(t *try, n int, ran bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.check.AttemptEnded(t.id, n, ran)
}

// harm says what a trouble does to the request at hand.
func (l *lab) harm() (spoilt, reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.spoilt > 0 && l.luck.Float64() < l.spoilt, l.reset > 0 && l.luck.Float64() < l.reset
}

// finish sums up.
func (l *lab) finish(cut bool) *emulator.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.check.Finish(l.now())
	l.rec.Finish(l.check, cut)
	return l.rec
}

// call makes a call with its further tries.
func (l *lab) call(c emulator.Call) {
	s, class := l.sidecars[c.Sidecar], l.sc.Classes[c.Class]
	began := time.Now()
	mood := rand.New(rand.NewPCG(l.seed, uint64(c.At)))
	l.mu.Lock()
	if !s.up {
		l.mu.Unlock()
		return // a client goes and comes with its sidecar
	}
	l.rec.AddRequest(c)
	l.mu.Unlock()
	refusedOnly, cause := true, "failed"
	for n := 1; ; n++ {
		left := time.Duration(float64(time.Duration(class.Deadline)-time.Since(began)) * l.sc.Clients.AttemptShare)
		if left < time.Millisecond {
			break
		}
		out, gone := l.once(s, c, left)
		took := time.Since(began)
		if gone {
			l.count(func(r *emulator.Record) { r.AddAbandoned(c) })
			return
		}
		a := emulator.AnswerFailed
		switch out.Outcome {
		case loadgen.Served:
			l.count(func(r *emulator.Record) { r.AddServed(c, took, "late") })
			return
		case loadgen.Refused:
			a = emulator.AnswerRefused
		}
		if cause = out.Outcome.String(); a != emulator.AnswerRefused {
			refusedOnly = false
		}
		if !class.RetriesAfter(a) || n > l.sc.Clients.Retries {
			break
		}
		time.Sleep(l.sc.Clients.RetryDelay(n, out.Pause, time.Duration(l.sc.Rules.RetryAfter), mood))
	}
	l.count(func(r *emulator.Record) { r.AddUnserved(c, refusedOnly, time.Since(began), cause) })
}

// once makes one try, and says whether the client has gone with its sidecar.
func (l *lab) once(s *member, c emulator.Call, left time.Duration) (out loadgen.Answer, gone bool) {
	class := l.sc.Classes[c.Class]
	l.mu.Lock()
	if !s.up {
		l.mu.Unlock()
		return out, true
	}
	l.nextID++
	t := &try{id: l.nextID, call: c, deadline: l.now() + left}
	name := fmt.Sprintf("%016x", uint64(t.id)*0x9e3779b97f4a7c15) // any names will do, if no two are the same
	l.tries[name] = t
	l.check.RequestReceived(t.id, s.index, c.Class, t.deadline)
	l.rec.ClientAttempts++
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), left+emulator.SocketSlack)
	defer cancel()
	out = s.client.Do(ctx, loadgen.Ask{
		ID: name, Class: class.Name, Effect: loadgen.Effect(class.Idempotency), Tenant: l.sc.Tenants[c.Tenant].Name, Key: fmt.Sprint(c.Key), Timeout: left, Hint: c.Hint,
	}, nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.tries, name)
	now := l.now()
	switch {
	case out.Outcome == loadgen.Lost && !s.up:
		l.check.ClientGone(t.id)
		return out, true
	case out.Outcome == loadgen.Lost:
		l.check.Overdue(now, t.id)
	case out.Outcome == loadgen.Served && string(out.Body) != answerTo(name):
		l.check.WrongResponse(now, t.id)
	default:
		l.check.Answered(now, t.id, map[loadgen.Outcome]emulator.Answer{loadgen.Served: emulator.AnswerServed, loadgen.Refused: emulator.AnswerRefused, loadgen.Failed: emulator.AnswerFailed}[out.Outcome])
	}
	return out, false
}
