package integration

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

// booking is a stand-in for a booking server: it takes a moment over each request
// and notes which ids it ran.
type booking struct {
	host, machine string
	addr          string
	server        *http.Server
	work          time.Duration

	mu      sync.Mutex
	ran     map[string]int
	running int
	last    time.Time // the last request's begin
	leave   context.CancelFunc
	left    chan error
}

func startBooking(t testing.TB, host, machine string, work time.Duration) *booking {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &booking{host: host, machine: machine, addr: ln.Addr().String(), work: work, ran: make(map[string]int)}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: patience}
	go b.server.Serve(ln)
	t.Cleanup(func() {
		if b.leave != nil {
			b.leave()
			<-b.left
		}
		b.server.Close()
	})
	return b
}

func (b *booking) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/stats" {
		fmt.Fprintf(w, "TEXT inflight=%d, queue=0", b.held())
		return
	}
	id := q.Header.Get("Request-Id")
	if id == "" {
		http.NotFound(w, q)
		return
	}
	io.Copy(io.Discard, q.Body)
	b.mu.Lock()
	b.ran[id]++
	b.running++
	b.last = time.Now()
	b.mu.Unlock()
	time.Sleep(b.work)
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	text := "done " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	io.WriteString(w, text)
}

// requests is how many requests it has begun.
func (b *booking) requests() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range b.ran {
		n += k
	}
	return n
}

// held is how many requests it has.
func (b *booking) held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

// lastBegin is when it began a request last.
func (b *booking) lastBegin() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// register keeps the server in the registry's list until the test ends.
func (b *booking) register(t testing.TB, c *client.Client, ttl time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	b.leave, b.left = cancel, make(chan error, 1)
	block := 1
	r := registry.RegisterRequest{
		Instance: registry.Instance{Host: b.host, Dial: b.addr, Site: "a", Class: "m2", Block: &block, Health: registry.HealthUp, Share: 1},
		Session:  b.host + "-1", TTLMS: ttl.Milliseconds(), Machine: b.machine,
	}
	registered := make(chan struct{}, 100)
	go func() {
		b.left <- c.KeepRegistered(ctx, r, func(registry.WriteResponse) {
			select {
			case registered <- struct{}{}:
			default:
			}
		})
	}()
	select {
	case <-registered:
	case <-time.After(patience):
		t.Fatalf("%s is not registered", b.host)
	}
}
