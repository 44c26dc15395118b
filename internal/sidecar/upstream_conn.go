package sidecar

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"barleywick/internal/queue"
)

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

// usable says whether an idle connection may carry a request: young enough, and
// neither closed by the peer nor with bytes that nobody asked for.
func (c *upstreamConn) usable(now time.Time) (ok, excess bool) {
	state := probeIdle(c.Conn)
	return now.Sub(c.idleSince) < c.idleLimit && state == socketIdle, state == socketReadable
}
