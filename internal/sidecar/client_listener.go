package sidecar

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"barleywick/internal/admission"
	"barleywick/internal/httpinput"
	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/gate"
)

const (
	// acceptRetryDelay is the delay after a failed accept, for example when no file descriptor is left.
	acceptRetryDelay = 5 * time.Millisecond
	// acceptLogInterval is the minimum time between two log lines about failed accepts.
	acceptLogInterval = time.Second
	// acceptWait is how long an accept takes that had to wait for a connection.
	acceptWait = time.Millisecond
	// maxBacklogWait is how long a connection is taken to have waited in the backlog at most. A longer time is
	// possible while connections come at full speed; to count it would leave requests no time.
	maxBacklogWait = 200 * time.Millisecond
	// backlogAcceptTime is how long acceptBacklog accepts connections. The kernel has already established
	// the connections in the listener's backlog, and their clients may have sent requests.
	backlogAcceptTime = 20 * time.Millisecond
)

// limitedListener is the listener of the HTTP server. It admits connections within the limits, and passes
// an admitted connection to the server once its first byte has arrived: a silent connection costs a small
// goroutine and none of the server's buffers. A limited number of connections may wait for admission; the
// client address with the fewest connections has priority. No connection is accepted before start.
type limitedListener struct {
	inner       net.Listener
	gate        *gate.Gate        // of its connections; nil: decisions are not counted
	memory      *httpinput.Memory // of its connections; nil: they are not limited
	ready       chan *clientConn  // admitted connections whose first byte has arrived
	done        chan struct{}     // closed by Close
	acceptEnded chan struct{}     // closed when acceptLoop has returned
	tasks       sync.WaitGroup
	scheduling  *schedulingDelay

	mu             sync.Mutex
	table          *admission.Table[*clientConn]
	limits         config.ClientLimits
	waiting        []*waitingConn           // longest wait first; at most limits.Waiting+1
	waitingChanged *sync.Cond               // signals a shorter queue, or a change of accepting, backlogOnly or limits
	waitTimer      *time.Timer              // fires when a grace period or an admission wait ends
	refusing       int                      // number of connections whose refusal is being sent
	alive          int                      // connections accepted and not ended, whether admitted or not
	admitted       map[*clientConn]struct{} // admitted and not ended
	started        bool                     // start was called
	backlogOnly    bool                     // acceptBacklog was called
	accepting      bool                     // the listening socket is open
	draining       bool                     // drain was called
	closed         bool                     // Close was called
	allEnded       chan struct{}            // closed when the listening socket is closed and alive is 0
	count          clientCounters
}

func newLimitedListener(inner net.Listener, limits config.ClientLimits) *limitedListener {
	grace := admission.Grace{FirstByte: firstByteGrace, CompleteRequest: completeRequestGrace}
	l := &limitedListener{
		inner:       inner,
		ready:       make(chan *clientConn),
		done:        make(chan struct{}),
		acceptEnded: make(chan struct{}),
		table:       admission.New[*clientConn](limits.Limits, grace),
		limits:      limits,
		admitted:    make(map[*clientConn]struct{}),
		accepting:   true,
		allEnded:    make(chan struct{}),
		scheduling:  newSchedulingDelay(),
	}
	l.waitingChanged = sync.NewCond(&l.mu)
	l.waitTimer = time.AfterFunc(time.Hour, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.admitWaitingLocked(time.Now())
	})
	return l
}

// start begins accepting connections.
func (l *limitedListener) start() {
	l.mu.Lock()
	l.started = true
	l.mu.Unlock()
	l.tasks.Go(func() {
		defer close(l.acceptEnded)
		l.acceptLoop()
	})
}

// Addr returns the address of the listening socket.
func (l *limitedListener) Addr() net.Addr { return l.inner.Addr() }

// Accept returns the next admitted connection whose first byte has arrived.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listening socket and the connections that were not passed to the server, and waits
// for the listener's goroutines.
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

// acceptBacklog accepts the connections in the kernel's backlog, and ends the accept loop.
func (l *limitedListener) acceptBacklog() {
	l.mu.Lock()
	l.backlogOnly = true
	started := l.started
	l.waitingChanged.Broadcast()
	l.mu.Unlock()
	tcp, ok := l.inner.(*net.TCPListener)
	if ok && started && tcp.SetDeadline(time.Now().Add(backlogAcceptTime)) == nil {
		<-l.acceptEnded
	}
}

// stopAccepting closes the listening socket; accepted connections are still served.
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

// acceptLoop accepts connections until the listening socket is closed or the backlog is empty.
func (l *limitedListener) acceptLoop() {
	var loggedAt time.Time
	backlogEmptyAt := time.Now()
	for {
		l.paceAccept()
		calledAt := time.Now()
		nc, err := l.inner.Accept()
		if time.Since(calledAt) >= acceptWait {
			backlogEmptyAt = time.Now()
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) || !l.acceptsMore() {
				return
			}
			if time.Since(loggedAt) >= acceptLogInterval {
				slog.Warn("client: accept failed", "err", err) // out of file descriptors, or the client closed the connection at once
				loggedAt = time.Now()
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			slog.Error("client: connection is not TCP", "local", nc.LocalAddr())
			nc.Close()
			continue
		}
		c := newClientConn(tcp)
		// Its request may have come while it waited in the kernel's backlog.
		longestWait := c.acceptedAt.Sub(backlogEmptyAt)
		c.arrivedAt = c.acceptedAt.Add(-min(longestWait, maxBacklogWait))
		c.establishedAt = c.acceptedAt.Add(-min(longestWait, c.sinceEstablished()))
		l.enqueue(c)
	}
}

// paceAccept waits while connections without a use come too fast. In a shutdown it does not wait.
func (l *limitedListener) paceAccept() {
	if l.memory == nil || l.isDraining() {
		return
	}
	if delay := l.memory.AcceptDelay(); delay > 0 {
		time.Sleep(delay)
	}
}

func (l *limitedListener) acceptsMore() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepting && !l.backlogOnly
}

// removeLocked removes an admitted connection that has ended.
func (l *limitedListener) removeLocked(c *clientConn) {
	delete(l.admitted, c)
	l.table.Remove(&c.entry)
	if c.memory != nil && c.heard && !c.useful {
		c.memory.ConnectionUseless()
		l.scheduling.watch()
	}
	l.endedLocked()
	l.admitWaitingLocked(time.Now())
}

// endedLocked counts the end of an accepted connection.
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
