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
	// endBound is how long the whole end may take: the start that is under way, the transfer of
	// leadership, the calls, the farewell to the members of the fleet, calls of the disk.
	endBound = 15 * time.Second
)

// Run serves one replica by the configuration file at path until stop is done. At each
// value of reload it reads the file again.
func Run(stop context.Context, reload <-chan os.Signal, path string) error {
	s := beginStart(stop, path)
	select {
	case <-s.over:
	case <-stop.Done():
	}
	if stop.Err() != nil {
		return s.shutDown()
	}
	if s.err != nil {
		return s.err
	}
	slog.Info("registry: serving", "group", s.config.Group, "id", s.config.ID, "http", s.config.Self().HTTP, "raft", s.config.Self().Raft)
	server := s.replica.HTTPServer()
	err := s.replica.serve(stop, reload, server, s.listener, path)
	sequence := beginShutdown()
	defer sequence.End()
	return errors.Join(err, s.replica.shutDown(sequence, server, s.leave))
}

// replicaStart is the start of a replica as a process. It may take long: it reads files, and
// waits for its disk to sync.
type replicaStart struct {
	over chan struct{} // closed when the start is over; the rest is set then

	config   *Config
	listener net.Listener // on which callers connect
	replica  *Replica     // nil: it was not started
	leave    func()       // ends its membership of the fleet
	err      error
}

// beginStart begins to start a replica by the configuration file at path, until stop is done:
// it then closes what it has opened, once the call that it is in has returned.
func beginStart(stop context.Context, path string) *replicaStart {
	s := &replicaStart{over: make(chan struct{})}
	go func() { // ends with the process at the latest
		defer close(s.over)
		s.err = s.start(stop, path)
	}()
	return s
}

func (s *replicaStart) start(stop context.Context, path string) (err error) {
	if s.config, err = LoadConfig(path); err != nil || stop.Err() != nil {
		return err
	}
	self := s.config.Self()
	if s.listener, err = net.Listen("tcp", self.HTTP); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer func() {
		if s.replica == nil {
			s.listener.Close()
		}
	}()
	peers, err := net.Listen("tcp", self.Raft)
	if err != nil {
		return fmt.Errorf("listen for replicas: %w", err)
	}
	replica, err := Open(s.config, peers)
	if err != nil {
		return err
	}
	if stop.Err() != nil {
		return replica.Close()
	}
	if s.leave, err = replica.joinMembership(); err != nil {
		return errors.Join(err, replica.Close())
	}
	s.replica = replica
	return nil
}

// shutDown waits for a start that was told to end, for as long as calls of the disk are waited for:
// what it would store is stored whole or not at all, and nobody has been told of it. A start
// that is over ends in order.
func (s *replicaStart) shutDown() error {
	sequence := beginShutdown()
	defer sequence.End()
	over := false
	_ = sequence.Step("start", func() error {
		select {
		case <-s.over:
			over = true
		case <-time.After(diskEndTimeout):
			slog.Warn("registry: ends before its start is over")
		}
		return nil
	})
	switch {
	case !over:
		return nil
	case s.replica == nil:
		return s.err // nil if the start has ended because it was told to
	}
	s.listener.Close()
	return s.replica.shutDown(sequence, s.replica.HTTPServer(), s.leave)
}

// beginShutdown begins the end of the process, which has a bound.
func beginShutdown() *shutdown.Sequence {
	sequence := shutdown.Begin("registry", endBound) // first: the log may be stuck
	slog.Info("registry: shutting down")
	return sequence
}

// shutDown ends the replica step by step.
func (r *Replica) shutDown(sequence *shutdown.Sequence, server *http.Server, leave func()) error {
	steps := []struct {
		name string
		run  func() error
	}{
		{"leadership", func() error { r.PrepareShutdown(); return nil }},
		{"calls", func() error { return r.finishCalls(server) }},
		{"membership", func() error { leave(); return nil }},
		{"raft and storage", r.Close},
	}
	var errs []error
	for _, step := range steps {
		errs = append(errs, sequence.Step(step.name, step.run))
	}
	return errors.Join(errs...)
}

// finishCalls waits until the calls are answered, and cuts those that take too long. From
// then on nobody has anything to gain from what this replica stores: it begins no further
// write, as for a vote, while the steps that follow take their time.
func (r *Replica) finishCalls(server *http.Server) error {
	defer r.storage.refuseWrites()
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
	go r.followReloads(stop, reload, path) // not awaited: a read may never return
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-stop.Done():
		return nil
	}
}

// followReloads reads the configuration file again at each value of reload, until stop is done.
func (r *Replica) followReloads(stop context.Context, reload <-chan os.Signal, path string) {
	for {
		select {
		case <-reload:
			r.reloadFile(path)
		case <-stop.Done():
			return
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
