package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"barleywick/internal/lease"
	"barleywick/internal/overload"
)

// maxConcurrentDigests bounds the requests that are handled concurrently; each takes some microseconds.
const maxConcurrentDigests = 64

// overloadServer serves the current overload advice to sidecars, in response to their digests,
// and to operators.
type overloadServer struct {
	handle    *lease.Handle
	startedAt time.Time
	slots     chan struct{}

	mu      sync.Mutex
	planner *overload.Planner
	advice  overload.Advice
}

func newOverloadServer(handle *lease.Handle, fleet string) *overloadServer {
	return &overloadServer{
		handle:    handle,
		startedAt: time.Now(),
		slots:     make(chan struct{}, maxConcurrentDigests),
		planner:   overload.NewPlanner(fleet, handle.Token()),
	}
}

// setExpected sets how many sidecars the fleet has; 0: unknown.
func (s *overloadServer) setExpected(sidecars int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner.SetExpected(sidecars)
}

// plan computes new advice.
func (s *overloadServer) plan() {
	s.mu.Lock()
	defer s.mu.Unlock()
	limited := len(s.advice.Tenants) > 0
	s.advice = s.planner.Plan(time.Since(s.startedAt))
	if a := s.advice; (len(a.Tenants) > 0) != limited {
		slog.Info("overload: advice changed", "limit", a.Limit, "congestion", a.Congestion, "sidecars", a.Sidecars, "tenants", a.Tenants, "token", a.Token)
	}
}

// ServeHTTP receives a digest (POST), and responds to POST and GET with the current advice.
func (s *overloadServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		refuse(w, http.StatusServiceUnavailable, errors.New("too many digests at once"))
		return
	}
	if req.URL.Path != overload.Path {
		http.NotFound(w, req)
		return
	}
	var advice overload.Advice
	switch req.Method {
	case http.MethodPost:
		var err error
		if advice, err = s.takeDigest(w, req); err != nil {
			refuse(w, http.StatusBadRequest, err)
			return
		}
	case http.MethodGet:
		advice = s.currentAdvice()
	default:
		http.NotFound(w, req)
		return
	}
	s.respond(w, advice)
}

func refuse(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, err.Error(), status)
}

// takeDigest reads a digest, adds it to the planner, and returns the current advice.
func (s *overloadServer) takeDigest(w http.ResponseWriter, req *http.Request) (overload.Advice, error) {
	text, err := io.ReadAll(http.MaxBytesReader(w, req.Body, overload.MaxMessageBytes))
	if err != nil {
		return overload.Advice{}, fmt.Errorf("the digest cannot be read: %w", err)
	}
	var digest overload.Digest
	if err := json.Unmarshal(text, &digest); err != nil {
		return overload.Advice{}, fmt.Errorf("the digest cannot be read: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.advice, s.planner.AddDigest(time.Since(s.startedAt), digest)
}

func (s *overloadServer) currentAdvice() overload.Advice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.advice
}

// respond sends advice if the lease is still held. It checks that last, since this process may have
// been suspended in the meantime.
func (s *overloadServer) respond(w http.ResponseWriter, advice overload.Advice) {
	if !s.handle.Held() {
		refuse(w, http.StatusConflict, lease.ErrLapsed)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(advice); err != nil {
		slog.Debug("overload: response not written", "err", err)
	}
}
