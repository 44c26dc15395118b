package sidecar

import (
	"errors"
	"log/slog"
	"net"
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
