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

// bookingServer is a fake booking server: it runs each request for a fixed time and counts how often
// it ran each Request-Id.
type bookingServer struct {
	host, machine string
	addr          string
	server        *http.Server
	work          time.Duration

	mu                 sync.Mutex
	ran                map[string]int
	running            int
	last               time.Time // when the last request began
	cancelRegistration context.CancelFunc
	registrationEnded  chan error
}

func startBookingServer(t testing.TB, host, machine string, work time.Duration) *bookingServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &bookingServer{host: host, machine: machine, addr: ln.Addr().String(), work: work, ran: make(map[string]int)}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: eventTimeout}
	go b.server.Serve(ln)
	t.Cleanup(func() {
		if b.cancelRegistration != nil {
			b.cancelRegistration()
			<-b.registrationEnded
		}
		b.server.Close()
	})
	return b
}

func (b *bookingServer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/stats" {
		fmt.Fprintf(w, "TEXT inflight=%d, queue=0", b.runningRequests())
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

// requests returns how many requests the server has begun.
func (b *bookingServer) requests() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range b.ran {
		n += k
	}
	return n
}

// runningRequests returns how many requests the server is running.
func (b *bookingServer) runningRequests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

// lastBegin returns when the last request began.
func (b *bookingServer) lastBegin() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// register keeps the server registered until the test ends.
func (b *bookingServer) register(t testing.TB, c *client.Client, ttl time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	b.cancelRegistration, b.registrationEnded = cancel, make(chan error, 1)
	block := 1
	r := registry.RegisterRequest{
		Instance: registry.Instance{Host: b.host, Dial: b.addr, Site: "a", Class: "m2", Block: &block, Health: registry.HealthUp, Share: 1},
		Session:  b.host + "-1", TTLMS: ttl.Milliseconds(), Machine: b.machine,
	}
	registered := make(chan struct{}, 100)
	go func() {
		b.registrationEnded <- c.KeepRegistered(ctx, r, func(registry.WriteResponse) {
			select {
			case registered <- struct{}{}:
			default:
			}
		})
	}()
	select {
	case <-registered:
	case <-time.After(eventTimeout):
		t.Fatalf("%s was not registered within the event timeout", b.host)
	}
}
