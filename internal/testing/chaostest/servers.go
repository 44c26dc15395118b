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

// server is a stand-in for a booking server: it takes a moment over each request, and
// notes how often it began each id.
type server struct {
	host, machine, zone string
	ln                  net.Listener
	http                *http.Server
	unregister          context.CancelFunc
	tasks               sync.WaitGroup

	mu            sync.Mutex
	runCounts     map[string]int
	inFlight      int
	drainingSince time.Time                // when the list's owner marked it draining; zero: it is not
	suspected     map[string]time.Time     // by sidecar: a request that began too late, if the drain went on
	lateRequests  map[string]time.Duration // by sidecar: how long after that one of its requests began, at most
}

const (
	workTime      = 20 * time.Millisecond
	sessionTTL    = 5 * time.Second
	headerTimeout = 2 * time.Second
	// drainGrace is when nothing new may come to a server that drains: what discovery has to
	// tell counts as told after 6 s, and requests may go there for 3 s more.
	drainGrace = 9 * time.Second
)

func startServer(i int, c *client.Client) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{host: fmt.Sprint("b", i), machine: fmt.Sprint("m", i/2), zone: string("ab"[i%2]), ln: ln, runCounts: make(map[string]int), lateRequests: make(map[string]time.Duration), suspected: make(map[string]time.Time)}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
	s.tasks.Go(func() { _ = s.http.Serve(ln) }) // ends with close
	life, leave := context.WithCancel(context.Background())
	s.unregister = leave
	block := i
	r := registry.RegisterRequest{
		Instance: registry.Instance{Host: s.host, Dial: ln.Addr().String(), Site: s.zone, Class: "m", Block: &block, Health: registry.HealthUp, Share: 1},
		Session:  s.host + "-1", TTLMS: sessionTTL.Milliseconds(), Machine: s.machine,
	}
	s.tasks.Go(func() { _ = c.KeepRegistered(life, r, nil) })
	return s, nil
}

func (s *server) close() {
	s.unregister()
	_ = s.http.Close()
	s.tasks.Wait()
}

// setDraining notes what the registry said of its drain when it was asked after a time. What
// began since may have been told already that the drain is called off.
func (s *server) setDraining(draining bool, asked time.Time) {
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
		if began.Before(asked) {
			s.lateRequests[name] = max(s.lateRequests[name], began.Sub(s.drainingSince))
			delete(s.suspected, name)
		}
	}
}

// ServeHTTP does the work of one request.
func (s *server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	s.mu.Lock()
	running := s.inFlight
	s.mu.Unlock()
	switch {
	case q.URL.Path == "/stats":
		fmt.Fprintf(w, "TEXT inflight=%d, queue=0", running)
		return
	case q.URL.Path == "/health/live":
		return
	case id == "":
		http.NotFound(w, q)
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(q.Body, 1<<16))
	s.mu.Lock()
	s.runCounts[id]++
	s.inFlight++
	if !s.drainingSince.IsZero() && time.Since(s.drainingSince) > drainGrace {
		if name, _, _ := strings.Cut(id, "-"); s.suspected[name].IsZero() {
			s.suspected[name] = time.Now()
		}
	}
	s.mu.Unlock()
	time.Sleep(workTime)
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
	text := "done " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}
