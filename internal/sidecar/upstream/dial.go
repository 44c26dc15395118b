package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// startDialsLocked starts handshakes with a server as long as more callers wait for it than connections
// are being established or about to leave quarantine, and the limits allow it.
func (p *Pool) startDialsLocked(server *Server) {
	releasedSoon := 0
	if server.waiting.Len() > 0 {
		releasedSoon = server.releasedSoon(time.Now())
	}
	for p.mayDialLocked(server, releasedSoon) {
		if p.dialing >= p.limits.Handshakes || (p.open >= p.limits.Total && !p.evictLocked()) {
			if server.blocked.Value = server; !server.blocked.Linked() {
				p.blocked.PushBack(&server.blocked)
			}
			return
		}
		p.open++
		p.dialing++
		server.open++
		server.dialing++
		p.dials.Go(func() { p.dial(server) })
	}
	server.blocked.Remove()
}

// mayDialLocked reports whether another handshake with a server is needed and within the limits per server.
func (p *Pool) mayDialLocked(server *Server, releasedSoon int) bool {
	return server.unavailable() == nil && p.ctx.Err() == nil &&
		server.waiting.Len() > server.dialing+releasedSoon &&
		server.open < p.limits.PerServer &&
		server.dialing < min(max(server.dialWindow, initialDialWindow), p.limits.HandshakesPerServer)
}

// resumeBlockedLocked starts handshakes with the servers that are blocked by a limit on the total, in the
// order in which they were blocked.
func (p *Pool) resumeBlockedLocked() {
	for n := p.blocked.Front(); n != nil; n = p.blocked.Front() {
		p.startDialsLocked(n.Value)
		if n.Linked() {
			return // still blocked, and so are the servers behind it
		}
	}
}

// dial establishes a connection, which goes to the server's longest-waiting caller at that time.
func (p *Pool) dial(server *Server) {
	ctx, cancel := context.WithTimeout(p.ctx, p.dialTimeout)
	defer cancel()
	startedAt := time.Now()
	dialer := net.Dialer{KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", server.addr)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	server.dialing--
	if err != nil {
		p.dialFailedLocked(server, err, ctx.Err() != nil, startedAt)
		return
	}
	p.count.Opened++
	server.growDialWindow()
	server.connectedAt, server.lastResponseAt = now, now
	c := &Conn{Conn: nc, server: server, idleSince: now}
	c.inServer.Value, c.inPool.Value = c, c
	server.recordInUse(now)
	p.releaseLocked(c)
}

// dialFailedLocked handles a failed handshake. timedOut reports whether it failed because of its timeout.
func (p *Pool) dialFailedLocked(server *Server, err error, timedOut bool, startedAt time.Time) {
	p.open--
	server.open--
	if isLocalError(err) { // not the server's failure
		p.count.LocalFailures++
		err = errLimitReached
	} else {
		p.count.DialFailed++
		server.dialWindow = 1
	}
	if timedOut {
		p.closeUnresponsiveLocked(server, startedAt)
	}
	p.grantLocked(server, grant{err: err})
	p.startDialsLocked(server)
	p.resumeBlockedLocked()
}

// localErrors are the errors of a handshake for which this machine lacks descriptors, buffers or ports.
var localErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN,
}

// isLocalError reports whether a handshake failed because of this machine and not because of the server.
func isLocalError(err error) bool {
	for _, local := range localErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}
