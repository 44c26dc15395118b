package sidecar

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"barleywick/internal/admission"
)

const (
	// firstByteGrace is how long a new connection is not held to be silent: its first
	// bytes may be on their way.
	firstByteGrace = 50 * time.Millisecond
	// wholeRequestGrace is how long a request may take to come whole where others wait.
	wholeRequestGrace = 200 * time.Millisecond
	// maxAdmissionWait is how long a connection may wait for a place before it is refused:
	// longer than any grace, and short against what a client waits for an answer.
	maxAdmissionWait = 500 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept, as when the machine is out of descriptors.
	acceptRetryDelay = 5 * time.Millisecond
	// acceptLogInterval bounds what is logged of them.
	acceptLogInterval = time.Second
)

// clientCounters count what became of client connections, each decision apart.
type clientCounters struct {
	Accepted      uint64 `json:"Accepted"`      // taken off the kernel's queue
	Admitted      uint64 `json:"Admitted"`      // given a place
	Waited        uint64 `json:"Waited"`        // of those, after a wait
	Refused       uint64 `json:"Refused"`       // answered 503 for want of a place
	GivenUpIdle   uint64 `json:"GivenUpIdle"`   // idle, closed for another's sake
	GivenUpSilent uint64 `json:"GivenUpSilent"` // without a whole request in its grace, closed for another's sake
	OverIdle      uint64 `json:"OverIdle"`      // idle beyond the limit on idle ones
	Silent        uint64 `json:"Silent"`        // never said a thing in its time
	Vanished      uint64 `json:"Vanished"`      // ended by the client before its first byte
	Drained       uint64 `json:"Drained"`       // idle, closed by a planned restart
	Dismissed     uint64 `json:"Dismissed"`     // of those closed, the ones that were refused half a request before
}

// limitedListener hands connections to the HTTP server that have a place and
// have begun to speak. A connection that says nothing costs a small goroutine and
// none of the server's buffers. Where there is no place a few wait for one, the
// one whose client holds the least first. It takes none before begin is called.
type limitedListener struct {
	inner net.Listener
	gate  *gate // of its connections; nil: none counts
	ready chan *clientConn
	done  chan struct{} // closed by Close
	// acceptEnded is closed when begin was called and nothing is taken off the kernel's queue any more.
	acceptEnded chan struct{}
	tasks       sync.WaitGroup

	mu             sync.Mutex
	table          *admission.Table[*clientConn]
	limits         clientLimits
	waiting        []*waitingConn           // the longest waiting first; at most limits.Waiting and one
	waitingChanged *sync.Cond               // waiting got shorter, or Close was called
	waitTimer      *time.Timer              // when a grace or a wait ends
	refusing       int                      // connections being told that they are refused
	alive          int                      // accepted and not ended, wherever they are
	admitted       map[*clientConn]struct{} // that have a place
	backlogOnly    bool                     // what is in the kernel's queue is taken, and then no more
	accepting      bool                     // the listener still takes connections
	started        bool                     // begin was called
	draining       bool
	closed         bool
	allEnded       chan struct{} // closed when nothing is accepted any more and every connection has ended
	count          clientCounters
}

type waitingConn struct {
	conn  *clientConn
	addr  netip.Addr
	since time.Time
}

func newLimitedListener(inner net.Listener, limits clientLimits) *limitedListener {
	l := &limitedListener{
		inner: inner, limits: limits, accepting: true, admitted: make(map[*clientConn]struct{}), acceptEnded: make(chan struct{}),
		ready: make(chan *clientConn), done: make(chan struct{}), allEnded: make(chan struct{}),
		table: admission.New[*clientConn](limits.Limits, admission.Grace{FirstByte: firstByteGrace, WholeRequest: wholeRequestGrace}),
	}
	l.waitingChanged = sync.NewCond(&l.mu)
	l.waitTimer = time.AfterFunc(time.Hour, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.admitWaitingLocked(time.Now())
	})
	return l
}

// start takes connections from now on.
func (l *limitedListener) start() {
	l.mu.Lock()
	l.started = true
	l.mu.Unlock()
	l.tasks.Go(func() {
		defer close(l.acceptEnded)
		l.acceptLoop()
	})
}

// Addr is the address that is listened on.
func (l *limitedListener) Addr() net.Addr { return l.inner.Addr() }

// Accept returns the next connection that is ready for the HTTP server.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops listening and waits for the listener's own goroutines. Those that
// have not been handed on are closed.
func (l *limitedListener) Close() error {
	err := l.stopAccepting()
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.done)
		for _, w := range l.waiting {
			w.conn.Close()
			l.endedLocked()
		}
		l.waiting = nil
		l.waitTimer.Stop()
	}
	l.mu.Unlock()
	l.tasks.Wait()
	return err
}

// backlogAcceptTime is for the connections that wait in the kernel's queue as the listener ends: they have
// been accepted there, and requests may have been written to them.
const backlogAcceptTime = 20 * time.Millisecond

// acceptBacklog takes what waits in the kernel's queue, and then no more.
func (l *limitedListener) acceptBacklog() {
	l.mu.Lock()
	l.backlogOnly = true
	began := l.started
	l.waitingChanged.Broadcast()
	l.mu.Unlock()
	if t, ok := l.inner.(*net.TCPListener); ok && began && t.SetDeadline(time.Now().Add(backlogAcceptTime)) == nil {
		<-l.acceptEnded
	}
}

// stopAccepting closes the listening socket alone: what was accepted goes on.
func (l *limitedListener) stopAccepting() error {
	err := l.inner.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting = false
	l.waitingChanged.Broadcast()
	l.checkAllEndedLocked()
	return err
}

// acceptLoop takes connections off the kernel's queue until the listener is closed.
func (l *limitedListener) acceptLoop() {
	var told time.Time // when a failure was logged last
	for {
		nc, err := l.inner.Accept()
		if err != nil {
			l.mu.Lock()
			accepts := l.accepting && !l.backlogOnly
			l.mu.Unlock()
			if !accepts || errors.Is(err, net.ErrClosed) {
				return
			}
			if time.Since(told) >= acceptLogInterval {
				slog.Warn("accept", "err", err) // out of descriptors, or a client that left at once
				told = time.Now()
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			slog.Error("accept: only TCP connections can be served", "local", nc.LocalAddr())
			nc.Close()
			continue
		}
		l.enqueue(newClientConn(tcp))
	}
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

// removeLocked takes a connection out that has ended.
func (l *limitedListener) removeLocked(c *clientConn) {
	delete(l.admitted, c)
	l.table.Remove(&c.entry)
	l.endedLocked()
	l.admitWaitingLocked(time.Now())
}

func (l *limitedListener) endedLocked() {
	l.alive--
	l.checkAllEndedLocked()
}

func (l *limitedListener) checkAllEndedLocked() {
	if !l.accepting && l.alive == 0 {
		select {
		case <-l.allEnded:
		default:
			close(l.allEnded)
		}
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

// isDraining says whether drain was called.
func (l *limitedListener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

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

// openConns returns how many connections have not ended, wherever they are.
func (l *limitedListener) openConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.alive
}

// possiblyActive returns how many of them may bring a request or have brought one: those that
// said nothing in their grace are not counted.
func (l *limitedListener) possiblyActive() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.alive - l.table.SilentOverdue(time.Now())
}

// listenerState is what is open at a moment.
type listenerState struct {
	Open     int `json:"Open"`
	HalfOpen int `json:"HalfOpen"`
	Idle     int `json:"Idle"`
	Waiting  int `json:"Waiting"`
}

// counters returns what was counted so far, and what is open now.
func (l *limitedListener) counters() (clientCounters, listenerState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count, listenerState{l.table.Open(), l.table.HalfOpen(), l.table.Idle(), len(l.waiting)}
}

// logCounters logs them.
func (l *limitedListener) logCounters() {
	count, now := l.counters()
	slog.Info("client connections", "now", now, "counters", count)
}
