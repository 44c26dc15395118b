package sidecar

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"barleywick/internal/queue"
)

// waiter is a caller that waits for a connection.
type waiter struct {
	since   time.Time
	granted chan grant // takes one value; never blocks
	node    queue.Node[*waiter]
}

type grant struct {
	conn *upstreamConn
	err  error
}

// pool keeps connections to upstreams for further requests: a new one costs the
// upstream work and the request time. It bounds how many are open and how many
// are being opened, to each upstream and to all, and serves those that wait for
// one in the order in which they came.
//
// Each operation takes constant time in the number of connections; sweep alone
// looks at all that are idle.
type pool struct {
	dialTimeout time.Duration
	maxIdle     time.Duration // an idle connection is not used for longer than this
	ctx         context.Context
	cancel      context.CancelFunc
	dials       sync.WaitGroup

	mu              sync.Mutex
	rng             *rand.Rand
	limits          poolLimits
	open            int // connections, and handshakes under way
	dialing         int
	idle            queue.List[*upstreamConn] // the longest idle first
	quarantined     quarantineHeap            // the one whose rest ends first on top
	quarantineTimer *time.Timer               // when that is
	duplicates      duplicateDetector
	blocked         queue.List[*upstreamServer] // upstreams whose next handshake a bound on all holds up
	waiting         int
	count           poolCounters
}

const (
	// idleMargin is kept to the time after which upstreams close idle connections: a
	// request written to one that is being closed ends as a reset and may not be repeated.
	idleMargin = 2 * time.Second
	// idleJitter is how much sooner, at most, in parts of the whole: connections that
	// were opened together, by all sidecars at once, must not be opened again together.
	idleJitter = 0.1
	// demandWindow is how long what was in use at once is held to be needed. Twice that is
	// well under the time upstreams keep an idle connection.
	demandWindow = 10 * time.Second
	// initialDialWindow is how many handshakes an upstream gets at once before one has succeeded.
	initialDialWindow = 2
)

// Why the pool gave no connection, other than a handshake that failed.
var (
	errServerRemoved  = errors.New("the upstream has left the list")
	errServerDraining = errors.New("the upstream drains")
	errLimitReached   = errors.New("no connection within the limits in time")
	errCallerTimeout  = errors.New("the caller's own time was up before a connection came up")
	errConnectTimeout = errors.New("no connection came up in time")
)

func newPool(dialTimeout, connIdle time.Duration, limits poolLimits, seed uint64) *pool {
	life, end := context.WithCancel(context.Background())
	p := &pool{
		dialTimeout: dialTimeout,
		maxIdle:     max(connIdle-idleMargin, connIdle/2),
		ctx:         life, cancel: end,
		limits: limits,
		rng:    rand.New(rand.NewPCG(seed, 1)),
	}
	p.quarantineTimer = time.AfterFunc(time.Hour, p.endQuarantines)
	return p
}

// close ends handshakes under way and closes what is idle. Connections that are
// out are their users' to drop.
func (p *pool) close() {
	p.mu.Lock()
	p.cancel() // under the lock: no handshake begins after it
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

// setLimits puts other limits in force. Idle connections beyond them are closed
// now, others when they are put back.
func (p *pool) setLimits(l poolLimits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = l
	for p.open > l.Total && p.evictLocked() {
	}
	p.resumeBlockedLocked()
}

// acquire returns an idle connection to the upstream, the most recently used, or waits for one: for a handshake, or for another request to end. The error
// errBounded says that the pool's own limits were the reason.
func (p *pool) acquire(ctx context.Context, to *upstreamServer) (*upstreamConn, error) {
	for {
		c, err := p.acquireOrWait(ctx, to)
		if err != nil {
			return nil, err
		}
		ok, excess := c.usable(time.Now())
		if ok {
			return c, nil
		}
		p.mu.Lock()
		p.count.Stale++
		if excess {
			p.noteSurplusLocked(c)
		}
		p.mu.Unlock()
		p.discard(c)
	}
}

func (p *pool) acquireOrWait(ctx context.Context, to *upstreamServer) (*upstreamConn, error) {
	p.mu.Lock()
	if n := to.idle.Back(); n != nil && to.unavailable() == nil {
		c := n.Value
		p.checkOutLocked(c)
		p.count.Reused++
		p.mu.Unlock()
		return c, nil
	}
	err := cmp.Or(to.unavailable(), p.ctx.Err())
	if err == nil && ctx.Err() != nil {
		err = errCallerTimeout
	}
	if err != nil {
		p.mu.Unlock()
		return nil, err
	}
	w := &waiter{since: time.Now(), granted: make(chan grant, 1)}
	w.node.Value = w
	to.waiting.PushBack(&w.node)
	p.waiting++
	p.count.Waited++
	p.startDialsLocked(to)
	p.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	select {
	case g := <-w.granted:
		return g.conn, g.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !w.node.Linked() { // served a moment ago
		g := <-w.granted
		return g.conn, g.err
	}
	w.node.Remove()
	p.waiting--
	p.count.LeftWaiting++
	switch {
	case time.Since(w.since) < p.dialTimeout:
		return nil, errCallerTimeout
	case to.dialing > 0 && to.connectedAt.Before(w.since):
		return nil, errConnectTimeout
	}
	return nil, errLimitReached
}

// checkOutLocked takes an idle connection out for use.
func (p *pool) checkOutLocked(c *upstreamConn) {
	c.inServer.Remove()
	c.inPool.Remove()
	c.server.noteInUse(time.Now())
}

// grantLocked serves the one that waits longest, if any does.
func (p *pool) grantLocked(to *upstreamServer, g grant) bool {
	n := to.waiting.Front()
	if n == nil {
		return false
	}
	n.Remove()
	p.waiting--
	n.Value.granted <- g
	return true
}

// release gives a connection back whose last answer was read to its end. One to a
// host that has gone meanwhile is closed.
func (p *pool) release(c *upstreamConn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseLocked(c)
}

// releaseLocked takes a connection back that carries no request, or a new one in.
func (p *pool) releaseLocked(c *upstreamConn) {
	to, fresh := c.server, c.idleLimit == 0
	c.idleLimit = time.Duration(float64(p.maxIdle) * (1 - idleJitter*p.rng.Float64()))
	switch {
	case to.removed:
		p.count.Retired++
		p.closeLocked(c)
	case to.draining:
		p.count.Drained++
		p.closeLocked(c)
	case p.ctx.Err() != nil || p.open > p.limits.Total || to.open > p.limits.PerServer: // the limits are new
		p.count.Evicted++
		p.closeLocked(c)
	case fresh:
		p.offerLocked(c)
	default:
		p.quarantineLocked(c)
	}
	p.startDialsLocked(to)
	p.resumeBlockedLocked()
}

// offerLocked gives a connection to who waits longest for it, or keeps it idle.
func (p *pool) offerLocked(c *upstreamConn) {
	if p.grantLocked(c.server, grant{conn: c}) {
		return
	}
	c.server.idle.PushBack(&c.inServer)
	p.idle.PushBack(&c.inPool)
}

// discard closes a connection that came from get.
func (p *pool) discard(c *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
	p.startDialsLocked(c.server)
	p.resumeBlockedLocked()
}

// closeLocked closes a connection, idle or not.
func (p *pool) closeLocked(c *upstreamConn) {
	c.inServer.Remove()
	c.inPool.Remove()
	p.quarantined.remove(c)
	c.Close()
	p.open--
	c.server.open--
}
