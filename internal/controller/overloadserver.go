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
