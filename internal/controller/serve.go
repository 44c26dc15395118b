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

	"barleywick/internal/membership"
)

const (
	httpTimeout          = 5 * time.Second
	maxConcurrentScrapes = 4
	maxHeaderBytes       = 8 << 10
)

// Serve runs a keeper as its configuration says until ctx ends.
func Serve(ctx context.Context, c *Config) error {
	k, err := New(c, c.Tasks)
	if err != nil {
		return err
	}
	all, in := errgroup.WithContext(ctx)
	if c.Listen != "" {
		ln, err := net.Listen("tcp", c.Listen)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		all.Go(func() error { return k.serve(in, ln) })
	}
	if c.Policy != nil && c.Policy.Machine != "" {
		all.Go(func() error { return watchMachine(in, k.client, c.Policy.Machine) })
	}
	slog.Info("keeper: serving", "name", c.Name, "tasks", len(k.tasks))
	all.Go(func() error { return k.Run(in) })
	err = all.Wait()
	slog.Info("keeper: ended", "name", c.Name)
	return err
}

// serve answers for metrics and readiness until ctx ends.
func (k *Controller) serve(ctx context.Context, ln net.Listener) error {
	r := prometheus.NewRegistry()
	r.MustRegister(leaseCollector{k}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes}))
	if k.fleet != nil {
		mux.Handle("/"+membership.ViewPath, k.fleet.node)
		r.MustRegister(k.fleet)
	}
	mux.HandleFunc("GET /health/ready", func(http.ResponseWriter, *http.Request) {})
	s := &http.Server{Handler: mux, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, IdleTimeout: httpTimeout, MaxHeaderBytes: maxHeaderBytes}
	closed := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer closed()
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// Describe names the figures.
func (leaseCollector) Describe(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descToken, descGrants, descLapses} {
		c <- d
	}
}
