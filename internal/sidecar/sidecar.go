// Package sidecar is the client-side load balancer: it receives requests from the application on the
// same host, forwards them to booking servers as the balancer decides, and follows discovery. The
// decisions themselves are made in package policy.
//
// A service has these components, each with a single owner of its state:
//
//   - the client listener and the client handler (client_*.go): connections and requests of the
//     application
//   - the event loop (loop.go): requests in progress, the endpoint list and the balancer
//   - package upstream: connections to booking servers and the attempts over them
//   - package gate: the final check before an attempt is sent, a client connection closed or a probe started
//   - package policyfollower: the fleet policy
//   - package overloadreporter: overload digests and advice
//   - package handover: the take-over by a successor process
//   - package config: the configuration
package sidecar

import (
	"context"
	"errors"
	"net"
	"os"

	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/handover"
)

// Option adds an optional component to a sidecar. Programs that do not need the component do not link it,
// as it takes memory even when it is not configured.
type Option func(*runOptions)

type runOptions struct {
	exporter  MetricsExporter
	newMember func(*config.Config) FleetMember
}

// WithMetrics makes a sidecar record metrics and serve them at the configured address.
func WithMetrics(e MetricsExporter) Option { return func(o *runOptions) { o.exporter = e } }

// WithMembership sets the constructor of the fleet member, which is used if membership is configured.
func WithMembership(newMember func(*config.Config) FleetMember) Option {
	return func(o *runOptions) { o.newMember = newMember }
}

// Run listens and serves until stop is done, then answers the remaining requests and returns. Each value
// received from reload makes it reload its configuration. If a take-over is configured, it takes over
// from a process that is already serving, and later hands over to a successor.
func Run(stop context.Context, reload <-chan os.Signal, c *config.Config, opts ...Option) error {
	var o runOptions
	for _, set := range opts {
		set(&o)
	}
	if c.Takeover != nil {
		predecessor, err := handover.Connect(stop, c.Handover())
		if err == nil {
			defer predecessor.Close()
			return serve(stop, reload, c, o, predecessor.Listener(), predecessor)
		}
		if stop.Err() != nil {
			return nil // the predecessor keeps serving
		}
		if !errors.Is(err, handover.ErrNoPredecessor) {
			return err
		}
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	return serve(stop, reload, c, o, ln, nil)
}
