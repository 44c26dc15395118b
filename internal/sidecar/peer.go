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

// peer is one upstream to the pool. It stands for the host and not for its
// address, which may be another host's tomorrow. The pool's lock guards it.
type peer struct {
	addr string

	gone    bool
	drains  bool                // it finishes what it has: no request is to be written to it
	idle    queue.List[*conn]   // the most recently used last
	resting queue.List[*conn]   // had an answer a moment ago, and none is used yet
	waiting queue.List[*waiter] // the longest waiting first
	blocked queue.Node[*peer]   // among those that a bound on all upstreams holds up
	open    int                 // connections, and handshakes under way
	dialing int                 // handshakes under way
	window  int                 // how many may be: see grow
	madeAt  time.Time           // the last connection that came up
	heard   time.Time           // the last answer, or connection that came up
	peak    int                 // most connections in use at once, in this while and in the last one
	before  int
	peakAt  time.Time // when this while began
	excess  time.Time // when something came last that belongs to no request
}

// conn is a connection to an upstream; it carries one request at a time.
type conn struct {
	net.Conn
	peer    *peer
	idle    time.Time     // since when it has been idle
	keep    time.Duration // and how long it may be
	rested  time.Time     // when it may carry the next request
	place   int           // in the heap of those that rest; 0: it is not there
	last    recentAnswers // of this connection
	inPeer  queue.Node[*conn]
	inAll   queue.Node[*conn]
	buffers *buffers // while it carries a request
}

// buffers are what a connection needs while it carries a request and not while it is idle.
type buffers struct {
	limit io.LimitedReader // bounds what one answer may bring
	heads tap              // what came first, read through limit
	r     *bufio.Reader    // reads through heads
	out   bytes.Buffer     // a request is gathered here, so that it goes out in one write
}

// keptBuffer is how large a request's buffer may be to be used again.
const keptBuffer = 8 << 10

var spareBuffers = sync.Pool{New: func() any {
	b := new(buffers)
	b.r = bufio.NewReader(&b.limit)
	return b
}}

// Close ends the connection with what the other end does not have yet: a plain close would let the
// kernel send that later, and an upstream would begin a request that had been given up.
func (c *conn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.unsent() > 0 {
		tcp.SetLinger(0)
	}
	return c.Conn.Close()
}

// unsent is how many bytes were written that the other end does not have yet; 0 where there is no telling.
func (c *conn) unsent() int {
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

// sentPoll is how often a connection is asked what it has not sent yet.
const sentPoll = 2 * time.Millisecond

// awaitSent waits until the other end has all that was written, or ctx ends.
func (c *conn) awaitSent(ctx context.Context) {
	for ctx.Err() == nil && c.unsent() > 0 {
		time.Sleep(sentPoll)
	}
}

// lend gives a connection buffers for one exchange.
func (c *conn) lend() *buffers {
	b := spareBuffers.Get().(*buffers)
	b.limit.R, b.heads.from = c.Conn, &b.limit
	b.heads.restart()
	b.r.Reset(&b.heads)
	b.out.Reset()
	c.buffers = b
	return b
}

// giveBack takes them back, and says whether all that came had been read.
func (c *conn) giveBack() (clean bool) {
	b := c.buffers
	c.buffers = nil
	clean = b.r.Buffered() == 0
	b.limit.R = nil
	if b.out.Cap() <= keptBuffer {
		spareBuffers.Put(b)
	}
	return clean
}

// closedTo returns an error if the upstream is to get nothing new.
func (to *peer) closedTo() error {
	switch {
	case to.gone:
		return errGone
	case to.drains:
		return errDrains
	}
	return nil
}

// used notes how many connections to the upstream are in use at once.
func (to *peer) used(now time.Time) {
	if past := now.Sub(to.peakAt); past >= 2*needFor {
		to.peak, to.before, to.peakAt = 0, 0, now
	} else if past >= needFor {
		to.peak, to.before, to.peakAt = 0, to.peak, now
	}
	to.peak = max(to.peak, to.open-to.dialing-to.idle.Len())
}

// grow lets an upstream have one more handshake at once for each that succeeded.
// One that was out of reach begins again with one: it comes back for all
// sidecars at the same moment, and cold.
func (to *peer) grow() { to.window = min(max(to.window, firstWindow-1)+1, maxWindow) }

// maxWindow is above any limit on handshakes to one upstream that makes sense.
const maxWindow = 64

// needed is how many connections to the upstream were in use at once lately; one
// at least, as a handshake costs more than keeping it.
func (to *peer) needed(now time.Time) int {
	switch past := now.Sub(to.peakAt); {
	case past >= 2*needFor:
		return 1
	case past >= needFor:
		return max(1, to.peak)
	}
	return max(1, to.peak, to.before)
}

// usable says whether an idle connection may carry a request: young enough, and
// neither closed by the peer nor with bytes that nobody asked for.
func (c *conn) usable(now time.Time) (ok, excess bool) {
	state := look(c.Conn)
	return now.Sub(c.idle) < c.keep && state == socketQuiet, state == socketExcess
}

// socketState is what a look at a socket finds, without blocking.
type socketState int

const (
	socketQuiet  socketState = iota // open, with nothing to read
	socketExcess                    // there is something to read
	socketEnded                     // the other end has closed it, or it is broken
)

// look looks at a socket without blocking. It goes past the lock of readers, one of which may be
// waiting on the socket.
func look(nc net.Conn) socketState {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return socketEnded
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return socketEnded
	}
	state := socketEnded
	err = raw.Control(func(fd uintptr) {
		switch n, err := peek(fd); {
		case errors.Is(err, syscall.EAGAIN):
			state = socketQuiet
		case err == nil && n > 0:
			state = socketExcess
		}
	})
	if err != nil {
		return socketEnded
	}
	return state
}

// quiet says whether there is nothing to read on a socket and it is open.
func quiet(nc net.Conn) bool { return look(nc) == socketQuiet }
