// Package upstream is the sidecar's side towards the booking servers: a pool of connections with
// limits, and a transport that carries out attempts and probes over them.
package upstream

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"barleywick/internal/queue"
	"barleywick/internal/sidecar/config"
)

const (
	// idleMargin is how long before a server closes an idle connection the pool stops to use it: a
	// request that is written to a connection being closed ends in a reset, and may not be repeated.
	idleMargin = 2 * time.Second
	// idleJitter is the largest part of the idle limit by which a connection's own limit is shorter.
	// Connections that all sidecars opened together must not be closed and opened again together.
	idleJitter = 0.1
	// demandWindow is the length of the windows in which a server's demand for connections is
	// measured. Two windows are well under the time for which servers keep an idle connection.
	demandWindow = 10 * time.Second
)

// Errors of Acquire, other than that of a failed handshake.
var (
	errServerRemoved  = errors.New("the server was removed from the endpoint list")
	errServerDraining = errors.New("the server is draining")
	errLimitReached   = errors.New("no connection within the limits in time")
	errCallerTimeout  = errors.New("the caller's time was up before a connection was established")
	errConnectTimeout = errors.New("no connection was established in time")
)

// Pool keeps connections to booking servers for further requests: a handshake costs the server work
// and the request time. It limits the connections and the handshakes in progress, in total and for
// each server, and serves waiting callers in their order.
//
// Each operation takes constant time in the number of connections, except for Sweep and releasedSoon.
type Pool struct {
	dialTimeout time.Duration
	maxIdle     time.Duration // the idle limit of a connection, before its jitter
	ctx         context.Context
	cancel      context.CancelFunc
	dials       sync.WaitGroup

	mu              sync.Mutex
	rng             *rand.Rand
	limits          config.UpstreamLimits
	open            int               // connections, and handshakes in progress
	dialing         int               // handshakes in progress
	idle            queue.List[*Conn] // the longest idle first
	quarantined     quarantineHeap
	quarantineTimer *time.Timer // fires when the first quarantine ends
	duplicates      duplicateDetector
	blocked         queue.List[*Server] // whose next handshake waits for a limit on the total
	waiting         int                 // callers
	count           Counters
}

// waiter is a caller of Acquire that waits for a connection.
type waiter struct {
	since   time.Time
	granted chan grant // takes one value; never blocks
	node    queue.Node[*waiter]
}

// grant ends a caller's wait.
type grant struct {
	conn *Conn
	err  error
}

// NewPool returns a pool for servers that close a connection after connIdle without a request.
func NewPool(dialTimeout, connIdle time.Duration, limits config.UpstreamLimits, seed uint64) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		dialTimeout: dialTimeout,
		maxIdle:     max(connIdle-idleMargin, connIdle/2),
		ctx:         ctx,
		cancel:      cancel,
		limits:      limits,
		rng:         rand.New(rand.NewPCG(seed, 1)),
	}
	p.quarantineTimer = time.AfterFunc(time.Hour, p.endQuarantines)
	return p
}

// Close ends the handshakes in progress and closes all connections that are not in use. Those in use
// have to be given back.
func (p *Pool) Close() {
	p.mu.Lock()
	p.cancel() // with the lock held: no handshake begins after it
	p.mu.Unlock()
	p.dials.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := p.idle.Front(); n != nil; n = p.idle.Front() {
		p.closeLocked(n.Value)
	}
	for len(p.quarantined) > 0 {
		p.closeLocked(p.quarantined[0])
	}
	p.quarantineTimer.Stop()
}

// SetLimits applies other limits. Idle connections over the total are closed now, others when they
// are released.
func (p *Pool) SetLimits(limits config.UpstreamLimits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = limits
	for p.open > limits.Total && p.evictLocked() {
	}
	p.resumeBlockedLocked()
}

// Acquire returns the most recently used idle connection to a server, or waits for a handshake or for
// another request to end. The caller gives it back with Release or Discard.
func (p *Pool) Acquire(ctx context.Context, server *Server) (*Conn, error) {
	for {
		c, err := p.acquireOrWait(ctx, server)
		if err != nil {
			return nil, err
		}
		usable, surplus := c.check(time.Now())
		if usable {
			return c, nil
		}
		p.discardStale(c, surplus)
	}
}

// acquireOrWait is Acquire without a check of the connection.
func (p *Pool) acquireOrWait(ctx context.Context, server *Server) (*Conn, error) {
	p.mu.Lock()
	if n := server.idle.Back(); n != nil && server.unavailable() == nil {
		c := n.Value
		p.checkOutLocked(c)
		p.count.Reused++
		p.mu.Unlock()
		return c, nil
	}
	err := cmp.Or(server.unavailable(), p.ctx.Err())
	if err == nil && ctx.Err() != nil {
		err = errCallerTimeout
	}
	if err != nil {
		p.mu.Unlock()
		return nil, err
	}
	w := p.enqueueLocked(server)
	p.mu.Unlock()
	return p.wait(ctx, server, w)
}

// enqueueLocked makes the caller wait for a connection, and starts a handshake if one is needed.
func (p *Pool) enqueueLocked(server *Server) *waiter {
	w := &waiter{since: time.Now(), granted: make(chan grant, 1)}
	w.node.Value = w
	server.waiting.PushBack(&w.node)
	p.waiting++
	p.count.Waited++
	p.startDialsLocked(server)
	return w
}

// wait waits for a grant, at most until ctx or dialTimeout ends.
func (p *Pool) wait(ctx context.Context, server *Server, w *waiter) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	select {
	case g := <-w.granted:
		return g.conn, g.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !w.node.Linked() { // granted a moment ago
		g := <-w.granted
		return g.conn, g.err
	}
	w.node.Remove()
	p.waiting--
	p.count.WaitsAbandoned++
	switch {
	case time.Since(w.since) < p.dialTimeout:
		return nil, errCallerTimeout
	case server.dialing > 0 && server.connectedAt.Before(w.since):
		return nil, errConnectTimeout
	}
	return nil, errLimitReached
}

// checkOutLocked takes an idle connection for use.
func (p *Pool) checkOutLocked(c *Conn) {
	c.inServer.Remove()
	c.inPool.Remove()
	c.server.noteInUse(time.Now())
}

// grantLocked ends the wait of the server's longest waiting caller, and reports whether there is one.
func (p *Pool) grantLocked(server *Server, g grant) bool {
	n := server.waiting.Front()
	if n == nil {
		return false
	}
	n.Remove()
	p.waiting--
	n.Value.granted <- g
	return true
}

// Release gives a connection back whose last response was read to its end. It is closed if the server
// gets nothing new any more.
func (p *Pool) Release(c *Conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseLocked(c)
}

// releaseLocked adds a connection without a request to the pool, a new one or one that was in use.
func (p *Pool) releaseLocked(c *Conn) {
	server, isNew := c.server, c.idleLimit == 0
	c.idleLimit = time.Duration(float64(p.maxIdle) * (1 - idleJitter*p.rng.Float64()))
	switch {
	case server.removed:
		p.count.ServerRemoved++
		p.closeLocked(c)
	case server.draining:
		p.count.ServerDraining++
		p.closeLocked(c)
	case p.ctx.Err() != nil || p.open > p.limits.Total || server.open > p.limits.PerServer: // the limits were lowered
		p.count.Evicted++
		p.closeLocked(c)
	case isNew: // no response can have been left on it
		p.offerLocked(c)
	default:
		p.quarantineLocked(c)
	}
	p.startDialsLocked(server)
	p.resumeBlockedLocked()
}

// offerLocked grants a connection to the server's longest waiting caller, or keeps it idle.
func (p *Pool) offerLocked(c *Conn) {
	if p.grantLocked(c.server, grant{conn: c}) {
		return
	}
	c.server.idle.PushBack(&c.inServer)
	p.idle.PushBack(&c.inPool)
}

// Discard closes a connection that was acquired.
func (p *Pool) Discard(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
	p.startDialsLocked(c.server)
	p.resumeBlockedLocked()
}

// discardStale closes a connection that was acquired and proved to be unusable.
func (p *Pool) discardStale(c *Conn, surplus bool) {
	p.mu.Lock()
	p.count.Stale++
	if surplus {
		p.noteSurplusLocked(c)
	}
	p.mu.Unlock()
	p.Discard(c)
}

// closeLocked closes a connection, in use or not.
func (p *Pool) closeLocked(c *Conn) {
	c.inServer.Remove()
	c.inPool.Remove()
	p.quarantined.remove(c)
	c.Close()
	p.open--
	c.server.open--
}
