package sidecar

import (
	"net"
	"net/http"
	"time"
)

// headerRead takes that a request's header is whole.
func (l *limitedListener) headerRead(c *clientConn) {
	c.headerRead()
	l.mu.Lock()
	l.table.HeaderRead(&c.entry)
	l.admitWaitingLocked(time.Now())
	l.mu.Unlock()
}

// beginRequest marks a connection whose request is about to be taken, unless it was
// closed a moment ago.
func (l *limitedListener) beginRequest(c *clientConn) bool {
	if !c.beginRequest() {
		return false
	}
	l.mu.Lock()
	l.table.RequestStarted(&c.entry, time.Now())
	l.mu.Unlock()
	return true
}

// connStateChanged follows the states of the server's connections.
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
		l.admitWaitingLocked(now) // there is one that may be closed now
	case http.StateClosed, http.StateHijacked:
		l.removeLocked(c)
	}
}

// setLimits puts other limits in force. Idle connections beyond them are closed
// now, others as they become idle.
func (l *limitedListener) setLimits(limits clientLimits) {
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
	for p := l.table.ExcessIdle(); p != nil; p = l.table.ExcessIdle() {
		if _, ok := l.evictLocked(p, now); ok {
			l.count.OverIdle++
		}
	}
}

// drain closes the idle connections, and from now on every other as it becomes idle.
func (l *limitedListener) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	l.closeAllIdleLocked(time.Now())
}

// isDraining says whether drain was called.
func (l *limitedListener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

func (l *limitedListener) closeAllIdleLocked(now time.Time) {
	for p := l.table.LongestIdle(); p != nil; p = l.table.LongestIdle() {
		if _, ok := l.evictLocked(p, now); ok {
			l.count.Drained++
		}
	}
}

// closeUnused ends every connection that has no request in work: what was read of one is refused
// first. Those in work end with their answers.
func (l *limitedListener) closeUnused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.waiting) > 0 {
		l.refuseLocked(0)
	}
	for c := range l.admitted {
		state, owed := c.closeIdle(true)
		if state != connClosed {
			continue
		}
		l.table.Remove(&c.entry)
		if l.count.Drained++; owed {
			l.refusePartialLocked(c)
		}
	}
}
