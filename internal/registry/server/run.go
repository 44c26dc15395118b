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
)

// shutdownTimeout is how long calls may take to finish at the end; watches end at once.
const shutdownTimeout = 5 * time.Second

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
	defer func() { err = errors.Join(err, r.Close()) }()
	leave, err := r.joinMembership()
	if err != nil {
		return err
	}
	defer leave()
	slog.Info("registry: serving", "group", c.Group, "id", c.ID, "http", self.HTTP, "raft", self.Raft)
	return r.serve(stop, reload, ln, path)
}

// serve answers calls on a listener until stop is done.
func (r *Replica) serve(stop context.Context, reload <-chan os.Signal, ln net.Listener, path string) error {
	server := r.HTTPServer()
	served := make(chan error, 1)
	go func() { served <- server.Serve(netutil.LimitListener(ln, r.maxConnections)) }()
	for {
		select {
		case err := <-served:
			return fmt.Errorf("serve: %w", err)
		case <-stop.Done():
			r.shutdown(server)
			return nil
		case <-reload:
			r.reloadFile(path)
		}
	}
}

func (r *Replica) shutdown(server *http.Server) {
	slog.Info("registry: shutting down")
	r.PrepareShutdown()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		server.Close()
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
