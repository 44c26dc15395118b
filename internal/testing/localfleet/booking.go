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
)

// booking is a booking server: the emulator's model of one behind a listener of its own.
type booking struct {
	lab  *lab
	name string

	mu   sync.Mutex
	addr string
	sv   *emulator.Server
	wake chan struct{}      // the model has something new to wait for
	life context.CancelFunc // of the process
	http *http.Server
	over sync.WaitGroup
	quit chan struct{}     // closed when the process is gone
	full map[net.Conn]bool // connections for which there is no room

	leave context.CancelFunc // ends its registration
	left  chan struct{}      // which has ended
}

const (
	maxBody = 64 << 10
	headIn  = 2 * time.Second
	// sessionTTL is how long the registry keeps a server that does not renew.
	sessionTTL = 3 * time.Second
)

// start begins the server's process, and registers it. cold says that it is a start
// under way, and not one of long ago.
func (b *booking) start(cold bool) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("%s: %w", b.name, err)
	}
	life, end := context.WithCancel(context.Background())
	session, leave := context.WithCancel(context.Background())
	b.mu.Lock()
	b.addr = ln.Addr().String()
	b.life, b.quit, b.full = end, make(chan struct{}), make(map[net.Conn]bool)
	b.leave, b.left = leave, make(chan struct{})
	born := int64(0)
	if cold {
		b.sv.Start(b.lab.now())
		b.lab.started(b.sv.Index, b.sv.StartedAt)
		born = time.Now().UnixMilli()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/stats", b.stats)
	mux.HandleFunc("/health/live", b.stats)
	mux.HandleFunc("/", b.serve)
	b.http = &http.Server{Handler: mux, ReadHeaderTimeout: headIn, IdleTimeout: time.Duration(b.lab.sc.Network.IdleTimeout), ConnState: b.connection}
	server, left := b.http, b.left
	b.mu.Unlock()
	b.over.Go(func() { _ = server.Serve(ln) }) // it ends when the server is closed
	b.over.Go(func() { b.work(life) })
	block := b.sv.Cell.Number
	r := registry.RegisterRequest{
		Instance: registry.Instance{
			Host: b.name, Dial: ln.Addr().String(), Site: b.lab.sc.Zones[b.sv.Zone], Class: b.sv.Kind.Name, Block: &block,
			Health: registry.HealthUp, Share: b.sv.Kind.Speed * float64(b.sv.Kind.Cores), BornMS: born,
		},
		Session: fmt.Sprintf("%s-%d", b.name, time.Now().UnixNano()), TTLMS: sessionTTL.Milliseconds(), Machine: b.name,
	}
	b.lab.tasks.Go(func() {
		defer close(left)
		if err := b.lab.registry.KeepRegistered(session, r, nil); err != nil && session.Err() == nil {
			b.lab.fail(fmt.Errorf("%s: register: %w", b.name, err))
		}
	})
	return nil
}

// connection counts the connections, as the model takes part of the capacity for them.
func (b *booking) connection(conn net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew:
		b.lab.count(func(r *emulator.Record) { r.Handshakes++ })
		b.settle(b.sv.Advance(b.lab.now()))
		if !b.sv.Connect(time.Duration(b.lab.sc.Network.HandshakeWork)) {
			b.full[conn] = true
			_ = conn.Close() // it is refused, and need not be told
		}
	case http.StateClosed, http.StateHijacked:
		if !b.full[conn] {
			b.sv.OpenConnections = max(0, b.sv.OpenConnections-1)
		}
		delete(b.full, conn)
	}
}

// kill ends the process: connections break, and nobody listens any more.
func (b *booking) kill() {
	b.mu.Lock()
	if !b.sv.Alive {
		b.mu.Unlock()
		return
	}
	b.sv.Kill(b.lab.now())
	b.mu.Unlock()
	close(b.quit)
	b.life()
	_ = b.http.Close() // what it held is lost, which is what is wanted
	b.over.Wait()
}

// deregister ends the registration, if it has not ended.
func (b *booking) deregister() {
	b.mu.Lock()
	leave, left := b.leave, b.left
	b.mu.Unlock()
	leave()
	<-left
}

// goneAfter lets the registry learn of the process's end after a time: nobody tells it.
func (b *booking) goneAfter(d time.Duration) {
	b.mu.Lock()
	left, leave := b.left, b.leave
	b.mu.Unlock()
	b.lab.tasks.Go(func() {
		select {
		case <-time.After(d):
			leave()
		case <-left:
		}
	})
}

// change alters the model, which goes on from there.
func (b *booking) change(do func(*emulator.Server)) {
	b.mu.Lock()
	b.settle(b.sv.Advance(b.lab.now()))
	do(b.sv)
	b.mu.Unlock()
	b.stir()
}

func (b *booking) stir() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// visit is a request that a server holds; done takes its end and never blocks.
type visit struct{ done chan *emulator.Job }

// settle lets those know whose requests have ended.
func (b *booking) settle(ended []*emulator.Job) {
	for _, j := range ended {
		j.Owner.(*visit).done <- j
	}
}

// work moves the model on as time passes.
func (b *booking) work(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		b.mu.Lock()
		now := b.lab.now()
		b.settle(b.sv.Advance(now))
		next := b.sv.Next()
		b.mu.Unlock()
		wait := time.Hour
		if next != emulator.Never {
			wait = max(0, next-now)
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-b.wake:
		case <-ctx.Done():
			return
		}
	}
}

// stats answers a probe.
func (b *booking) stats(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	b.settle(b.sv.Advance(b.lab.now()))
	r := b.sv.Probe(b.lab.now())
	silent := b.sv.Unreachable
	b.mu.Unlock()
	if silent {
		<-b.quit
		return
	}
	b.lab.count(func(r *emulator.Record) { r.Probes++ })
	text := fmt.Sprintf("TEXT pending=%g, cpu_share=%g, served_ps=%g", r.Queue, r.Busy, r.Rate)
	w.Header().Set("Server-Load", text)
	_, _ = io.WriteString(w, text) // a prober that has gone needs no answer
}

// serve takes a request as the protocol has it.
func (b *booking) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	if id == "" {
		http.NotFound(w, q)
		return
	}
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, q.Body, maxBody)); err != nil {
		return
	}
	try := b.lab.find(id)
	if try == nil {
		http.Error(w, "no client sent this id", http.StatusBadRequest)
		return
	}
	v := &visit{make(chan *emulator.Job, 1)}
	j := &emulator.Job{Work: try.call.Work, Key: try.call.Key, Deadline: try.deadline, Owner: v}
	if c := b.lab.sc.Classes[try.call.Class]; c.Idempotency == "keyed" {
		j.Repeat, j.Window = uint64(try.id), time.Duration(c.DedupWindow)
	}
	b.mu.Lock()
	silent := b.sv.Unreachable
	now := b.lab.now()
	n := b.lab.sent(try, b.sv, now)
	verdict := emulator.Accepted
	if !silent {
		b.settle(b.sv.Advance(now))
		verdict = b.sv.Arrive(now, j)
	}
	b.mu.Unlock()
	b.stir()
	switch {
	case silent:
		<-b.quit // nothing is said, and the connection stays
		return
	case verdict == emulator.Rejected:
		b.lab.ended(try, n, false)
		b.lab.count(func(r *emulator.Record) { r.Rejected++ })
		b.turnAway(w)
		return
	case verdict == emulator.NotRunning:
		panic(http.ErrAbortHandler) // pushed over: the connection breaks
	}
	spoilt, reset := b.lab.harm()
	if reset {
		panic(http.ErrAbortHandler) // the request goes on; nobody hears of its end
	}
	select {
	case <-v.done:
	case <-b.quit:
		panic(http.ErrAbortHandler)
	}
	switch {
	case spoilt:
		spoil(w)
	case j.Dropped:
		b.lab.ended(try, n, false)
		b.turnAway(w)
	case j.Failed:
		http.Error(w, "failed", http.StatusInternalServerError)
	default:
		text := answerTo(id)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text) // a sidecar that has gone needs no answer
	}
}

// spoil answers with what cannot be read; the connection stays open for a while.
func spoil(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\nnoise")
	time.AfterFunc(headIn, func() { conn.Close() })
}

func (b *booking) turnAway(w http.ResponseWriter) {
	w.Header().Set("Not-Started", "1")
	http.Error(w, "turned away", http.StatusServiceUnavailable)
}

// answerTo is the one right answer to a request.
func answerTo(id string) string { return "booked " + id }

// stop ends the server in order, dead or alive: its registration is taken out first.
func (b *booking) stop() {
	if b.leave == nil {
		return // it never began
	}
	b.deregister()
	b.kill()
}

// freeAddr is an address that nobody listens on.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("no free port was found: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
