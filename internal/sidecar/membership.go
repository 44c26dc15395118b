package sidecar

import (
	"context"
	"net/http"
	"time"

	"barleywick/policy"
)

// FleetMember is this sidecar as a member of the fleet (docs/MEMBERSHIP.md). Nothing that it does
// may wait for it, and nothing of it is needed to serve.
type FleetMember interface {
	http.Handler
	Run(ctx context.Context)
	Announce(phase string, epoch uint64) // what this sidecar says of itself
	ReportUnresponsive(host string)      // a booking server does not answer
	SidecarCount() int                   // how many are seen; 0: none is
}

const (
	// announceInterval is between two looks at what has changed on either side.
	announceInterval = time.Second
	// unresponsiveAfter are as many in a row that a server left unanswered before the fleet is
	// told: one may be the request's, or the way's.
	unresponsiveAfter = 3
)

// sidecarCountChanged is the event of another number of sidecars.
type sidecarCountChanged struct{ sidecars int }

// runMembership passes on what the fleet and this sidecar tell each other, until ctx ends.
func runMembership(ctx context.Context, m FleetMember, l *eventLoop, stand func() (phase string, epoch uint64)) {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	known := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		m.Announce(stand())
		if n := m.SidecarCount(); n != known {
			known = n
			l.post(sidecarCountChanged{n})
		}
	}
}

// noteSilence notes how an attempt at a host ended, and tells the fleet of one that is silent.
func (l *eventLoop) noteSilence(h *endpoint, ending policy.Ending) {
	switch ending {
	case policy.Cancelled, policy.NotSent: // says nothing of the host
		return
	case policy.TimedOut, policy.NoConnection:
		h.consecutiveSilent++
	default:
		h.consecutiveSilent = 0
	}
	if h.consecutiveSilent == unresponsiveAfter && l.reportUnresponsive != nil {
		l.reportUnresponsive(h.entry.Host)
		h.consecutiveSilent = 0 // and again after as many more
	}
}
