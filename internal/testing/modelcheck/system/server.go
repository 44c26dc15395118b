package system

import "time"

// server is a booking server: it works on what it was sent, and is stopped by a drain.
type server struct {
	host, machine, zone string
	running             int
	stopped             bool
}

func (s *server) load() int { return s.running }

func (w *world) serverByHost(host string) *server {
	for _, s := range w.servers {
		if s.host == host {
			return s
		}
	}
	return &server{}
}

// sendRequest is one that a sidecar sends to a server.
func (w *world) sendRequest(sc *sidecar, s *server) {
	if s.stopped || sc.outboundBlocked {
		return // it cannot be reached
	}
	s.running++
	sc.requests[s.host]++
	w.checker.requests++
	w.after(w.jitter(200*time.Millisecond), sc.whileAlive(func() {
		s.running--
		sc.requests[s.host]--
	}))
}

// stopServer is the end of a server's processes.
func (w *world) stopServer(host string) {
	s := w.serverByHost(host)
	if s.stopped {
		return
	}
	s.stopped = true
	w.checker.checkServerStop(w, s)
}
