package sidecar

import (
	"context"
	"net/http"
	"time"

	"barleywick/policy"
)

// FleetMember represents this sidecar in the fleet's membership (docs/MEMBERSHIP.md). Serving does not
// depend on it. Its methods other than Run and ServeHTTP must not block.
type FleetMember interface {
	http.Handler // serves this member's view of the fleet
	// Run takes part in the membership until ctx ends.
	Run(ctx context.Context)
	// Announce sends the other members the phase of this sidecar, which is empty while it serves, and the
	// epoch of the fleet policy that it applies.
	Announce(phase string, epoch uint64)
	// ReportUnresponsive reports to the other members that a booking server does not respond.
	ReportUnresponsive(host string)
	// SidecarCount returns the number of sidecars in this member's view, or 0 before it has joined.
	SidecarCount() int
}

const (
	// announceInterval is the interval at which the phase is announced and the number of sidecars read.
	announceInterval = time.Second
	// unresponsiveAfter is the number of consecutive attempts without a response after which the fleet is
	// notified of a server: a single one may be caused by the request or the network.
	unresponsiveAfter = 3
)

// announcementFunc returns what a sidecar announces to the fleet about itself.
type announcementFunc func() (phase string, epoch uint64)

// runMembership announces the sidecar's phase to the fleet, and notifies the loop when the number of
// sidecars changes, until ctx ends.
func runMembership(ctx context.Context, m FleetMember, l *eventLoop, announce announcementFunc) {
	interval := time.NewTicker(announceInterval)
	defer interval.Stop()
	lastCount := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-interval.C:
		}
		m.Announce(announce())
		if n := m.SidecarCount(); n != lastCount {
			lastCount = n
			l.post(sidecarCountChanged{n})
		}
	}
}

// recordAttemptEnd records how an attempt at an endpoint ended, and reports an unresponsive endpoint to the
// fleet.
func (l *eventLoop) recordAttemptEnd(e *endpoint, ending policy.Ending) {
	switch ending {
	case policy.Cancelled, policy.NotSent: // says nothing about the server
		return
	case policy.TimedOut, policy.NoConnection:
		e.consecutiveTimeouts++
	default:
		e.consecutiveTimeouts = 0
	}
	if e.consecutiveTimeouts == unresponsiveAfter && l.fleet.member != nil {
		l.fleet.member.ReportUnresponsive(e.entry.Host)
		e.consecutiveTimeouts = 0 // report again after as many more
	}
}
