package chaostest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

const (
	workTime          = 20 * time.Millisecond
	sessionTTL        = 5 * time.Second
	headerTimeout     = 2 * time.Second
	maxRequestBody    = 1 << 16
	serversPerMachine = 2 // in different zones
	// drainGrace is how long after its drain mark a server may still get new requests: the
	// notification deadline of sidecars is 6 s, and they may send requests for 3 s more.
	drainGrace = 9 * time.Second
)

// server is a simulated booking server. It takes workTime for each request and counts how often
// each one ran.
type server struct {
	host, machine, zone string
	http                *http.Server
	unregister          context.CancelFunc
	background          sync.WaitGroup

	mu            sync.Mutex
	runCounts     map[string]int // by request id
	inFlight      int
	drainingSince time.Time                // when its drain mark was first polled; zero: it is not draining
	suspected     map[string]time.Time     // by sidecar: start of its first request past the grace that no later poll has confirmed as late
	lateRequests  map[string]time.Duration // by sidecar: how long after the drain mark its latest request started
}

// machineName returns the name of the machine with an index.
func machineName(i int) string { return fmt.Sprint("m", i) }

// responseBody returns the body of the response to a request.
func responseBody(id string) string { return "done " + id }

// startServer starts a server and keeps it registered until close.
func startServer(i int, c *client.Client) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		host:         fmt.Sprint("b", i),
		machine:      machineName(i / serversPerMachine),
		zone:         string("ab"[i%2]),
		runCounts:    make(map[string]int),
		lateRequests: make(map[string]time.Duration),
		suspected:    make(map[string]time.Time),
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
	s.background.Go(func() { _ = s.http.Serve(ln) }) // always returns an error: after close, that the server was closed
	registered, unregister := context.WithCancel(context.Background())
	s.unregister = unregister
	r := registry.RegisterRequest{
		Instance: registry.Instance{Host: s.host, Dial: ln.Addr().String(), Site: s.zone, Class: "m", Block: &i, Health: registry.HealthUp, Share: 1},
		Session:  s.host + "-1", TTLMS: sessionTTL.Milliseconds(), Machine: s.machine,
	}
	s.background.Go(func() { _ = c.KeepRegistered(registered, r, nil) }) // returns the error of the context after close
	return s, nil
}

// close unregisters the server and stops it.
func (s *server) close() {
	s.unregister()
	_ = s.http.Close()
	s.background.Wait()
}

// setDraining records the result of a poll of the registry: whether the server is draining. If it is,
// a suspected request that started before the poll was sent was late. One that started after it may
// come from a sidecar that had already been notified that the drain was cancelled.
func (s *server) setDraining(draining bool, pollSent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !draining:
		s.drainingSince = time.Time{}
		clear(s.suspected)
	case s.drainingSince.IsZero():
		s.drainingSince = time.Now()
	}
	for name, began := range s.suspected {
		if began.Before(pollSent) {
			s.lateRequests[name] = max(s.lateRequests[name], began.Sub(s.drainingSince))
			delete(s.suspected, name)
		}
	}
}

// ServeHTTP runs one request.
func (s *server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	switch {
	case q.URL.Path == "/stats":
		s.mu.Lock()
		inFlight := s.inFlight
		s.mu.Unlock()
		fmt.Fprintf(w, "TEXT inflight=%d, queue=0", inFlight)
		return
	case q.URL.Path == "/health/live":
		return
	case id == "":
		http.NotFound(w, q)
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(q.Body, maxRequestBody)) // the body is ignored
	s.begin(id)
	time.Sleep(workTime)
	s.end()
	text := responseBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text) // fails if the sidecar has disconnected
}

// begin counts a request that starts to run. Its id starts with the sidecar's name.
func (s *server) begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runCounts[id]++
	s.inFlight++
	if s.drainingSince.IsZero() || time.Since(s.drainingSince) <= drainGrace {
		return
	}
	if sidecar, _, _ := strings.Cut(id, "-"); s.suspected[sidecar].IsZero() {
		s.suspected[sidecar] = time.Now()
	}
}

// end records that a request has finished.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}
