package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"barleywick/internal/lease"
	"barleywick/internal/overload"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

// overloadTask gathers what sidecars tell and gives them the fleet's word. Its answers are
// timed acts, given only while the lease is held; the token in each has sidecars pass
// over what an earlier holder says late. Where it listens is written under the fence.
type overloadTask struct {
	config OverloadConfig
	client *client.Client
	fleet  *fleetView
}

// maxConcurrentDigests is how many digests are worked on at once: each takes some microseconds.
const maxConcurrentDigests = 64

func (t *overloadTask) run(ctx context.Context, term *lease.Handle) error {
	ln, err := net.Listen("tcp", t.config.Listen)
	if err != nil {
		return fmt.Errorf("overload.listen: %w", err)
	}
	desk := &overloadServer{term: term, planner: overload.NewPlanner(t.config.Fleet, term.Token()), began: time.Now(), slots: make(chan struct{}, maxConcurrentDigests)}
	desk.plan()
	s := &http.Server{Handler: desk, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, IdleTimeout: 2 * httpTimeout, MaxHeaderBytes: maxHeaderBytes}
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }() // ends with Close
	defer func() {
		_ = s.Close()
		<-served
	}()
	if err := t.announce(ctx, term, ln.Addr().String()); err != nil {
		return err
	}
	slog.Info("overload: listening", "at", ln.Addr(), "fleet", t.config.Fleet, "lease", term.LeaseName(), "token", term.Token())
	tick := time.NewTicker(overload.ReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			desk.expect(t.fleet.sidecarCount())
			desk.plan()
		case err := <-served:
			served <- err // for what waits above
			return fmt.Errorf("overload: %w", err)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// announce writes where the task listens, over what an earlier holder wrote.
func (t *overloadTask) announce(ctx context.Context, term *lease.Handle, at string) error {
	text, err := json.Marshal(overload.Location{Address: at, Token: term.Token()})
	if err != nil {
		return err
	}
	was, err := t.client.Record(ctx, overload.RecordKey)
	if err != nil && !errors.Is(err, registry.ErrNotFound) {
		return fmt.Errorf("overload: where it listens is not written: %w", err)
	}
	if _, err := t.client.PutFenced(ctx, overload.RecordKey, text, &was.Version, term.Fence()); err != nil {
		return fmt.Errorf("overload: where it listens is not written: %w", err)
	}
	return nil
}

// overloadServer answers digests with the word of the moment.
type overloadServer struct {
	term  *lease.Handle
	began time.Time
	slots chan struct{}

	mu      sync.Mutex
	planner *overload.Planner
	advice  overload.Advice
}

func (d *overloadServer) expect(sidecars int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.planner.SetExpected(sidecars)
}

func (d *overloadServer) plan() {
	d.mu.Lock()
	defer d.mu.Unlock()
	cut := len(d.advice.Tenants) > 0
	d.advice = d.planner.Plan(time.Since(d.began))
	if now := len(d.advice.Tenants) > 0; now != cut {
		slog.Info("overload: another word", "limit", d.advice.Limit, "jam", d.advice.Congestion, "sidecars", d.advice.Sidecars, "parts", d.advice.Tenants, "token", d.advice.Token)
	}
}

// ServeHTTP takes a digest, or tells the word to who only asks.
func (d *overloadServer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	refuse := func(status int, err error) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), status)
	}
	select {
	case d.slots <- struct{}{}:
		defer func() { <-d.slots }()
	default:
		refuse(http.StatusServiceUnavailable, errors.New("too many digests at once"))
		return
	}
	if q.URL.Path != overload.Path || q.Method != http.MethodPost && q.Method != http.MethodGet {
		http.NotFound(w, q)
		return
	}
	var digest overload.Digest
	if q.Method == http.MethodPost {
		text, err := io.ReadAll(http.MaxBytesReader(w, q.Body, overload.MaxMessageBytes))
		if err == nil {
			err = json.Unmarshal(text, &digest)
		}
		if err != nil {
			refuse(http.StatusBadRequest, fmt.Errorf("the digest cannot be read: %w", err))
			return
		}
	}
	d.mu.Lock()
	var err error
	if q.Method == http.MethodPost {
		err = d.planner.AddDigest(time.Since(d.began), digest)
	}
	word := d.advice
	d.mu.Unlock()
	switch {
	case err != nil:
		refuse(http.StatusBadRequest, err)
	case !d.term.Held(): // looked at last: this process may have been stopped
		refuse(http.StatusConflict, lease.ErrLapsed)
	default:
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(word); err != nil {
			slog.Debug("overload: answer not written", "err", err)
		}
	}
}
