package system

import "time"

// server is a booking server, which a drain may stop.
type server struct {
	host, machine, zone string
	running             int // requests in flight
	stopped             bool
}

// serverByHost returns the server of that name, or an unused server if there is none.
func (w *world) serverByHost(host string) *server {
	for _, s := range w.servers {
		if s.host == host {
			return s
		}
	}
	return &server{}
}

// sendRequest sends a request from a sidecar to a server.
func (w *world) sendRequest(sc *sidecar, s *server) {
	if s.stopped || sc.outboundBlocked {
		return // the server is unreachable
	}
	s.running++
	sc.requests[s.host]++
	w.checker.requests++
	w.after(w.jitter(200*time.Millisecond), sc.whileAlive(func() {
		s.running--
		sc.requests[s.host]--
	}))
}

// stopServer stops a server.
func (w *world) stopServer(host string) {
	s := w.serverByHost(host)
	if s.stopped {
		return
	}
	s.stopped = true
	w.checker.checkServerStop(w, s)
}
