package httpinput

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"barleywick/internal/admission"
	"barleywick/internal/queue"
)

const (
	// acceptRetryDelay is the delay after a failed accept, for example when no file descriptor is left.
	acceptRetryDelay = 5 * time.Millisecond
	// firstRequestGrace is how long a connection's first request may take while others wait to be accepted.
	firstRequestGrace = 20 * time.Millisecond
)

// Options are the limits of a server.
type Options struct {
	MaxConns       int           // open connections; further ones wait in the kernel's queue
	HeadTimeout    time.Duration // from the accept, or the first byte on a kept connection, to the end of a request's head
	RequestTimeout time.Duration // from the same to the end of the request
	Memory         *Memory
	// PaceResponses counts each response as one that cost its client nothing. Without it only connections do that end
	// before their first request is complete.
	PaceResponses bool
}

// DefaultBytes are the limits on memory of a program without a limit in its settings.
var DefaultBytes = admission.ByteLimits{Heads: 1 << 20, Bodies: 1 << 20, Partial: 512 << 10}

// Listener passes connections to an HTTP server once their first request is complete. Where MaxConns are open, the
// connection whose first request has been awaited longest gives way to a new one after a short grace.
type Listener struct {
	inner   net.Listener
	options Options
	ready   chan *conn
	done    chan struct{} // closed by Close
	tasks   sync.WaitGroup

	mu      sync.Mutex
	open    int
	awaited queue.List[*conn] // connections whose first request is awaited, oldest first
	changed *sync.Cond        // open or closed has changed
	closed  bool
}

// Serve serves connections from ln within the limits until the server is closed, like http.Server.Serve. It sets the server's ConnState.
func Serve(server *http.Server, ln net.Listener, o Options) error {
	l := newListener(ln, o)
	server.ConnState = l.connStateChanged
	defer l.Close()
	return server.Serve(l)
}

func newListener(inner net.Listener, o Options) *Listener {
	l := &Listener{inner: inner, options: o, ready: make(chan *conn), done: make(chan struct{})}
	l.changed = sync.NewCond(&l.mu)
	l.tasks.Go(l.acceptLoop)
	return l
}

// Addr returns the address of the listening socket.
func (l *Listener) Addr() net.Addr { return l.inner.Addr() }

// Accept returns the next connection whose first request is complete.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listening socket and the connections whose first request is awaited.
func (l *Listener) Close() error {
	err := l.inner.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.done)
	}
	for n := l.awaited.Front(); n != nil; n = l.awaited.Front() {
		l.evictLocked(n.Value)
	}
	l.changed.Broadcast()
	l.mu.Unlock()
	l.tasks.Wait()
	return err
}

// acceptLoop accepts connections until the listening socket is closed.
func (l *Listener) acceptLoop() {
	for {
		time.Sleep(l.options.Memory.AcceptDelay())
		accepted, err := l.inner.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Debug("http: accept failed", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		tcp, ok := accepted.(*net.TCPConn)
		if !ok || !l.admit(tcp) {
			accepted.Close()
		}
	}
}

// admit makes room for a connection and awaits its first request in the background. It returns false if the listener
// is closed.
func (l *Listener) admit(tcp *net.TCPConn) bool {
	c, err := newConn(l, tcp)
	if err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open >= l.options.MaxConns && !l.closed {
		l.makeRoomLocked()
	}
	if l.closed {
		return false
	}
	l.open++
	l.awaited.PushBack(&c.node)
	l.tasks.Go(func() { l.deliver(c) })
	return true
}

// makeRoomLocked evicts the connection whose first request has been awaited longest, if its grace is over, or waits for a
// change.
func (l *Listener) makeRoomLocked() {
	oldest := l.awaited.Front()
	if oldest == nil {
		l.changed.Wait()
		return
	}
	if left := firstRequestGrace - time.Since(oldest.Value.acceptedAt); left > 0 {
		defer time.AfterFunc(left, l.changed.Broadcast).Stop()
		l.changed.Wait()
		return
	}
	l.evictLocked(oldest.Value)
}

// evictLocked closes a connection whose first request is awaited.
func (l *Listener) evictLocked(c *conn) {
	c.node.Remove()
	l.open--
	c.TCPConn.Close()
}

// deliver passes a connection to Accept once its first request is complete.
func (l *Listener) deliver(c *conn) {
	err := c.awaitRequest()
	l.mu.Lock()
	evicted := !c.node.Linked()
	c.node.Remove()
	if err != nil && !evicted {
		l.endedLocked()
	}
	l.mu.Unlock()
	if err != nil || evicted {
		l.options.Memory.ConnectionUseless()
		c.Close()
		return
	}
	c.mu.Lock()
	c.delivered = true
	c.mu.Unlock()
	select {
	case l.ready <- c:
	case <-l.done:
		c.Close()
	}
}

func (l *Listener) endedLocked() {
	l.open--
	l.changed.Broadcast()
}

// connStateChanged is the HTTP server's ConnState callback.
func (l *Listener) connStateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.endRequest()
	case http.StateClosed, http.StateHijacked:
		l.mu.Lock()
		l.endedLocked()
		l.mu.Unlock()
	}
}
