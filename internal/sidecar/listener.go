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
	// speakIn is how long a new connection is not held to be silent: its first
	// bytes may be on their way.
	speakIn = 50 * time.Millisecond
	// finishIn is how long a request may take to come whole where others wait.
	finishIn = 200 * time.Millisecond
	// waitIn is how long a connection may wait for a place before it is refused:
	// longer than any grace, and short against what a client waits for an answer.
	waitIn = 500 * time.Millisecond
	// acceptAgainIn is the pause after a failed accept, as when the machine is out of descriptors.
	acceptAgainIn = 5 * time.Millisecond
	// acceptLogEvery bounds what is logged of them.
	acceptLogEvery = time.Second
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
	over  chan struct{} // closed by Close
	// accepted is closed when begin was called and nothing is taken off the kernel's queue any more.
	accepted chan struct{}
	tasks    sync.WaitGroup

	mu       sync.Mutex
	table    *admission.Table[*clientConn]
	limits   clientLimits
	waiting  []*waitingConn           // the longest waiting first; at most limits.Waiting and one
	room     *sync.Cond               // waiting got shorter, or Close was called
	again    *time.Timer              // when a grace or a wait ends
	telling  int                      // connections being told that they are refused
	taken    int                      // accepted and not ended, wherever they are
	placed   map[*clientConn]struct{} // that have a place
	stopping bool                     // what is in the kernel's queue is taken, and then no more
	accepts  bool                     // the listener still takes connections
	began    bool                     // begin was called
	draining bool
	closed   bool
	gone     chan struct{} // closed when nothing is accepted any more and every connection has ended
	count    clientCounters
}

type waitingConn struct {
	conn  *clientConn
	addr  netip.Addr
	since time.Time
}

func limitListener(inner net.Listener, limits clientLimits) *limitedListener {
	l := &limitedListener{
		inner: inner, limits: limits, accepts: true, placed: make(map[*clientConn]struct{}), accepted: make(chan struct{}),
		ready: make(chan *clientConn), over: make(chan struct{}), gone: make(chan struct{}),
		table: admission.New[*clientConn](limits.Limits, admission.Grace{FirstByte: speakIn, WholeRequest: finishIn}),
	}
	l.room = sync.NewCond(&l.mu)
	l.again = time.AfterFunc(time.Hour, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.serveWaiting(time.Now())
	})
	return l
}

// begin takes connections from now on.
func (l *limitedListener) begin() {
	l.mu.Lock()
	l.began = true
	l.mu.Unlock()
	l.tasks.Go(func() {
		defer close(l.accepted)
		l.accept()
	})
}

// Addr is the address that is listened on.
func (l *limitedListener) Addr() net.Addr { return l.inner.Addr() }

// Accept returns the next connection that is ready for the HTTP server.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.over:
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
		close(l.over)
		for _, w := range l.waiting {
			w.conn.Close()
			l.ended()
		}
		l.waiting = nil
		l.again.Stop()
	}
	l.mu.Unlock()
	l.tasks.Wait()
	return err
}

// backlogIn is for the connections that wait in the kernel's queue as the listener ends: they have
// been accepted there, and requests may have been written to them.
const backlogIn = 20 * time.Millisecond

// takeBacklog takes what waits in the kernel's queue, and then no more.
func (l *limitedListener) takeBacklog() {
	l.mu.Lock()
	l.stopping = true
	began := l.began
	l.room.Broadcast()
	l.mu.Unlock()
	if t, ok := l.inner.(*net.TCPListener); ok && began && t.SetDeadline(time.Now().Add(backlogIn)) == nil {
		<-l.accepted
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
	l.accepts = false
	l.room.Broadcast()
	l.checkGone()
	return err
}

// accept takes connections off the kernel's queue until the listener is closed.
func (l *limitedListener) accept() {
	var told time.Time // when a failure was logged last
	for {
		nc, err := l.inner.Accept()
		if err != nil {
			l.mu.Lock()
			accepts := l.accepts && !l.stopping
			l.mu.Unlock()
			if !accepts || errors.Is(err, net.ErrClosed) {
				return
			}
			if time.Since(told) >= acceptLogEvery {
				slog.Warn("accept", "err", err) // out of descriptors, or a client that left at once
				told = time.Now()
			}
			time.Sleep(acceptAgainIn)
			continue
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			slog.Error("accept: only TCP connections can be served", "local", nc.LocalAddr())
			nc.Close()
			continue
		}
		l.arrive(newClientConn(tcp))
	}
}

// arrive finds a place for a new connection, or lets it wait. Where as many wait
// as may, and a place must come free within a grace, it holds up those behind it
// in the kernel's queue; else the one whose client has the most is refused.
func (l *limitedListener) arrive(c *clientConn) {
	addr := c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close()
		return
	}
	l.taken++
	c.gate = l.gate
	l.count.Accepted++
	l.waiting = append(l.waiting, &waitingConn{conn: c, addr: addr, since: c.accepted})
	l.serveWaiting(c.accepted)
	for len(l.waiting) > l.limits.Waiting && !l.closed {
		worst := l.greediest()
		atItsLimit := l.limits.PerAddress < l.limits.Total && l.table.OpenFrom(l.waiting[worst].addr) >= l.limits.PerAddress
		if atItsLimit || l.stopping || l.table.NextOverdue().IsZero() {
			l.refuse(worst)
			continue
		}
		l.room.Wait()
	}
}

// serveWaiting gives places to those that wait, refuses those that have waited
// too long, and sees to it that it is called again in time.
func (l *limitedListener) serveWaiting(now time.Time) {
	if l.closed || len(l.waiting) == 0 {
		return
	}
	for i := l.next(now); i >= 0; i = l.next(now) {
		w := l.waiting[i]
		l.unlist(i)
		l.admit(w, now)
	}
	for len(l.waiting) > 0 && now.Sub(l.waiting[0].since) >= waitIn {
		l.refuse(0)
	}
	if len(l.waiting) == 0 {
		return
	}
	at := l.waiting[0].since.Add(waitIn)
	if by := l.table.NextOverdue(); !by.IsZero() && by.Before(at) {
		at = by
	}
	// Not at once, even if that has passed: somebody is overdue who could not be closed.
	l.again.Reset(max(time.Until(at), time.Millisecond))
}

// next makes room for one of those that wait and returns which, or -1: the one
// whose client holds the least, and of those the first.
func (l *limitedListener) next(now time.Time) int {
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
		if l.makeRoom(l.waiting[best].addr, now) {
			return best
		}
		tried[l.waiting[best].addr] = true
	}
	return -1
}

// makeRoom says whether a connection from addr may have a place now, and closes
// the one that has to give its own up for it.
func (l *limitedListener) makeRoom(addr netip.Addr, now time.Time) bool {
	for {
		verdict, victim := l.table.Decide(addr, now)
		switch {
		case verdict == admission.Admit:
			return true
		case verdict == admission.Wait:
			return false
		}
		if counter, ok := l.giveUp(victim, now); ok {
			*counter++
		}
	}
}

// giveUp closes a connection for another's sake, if it proves to be as useless as
// the table holds it to be. Either way the table knows more of it afterwards.
func (l *limitedListener) giveUp(p *admission.Conn[*clientConn], now time.Time) (counter *uint64, closed bool) {
	c := p.Owner
	if p.Silent() && !quiet(c.TCPConn) {
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
		l.dismissLocked(c)
	}
	return counter, true
}

// dismissLocked answers a connection that is closed over half a request.
func (l *limitedListener) dismissLocked(c *clientConn) {
	l.count.Dismissed++
	if l.telling >= l.limits.Telling {
		c.dismiss(true)
		return
	}
	l.telling++
	l.taken++ // until it has been told
	l.tasks.Go(func() {
		c.dismiss(false)
		l.mu.Lock()
		l.telling--
		l.ended()
		l.mu.Unlock()
	})
}

// admit gives a connection its place. Its first byte is waited for here.
func (l *limitedListener) admit(w *waitingConn, now time.Time) {
	c := w.conn
	l.count.Admitted++
	if now.After(w.since) {
		l.count.Waited++
	}
	l.table.Add(&c.place, w.addr, now)
	l.placed[c] = struct{}{}
	l.tasks.Go(func() {
		err := c.awaitFirst()
		l.mu.Lock()
		if err != nil {
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded):
				l.count.Silent++
			case errors.Is(err, errVanished):
				l.count.Vanished++
			}
			c.closeIdle(true)
			l.end(c)
			l.mu.Unlock()
			return
		}
		l.table.FirstByteRead(&c.place, time.Now())
		l.mu.Unlock()
		select {
		case l.ready <- c:
		case <-l.over:
			c.Close()
			l.mu.Lock()
			l.end(c)
			l.mu.Unlock()
		}
	})
}

// greediest is which of those that wait is refused where one must be: the last
// one of the client that has the most, waiting ones counted.
func (l *limitedListener) greediest() int {
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

func (l *limitedListener) unlist(i int) {
	l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
	l.room.Broadcast()
}

// refuse tells a waiting connection that there is no place. What was sent on it
// has not been read, and a close would reset it under the answer: so what comes is
// read for a moment, but only on a few at a time. On others it is what has come.
func (l *limitedListener) refuse(i int) {
	c := l.waiting[i].conn
	l.unlist(i)
	l.count.Refused++
	c.TCPConn.SetDeadline(time.Now().Add(lingerIn))
	_, err := io.WriteString(c.TCPConn, refusedAnswer) // the first bytes on it: they fit its buffer
	if err != nil || l.telling >= l.limits.Telling {
		c.discardUnread()
		c.Close()
		l.ended()
		return
	}
	l.telling++
	l.tasks.Go(func() {
		if c.CloseWrite() == nil {
			io.CopyN(io.Discard, c.TCPConn, maxBody)
		}
		c.Close()
		l.mu.Lock()
		l.telling--
		l.ended()
		l.mu.Unlock()
	})
}

// end takes a connection out that has ended.
func (l *limitedListener) end(c *clientConn) {
	delete(l.placed, c)
	l.table.Remove(&c.place)
	l.ended()
	l.serveWaiting(time.Now())
}

func (l *limitedListener) ended() {
	l.taken--
	l.checkGone()
}

func (l *limitedListener) checkGone() {
	if !l.accepts && l.taken == 0 {
		select {
		case <-l.gone:
		default:
			close(l.gone)
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
	l.closeExcess(time.Now())
	l.serveWaiting(time.Now())
	l.room.Broadcast()
}

// closeExcess closes idle connections while there are too many.
func (l *limitedListener) closeExcess(now time.Time) {
	for p := l.table.ExcessIdle(); p != nil; p = l.table.ExcessIdle() {
		if _, ok := l.giveUp(p, now); ok {
			l.count.OverIdle++
		}
	}
}

// drain closes the idle connections, and from now on every other as it becomes idle.
func (l *limitedListener) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	l.drainIdle(time.Now())
}

func (l *limitedListener) drainIdle(now time.Time) {
	for p := l.table.LongestIdle(); p != nil; p = l.table.LongestIdle() {
		if _, ok := l.giveUp(p, now); ok {
			l.count.Drained++
		}
	}
}

// closeRest ends every connection that has no request in work: what was read of one is refused
// first. Those in work end with their answers.
func (l *limitedListener) closeRest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.waiting) > 0 {
		l.refuse(0)
	}
	for c := range l.placed {
		state, owed := c.closeIdle(true)
		if state != connClosed {
			continue
		}
		l.table.Remove(&c.place)
		if l.count.Drained++; owed {
			l.dismissLocked(c)
		}
	}
}

// isDraining says whether drain was called.
func (l *limitedListener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// headRead takes that a request's header is whole.
func (l *limitedListener) headRead(c *clientConn) {
	c.headRead()
	l.mu.Lock()
	l.table.HeaderRead(&c.place)
	l.serveWaiting(time.Now())
	l.mu.Unlock()
}

// take marks a connection whose request is about to be taken, unless it was
// closed a moment ago.
func (l *limitedListener) take(c *clientConn) bool {
	if !c.take() {
		return false
	}
	l.mu.Lock()
	l.table.RequestStarted(&c.place, time.Now())
	l.mu.Unlock()
	return true
}

// track follows the states of the server's connections.
func (l *limitedListener) track(nc net.Conn, state http.ConnState) {
	c := nc.(*clientConn)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		l.table.FirstByteRead(&c.place, now)
	case http.StateIdle:
		c.rest()
		l.table.BecameIdle(&c.place, now)
		if l.draining {
			l.drainIdle(now)
		} else {
			l.closeExcess(now)
		}
		l.serveWaiting(now) // there is one that may be closed now
	case http.StateClosed, http.StateHijacked:
		l.end(c)
	}
}

// open returns how many connections have not ended, wherever they are.
func (l *limitedListener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.taken
}

// speaking returns how many of them may bring a request or have brought one: those that
// said nothing in their grace are not counted.
func (l *limitedListener) speaking() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.taken - l.table.SilentOverdue(time.Now())
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

// report logs them.
func (l *limitedListener) report() {
	count, now := l.counters()
	slog.Info("client connections", "now", now, "counters", count)
}
