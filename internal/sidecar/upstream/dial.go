package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// startDialsLocked starts handshakes with a server while more callers wait for it than connections
// are about to come up or to leave quarantine, and the limits allow.
func (p *Pool) startDialsLocked(server *Server) {
	soon := 0
	if server.waiting.Len() > 0 {
		soon = server.releasedSoon(time.Now())
	}
	for p.mayDialLocked(server, soon) {
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

// mayDialLocked reports whether another handshake with a server is needed and its own limits allow it.
func (p *Pool) mayDialLocked(server *Server, releasedSoon int) bool {
	return server.unavailable() == nil && p.ctx.Err() == nil &&
		server.waiting.Len() > server.dialing+releasedSoon &&
		server.open < p.limits.PerServer &&
		server.dialing < min(max(server.dialWindow, initialDialWindow), p.limits.HandshakesPerServer)
}

// resumeBlockedLocked starts the handshakes that waited for a limit on the total, in their order.
func (p *Pool) resumeBlockedLocked() {
	for n := p.blocked.Front(); n != nil; n = p.blocked.Front() {
		p.startDialsLocked(n.Value)
		if n.Linked() {
			return // still blocked, and so are the servers behind it
		}
	}
}

// dial establishes a connection for the caller that waits longest when it is done.
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
	server.noteInUse(now)
	p.releaseLocked(c)
}

// dialFailedLocked records a handshake that failed, because of its timeout or otherwise.
func (p *Pool) dialFailedLocked(server *Server, err error, timedOut bool, startedAt time.Time) {
	p.open--
	server.open--
	if isLocalError(err) { // says nothing about the server
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

// localErrors are failures of a handshake for want of descriptors, buffers or ports of this machine.
var localErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN,
}

// isLocalError reports whether a handshake failed because of this machine and not of the server.
func isLocalError(err error) bool {
	for _, local := range localErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}
