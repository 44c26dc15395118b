package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"barleywick/internal/queue"
)

// upstreamServer is one upstream to the pool. It stands for the host and not for its
// address, which may be another host's tomorrow. The pool's lock guards it.
type upstreamServer struct {
	addr string

	removed      bool
	draining     bool                        // it finishes what it has: no request is to be written to it
	idle         queue.List[*upstreamConn]   // the most recently used last
	quarantined  queue.List[*upstreamConn]   // had an answer a moment ago, and none is used yet
	waiting      queue.List[*waiter]         // the longest waiting first
	blocked      queue.Node[*upstreamServer] // among those that a bound on all upstreams holds up
	open         int                         // connections, and handshakes under way
	dialing      int                         // handshakes under way
	dialWindow   int                         // how many may be: see grow
	connectedAt  time.Time                   // the last connection that came up
	heardAt      time.Time                   // the last answer, or connection that came up
	peak         int                         // most connections in use at once, in this while and in the last one
	previousPeak int
	peakSince    time.Time // when this while began
	surplusAt    time.Time // when something came last that belongs to no request
}

// upstreamConn is a connection to an upstream; it carries one request at a time.
type upstreamConn struct {
	net.Conn
	server    *upstreamServer
	idleSince time.Time       // since when it has been idle
	idleLimit time.Duration   // and how long it may be
	releaseAt time.Time       // when it may carry the next request
	heapIndex int             // in the heap of those that rest; 0: it is not there
	recent    recentResponses // of this connection
	inServer  queue.Node[*upstreamConn]
	inPool    queue.Node[*upstreamConn]
	buffers   *exchangeBuffers // while it carries a request
}

// exchangeBuffers are what a connection needs while it carries a request and not while it is idle.
type exchangeBuffers struct {
	limited io.LimitedReader // bounds what one answer may bring
	head    headRecorder     // what came first, read through limit
	reader  *bufio.Reader    // reads through heads
	request bytes.Buffer     // a request is gathered here, so that it goes out in one write
}

// maxPooledRequest is how large a request's buffer may be to be used again.
const maxPooledRequest = 8 << 10

var bufferPool = sync.Pool{New: func() any {
	b := new(exchangeBuffers)
	b.reader = bufio.NewReader(&b.limited)
	return b
}}

// Close ends the connection with what the other end does not have yet: a plain close would let the
// kernel send that later, and an upstream would begin a request that had been given up.
func (c *upstreamConn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.unsentBytes() > 0 {
		tcp.SetLinger(0)
	}
	return c.Conn.Close()
}

// unsentBytes is how many bytes were written that the other end does not have yet; 0 where there is no telling.
func (c *upstreamConn) unsentBytes() int {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	unsent := 0
	if raw.Control(func(fd uintptr) { unsent, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) != nil || err != nil {
		return 0
	}
	return unsent
}

// sentPollInterval is how often a connection is asked what it has not sent yet.
const sentPollInterval = 2 * time.Millisecond

// awaitSent waits until the other end has all that was written, or ctx ends.
func (c *upstreamConn) awaitSent(ctx context.Context) {
	for ctx.Err() == nil && c.unsentBytes() > 0 {
		time.Sleep(sentPollInterval)
	}
}

// borrowBuffers gives a connection buffers for one exchange.
func (c *upstreamConn) borrowBuffers() *exchangeBuffers {
	b := bufferPool.Get().(*exchangeBuffers)
	b.limited.R, b.head.source = c.Conn, &b.limited
	b.head.reset()
	b.reader.Reset(&b.head)
	b.request.Reset()
	c.buffers = b
	return b
}

// returnBuffers takes them back, and says whether all that came had been read.
func (c *upstreamConn) returnBuffers() (clean bool) {
	b := c.buffers
	c.buffers = nil
	clean = b.reader.Buffered() == 0
	b.limited.R = nil
	if b.request.Cap() <= maxPooledRequest {
		bufferPool.Put(b)
	}
	return clean
}

// unavailable returns an error if the upstream is to get nothing new.
func (to *upstreamServer) unavailable() error {
	switch {
	case to.removed:
		return errServerRemoved
	case to.draining:
		return errServerDraining
	}
	return nil
}

// noteInUse notes how many connections to the upstream are in use at once.
func (to *upstreamServer) noteInUse(now time.Time) {
	if past := now.Sub(to.peakSince); past >= 2*demandWindow {
		to.peak, to.previousPeak, to.peakSince = 0, 0, now
	} else if past >= demandWindow {
		to.peak, to.previousPeak, to.peakSince = 0, to.peak, now
	}
	to.peak = max(to.peak, to.open-to.dialing-to.idle.Len())
}

// growDialWindow lets an upstream have one more handshake at once for each that succeeded.
// One that was out of reach begins again with one: it comes back for all
// sidecars at the same moment, and cold.
func (to *upstreamServer) growDialWindow() {
	to.dialWindow = min(max(to.dialWindow, initialDialWindow-1)+1, maxDialWindow)
}

// maxDialWindow is above any limit on handshakes to one upstream that makes sense.
const maxDialWindow = 64

// needed is how many connections to the upstream were in use at once lately; one
// at least, as a handshake costs more than keeping it.
func (to *upstreamServer) needed(now time.Time) int {
	switch past := now.Sub(to.peakSince); {
	case past >= 2*demandWindow:
		return 1
	case past >= demandWindow:
		return max(1, to.peak)
	}
	return max(1, to.peak, to.previousPeak)
}

// usable says whether an idle connection may carry a request: young enough, and
// neither closed by the peer nor with bytes that nobody asked for.
func (c *upstreamConn) usable(now time.Time) (ok, excess bool) {
	state := probeIdle(c.Conn)
	return now.Sub(c.idleSince) < c.idleLimit && state == socketIdle, state == socketReadable
}

// socketState is what a look at a socket finds, without blocking.
type socketState int

const (
	socketIdle     socketState = iota // open, with nothing to read
	socketReadable                    // there is something to read
	socketClosed                      // the other end has closed it, or it is broken
)

// probeIdle looks at a socket without blocking. It goes past the lock of readers, one of which may be
// waiting on the socket.
func probeIdle(nc net.Conn) socketState {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return socketClosed
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return socketClosed
	}
	state := socketClosed
	err = raw.Control(func(fd uintptr) {
		switch n, err := peek(fd); {
		case errors.Is(err, syscall.EAGAIN):
			state = socketIdle
		case err == nil && n > 0:
			state = socketReadable
		}
	})
	if err != nil {
		return socketClosed
	}
	return state
}

// isIdleSocket says whether there is nothing to read on a socket and it is open.
func isIdleSocket(nc net.Conn) bool { return probeIdle(nc) == socketIdle }
