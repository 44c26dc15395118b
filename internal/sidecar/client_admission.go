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
	"barleywick/internal/socket"
)

const (
	// firstByteGrace is how long a new connection may send nothing without counting as silent: its
	// first bytes may still be in transit.
	firstByteGrace = 50 * time.Millisecond
	// completeRequestGrace is how long a request may take to arrive completely while other connections
	// wait for admission.
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

// enqueue admits a new connection or queues it. If the queue is full and an admitted connection can be
// evicted when its grace period ends, enqueue blocks, so that later connections stay in the kernel's
// backlog. Otherwise it refuses a waiting connection of the address with the most connections.
func (l *limitedListener) enqueue(c *clientConn) {
	addr := remoteAddr(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close()
		return
	}
	l.alive++
	c.gate = l.gate
	if l.memory != nil {
		c.limitInput(l.memory)
		c.scheduling = l.scheduling
	}
	l.count.Accepted++
	if l.isOverdueLocked(c, addr) {
		l.refuseSilentLocked(c)
		return
	}
	l.waiting = append(l.waiting, &waitingConn{conn: c, addr: addr, since: c.acceptedAt})
	l.admitWaitingLocked(c.acceptedAt)
	for len(l.waiting) > l.limits.Waiting && !l.closed {
		largest := l.refusalCandidateLocked()
		if l.atAddressLimitLocked(l.waiting[largest].addr) || l.backlogOnly || l.table.NextOverdue().IsZero() {
			l.refuseLocked(largest)
			continue
		}
		l.waitingChanged.Wait()
	}
}

// remoteAddr returns the address of a connection's client, without its port.
func remoteAddr(c *clientConn) netip.Addr {
	return c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
}

// isOverdueLocked reports whether a new connection would be evicted at once: there is no capacity left, and it has sent
// nothing although its grace period has expired while it waited in the kernel's backlog.
func (l *limitedListener) isOverdueLocked(c *clientConn, addr netip.Addr) bool {
	if c.acceptedAt.Sub(c.establishedAt) < firstByteGrace || !socket.IsIdle(c.TCPConn) {
		return false
	}
	verdict, _ := l.table.Decide(addr, c.acceptedAt)
	return verdict != admission.Admit
}

// refuseSilentLocked answers a connection on which nothing has arrived with 503 and closes it.
func (l *limitedListener) refuseSilentLocked(c *clientConn) {
	l.count.Refused++
	c.TCPConn.SetDeadline(time.Now().Add(lingerTimeout))
	io.WriteString(c.TCPConn, refusedResponse) // does not block: it fits into the empty send buffer
	c.Close()
	l.endedLocked()
}

// atAddressLimitLocked reports whether addr has reached the limit of open connections for one address.
func (l *limitedListener) atAddressLimitLocked(addr netip.Addr) bool {
	return l.limits.PerAddress < l.limits.Total && l.table.OpenFrom(addr) >= l.limits.PerAddress
}

// admitWaitingLocked admits as many waiting connections as possible, refuses those that have waited for
// maxAdmissionWait, and arms the timer for its next call.
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
	// If the time has already passed, the overdue connection could not be closed: wait a little before
	// the next attempt.
	l.waitTimer.Reset(max(time.Until(next), time.Millisecond))
}

// nextAdmissibleLocked returns the index of the next waiting connection to admit, after evicting another
// connection for it if necessary, or -1 if none can be admitted. Addresses with fewer open connections
// come first; for each address the connection that has waited longest.
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

// evictForLocked reports whether a connection from addr may be admitted now. If the limits require it,
// it evicts another connection first.
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

// evictLocked closes a connection so that another can be admitted. If the connection turns out to be in
// use, evictLocked leaves it open and updates the table. counter is the counter for the victim's state.
func (l *limitedListener) evictLocked(victim *admission.Conn[*clientConn], now time.Time) (counter *uint64, evicted bool) {
	c := victim.Owner
	if (victim.Silent() || victim.Idle()) && !socket.IsIdle(c.TCPConn) {
		l.table.FirstByteRead(victim, now) // bytes have arrived that were not read yet
		return nil, false
	}
	if counter = &l.count.EvictedUnfinished; victim.Idle() {
		counter = &l.count.EvictedIdle
	}
	state, refusalPending := c.closeIdle(!victim.Idle())
	switch state {
	case connBusy:
		l.table.RequestStarted(victim, now) // the table has not been updated yet
		return nil, false
	case connIdle:
		l.table.FirstByteRead(victim, now) // part of its next request has been read
		return nil, false
	}
	l.table.Remove(victim)
	if refusalPending {
		l.refusePartialLocked(c)
	}
	return counter, true
}

// admitLocked admits a waiting connection, and waits in the background for its first byte.
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

// deliver passes an admitted connection to Accept once its first request has arrived.
func (l *limitedListener) deliver(c *clientConn) {
	err := c.awaitFirstByte()
	if err == nil {
		l.mu.Lock()
		c.heard = true
		l.table.FirstByteRead(&c.entry, time.Now())
		l.mu.Unlock()
		err = c.awaitRequest()
	}
	if err != nil {
		l.endUndelivered(c, err)
		return
	}
	select {
	case l.ready <- c:
	case <-l.done:
		c.Close()
		l.mu.Lock()
		l.removeLocked(c)
		l.mu.Unlock()
	}
}

// endUndelivered ends an admitted connection whose first request did not become complete.
func (l *limitedListener) endUndelivered(c *clientConn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		l.count.HeaderTimeouts++
	case errors.Is(err, errClosedBeforeFirstByte):
		l.count.ClosedByClient++
	}
	if _, refusalPending := c.closeIdle(true); refusalPending {
		l.refusePartialLocked(c)
	}
	c.releaseInput()
	l.removeLocked(c)
}

// refusalCandidateLocked returns the index of the waiting connection to refuse: the last one of the
// address with the most connections, including waiting ones.
func (l *limitedListener) refusalCandidateLocked() int {
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

// refuseLocked answers a waiting connection with 503 and closes it. The bytes that its client has sent
// are unread, and closing a socket with unread bytes resets the connection, so that the client may lose
// the response. Therefore up to limits.Refusing connections get a lingering close; for others only the
// bytes that have already arrived are discarded.
func (l *limitedListener) refuseLocked(i int) {
	c := l.waiting[i].conn
	l.removeWaitingLocked(i)
	l.count.Refused++
	c.TCPConn.SetDeadline(time.Now().Add(lingerTimeout))
	_, err := io.WriteString(c.TCPConn, refusedResponse) // does not block: it fits into the empty send buffer
	if err != nil || l.refusing >= l.limits.Refusing {
		c.discardUnread()
		c.Close()
		l.endedLocked()
		return
	}
	l.refuseInBackgroundLocked(func() {
		if c.CloseWrite() == nil {
			c.discard(maxBody)
		}
		c.Close()
	})
}

// refusePartialLocked refuses the partial request on a connection that closeIdle has marked as closed,
// and closes the connection.
func (l *limitedListener) refusePartialLocked(c *clientConn) {
	l.count.PartialRefused++
	if l.refusing >= l.limits.Refusing {
		c.refusePartial(true)
		return
	}
	l.alive++ // released by refuseInBackgroundLocked when the refusal has been sent
	l.refuseInBackgroundLocked(func() { c.refusePartial(false) })
}

// refuseInBackgroundLocked runs refuse in a goroutine, and counts the connection as ended afterwards.
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
