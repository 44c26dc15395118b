package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
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
