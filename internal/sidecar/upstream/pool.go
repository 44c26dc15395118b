// Package upstream connects the sidecar to the booking servers. It has a connection pool with limits, and
// a transport that carries out attempts and probes over the pool's connections.
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
	// idleMargin is how long before a server's idle timeout the pool stops using a connection. A request
	// that is written while the server closes the connection ends in a reset, and may not be repeated.
	idleMargin = 2 * time.Second
	// idleJitter is the largest fraction by which a connection's idle limit is shortened at random, so
	// that connections that all sidecars opened at once are not closed and reopened at once.
	idleJitter = 0.1
	// demandWindow is the length of the windows over which a server's demand for connections is measured.
	// Two windows are well below the idle timeout of servers.
	demandWindow = 10 * time.Second
)

// Errors of Acquire other than failed handshakes.
var (
	errServerRemoved  = errors.New("the server was removed from the endpoint list")
	errServerDraining = errors.New("the server is draining")
	errLimitReached   = errors.New("no connection became available within the limits before the timeout")
	errCallerTimeout  = errors.New("the caller's context ended before the request was written")
	errConnectTimeout = errors.New("no connection was established before the timeout")
)

// Pool keeps connections to booking servers for reuse, since a handshake costs the server work and delays
// the request. It limits the numbers of connections and of handshakes in progress, in total and per
// server, and serves the callers waiting for a server in first-in, first-out order.
//
// Operations take constant time in the number of connections, except for Sweep and releasedSoon.
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
	idle            queue.List[*Conn] // longest idle first
	quarantined     quarantineHeap
	quarantineTimer *time.Timer // fires when the first quarantine ends
	duplicates      duplicateDetector
	blocked         queue.List[*Server] // whose next handshake is blocked by a limit on the total
	waiting         int                 // number of waiting callers
	count           Counters
}

// waiter is a caller of Acquire that is waiting for a connection.
type waiter struct {
	since   time.Time
	granted chan grant // receives one value; has a buffer, so sending never blocks
	node    queue.Node[*waiter]
}

// grant is the result of a caller's wait: a connection or an error.
type grant struct {
	conn *Conn
	err  error
}

// NewPool returns a pool for servers that close a connection that has been idle for connIdle.
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

// Close cancels the handshakes in progress and closes all unused connections. Callers must still release
// or discard the connections in use, which closes them.
func (p *Pool) Close() {
	p.mu.Lock()
	p.cancel() // with the lock held, so that no handshake starts afterwards
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

// SetLimits replaces the limits. Unused connections above the limit on the total are closed at once,
// connections in use when they are released.
func (p *Pool) SetLimits(limits config.UpstreamLimits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = limits
	for p.open > limits.Total && p.evictLocked() {
	}
	p.resumeBlockedLocked()
}

// Acquire returns the most recently used idle connection to a server. If there is none, it waits for a
// handshake or for the release of a connection. The caller must call Release or Discard.
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

// acquireOrWait is Acquire without the check that the connection is usable.
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

// enqueueLocked adds the caller to the server's wait queue, and starts a handshake if one is needed.
func (p *Pool) enqueueLocked(server *Server) *waiter {
	w := &waiter{since: time.Now(), granted: make(chan grant, 1)}
	w.node.Value = w
	server.waiting.PushBack(&w.node)
	p.waiting++
	p.count.Waited++
	p.startDialsLocked(server)
	return w
}

// wait waits for a grant until ctx ends or dialTimeout has passed.
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
	if !w.node.Linked() { // granted in the meantime
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

// checkOutLocked removes a connection from the idle lists for use.
func (p *Pool) checkOutLocked(c *Conn) {
	c.inServer.Remove()
	c.inPool.Remove()
	c.server.recordInUse(time.Now())
}

// grantLocked ends the wait of the server's longest-waiting caller, and reports whether there was one.
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

// Release returns a connection, whose last response has been read completely, to the pool. The connection
// is closed if its server drains or was removed, if a limit is exceeded, or if the pool is closed.
func (p *Pool) Release(c *Conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseLocked(c)
}

// releaseLocked adds a connection to the pool: a new one, or one that was in use.
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
	case p.ctx.Err() != nil || p.open > p.limits.Total || server.open > p.limits.PerServer: // pool closed, or limits lowered
		p.count.Evicted++
		p.closeLocked(c)
	case isNew: // no late response can arrive on it
		p.offerLocked(c)
	default:
		p.quarantineLocked(c)
	}
	p.startDialsLocked(server)
	p.resumeBlockedLocked()
}

// offerLocked grants a connection to the server's longest-waiting caller, or keeps it idle if none waits.
func (p *Pool) offerLocked(c *Conn) {
	if p.grantLocked(c.server, grant{conn: c}) {
		return
	}
	c.server.idle.PushBack(&c.inServer)
	p.idle.PushBack(&c.inPool)
}

// Discard closes an acquired connection.
func (p *Pool) Discard(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
	p.startDialsLocked(c.server)
	p.resumeBlockedLocked()
}

// discardStale closes an acquired connection that check found unusable.
func (p *Pool) discardStale(c *Conn, surplus bool) {
	p.mu.Lock()
	p.count.Stale++
	if surplus {
		p.recordSurplusLocked(c)
	}
	p.mu.Unlock()
	p.Discard(c)
}

// closeLocked closes a connection, whether in use or not, and removes it from the pool.
func (p *Pool) closeLocked(c *Conn) {
	c.inServer.Remove()
	c.inPool.Remove()
	p.quarantined.remove(c)
	c.Close()
	p.open--
	c.server.open--
}
