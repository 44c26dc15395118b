// Package sidecar is the client-side load balancer: it takes requests from the application beside
// it, carries them to booking servers as the balancer decides, and follows discovery. It decides
// nothing itself: the decisions are package policy's.
//
// A service has these parts, each with one owner of its state:
//
//   - the client listener and the client handler (client_*.go): connections and requests of the
//     application
//   - the event loop (loop.go): requests in progress, the endpoint list and the balancer
//   - package upstream: connections to booking servers and the attempts over them
//   - package gate: what may be sent, closed or started now
//   - package policyfollower: the fleet policy
//   - package overloadreporter: overload digests and advice
//   - package handover: the take-over by a new process
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

// Option adds a part to a sidecar that not every program links, as it takes memory whether the
// configuration names it or not.
type Option func(*runOptions)

type runOptions struct {
	exporter  MetricsExporter
	newMember func(*config.Config) FleetMember
}

// WithMetrics has a sidecar measured, and its metrics served where the configuration says.
func WithMetrics(e MetricsExporter) Option { return func(o *runOptions) { o.exporter = e } }

// WithMembership says what makes a sidecar a member of the fleet where its configuration asks for it.
func WithMembership(newMember func(*config.Config) FleetMember) Option {
	return func(o *runOptions) { o.newMember = newMember }
}

// Run listens and serves until stop is done, then answers what was taken and returns. At each value
// of reload it reads its configuration again. If the configuration says how, it takes the place of a
// process that serves already, and lets another process take its own.
func Run(stop context.Context, reload <-chan os.Signal, c *config.Config, opts ...Option) error {
	var o runOptions
	for _, set := range opts {
		set(&o)
	}
	if c.Takeover != nil {
		old, err := handover.Connect(stop, c.Handover())
		if err == nil {
			defer old.Close()
			return serve(stop, reload, c, o, old.Listener(), old)
		}
		if stop.Err() != nil {
			return nil // the predecessor keeps its place
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
