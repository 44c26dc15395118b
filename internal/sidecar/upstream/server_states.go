package upstream

import (
	"time"

	"barleywick/internal/queue"
	"barleywick/policy"
)

// recordResponse records that a server sent a complete response.
func (p *Pool) recordResponse(server *Server) {
	p.mu.Lock()
	server.lastResponseAt = time.Now()
	p.mu.Unlock()
}

// handleUnresponsive closes unused connections to a server after a request, written at writtenAt, timed out.
func (p *Pool) handleUnresponsive(server *Server, writtenAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeUnresponsiveLocked(server, writtenAt)
	p.startDialsLocked(server)
	p.resumeBlockedLocked()
}

// closeUnresponsiveLocked closes the unused connections to a server if there was no response from it since
// the given time. A machine that crashed or was cut off from the network does not close its connections:
// they look idle and usable, but a request written to one of them is lost and may not be repeated. If
// another response has arrived since, only that one request was slow, and the connections are kept.
func (p *Pool) closeUnresponsiveLocked(server *Server, since time.Time) {
	if !server.lastResponseAt.After(since) {
		p.closeUnusedLocked(server, &p.count.Unresponsive)
	}
}

// ServerState returns the current state of a server in the endpoint list. It may have changed since the
// server was chosen, as a handshake takes time.
func (p *Pool) ServerState(server *Server) policy.EndpointState {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case server.removed:
		return policy.Removed
	case server.draining:
		return policy.Draining
	}
	return policy.Ready
}

// Drain closes the unused connections to a server at once and the others when they are released. Waiting
// callers get an error at once. Resume undoes it.
func (p *Pool) Drain(server *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !server.draining {
		server.draining = true
		p.disableServerLocked(server, errServerDraining, &p.count.ServerDraining)
	}
}

// Resume ends the drain of a server.
func (p *Pool) Resume(server *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	server.draining = false
}

// RemoveServer is like Drain, but permanent, for a server that was removed. A later server at the same address
// is another Server with connections of its own.
func (p *Pool) RemoveServer(server *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	server.removed = true
	p.disableServerLocked(server, errServerRemoved, &p.count.ServerRemoved)
}

// disableServerLocked closes the unused connections to a server and fails the callers waiting for one.
func (p *Pool) disableServerLocked(server *Server, err error, counter *uint64) {
	server.blocked.Remove()
	p.closeUnusedLocked(server, counter)
	for p.grantLocked(server, grant{err: err}) {
	}
	p.resumeBlockedLocked()
}

// closeUnusedLocked closes the idle and quarantined connections to a server, and adds them to counter.
func (p *Pool) closeUnusedLocked(server *Server, counter *uint64) {
	for _, list := range []*queue.List[*Conn]{&server.idle, &server.quarantined} {
		for n := list.Front(); n != nil; n = list.Front() {
			*counter++
			p.closeLocked(n.Value)
		}
	}
}
