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

	"barleywick/internal/httpinput"
	"barleywick/internal/shutdown"
)

const (
	// finishCallsTimeout is how long open calls may take to finish during shutdown; watches end at once.
	finishCallsTimeout = 5 * time.Second
	// totalShutdownTimeout bounds the whole shutdown: the startup in progress, the leadership
	// transfer, open calls, the leave message to the fleet, and disk calls.
	totalShutdownTimeout = 15 * time.Second
)

// Run starts a replica with the configuration file at path and serves it until stop is done. On
// each signal from reload it reloads the file.
func Run(stop context.Context, reload <-chan os.Signal, path string) error {
	s := beginStart(stop, path)
	select {
	case <-s.done:
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

// replicaStart is the startup of a replica, which runs in its own goroutine. It may take long
// since it reads files and waits for disk syncs.
type replicaStart struct {
	done chan struct{} // closed when startup has finished; the other fields are set by then

	config   *Config
	listener net.Listener // for HTTP callers
	replica  *Replica     // nil if it was not started
	leave    func()       // leaves the fleet
	err      error
}

// beginStart starts a replica with the configuration file at path in the background. If stop is
// done, startup ends after its current call has returned, and closes what it has opened.
func beginStart(stop context.Context, path string) *replicaStart {
	s := &replicaStart{done: make(chan struct{})}
	go func() { // returns when the process exits at the latest
		defer close(s.done)
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

// shutDown shuts down after stop is done. It waits for startup for diskShutdownTimeout at most,
// as for other disk calls: what startup stores has not been acknowledged, and is stored
// completely or not at all. If startup has finished, the replica is shut down step by step.
func (s *replicaStart) shutDown() error {
	sequence := beginShutdown()
	defer sequence.End()
	over := false
	_ = sequence.Step("start", func() error {
		select {
		case <-s.done:
			over = true
		case <-time.After(diskShutdownTimeout):
			slog.Warn("registry: shut down before startup finished")
		}
		return nil
	})
	switch {
	case !over:
		return nil
	case s.replica == nil:
		return s.err // nil if startup ended because stop was done
	}
	s.listener.Close()
	return s.replica.shutDown(sequence, s.replica.HTTPServer(), s.leave)
}

// beginShutdown begins the shutdown of the process, bounded by totalShutdownTimeout.
func beginShutdown() *shutdown.Sequence {
	sequence := shutdown.Begin("registry", totalShutdownTimeout) // before logging, which may block
	slog.Info("registry: shutting down")
	return sequence
}

// shutDown shuts the replica down step by step and logs each step.
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

// finishCalls waits for open calls and closes the connections of those that exceed
// finishCallsTimeout. Afterwards it disables disk writes, for example of votes: no caller depends
// on them any more, and they would delay the following steps.
func (r *Replica) finishCalls(server *http.Server) error {
	defer r.storage.refuseWrites()
	ctx, cancel := context.WithTimeout(context.Background(), finishCallsTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return server.Close()
	}
	return nil
}

// serve serves HTTP calls on a listener until stop is done.
func (r *Replica) serve(stop context.Context, reload <-chan os.Signal, server *http.Server, ln net.Listener, path string) error {
	served := make(chan error, 1)
	go func() { served <- httpinput.Serve(server, ln, r.inputLimits()) }()
	go r.followReloads(stop, reload, path) // not awaited: reading the file may block indefinitely
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-stop.Done():
		return nil
	}
}

// followReloads reloads the configuration file on each signal from reload, until stop is done.
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

// reloadFile reloads the configuration file. If the file is invalid, the old configuration stays
// in effect.
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
