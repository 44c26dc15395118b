package soaktest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"barleywick/internal/testing/faultinjection"
	"barleywick/internal/testing/wait"
)

// Values of the settings that the checks depend on.
const (
	drainGrace   = 3 * time.Second
	repeatWindow = 1200 * time.Millisecond
	maxAttempts  = 3
	// memoryLimitMB is the least memory that a sidecar is given.
	memoryLimitMB = 32
)

// sidecar is one process under test.
type sidecar struct {
	name, addr, config   string
	process              *faultinjection.Process
	descriptorsExhausted bool // idle clients use up its descriptors

	mu       sync.Mutex
	killedAt time.Time // time of the last SIGKILL that was sent as a fault; zero: none
	starts   []time.Time
	pauses   []wait.Stall
	downAt   time.Time // since when the process is being stopped and restarted; zero: it is up
}

// classSettings is a class of requests as it is encoded in the settings.
type classSettings struct {
	Name        string `json:"name"`
	Semantics   string `json:"semantics"`
	Scope       string `json:"dedup_scope,omitempty"`
	WindowMS    int64  `json:"window_ms,omitempty"`
	ObjectiveMS int64  `json:"aim_ms"`
	DeadlineMS  int64  `json:"hard_limit_ms"`
	Weight      int    `json:"worth"`
}

func (s *sidecar) writeConfig(seed uint64, sidecars int, discovery, stale string) error {
	limit := longestDeadline.Milliseconds()
	settings := map[string]any{
		"balancers": sidecars, "discovery": "push", "zones": []string{"a"},
		"caps": map[string]any{
			"may_cancel": seed%3 != 0, "probes": false, "most_tries": maxAttempts, "dial_timeout_ms": 250,
			"conn_idle_ms": 30000, "max_retry_after_ms": 300,
		},
		"classes": []classSettings{
			{Name: "read", Semantics: "free", ObjectiveMS: limit / 2, DeadlineMS: limit, Weight: 1},
			{Name: "keyed", Semantics: "guarded", Scope: "all", WindowMS: repeatWindow.Milliseconds(), ObjectiveMS: limit / 2, DeadlineMS: limit, Weight: 1},
			{Name: "once", Semantics: "single_shot", ObjectiveMS: limit / 2, DeadlineMS: limit, Weight: 1},
		},
		"rules": map[string]any{"cold_from": 0.9, "cold_ms": 100, "fall_multiple": 3, "drain_grace_ms": drainGrace.Milliseconds()},
	}
	text, err := json.Marshal(map[string]any{
		"name": s.name, "listen": s.addr, "discovery": discovery, "discovery_replicas": []string{stale}, "seed": fmt.Sprintf("%x", seed),
		"limits":   map[string]any{"cores": 1, "memory_mb": memoryLimitMB, "sockets": 256},
		"settings": settings,
	})
	if err != nil {
		return fmt.Errorf("configuration of %s: %w", s.name, err)
	}
	if err := os.WriteFile(s.config, text, 0o600); err != nil {
		return fmt.Errorf("configuration of %s: %w", s.name, err)
	}
	return nil
}

// awaitReady waits until the process reports that it is ready.
func (s *sidecar) awaitReady(ctx context.Context) error {
	for {
		if s.isReady(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", s.name, ctx.Err())
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *sidecar) isReady(ctx context.Context) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.addr+"/health/ready", nil)
	if err != nil {
		return false
	}
	q.Close = true
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// markDown records that the process is being stopped, and if so that it is being killed.
func (s *sidecar) markDown(killed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downAt = time.Now()
	if killed {
		s.killedAt = s.downAt
	}
}

// markUp records that the process is up again.
func (s *sidecar) markUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downAt = time.Time{}
}

// recordPause records an interval in which the process was paused by SIGSTOP.
func (s *sidecar) recordPause(from, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauses = append(s.pauses, wait.Stall{From: from, Until: until})
}

// pausedWithin returns the total time for which the process was paused between two times.
func (s *sidecar) pausedWithin(from, until time.Time) (total time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pause := range s.pauses {
		total += pause.Within(from, until)
	}
	return total
}

// start starts the process and records when.
func (s *sidecar) start() error {
	s.mu.Lock()
	s.starts = append(s.starts, time.Now())
	s.mu.Unlock()
	return s.process.Start()
}

// lastStartBefore returns the time of the last start before a time.
func (s *sidecar) lastStartBefore(before time.Time) (started time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, start := range s.starts {
		if start.Before(before) {
			started = start
		}
	}
	return started
}

// isDown reports whether the process is being stopped or restarted.
func (s *sidecar) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.downAt.IsZero()
}

// killedSince reports whether the process was killed after a time.
func (s *sidecar) killedSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killedAt.After(t)
}
