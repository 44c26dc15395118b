package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"barleywick/internal/httpinput"
	"barleywick/internal/membership"
	"barleywick/internal/shutdown"
)

const (
	httpTimeout          = 5 * time.Second
	maxConcurrentScrapes = 4
	maxHeaderBytes       = 8 << 10
	maxConnections       = 512 // of each HTTP server
)

// inputLimits returns the limits on the requests of an HTTP server of the controller.
func inputLimits() httpinput.Options {
	return httpinput.Options{
		MaxConns: maxConnections, HeadTimeout: httpTimeout, RequestTimeout: httpTimeout,
		Memory: httpinput.NewMemory(httpinput.DefaultBytes, httpinput.Pacing(0)),
	}
}

// Serve runs a controller with a configuration until ctx ends.
func Serve(ctx context.Context, config *Config) error {
	// New reads the membership cache from disk, which may hang.
	c, err := shutdown.Await(ctx, func() (*Controller, error) { return New(config, config.Tasks) })
	if ctx.Err() != nil {
		return nil // stopped before any task was held
	}
	if err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	if config.Listen != "" {
		ln, err := net.Listen("tcp", config.Listen)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		group.Go(func() error { return c.serveHTTP(groupCtx, ln) })
	}
	if config.Policy != nil && config.Policy.Machine != "" {
		group.Go(func() error {
			watchMachine(groupCtx, c.client, config.Policy.Machine)
			return nil
		})
	}
	slog.Info("controller: serving", "name", config.Name, "tasks", len(c.tasks))
	group.Go(func() error { return c.Run(groupCtx) })
	err = group.Wait()
	slog.Info("controller: ended", "name", config.Name)
	return err
}

// serveHTTP serves metrics, readiness and the view of the fleet until ctx ends.
func (c *Controller) serveHTTP(ctx context.Context, ln net.Listener) error {
	metrics := prometheus.NewRegistry()
	metrics.MustRegister(leaseCollector{c}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(metrics, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes}))
	if c.fleet != nil {
		mux.Handle("/"+membership.ViewPath, c.fleet.node)
		metrics.MustRegister(membershipCollector{c.fleet.node})
	}
	mux.HandleFunc("GET /health/ready", func(http.ResponseWriter, *http.Request) {})
	server := &http.Server{Handler: mux, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, IdleTimeout: httpTimeout, MaxHeaderBytes: maxHeaderBytes}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := httpinput.Serve(server, ln, inputLimits()); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
