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

// overloadTask takes load digests of sidecars and answers with overload advice. Its responses
// are timed acts, given only while the lease is held; by the token in each, sidecars reject
// what an earlier holder sends late. Where it listens is written under the fence.
type overloadTask struct {
	config OverloadConfig
	client *client.Client
	fleet  *fleetView
}

func (t *overloadTask) run(ctx context.Context, handle *lease.Handle) error {
	ln, err := net.Listen("tcp", t.config.Listen)
	if err != nil {
		return fmt.Errorf("overload.listen: %w", err)
	}
	handler := newOverloadServer(handle, t.config.Fleet)
	handler.plan()
	server := &http.Server{Handler: handler, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, IdleTimeout: 2 * httpTimeout, MaxHeaderBytes: maxHeaderBytes}
	served := make(chan error, 1)
	go func() {
		served <- server.Serve(ln)
		close(served)
	}()
	defer func() {
		server.Close()
		for range served { // until it has returned
		}
	}()
	if err := t.announce(ctx, handle, ln.Addr().String()); err != nil {
		return err
	}
	slog.Info("overload: listening", "at", ln.Addr(), "fleet", t.config.Fleet, "lease", handle.LeaseName(), "token", handle.Token())
	tick := time.NewTicker(overload.ReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			handler.setExpected(t.fleet.sidecarCount())
			handler.plan()
		case err := <-served:
			return fmt.Errorf("overload: %w", err)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// announce writes where the task listens into the registry, over what an earlier holder wrote.
func (t *overloadTask) announce(ctx context.Context, handle *lease.Handle, address string) error {
	text, err := json.Marshal(overload.Location{Address: address, Token: handle.Token()})
	if err != nil {
		return err
	}
	current, err := t.client.Record(ctx, overload.RecordKey)
	if err != nil && !errors.Is(err, registry.ErrNotFound) {
		return fmt.Errorf("overload: location not written: %w", err)
	}
	if _, err := t.client.PutFenced(ctx, overload.RecordKey, text, &current.Version, handle.Fence()); err != nil {
		return fmt.Errorf("overload: location not written: %w", err)
	}
	return nil
}
