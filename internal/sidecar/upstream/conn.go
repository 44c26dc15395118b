package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"barleywick/internal/queue"
	"barleywick/internal/socket"
)

// Conn is a connection to a booking server. It carries one request at a time.
type Conn struct {
	net.Conn
	server    *Server
	idleSince time.Time
	idleLimit time.Duration   // counted from idleSince; 0: the connection is new
	releaseAt time.Time       // the end of its quarantine
	heapIndex int             // index in the quarantineHeap plus one; 0: not quarantined
	recent    recentResponses // for duplicateDetector
	inServer  queue.Node[*Conn]
	inPool    queue.Node[*Conn]
	buffers   *exchangeBuffers // while it carries a request
}

// Close closes the connection and discards the data that the server has not received. With a plain close
// the kernel would send that data later, and the server would run a request whose attempt was cancelled.
func (c *Conn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.unsentBytes() > 0 {
		tcp.SetLinger(0)
	}
	return c.Conn.Close()
}

// unsentBytes returns how many of the bytes written the server has not received, or 0 if that is unknown.
func (c *Conn) unsentBytes() int {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	unsent := 0
	controlErr := raw.Control(func(fd uintptr) { unsent, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if controlErr != nil || err != nil {
		return 0
	}
	return unsent
}

// sentPollInterval is the interval at which awaitSent polls unsentBytes.
const sentPollInterval = 2 * time.Millisecond

// awaitSent waits until the server has received all bytes written, or ctx ends.
func (c *Conn) awaitSent(ctx context.Context) {
	for ctx.Err() == nil && c.unsentBytes() > 0 {
		time.Sleep(sentPollInterval)
	}
}

// check probes an idle connection. It is usable if it has not reached its idle limit, is open, and has
// nothing to read. surplus reports whether there was unread data.
func (c *Conn) check(now time.Time) (usable, surplus bool) {
	state := socket.Probe(c.Conn)
	return now.Sub(c.idleSince) < c.idleLimit && state == socket.Idle, state == socket.Readable
}
