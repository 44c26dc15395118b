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

	"barleywick/internal/httpinput"
	"barleywick/internal/lease"
	"barleywick/internal/overload"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

// overloadTask receives load digests from sidecars and responds with overload advice. Its responses
// are timed acts, sent only while the lease is held. Each contains the fencing token, by which
// sidecars reject late responses of an earlier holder. The task's address is written under the fence.
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
		served <- httpinput.Serve(server, ln, inputLimits())
		close(served)
	}()
	defer func() {
		server.Close()
		for range served { // until Serve has returned
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

// announce writes the task's address to the registry, in place of an earlier holder's.
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
