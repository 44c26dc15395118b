package sidecar

import (
	"net"
	"net/http"
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

// beginRequest reports whether the request that was read may be acted on. If so the connection is
// not closed before endRequest; if not, it has been closed meanwhile.
func (l *limitedListener) beginRequest(c *clientConn) bool {
	if !c.beginRequest() {
		return false
	}
	l.mu.Lock()
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
		l.admitWaitingLocked(now) // this one may be evicted now
	case http.StateClosed, http.StateHijacked:
		l.removeLocked(c)
	}
}

// setLimits applies other limits. Idle connections over the limits are closed now, the others when
// they become idle.
func (l *limitedListener) setLimits(limits config.ClientLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
	l.table.SetLimits(limits.Limits)
	l.closeIdleOverLimitLocked(time.Now())
	l.admitWaitingLocked(time.Now())
	l.waitingChanged.Broadcast()
}

// closeIdleOverLimitLocked closes idle connections while there are too many.
func (l *limitedListener) closeIdleOverLimitLocked(now time.Time) {
	for entry := l.table.ExcessIdle(); entry != nil; entry = l.table.ExcessIdle() {
		if _, evicted := l.evictLocked(entry, now); evicted {
			l.count.IdleOverLimit++
		}
	}
}

// drain closes the idle connections now, and the others when they become idle.
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

func (l *limitedListener) closeAllIdleLocked(now time.Time) {
	for entry := l.table.LongestIdle(); entry != nil; entry = l.table.LongestIdle() {
		if _, evicted := l.evictLocked(entry, now); evicted {
			l.count.Drained++
		}
	}
}

// closeUnused closes every connection without a request in progress, and refuses what was read of
// one. The others are closed with their responses.
func (l *limitedListener) closeUnused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.waiting) > 0 {
		l.refuseLocked(0)
	}
	for c := range l.admitted {
		state, refusalOwed := c.closeIdle(true)
		if state != connClosed {
			continue
		}
		l.table.Remove(&c.entry)
		l.count.Drained++
		if refusalOwed {
			l.refusePartialLocked(c)
		}
	}
}
