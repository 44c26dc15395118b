package sidecar

import (
	"net"
	"net/http"
	"slices"
	"time"

	"barleywick/internal/sidecar/config"
)

// headerRead records that a request's header has been read.
func (l *limitedListener) headerRead(c *clientConn) {
	c.headerRead()
	l.mu.Lock()
	l.table.HeaderRead(&c.entry)
	l.admitWaitingLocked(time.Now())
	l.mu.Unlock()
}

// beginRequest marks the request that was read as in progress: its connection is not closed before
// endRequest. It returns false if the connection was closed in the meantime.
func (l *limitedListener) beginRequest(c *clientConn) bool {
	if !c.beginRequest() {
		return false
	}
	l.mu.Lock()
	c.useful = true
	l.table.RequestStarted(&c.entry, time.Now())
	l.mu.Unlock()
	return true
}

// connStateChanged is the HTTP server's ConnState callback.
func (l *limitedListener) connStateChanged(nc net.Conn, state http.ConnState) {
	c := nc.(*clientConn)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		l.table.FirstByteRead(&c.entry, now)
	case http.StateIdle:
		c.endRequest()
		l.table.BecameIdle(&c.entry, now)
		if l.draining {
			l.closeAllIdleLocked(now)
		} else {
			l.closeIdleOverLimitLocked(now)
		}
		l.admitWaitingLocked(now) // this connection may be evicted now
	case http.StateClosed, http.StateHijacked:
		c.releaseInput()
		l.removeLocked(c)
	}
}

// setLimits applies new limits. Idle connections over the limits are closed now, others when they become
// idle.
func (l *limitedListener) setLimits(limits config.ClientLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
	l.table.SetLimits(limits.Limits)
	l.closeIdleOverLimitLocked(time.Now())
	l.admitWaitingLocked(time.Now())
	l.waitingChanged.Broadcast()
}

// closeIdleOverLimitLocked closes idle connections until their number is within the limits.
func (l *limitedListener) closeIdleOverLimitLocked(now time.Time) {
	for entry := l.table.ExcessIdle(); entry != nil; entry = l.table.ExcessIdle() {
		if _, evicted := l.evictLocked(entry, now); evicted {
			l.count.IdleOverLimit++
		}
	}
}

// drain closes the idle connections now, and other connections when they become idle.
func (l *limitedListener) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	l.closeAllIdleLocked(time.Now())
}

// isDraining reports whether drain was called.
func (l *limitedListener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// closesAfterResponse reports whether a connection ends with the response to its current request: in a drain, and while a
// connection waits for admission whose address has no more connections than this one's. What the client has sent of its
// next request would keep the connection from being evicted otherwise.
func (l *limitedListener) closesAfterResponse(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		return true
	}
	if len(l.waiting) == 0 {
		return false
	}
	open := l.table.OpenFrom(remoteAddr(c))
	return slices.ContainsFunc(l.waiting, func(w *waitingConn) bool { return l.table.OpenFrom(w.addr) <= open })
}

func (l *limitedListener) closeAllIdleLocked(now time.Time) {
	for entry := l.table.LongestIdle(); entry != nil; entry = l.table.LongestIdle() {
		if _, evicted := l.evictLocked(entry, now); evicted {
			l.count.Drained++
		}
	}
}

// closeUnused closes every connection without a request in progress, and refuses partial requests. Other
// connections are closed with their responses.
func (l *limitedListener) closeUnused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.waiting) > 0 {
		l.refuseLocked(0)
	}
	for c := range l.admitted {
		state, refusalPending := c.closeIdle(true)
		if state != connClosed {
			continue
		}
		l.table.Remove(&c.entry)
		l.count.Drained++
		if refusalPending {
			l.refusePartialLocked(c)
		}
	}
}
