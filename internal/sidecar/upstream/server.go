package upstream

import (
	"time"

	"barleywick/internal/queue"
)

const (
	// initialDialWindow is how many handshakes a server gets at once before the first has succeeded.
	initialDialWindow = 2
	// maxDialWindow is above any sensible limit on the handshakes with one server.
	maxDialWindow = 64
)

// Server is the pool's part for one booking server: for an endpoint and not for its address,
// which may be another server's later. The pool's lock guards it.
type Server struct {
	addr     string
	removed  bool
	draining bool // gets no request any more, unless the drain is called off

	idle        queue.List[*Conn]   // the most recently used last
	quarantined queue.List[*Conn]   // in the order of their release to quarantine
	waiting     queue.List[*waiter] // the longest waiting first
	blocked     queue.Node[*Server] // in the pool's list of that name
	open        int                 // connections, and handshakes in progress
	dialing     int                 // handshakes in progress
	dialWindow  int                 // how many handshakes may be in progress: see growDialWindow

	connectedAt    time.Time // of the last connection
	lastResponseAt time.Time // of the last complete response or new connection
	surplusAt      time.Time // of the last surplus response

	peak         int // most connections in use at once, in the current demand window
	previousPeak int // and in the one before
	peakSince    time.Time
}

// NewServer returns a server without connections, at an address.
func NewServer(addr string) *Server { return &Server{addr: addr} }

// unavailable returns an error if the server gets nothing new.
func (s *Server) unavailable() error {
	switch {
	case s.removed:
		return errServerRemoved
	case s.draining:
		return errServerDraining
	}
	return nil
}

// noteInUse records how many connections are in use at once.
func (s *Server) noteInUse(now time.Time) {
	if age := now.Sub(s.peakSince); age >= 2*demandWindow {
		s.peak, s.previousPeak, s.peakSince = 0, 0, now
	} else if age >= demandWindow {
		s.peak, s.previousPeak, s.peakSince = 0, s.peak, now
	}
	s.peak = max(s.peak, s.open-s.dialing-s.idle.Len())
}

// needed returns how many connections were in use at once lately, and at least one: a handshake costs
// more than to keep a connection.
func (s *Server) needed(now time.Time) int {
	switch age := now.Sub(s.peakSince); {
	case age >= 2*demandWindow:
		return 1
	case age >= demandWindow:
		return max(1, s.peak)
	}
	return max(1, s.peak, s.previousPeak)
}

// growDialWindow allows one more handshake at once after one that succeeded. After a failed one the
// window is 1: a server that was out of reach returns to all sidecars at the same moment, and cold.
func (s *Server) growDialWindow() {
	s.dialWindow = min(max(s.dialWindow, initialDialWindow-1)+1, maxDialWindow)
}
