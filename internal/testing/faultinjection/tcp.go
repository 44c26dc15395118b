package faultinjection

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	chunkSize       = 16 << 10
	maxQueuedChunks = 64 // in one direction of a connection
	dialTimeout     = time.Second
	// acceptRetryInterval is the pause after a failed accept.
	acceptRetryInterval = 10 * time.Millisecond
)

// relayedConn is one connection over a link, with the relay's sockets to both sides.
type relayedConn struct{ caller, target net.Conn }

func (c *relayedConn) reset() {
	resetConn(c.caller)
	resetConn(c.target)
}

// resetConn closes a connection by a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// startTCP starts to relay connections.
func (l *Link) startTCP(listener net.Listener) {
	l.listener = listener
	l.tasks.Go(l.accept)
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryInterval)
			continue
		}
		if rule, _ := l.currentRule(); rule.RefuseConnections {
			resetConn(conn)
			continue
		}
		l.tasks.Go(func() { l.relay(conn) })
	}
}

// relay relays one connection. It connects to the target once the direction to it is not blocked.
func (l *Link) relay(caller net.Conn) {
	defer caller.Close()
	if !l.waitUnblocked(toTarget) {
		return
	}
	target, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(l.ctx, "tcp", l.target)
	if err != nil {
		resetConn(caller)
		return
	}
	defer target.Close()
	c := &relayedConn{caller, target}
	l.track(c)
	defer l.untrack(c)
	if l.ctx.Err() != nil { // the connection may have been added after Close reset all of them
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { l.copyDirection(c, caller, target, toTarget) })
	directions.Go(func() { l.copyDirection(c, target, caller, fromTarget) })
	directions.Wait()
}

func (l *Link) track(c *relayedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
}

func (l *Link) untrack(c *relayedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// delayedChunk is a part of a connection's bytes with its time of arrival.
type delayedChunk struct {
	data []byte
	at   time.Time
}

// copyDirection relays one direction of a connection until its end.
func (l *Link) copyDirection(c *relayedConn, source, destination net.Conn, d direction) {
	queue := make(chan delayedChunk, maxQueuedChunks)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(queue)
		l.readChunks(c, source, d, queue)
	})
	defer reader.Wait()
	for chunk := range queue {
		if !l.deliver(destination, chunk, d) {
			c.reset()
			break
		}
	}
	for range queue { // unblocks the reader
	}
	if tcp, ok := destination.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// readChunks reads from the source until its end, and queues each chunk with its time of arrival.
func (l *Link) readChunks(c *relayedConn, source net.Conn, d direction, queue chan<- delayedChunk) {
	for {
		data := make([]byte, chunkSize)
		n, err := source.Read(data)
		if n > 0 {
			t, _ := l.drawTiming(d, n)
			select {
			case queue <- delayedChunk{data[:n], time.Now().Add(t.delay)}:
			case <-l.ctx.Done():
				return
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			c.reset()
			return
		}
	}
}

// deliver writes a chunk at its time of arrival. It returns false when the connection has to be reset.
func (l *Link) deliver(destination net.Conn, chunk delayedChunk, d direction) bool {
	if !l.waitUnblocked(d) {
		return false
	}
	if d == fromTarget && l.dropResponse() {
		return false
	}
	t, _ := l.drawTiming(d, len(chunk.data))
	select {
	case <-time.After(time.Until(chunk.at) + t.transmission):
	case <-l.ctx.Done():
		return false
	}
	if !l.waitUnblocked(d) { // the direction may have been blocked meanwhile
		return false
	}
	_, err := destination.Write(chunk.data)
	return err == nil
}

func (l *Link) dropResponse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	dropped := l.consumeResponseDrop()
	if dropped {
		l.Dropped.Add(1)
	}
	return dropped
}
