package sidecar

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"time"

	"barleywick/internal/admission"
)

type waitingConn struct {
	conn  *clientConn
	addr  netip.Addr
	since time.Time
}

// enqueue finds a place for a new connection, or lets it wait. Where as many wait
// as may, and a place must come free within a grace, it holds up those behind it
// in the kernel's queue; else the one whose client has the most is refused.
func (l *limitedListener) enqueue(c *clientConn) {
	addr := c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close()
		return
	}
	l.alive++
	c.gate = l.gate
	l.count.Accepted++
	l.waiting = append(l.waiting, &waitingConn{conn: c, addr: addr, since: c.acceptedAt})
	l.admitWaitingLocked(c.acceptedAt)
	for len(l.waiting) > l.limits.Waiting && !l.closed {
		worst := l.largestHolderLocked()
		atItsLimit := l.limits.PerAddress < l.limits.Total && l.table.OpenFrom(l.waiting[worst].addr) >= l.limits.PerAddress
		if atItsLimit || l.backlogOnly || l.table.NextOverdue().IsZero() {
			l.refuseLocked(worst)
			continue
		}
		l.waitingChanged.Wait()
	}
}

// admitWaitingLocked gives places to those that wait, refuses those that have waited
// too long, and sees to it that it is called again in time.
func (l *limitedListener) admitWaitingLocked(now time.Time) {
	if l.closed || len(l.waiting) == 0 {
		return
	}
	for i := l.nextAdmissibleLocked(now); i >= 0; i = l.nextAdmissibleLocked(now) {
		w := l.waiting[i]
		l.removeWaitingLocked(i)
		l.admitLocked(w, now)
	}
	for len(l.waiting) > 0 && now.Sub(l.waiting[0].since) >= maxAdmissionWait {
		l.refuseLocked(0)
	}
	if len(l.waiting) == 0 {
		return
	}
	at := l.waiting[0].since.Add(maxAdmissionWait)
	if by := l.table.NextOverdue(); !by.IsZero() && by.Before(at) {
		at = by
	}
	// Not at once, even if that has passed: somebody is overdue who could not be closed.
	l.waitTimer.Reset(max(time.Until(at), time.Millisecond))
}

// nextAdmissibleLocked makes room for one of those that wait and returns which, or -1: the one
// whose client holds the least, and of those the first.
func (l *limitedListener) nextAdmissibleLocked(now time.Time) int {
	tried := make(map[netip.Addr]bool, len(l.waiting))
	for range l.waiting {
		best, least := -1, 0
		for i, w := range l.waiting {
			if held := l.table.OpenFrom(w.addr); !tried[w.addr] && (best < 0 || held < least) {
				best, least = i, held
			}
		}
		if best < 0 {
			break
		}
		if l.evictForLocked(l.waiting[best].addr, now) {
			return best
		}
		tried[l.waiting[best].addr] = true
	}
	return -1
}

// evictForLocked says whether a connection from addr may have a place now, and closes
// the one that has to give its own up for it.
func (l *limitedListener) evictForLocked(addr netip.Addr, now time.Time) bool {
	for {
		verdict, victim := l.table.Decide(addr, now)
		switch {
		case verdict == admission.Admit:
			return true
		case verdict == admission.Wait:
			return false
		}
		if counter, ok := l.evictLocked(victim, now); ok {
			*counter++
		}
	}
}

// evictLocked closes a connection for another's sake, if it proves to be as useless as
// the table holds it to be. Either way the table knows more of it afterwards.
func (l *limitedListener) evictLocked(p *admission.Conn[*clientConn], now time.Time) (counter *uint64, closed bool) {
	c := p.Owner
	if p.Silent() && !isIdleSocket(c.TCPConn) {
		l.table.FirstByteRead(p, now) // whoever waits for its first byte has not run yet
		return nil, false
	}
	if counter = &l.count.GivenUpSilent; p.Idle() {
		counter = &l.count.GivenUpIdle
	}
	state, owed := c.closeIdle(!p.Idle())
	switch state {
	case connBusy:
		l.table.RequestStarted(p, now) // a moment ago
		return nil, false
	case connIdle:
		l.table.FirstByteRead(p, now) // its next request has begun to come
		return nil, false
	}
	l.table.Remove(p)
	if owed {
		l.refusePartialLocked(c)
	}
	return counter, true
}

// admitLocked gives a connection its place. Its first byte is waited for here.
func (l *limitedListener) admitLocked(w *waitingConn, now time.Time) {
	c := w.conn
	l.count.Admitted++
	if now.After(w.since) {
		l.count.Waited++
	}
	l.table.Add(&c.entry, w.addr, now)
	l.admitted[c] = struct{}{}
	l.tasks.Go(func() {
		err := c.awaitFirstByte()
		l.mu.Lock()
		if err != nil {
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded):
				l.count.Silent++
			case errors.Is(err, errClientVanished):
				l.count.Vanished++
			}
			c.closeIdle(true)
			l.removeLocked(c)
			l.mu.Unlock()
			return
		}
		l.table.FirstByteRead(&c.entry, time.Now())
		l.mu.Unlock()
		select {
		case l.ready <- c:
		case <-l.done:
			c.Close()
			l.mu.Lock()
			l.removeLocked(c)
			l.mu.Unlock()
		}
	})
}

// largestHolderLocked is which of those that wait is refused where one must be: the last
// one of the client that has the most, waiting ones counted.
func (l *limitedListener) largestHolderLocked() int {
	asks := make(map[netip.Addr]int, len(l.waiting))
	for _, w := range l.waiting {
		asks[w.addr]++
	}
	worst, most := 0, -1
	for i, w := range l.waiting {
		if has := l.table.OpenFrom(w.addr) + asks[w.addr]; has >= most {
			worst, most = i, has
		}
	}
	return worst
}

func (l *limitedListener) removeWaitingLocked(i int) {
	l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
	l.waitingChanged.Broadcast()
}

// refuseLocked tells a waiting connection that there is no place. What was sent on it
// has not been read, and a close would reset it under the answer: so what comes is
// read for a moment, but only on a few at a time. On others it is what has come.
func (l *limitedListener) refuseLocked(i int) {
	c := l.waiting[i].conn
	l.removeWaitingLocked(i)
	l.count.Refused++
	c.TCPConn.SetDeadline(time.Now().Add(lingerTimeout))
	_, err := io.WriteString(c.TCPConn, refusedResponse) // the first bytes on it: they fit its buffer
	if err != nil || l.refusing >= l.limits.Refusing {
		c.discardUnread()
		c.Close()
		l.endedLocked()
		return
	}
	l.refusing++
	l.tasks.Go(func() {
		if c.CloseWrite() == nil {
			io.CopyN(io.Discard, c.TCPConn, maxBody)
		}
		c.Close()
		l.mu.Lock()
		l.refusing--
		l.endedLocked()
		l.mu.Unlock()
	})
}

// refusePartialLocked answers a connection that is closed over half a request.
func (l *limitedListener) refusePartialLocked(c *clientConn) {
	l.count.Dismissed++
	if l.refusing >= l.limits.Refusing {
		c.refusePartial(true)
		return
	}
	l.refusing++
	l.alive++ // until it has been told
	l.tasks.Go(func() {
		c.refusePartial(false)
		l.mu.Lock()
		l.refusing--
		l.endedLocked()
		l.mu.Unlock()
	})
}
