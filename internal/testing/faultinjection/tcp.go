package faultinjection

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// relayedConn is one connection over a link.
type relayedConn struct{ from, to net.Conn }

func (r *relayedConn) reset() {
	for _, c := range []net.Conn{r.from, r.to} {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

func (l *Link) accept() {
	for {
		c, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		l.Connections.Add(1)
		if r, _ := l.currentRule(); r.RefuseConnections {
			(&relayedConn{c, c}).reset()
			continue
		}
		l.tasks.Go(func() { l.relay(c) })
	}
}

// relay carries one connection. It is opened onwards when the way there lets it.
func (l *Link) relay(from net.Conn) {
	defer from.Close()
	if !l.waitUnblocked(false) {
		return
	}
	to, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(l.ctx, "tcp", l.target)
	if err != nil {
		(&relayedConn{from, from}).reset()
		return
	}
	c := &relayedConn{from, to}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
		to.Close()
	}()
	if l.ctx.Err() != nil {
		return
	}
	var ways sync.WaitGroup
	ways.Go(func() { l.copyDirection(c, from, to, false) })
	ways.Go(func() { l.copyDirection(c, to, from, true) })
	ways.Wait()
}

// waitUnblocked waits until a direction is not cut; it is false when the link has ended.
func (l *Link) waitUnblocked(back bool) bool {
	for {
		r, changed := l.currentRule()
		way := r.ToTarget
		if back {
			way = r.FromTarget
		}
		if !way.Blocked {
			return l.ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-l.ctx.Done():
			return false
		}
	}
}

type delayedChunk struct {
	text []byte
	at   time.Time
}

// copyDirection takes one direction of a connection from a to b until its end.
func (l *Link) copyDirection(c *relayedConn, a, b net.Conn, back bool) {
	queue := make(chan delayedChunk, maxQueuedChunks)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(queue)
		for {
			text := make([]byte, chunkSize)
			n, err := a.Read(text)
			if n > 0 {
				late, _, _ := l.drawTiming(back, n)
				select {
				case queue <- delayedChunk{text[:n], time.Now().Add(late)}:
				case <-l.ctx.Done():
					return
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					c.reset()
				}
				return
			}
		}
	})
	defer reader.Wait()
	for d := range queue {
		if !l.waitUnblocked(back) {
			c.reset()
			break
		}
		if back && l.takeDroppedResponse() {
			c.reset()
			break
		}
		_, takes, _ := l.drawTiming(back, len(d.text))
		select {
		case <-time.After(time.Until(d.at) + takes):
		case <-l.ctx.Done():
			c.reset()
		}
		if !l.waitUnblocked(back) { // cut while it was on its way
			c.reset()
			break
		}
		if _, err := b.Write(d.text); err != nil {
			c.reset()
			break
		}
		l.Bytes.Add(int64(len(d.text)))
	}
	for range queue { // the reader must not wait for a place
	}
	if t, ok := b.(*net.TCPConn); ok {
		t.CloseWrite()
	}
}

func (l *Link) takeDroppedResponse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.responsesToDrop == 0 {
		return false
	}
	l.responsesToDrop--
	l.Dropped.Add(1)
	return true
}
