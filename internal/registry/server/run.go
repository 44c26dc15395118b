package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/net/netutil"

	"barleywick/internal/shutdown"
)

const (
	// shutdownTimeout is how long calls may take to finish at the end; watches end at once.
	shutdownTimeout = 5 * time.Second
	// endBound is how long the whole end may take: the transfer of leadership, the calls, the
	// farewell to the members of the fleet, calls to other replicas that are under way.
	endBound = 15 * time.Second
)

// Run serves one replica by the configuration file at path until stop is done. At each
// value of reload it reads the file again.
func Run(stop context.Context, reload <-chan os.Signal, path string) (err error) {
	c, err := LoadConfig(path)
	if err != nil {
		return err
	}
	self := c.Self()
	ln, err := net.Listen("tcp", self.HTTP)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer ln.Close()
	peers, err := net.Listen("tcp", self.Raft)
	if err != nil {
		return fmt.Errorf("listen for replicas: %w", err)
	}
	r, err := Open(c, peers)
	if err != nil {
		return err
	}
	leave, err := r.joinMembership()
	if err != nil {
		return errors.Join(err, r.Close())
	}
	slog.Info("registry: serving", "group", c.Group, "id", c.ID, "http", self.HTTP, "raft", self.Raft)
	server := r.HTTPServer()
	err = r.serve(stop, reload, server, ln, path)
	return errors.Join(err, r.end(server, leave))
}

// end ends the replica step by step.
func (r *Replica) end(server *http.Server, leave func()) error {
	slog.Info("registry: shutting down")
	sequence := shutdown.Begin("registry", endBound)
	defer sequence.End()
	steps := []struct {
		name string
		run  func() error
	}{
		{"leadership", func() error { r.PrepareShutdown(); return nil }},
		{"calls", func() error { return finishCalls(server) }},
		{"membership", func() error { leave(); return nil }},
		{"raft and storage", r.Close},
	}
	var errs []error
	for _, step := range steps {
		errs = append(errs, sequence.Step(step.name, step.run))
	}
	return errors.Join(errs...)
}

// finishCalls waits until the calls are answered, and cuts those that take too long.
func finishCalls(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return server.Close()
	}
	return nil
}

// serve answers calls on a listener until stop is done.
func (r *Replica) serve(stop context.Context, reload <-chan os.Signal, server *http.Server, ln net.Listener, path string) error {
	served := make(chan error, 1)
	go func() { served <- server.Serve(netutil.LimitListener(ln, r.maxConnections)) }()
	for {
		select {
		case err := <-served:
			return fmt.Errorf("serve: %w", err)
		case <-stop.Done():
			return nil
		case <-reload:
			r.reloadFile(path)
		}
	}
}

// reloadFile reads the configuration file again. If it cannot be used the old
// configuration stays in force.
func (r *Replica) reloadFile(path string) {
	fresh, err := LoadConfig(path)
	if err == nil {
		err = r.Reload(fresh)
	}
	if err != nil {
		slog.Error("registry: reload failed, old configuration stays", "err", err)
		return
	}
	slog.Info("registry: configuration reloaded")
}
