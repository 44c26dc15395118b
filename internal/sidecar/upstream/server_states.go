package upstream

import (
	"time"

	"barleywick/internal/queue"
	"barleywick/policy"
)

// noteResponse records that a complete response came from a server.
func (p *Pool) noteResponse(server *Server) {
	p.mu.Lock()
	server.lastResponseAt = time.Now()
	p.mu.Unlock()
}

// noteUnresponsive records that a request, written at writtenAt, got no response.
func (p *Pool) noteUnresponsive(server *Server, writtenAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeUnresponsiveLocked(server, writtenAt)
	p.startDialsLocked(server)
	p.resumeBlockedLocked()
}

// closeUnresponsiveLocked closes the unused connections to a server from which nothing has come since
// a time. A machine that has vanished or was cut off breaks no connection: an idle one to it looks
// good, and a request written to it may never be repeated. If another response came meanwhile, only
// that one request was slow, and the connections are kept.
func (p *Pool) closeUnresponsiveLocked(server *Server, since time.Time) {
	if !server.lastResponseAt.After(since) {
		p.closeUnusedLocked(server, &p.count.Unresponsive)
	}
}

// ServerState returns what the endpoint list says of a server now: it may have changed since the
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

// Drain closes the unused connections to a server, and from now on every other when it is released;
// waiting callers get an error at once. Resume takes it back.
func (p *Pool) Drain(server *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !server.draining {
		server.draining = true
		p.shutOffLocked(server, errServerDraining, &p.count.ServerDraining)
	}
}

// Resume ends the drain of a server.
func (p *Pool) Resume(server *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	server.draining = false
}

// Retire does what drain does for a server that was removed, for good. Another server may come to the
// same address: it is another Server, with connections of its own.
func (p *Pool) Retire(server *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	server.removed = true
	p.shutOffLocked(server, errServerRemoved, &p.count.ServerRemoved)
}

// shutOffLocked closes the unused connections to a server and fails the callers that wait for one.
func (p *Pool) shutOffLocked(server *Server, err error, counter *uint64) {
	server.blocked.Remove()
	p.closeUnusedLocked(server, counter)
	for p.grantLocked(server, grant{err: err}) {
	}
	p.resumeBlockedLocked()
}

// closeUnusedLocked closes the idle and the quarantined connections to a server, and counts them.
func (p *Pool) closeUnusedLocked(server *Server, counter *uint64) {
	for _, list := range []*queue.List[*Conn]{&server.idle, &server.quarantined} {
		for n := list.Front(); n != nil; n = list.Front() {
			*counter++
			p.closeLocked(n.Value)
		}
	}
}
