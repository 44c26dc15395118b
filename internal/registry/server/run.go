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

// shutdownTimeout is how long calls under way may take to end; watches end at once.
const shutdownTimeout = 5 * time.Second

// Run serves one replica, as the file at path says, until stop is done. At each
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
	end, err := r.joinMembership()
	if err != nil {
		return err
	}
	defer end()
	s := r.HTTPServer()
	served := make(chan error, 1)
	go func() { served <- s.Serve(netutil.LimitListener(ln, r.maxConnections)) }()
	slog.Info("serving", "group", c.Group, "id", c.ID, "http", self.HTTP, "raft", self.Raft)
	for {
		select {
		case err := <-served:
			return fmt.Errorf("serve: %w", err)
		case <-stop.Done():
			slog.Info("ending")
			r.PrepareShutdown()
			ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
			defer cancel()
			if err := s.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
				s.Close()
			}
			return nil
		case <-reload:
			fresh, err := LoadConfig(path)
			if err == nil {
				err = r.Reload(fresh)
			}
			if err != nil {
				slog.Error("configuration: the old one stays in force", "err", err)
				continue
			}
			slog.Info("configuration: read again")
		}
	}
}
