package upstream

import (
	"time"

	"barleywick/internal/queue"
)

const (
	// initialDialWindow is how many handshakes with a server may be in progress before one has succeeded.
	initialDialWindow = 2
	// maxDialWindow is higher than any reasonable limit on the handshakes with one server.
	maxDialWindow = 64
)

// Server is the pool's state for one booking server. It belongs to an endpoint and not to an address,
// as another server may use the same address later. The pool's lock guards it.
type Server struct {
	addr     string
	removed  bool
	draining bool // gets no new requests until Resume

	idle        queue.List[*Conn]   // most recently used last
	quarantined queue.List[*Conn]   // in the order in which their quarantines began
	waiting     queue.List[*waiter] // longest waiting first
	blocked     queue.Node[*Server] // in Pool.blocked
	open        int                 // connections and handshakes in progress
	dialing     int                 // handshakes in progress
	dialWindow  int                 // maximum of dialing: see growDialWindow

	connectedAt    time.Time // when the last connection was established
	lastResponseAt time.Time // when the last complete response was read or connection established
	surplusAt      time.Time // when the last surplus response was found

	peak            int // maximum of connections in use at once in the current demand window
	previousPeak    int // the same for the previous window
	peakWindowStart time.Time
}

// NewServer returns a server at an address, without connections.
func NewServer(addr string) *Server { return &Server{addr: addr} }

// unavailable returns an error if the server must not get new requests.
func (s *Server) unavailable() error {
	switch {
	case s.removed:
		return errServerRemoved
	case s.draining:
		return errServerDraining
	}
	return nil
}

// recordInUse updates the peak number of connections in use at once.
func (s *Server) recordInUse(now time.Time) {
	if age := now.Sub(s.peakWindowStart); age >= 2*demandWindow {
		s.peak, s.previousPeak, s.peakWindowStart = 0, 0, now
	} else if age >= demandWindow {
		s.peak, s.previousPeak, s.peakWindowStart = 0, s.peak, now
	}
	s.peak = max(s.peak, s.open-s.dialing-s.idle.Len())
}

// neededConns returns the recent peak number of connections in use at once, but at least 1, since keeping
// one connection is cheaper than a handshake.
func (s *Server) neededConns(now time.Time) int {
	switch age := now.Sub(s.peakWindowStart); {
	case age >= 2*demandWindow:
		return 1
	case age >= demandWindow:
		return max(1, s.peak)
	}
	return max(1, s.peak, s.previousPeak)
}

// growDialWindow increases the dial window by one after a successful handshake. After a failed one the
// window is 1, since a server that was unreachable becomes reachable for all sidecars at once, and is cold.
func (s *Server) growDialWindow() {
	s.dialWindow = min(max(s.dialWindow, initialDialWindow-1)+1, maxDialWindow)
}
