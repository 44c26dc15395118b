package localfleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/simulation/emulator"
	"barleywick/internal/testing/loopback"
)

// bookingServer serves the emulator's model of a booking server on a listener.
type bookingServer struct {
	owner *localFleet
	name  string

	mu            sync.Mutex
	addr          string
	model         *emulator.Server
	changed       chan struct{}      // the model's next event may have changed
	cancelProcess context.CancelFunc // ends the process's goroutines
	http          *http.Server
	goroutines    sync.WaitGroup
	ended         chan struct{}     // closed when the process has ended
	refusedConns  map[net.Conn]bool // connections beyond the server's limit

	cancelRegistration context.CancelFunc // ends the registration
	registrationEnded  chan struct{}      // closed when the registration has ended
}

const (
	maxBodyBytes  = 64 << 10
	headerTimeout = 2 * time.Second
	// sessionTTL is how long the registry lists a server that does not renew its registration.
	sessionTTL = 3 * time.Second
)

// start starts the server's process and registers it. A cold server starts now and has to
// warm up; the others count as started long ago.
func (b *bookingServer) start(cold bool) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("%s: %w", b.name, err)
	}
	processCtx, cancelProcess := context.WithCancel(context.Background())
	registrationCtx, cancelRegistration := context.WithCancel(context.Background())
	b.mu.Lock()
	b.addr = ln.Addr().String()
	b.cancelProcess, b.ended, b.refusedConns = cancelProcess, make(chan struct{}), make(map[net.Conn]bool)
	b.cancelRegistration, b.registrationEnded = cancelRegistration, make(chan struct{})
	born := int64(0)
	if cold {
		b.model.Start(b.owner.now())
		b.owner.notifyStarted(b.model.Index, b.model.StartedAt)
		born = time.Now().UnixMilli()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/stats", b.stats)
	mux.HandleFunc("/health/live", b.stats)
	mux.HandleFunc("/", b.serve)
	b.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: time.Duration(b.owner.scenario.Network.IdleTimeout), ConnState: b.connectionState}
	server, registrationEnded := b.http, b.registrationEnded
	b.mu.Unlock()
	b.goroutines.Go(func() { _ = server.Serve(ln) }) // ends when the server is closed
	b.goroutines.Go(func() { b.runModel(processCtx) })
	block := b.model.Cell.Number
	request := registry.RegisterRequest{
		Instance: registry.Instance{
			Host: b.name, Dial: ln.Addr().String(), Site: b.owner.scenario.Zones[b.model.Zone], Class: b.model.Kind.Name, Block: &block,
			Health: registry.HealthUp, Share: b.model.Kind.Speed * float64(b.model.Kind.Cores), BornMS: born,
		},
		Session: fmt.Sprintf("%s-%d", b.name, time.Now().UnixNano()), TTLMS: sessionTTL.Milliseconds(), Machine: b.name,
	}
	b.owner.tasks.Go(func() {
		defer close(registrationEnded)
		if err := b.owner.registry.KeepRegistered(registrationCtx, request, nil); err != nil && registrationCtx.Err() == nil {
			b.owner.fail(fmt.Errorf("%s: register: %w", b.name, err))
		}
	})
	return nil
}

// connectionState counts the open connections, which use a part of the model's capacity.
func (b *bookingServer) connectionState(conn net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew:
		b.owner.updateRecord(func(r *emulator.Record) { r.Handshakes++ })
		b.deliver(b.model.Advance(b.owner.now()))
		if !b.model.Connect(time.Duration(b.owner.scenario.Network.HandshakeWork)) {
			b.refusedConns[conn] = true
			_ = conn.Close() // refused without a response
		}
	case http.StateClosed, http.StateHijacked:
		if !b.refusedConns[conn] {
			b.model.OpenConnections = max(0, b.model.OpenConnections-1)
		}
		delete(b.refusedConns, conn)
	}
}

// kill ends the process: connections are reset and the listener is closed.
func (b *bookingServer) kill() {
	b.mu.Lock()
	if !b.model.Alive {
		b.mu.Unlock()
		return
	}
	b.model.Kill(b.owner.now())
	b.mu.Unlock()
	close(b.ended)
	b.cancelProcess()
	_ = b.http.Close() // its requests are lost, as in a crash
	b.goroutines.Wait()
}

// deregister ends the registration and waits until it has ended.
func (b *bookingServer) deregister() {
	b.mu.Lock()
	cancel, ended := b.cancelRegistration, b.registrationEnded
	b.mu.Unlock()
	cancel()
	<-ended
}

// deregisterAfter ends the registration after a delay, as the registry detects a crash late.
func (b *bookingServer) deregisterAfter(d time.Duration) {
	b.mu.Lock()
	ended, cancel := b.registrationEnded, b.cancelRegistration
	b.mu.Unlock()
	b.owner.tasks.Go(func() {
		select {
		case <-time.After(d):
			cancel()
		case <-ended:
		}
	})
}

// updateModel advances the model to the current time and applies an update.
func (b *bookingServer) updateModel(update func(*emulator.Server)) {
	b.mu.Lock()
	b.deliver(b.model.Advance(b.owner.now()))
	update(b.model)
	b.mu.Unlock()
	b.notifyChanged()
}

func (b *bookingServer) notifyChanged() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// pendingRequest is a request in service; done receives the finished job, and its buffer keeps
// the sender from blocking.
type pendingRequest struct{ done chan *emulator.Job }

// deliver passes finished jobs to the handlers of their requests.
func (b *bookingServer) deliver(ended []*emulator.Job) {
	for _, j := range ended {
		j.Owner.(*pendingRequest).done <- j
	}
}

// runModel advances the model as time passes.
func (b *bookingServer) runModel(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		b.mu.Lock()
		now := b.owner.now()
		b.deliver(b.model.Advance(now))
		next := b.model.NextAdvance()
		b.mu.Unlock()
		wait := time.Hour
		if next != emulator.Never {
			wait = max(0, next-now)
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-b.changed:
		case <-ctx.Done():
			return
		}
	}
}

// stats answers a probe with a load report.
func (b *bookingServer) stats(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	b.deliver(b.model.Advance(b.owner.now()))
	r := b.model.Probe(b.owner.now())
	unreachable := b.model.Unreachable
	b.mu.Unlock()
	if unreachable {
		<-b.ended
		return
	}
	b.owner.updateRecord(func(r *emulator.Record) { r.Probes++ })
	text := fmt.Sprintf("TEXT pending=%g, cpu_share=%g, served_ps=%g", r.Queue, r.Busy, r.Rate)
	w.Header().Set("Server-Load", text)
	_, _ = io.WriteString(w, text) // the prober may have disconnected
}

// serve handles a request of the protocol.
func (b *bookingServer) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	if id == "" {
		http.NotFound(w, q)
		return
	}
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, q.Body, maxBodyBytes)); err != nil {
		return
	}
	attempt := b.owner.findAttempt(id)
	if attempt == nil {
		http.Error(w, "no client sent this id", http.StatusBadRequest)
		return
	}
	pending := &pendingRequest{make(chan *emulator.Job, 1)}
	job := b.newJob(attempt, pending)
	n, verdict, reachable := b.arrive(attempt, job)
	switch {
	case !reachable:
		<-b.ended // no answer, and the connection stays open
		return
	case verdict == emulator.Rejected:
		b.owner.attemptEnded(attempt, n, false)
		b.owner.updateRecord(func(r *emulator.Record) { r.Rejected++ })
		b.reject(w)
		return
	case verdict == emulator.NotRunning:
		panic(http.ErrAbortHandler) // the server is overloaded and resets the connection
	}
	malformed, reset := b.owner.drawFault()
	if reset {
		panic(http.ErrAbortHandler) // the request still runs; its result is not reported
	}
	select {
	case <-pending.done:
	case <-b.ended:
		panic(http.ErrAbortHandler)
	}
	switch {
	case malformed:
		writeMalformed(w)
	case job.Dropped:
		b.owner.attemptEnded(attempt, n, false)
		b.reject(w)
	case job.Failed:
		http.Error(w, "failed", http.StatusInternalServerError)
	default:
		text := responseTo(id)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		io.WriteString(w, text)
	}
}

// newJob returns the model's job for an attempt.
func (b *bookingServer) newJob(attempt *openAttempt, owner *pendingRequest) *emulator.Job {
	job := &emulator.Job{Work: attempt.call.Work, Key: attempt.call.Key, Deadline: attempt.deadline, Owner: owner}
	if c := b.owner.scenario.Classes[attempt.call.Class]; c.Idempotency == "keyed" {
		job.Repeat, job.Window = uint64(attempt.id), time.Duration(c.DedupWindow)
	}
	return job
}

// arrive passes a job to the model if the server is reachable, and returns the number of the attempt.
func (b *bookingServer) arrive(attempt *openAttempt, job *emulator.Job) (n int, verdict emulator.Verdict, reachable bool) {
	defer b.notifyChanged()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.owner.now()
	n = b.owner.attemptSent(attempt, b.model, now)
	if b.model.Unreachable {
		return n, emulator.Accepted, false
	}
	b.deliver(b.model.Advance(now))
	return n, b.model.Arrive(now, job), true
}

// writeMalformed sends a malformed response; the connection stays open for a while.
func writeMalformed(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\nnoise")
	time.AfterFunc(headerTimeout, func() { conn.Close() })
}

func (b *bookingServer) reject(w http.ResponseWriter) {
	w.Header().Set("Not-Started", "1")
	http.Error(w, "turned away", http.StatusServiceUnavailable)
}

// responseTo returns the correct response body for a request.
func responseTo(id string) string { return "booked " + id }

// stop ends the registration, then the process.
func (b *bookingServer) stop() {
	if b.cancelRegistration == nil {
		return // it was never started
	}
	b.deregister()
	b.kill()
}

// freeAddrs returns n addresses that nothing listens on, each with a host of its own.
func freeAddrs(n int) ([]string, error) {
	addrs := make([]string, n)
	for i := range addrs {
		var err error
		if addrs[i], err = loopback.FreeAddr(); err != nil {
			return nil, err
		}
	}
	return addrs, nil
}
