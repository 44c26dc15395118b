// Package metrics exports a sidecar's metrics in the Prometheus format. docs/METRICS.md lists them.
package metrics

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"barleywick/internal/admission"
	"barleywick/internal/httpinput"
	"barleywick/internal/sidecar"
)

const (
	// maxScrapes limits concurrent scrapes, each of which holds the text of all metrics in memory.
	maxScrapes     = 4
	scrapeTimeout  = 5 * time.Second
	maxHeaderBytes = 8 << 10
	// maxConnections limits the connections to the sidecar's metrics, which take descriptors that its clients could
	// use, and maxRequestBytes the bytes of
	// their requests that are not complete. A scrape has no body.
	maxConnections  = 16
	maxRequestBytes = 128 << 10
)

// Exporter exports one sidecar's metrics.
type Exporter struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

var _ sidecar.MetricsExporter = (*Exporter)(nil)

// New creates the exporter of one sidecar.
func New() *Exporter {
	e := &Exporter{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: namespace + "requests_total", Help: "Requests that have ended, by what their client got.",
		}, []string{"class", "tenant", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: namespace + "request_duration_seconds", Help: "Time from reading a request to its response.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14), // 1 ms to 8 s: deadlines are some seconds
		}, []string{"class", "outcome"}),
	}
	e.registry.MustRegister(
		e.requests, e.latency, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return e
}

// RecordRequest records the end of a request.
func (e *Exporter) RecordRequest(class, tenant, outcome string, took time.Duration) {
	e.requests.WithLabelValues(class, tenant, outcome).Inc()
	e.latency.WithLabelValues(class, outcome).Observe(took.Seconds())
}

// Serve serves metrics on ln until ctx ends. Each scrape reads the sidecar's status.
func (e *Exporter) Serve(ctx context.Context, ln net.Listener, status func(context.Context) (sidecar.Status, error)) error {
	e.registry.MustRegister(&statusCollector{ctx, status})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{
		MaxRequestsInFlight: maxScrapes, ErrorHandling: promhttp.ContinueOnError,
	}))
	s := &http.Server{
		Handler: mux, MaxHeaderBytes: maxHeaderBytes,
		ReadTimeout: scrapeTimeout, WriteTimeout: scrapeTimeout, IdleTimeout: scrapeTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() }) // aborts scrapes in progress, whose responses are no longer of use
	defer stop()
	limits := httpinput.Options{
		MaxConns: maxConnections, HeadTimeout: scrapeTimeout, RequestTimeout: scrapeTimeout,
		Memory:        httpinput.NewMemory(admission.ByteLimits{Heads: maxRequestBytes}, httpinput.Pacing(0)),
		PaceResponses: true,
	}
	if err := httpinput.Serve(s, ln, limits); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve metrics: %w", err)
	}
	return nil
}
