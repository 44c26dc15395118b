package sidecar

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"time"

	"barleywick/internal/admission"
	"barleywick/internal/sidecar/socket"
)

const (
	// firstByteGrace is how long a new connection does not count as silent: its first bytes may be
	// on their way.
	firstByteGrace = 50 * time.Millisecond
	// completeRequestGrace is how long a request may take to arrive whole while others wait for admission.
	completeRequestGrace = 200 * time.Millisecond
	// maxAdmissionWait is how long a connection may wait for admission before it is refused: longer
	// than any grace period, and short compared with a client's timeout.
	maxAdmissionWait = 500 * time.Millisecond
)

// waitingConn is an accepted connection that waits for admission.
type waitingConn struct {
	conn  *clientConn
	addr  netip.Addr
	since time.Time
}

// enqueue admits a new connection or lets it wait. When too many wait, and one that is admitted must
// come free within a grace period, enqueue blocks, which leaves later connections in the kernel's
// backlog. Otherwise it refuses one of the largest holder.
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
		largest := l.largestHolderLocked()
		if l.atAddressLimitLocked(l.waiting[largest].addr) || l.backlogOnly || l.table.NextOverdue().IsZero() {
			l.refuseLocked(largest)
			continue
		}
		l.waitingChanged.Wait()
	}
}

// atAddressLimitLocked reports whether addr has all connections that one address may have.
func (l *limitedListener) atAddressLimitLocked(addr netip.Addr) bool {
	return l.limits.PerAddress < l.limits.Total && l.table.OpenFrom(addr) >= l.limits.PerAddress
}

// admitWaitingLocked admits waiting connections while it can, refuses those that have waited too
// long, and arms the timer for its next call.
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
	next := l.waiting[0].since.Add(maxAdmissionWait)
	if overdue := l.table.NextOverdue(); !overdue.IsZero() && overdue.Before(next) {
		next = overdue
	}
	// A time that has passed is not tried again at once: the overdue connection could not be closed.
	l.waitTimer.Reset(max(time.Until(next), time.Millisecond))
}

// nextAdmissibleLocked evicts a connection, if necessary, for one of the waiting ones, and returns the
// index of that one, or -1 if none can be admitted. It tries the address with the fewest connections
// first, and of an address the longest waiting.
func (l *limitedListener) nextAdmissibleLocked(now time.Time) int {
	tried := make(map[netip.Addr]bool, len(l.waiting))
	for range l.waiting {
		best, fewest := -1, 0
		for i, w := range l.waiting {
			if open := l.table.OpenFrom(w.addr); !tried[w.addr] && (best < 0 || open < fewest) {
				best, fewest = i, open
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

// evictForLocked reports whether a connection from addr may be admitted now, after it has evicted the
// one that has to make way.
func (l *limitedListener) evictForLocked(addr netip.Addr, now time.Time) bool {
	for {
		verdict, victim := l.table.Decide(addr, now)
		switch verdict {
		case admission.Admit:
			return true
		case admission.Wait:
			return false
		}
		if counter, evicted := l.evictLocked(victim, now); evicted {
			*counter++
		}
	}
}

// evictLocked closes a connection so that another can be admitted. It does not if the connection
// proves to be in use; the table knows that afterwards. counter is the one for the victim's state.
func (l *limitedListener) evictLocked(victim *admission.Conn[*clientConn], now time.Time) (counter *uint64, evicted bool) {
	c := victim.Owner
	if victim.Silent() && !socket.IsIdle(c.TCPConn) {
		l.table.FirstByteRead(victim, now) // awaitFirstByte has not noticed it yet
		return nil, false
	}
	if counter = &l.count.EvictedUnfinished; victim.Idle() {
		counter = &l.count.EvictedIdle
	}
	state, refusalOwed := c.closeIdle(!victim.Idle())
	switch state {
	case connBusy:
		l.table.RequestStarted(victim, now) // a moment ago
		return nil, false
	case connIdle:
		l.table.FirstByteRead(victim, now) // a part of its next request has been read
		return nil, false
	}
	l.table.Remove(victim)
	if refusalOwed {
		l.refusePartialLocked(c)
	}
	return counter, true
}

// admitLocked admits a waiting connection.
func (l *limitedListener) admitLocked(w *waitingConn, now time.Time) {
	c := w.conn
	l.count.Admitted++
	if now.After(w.since) {
		l.count.Waited++
	}
	l.table.Add(&c.entry, w.addr, now)
	l.admitted[c] = struct{}{}
	l.tasks.Go(func() { l.deliver(c) })
}

// deliver hands an admitted connection to Accept when its first byte has arrived.
func (l *limitedListener) deliver(c *clientConn) {
	err := c.awaitFirstByte()
	l.mu.Lock()
	if err != nil {
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			l.count.HeaderTimeouts++
		case errors.Is(err, errClientVanished):
			l.count.ClosedByClient++
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
}

// largestHolderLocked returns the index of the waiting connection to refuse: the last one of the
// address with the most connections, waiting ones included.
func (l *limitedListener) largestHolderLocked() int {
	waiting := make(map[netip.Addr]int, len(l.waiting))
	for _, w := range l.waiting {
		waiting[w.addr]++
	}
	largest, most := 0, -1
	for i, w := range l.waiting {
		if n := l.table.OpenFrom(w.addr) + waiting[w.addr]; n >= most {
			largest, most = i, n
		}
	}
	return largest
}

func (l *limitedListener) removeWaitingLocked(i int) {
	l.waiting = slices.Delete(l.waiting, i, i+1)
	l.waitingChanged.Broadcast()
}

// refuseLocked answers a waiting connection with 503 and closes it. What its client has sent is
// unread, and a close over it would reset the connection and could destroy the answer. Therefore the
// close lingers, on limits.Refusing connections at most; on others only what has arrived is discarded.
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
	l.refuseInBackgroundLocked(func() {
		if c.CloseWrite() == nil {
			discard(c.TCPConn, maxBody)
		}
		c.Close()
	})
}

// refusePartialLocked answers and closes a connection that closeIdle has marked as closed over a
// partial request.
func (l *limitedListener) refusePartialLocked(c *clientConn) {
	l.count.PartialRefused++
	if l.refusing >= l.limits.Refusing {
		c.refusePartial(true)
		return
	}
	l.alive++ // counted once more until the refusal is sent
	l.refuseInBackgroundLocked(func() { c.refusePartial(false) })
}

// refuseInBackgroundLocked runs refuse in a goroutine and counts the end of its connection after it.
func (l *limitedListener) refuseInBackgroundLocked(refuse func()) {
	l.refusing++
	l.tasks.Go(func() {
		refuse()
		l.mu.Lock()
		l.refusing--
		l.endedLocked()
		l.mu.Unlock()
	})
}
