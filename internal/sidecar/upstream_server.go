package sidecar

import (
	"time"

	"barleywick/internal/queue"
)

// upstreamServer is one upstream to the pool. It stands for the host and not for its
// address, which may be another host's tomorrow. The pool's lock guards it.
type upstreamServer struct {
	addr string

	removed      bool
	draining     bool                        // it finishes what it has: no request is to be written to it
	idle         queue.List[*upstreamConn]   // the most recently used last
	quarantined  queue.List[*upstreamConn]   // had an answer a moment ago, and none is used yet
	waiting      queue.List[*waiter]         // the longest waiting first
	blocked      queue.Node[*upstreamServer] // among those that a bound on all upstreams holds up
	open         int                         // connections, and handshakes under way
	dialing      int                         // handshakes under way
	dialWindow   int                         // how many may be: see grow
	connectedAt  time.Time                   // the last connection that came up
	heardAt      time.Time                   // the last answer, or connection that came up
	peak         int                         // most connections in use at once, in this while and in the last one
	previousPeak int
	peakSince    time.Time // when this while began
	surplusAt    time.Time // when something came last that belongs to no request
}

// unavailable returns an error if the upstream is to get nothing new.
func (to *upstreamServer) unavailable() error {
	switch {
	case to.removed:
		return errServerRemoved
	case to.draining:
		return errServerDraining
	}
	return nil
}

// noteInUse notes how many connections to the upstream are in use at once.
func (to *upstreamServer) noteInUse(now time.Time) {
	if past := now.Sub(to.peakSince); past >= 2*demandWindow {
		to.peak, to.previousPeak, to.peakSince = 0, 0, now
	} else if past >= demandWindow {
		to.peak, to.previousPeak, to.peakSince = 0, to.peak, now
	}
	to.peak = max(to.peak, to.open-to.dialing-to.idle.Len())
}

// growDialWindow lets an upstream have one more handshake at once for each that succeeded.
// One that was out of reach begins again with one: it comes back for all
// sidecars at the same moment, and cold.
func (to *upstreamServer) growDialWindow() {
	to.dialWindow = min(max(to.dialWindow, initialDialWindow-1)+1, maxDialWindow)
}

// maxDialWindow is above any limit on handshakes to one upstream that makes sense.
const maxDialWindow = 64

// needed is how many connections to the upstream were in use at once lately; one
// at least, as a handshake costs more than keeping it.
func (to *upstreamServer) needed(now time.Time) int {
	switch past := now.Sub(to.peakSince); {
	case past >= 2*demandWindow:
		return 1
	case past >= demandWindow:
		return max(1, to.peak)
	}
	return max(1, to.peak, to.previousPeak)
}
