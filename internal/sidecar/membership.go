package sidecar

import (
	"context"
	"net/http"
	"time"

	"barleywick/policy"
)

// FleetMember is this sidecar as a member of the fleet (docs/MEMBERSHIP.md). Nothing of it is needed
// to serve, and its methods must not wait.
type FleetMember interface {
	http.Handler // serves what this member sees
	// Run is a member until ctx ends.
	Run(ctx context.Context)
	// Announce tells the others the phase of this sidecar, empty while it serves, and the epoch of
	// the fleet policy that it acts by.
	Announce(phase string, epoch uint64)
	// ReportUnresponsive tells the others of a booking server that does not answer.
	ReportUnresponsive(host string)
	// SidecarCount returns how many sidecars are seen; 0: none.
	SidecarCount() int
}

const (
	// announceInterval is how often the phase and the number of sidecars are exchanged.
	announceInterval = time.Second
	// unresponsiveAfter is how many attempts in a row a server leaves unanswered before the fleet
	// is notified: one may be the request's fault, or the network's.
	unresponsiveAfter = 3
)

// announcement is what a sidecar tells the fleet of itself.
type announcement func() (phase string, epoch uint64)

// runMembership exchanges what the sidecar and its fleet tell each other, until ctx ends.
func runMembership(ctx context.Context, m FleetMember, l *eventLoop, announce announcement) {
	interval := time.NewTicker(announceInterval)
	defer interval.Stop()
	known := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-interval.C:
		}
		m.Announce(announce())
		if n := m.SidecarCount(); n != known {
			known = n
			l.post(sidecarCountChanged{n})
		}
	}
}

// recordAttemptEnd notes how an attempt at an endpoint ended, and tells the fleet of an endpoint that is
// unresponsive.
func (l *eventLoop) recordAttemptEnd(e *endpoint, ending policy.Ending) {
	switch ending {
	case policy.Cancelled, policy.NotSent: // says nothing of the server
		return
	case policy.TimedOut, policy.NoConnection:
		e.consecutiveTimeouts++
	default:
		e.consecutiveTimeouts = 0
	}
	if e.consecutiveTimeouts == unresponsiveAfter && l.fleet.member != nil {
		l.fleet.member.ReportUnresponsive(e.entry.Host)
		e.consecutiveTimeouts = 0 // the fleet is notified again after as many more
	}
}
