package sidecar

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// startDialsLocked begins handshakes with an upstream while somebody waits for more
// than are under way and the bounds allow.
func (p *pool) startDialsLocked(to *upstreamServer) {
	soon := 0
	if to.waiting.Len() > 0 {
		soon = to.releasedSoon(time.Now())
	}
	for to.unavailable() == nil && p.ctx.Err() == nil && to.waiting.Len() > to.dialing+soon &&
		to.open < p.limits.PerServer && to.dialing < min(max(to.dialWindow, initialDialWindow), p.limits.HandshakesPerServer) {
		if p.dialing >= p.limits.Handshakes || (p.open >= p.limits.Total && !p.evictLocked()) {
			if to.blocked.Value = to; !to.blocked.Linked() {
				p.blocked.PushBack(&to.blocked)
			}
			return
		}
		p.open++
		p.dialing++
		to.open++
		to.dialing++
		p.dials.Go(func() { p.dial(to) })
	}
	to.blocked.Remove()
}

// resumeBlockedLocked goes on with the upstreams that a bound on all held up, in turn.
func (p *pool) resumeBlockedLocked() {
	for n := p.blocked.Front(); n != nil; n = p.blocked.Front() {
		if p.startDialsLocked(n.Value); n.Linked() {
			return // it is held up still, and so are those behind it
		}
	}
}

// dial opens a connection for whoever waits longest by then.
func (p *pool) dial(to *upstreamServer) {
	ctx, cancel := context.WithTimeout(p.ctx, p.dialTimeout)
	defer cancel()
	begun := time.Now()
	d := net.Dialer{KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", to.addr)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	to.dialing--
	if err != nil {
		p.open--
		to.open--
		if isLocalError(err) { // no word against the upstream
			p.count.Local++
			err = errLimitReached
		} else {
			p.count.DialFailed++
			to.dialWindow = 1
		}
		if ctx.Err() != nil {
			p.closeUnresponsiveLocked(to, begun)
		}
		p.grantLocked(to, grant{err: err})
		p.startDialsLocked(to)
		p.resumeBlockedLocked()
		return
	}
	p.count.Opened++
	to.growDialWindow()
	to.connectedAt, to.heardAt = now, now
	c := &upstreamConn{Conn: nc, server: to, idleSince: now}
	c.inServer.Value, c.inPool.Value = c, c
	to.noteInUse(now)
	p.releaseLocked(c) // nothing can be left over from an answer: it needs no rest
}

// isLocalError says whether a handshake failed for want of something on this machine: descriptors,
// buffers, ports. That is no word against the upstream, and the request was never sent.
func isLocalError(err error) bool {
	for _, local := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN,
	} {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}
