package sidecar

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"barleywick/internal/queue"
	"barleywick/policy"
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

// poolCounters count what the pool decided, each decision apart.
type poolCounters struct {
	Reused      uint64 `json:"Reused"`      // requests given an idle connection
	Opened      uint64 `json:"Opened"`      // handshakes that succeeded
	DialFailed  uint64 `json:"DialFailed"`  // that failed
	Waited      uint64 `json:"Waited"`      // requests that found no idle connection
	LeftWaiting uint64 `json:"LeftWaiting"` // of those, given up before there was one
	Evicted     uint64 `json:"Evicted"`     // idle connections closed as another needed the place
	Expired     uint64 `json:"Expired"`     // idle for as long as an upstream keeps them
	Unneeded    uint64 `json:"Unneeded"`    // idle beyond what was in use at once lately
	Stale       uint64 `json:"Stale"`       // closed by the upstream, or with bytes that nobody asked for
	Distrusted  uint64 `json:"Distrusted"`  // idle to an upstream that fell silent
	Retired     uint64 `json:"Retired"`     // to an upstream that has gone or was replaced
	Drained     uint64 `json:"Drained"`     // to an upstream that drains
	Excess      uint64 `json:"Excess"`      // connections on which something came that belongs to no request
	Repeated    uint64 `json:"Repeated"`    // answers that were an earlier request's, and given to nobody
	ShortRest   uint64 `json:"ShortRest"`   // rests cut short for want of connections
	Local       uint64 `json:"Local"`       // handshakes that failed for want of something on this machine
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

// startDialsLocked begins handshakes with an upstream while somebody waits for more
// than are under way and the bounds allow.
func (p *pool) startDialsLocked(to *upstreamServer) {
	soon := 0
	if to.waiting.Len() > 0 {
		soon = to.releasedSoon(time.Now())
	}
	for to.unavailable() == nil && p.ctx.Err() == nil && to.waiting.Len() > to.dialing+soon &&
		to.open < p.limits.PerServer && to.dialing < min(max(to.dialWindow, initialDialWindow), p.limits.HandshakesPerServer) {
		if p.dialing >= p.limits.Handshakes || (p.open >= p.limits.Total && !p.evictLocked()) {
			if to.blocked.Value = to; !to.blocked.Linked() {
				p.blocked.PushBack(&to.blocked)
			}
			return
		}
		p.open++
		p.dialing++
		to.open++
		to.dialing++
		p.dials.Go(func() { p.dial(to) })
	}
	to.blocked.Remove()
}

// resumeBlockedLocked goes on with the upstreams that a bound on all held up, in turn.
func (p *pool) resumeBlockedLocked() {
	for n := p.blocked.Front(); n != nil; n = p.blocked.Front() {
		if p.startDialsLocked(n.Value); n.Linked() {
			return // it is held up still, and so are those behind it
		}
	}
}

// dial opens a connection for whoever waits longest by then.
func (p *pool) dial(to *upstreamServer) {
	ctx, cancel := context.WithTimeout(p.ctx, p.dialTimeout)
	defer cancel()
	begun := time.Now()
	d := net.Dialer{KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", to.addr)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	to.dialing--
	if err != nil {
		p.open--
		to.open--
		if isLocalError(err) { // no word against the upstream
			p.count.Local++
			err = errLimitReached
		} else {
			p.count.DialFailed++
			to.dialWindow = 1
		}
		if ctx.Err() != nil {
			p.closeUnresponsiveLocked(to, begun)
		}
		p.grantLocked(to, grant{err: err})
		p.startDialsLocked(to)
		p.resumeBlockedLocked()
		return
	}
	p.count.Opened++
	to.growDialWindow()
	to.connectedAt, to.heardAt = now, now
	c := &upstreamConn{Conn: nc, server: to, idleSince: now}
	c.inServer.Value, c.inPool.Value = c, c
	to.noteInUse(now)
	p.releaseLocked(c) // nothing can be left over from an answer: it needs no rest
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

// noteResponse takes that a whole answer came from the upstream, whether its
// connection can be used again or not.
func (p *pool) noteResponse(to *upstreamServer) {
	p.mu.Lock()
	to.heardAt = time.Now()
	p.mu.Unlock()
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

// evictLocked closes the connection that has been idle longest, or else one that rests.
func (p *pool) evictLocked() bool {
	var c *upstreamConn
	if n := p.idle.Front(); n != nil {
		c = n.Value
	} else if len(p.quarantined) > 0 {
		c = p.quarantined[0]
	} else {
		return false
	}
	p.count.Evicted++
	p.closeLocked(c)
	return true
}

// noteUnresponsive takes that nothing came on a connection to an upstream on which a
// request was written at that time.
func (p *pool) noteUnresponsive(to *upstreamServer, written time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeUnresponsiveLocked(to, written)
	p.startDialsLocked(to)
	p.resumeBlockedLocked()
}

// closeUnresponsiveLocked closes the idle connections to an upstream from which nothing
// at all has come since then. A machine that vanished or was cut off says
// nothing: a connection to it looks as good as ever, and swallows a request that
// may never be repeated. Where another answer came meanwhile only that one
// request was slow, and the connections are worth their handshakes.
func (p *pool) closeUnresponsiveLocked(to *upstreamServer, since time.Time) {
	if to.heardAt.After(since) {
		return
	}
	for _, list := range []*queue.List[*upstreamConn]{&to.idle, &to.quarantined} {
		for n := list.Front(); n != nil; n = list.Front() {
			p.count.Distrusted++
			p.closeLocked(n.Value)
		}
	}
}

// serverState is what the list says of an upstream by now. Between its choice and the write lies a
// handshake, and meanwhile the list may have said that it drains.
func (p *pool) serverState(to *upstreamServer) policy.EndpointState {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case to.removed:
		return policy.Removed
	case to.draining:
		return policy.Draining
	}
	return policy.Ready
}

// drain closes the idle connections to an upstream that drains, and the others as
// they are given back; those that wait for one are told at once. If the drain is
// called off, resume takes it back.
func (p *pool) drain(to *upstreamServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !to.draining {
		to.draining = true
		p.closeServerLocked(to, errServerDraining, &p.count.Drained)
	}
}

// resume lets an upstream be used again that was drained.
func (p *pool) resume(to *upstreamServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to.draining = false
}

// retire closes the idle connections to a host that has gone, and from now on
// every other that is given back. Whoever is at its address next has its own.
// Those that wait for one are told at once.
func (p *pool) retire(to *upstreamServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to.removed = true
	p.closeServerLocked(to, errServerRemoved, &p.count.Retired)
}

func (p *pool) closeServerLocked(to *upstreamServer, why error, counter *uint64) {
	to.blocked.Remove()
	for _, list := range []*queue.List[*upstreamConn]{&to.idle, &to.quarantined} {
		for n := list.Front(); n != nil; n = list.Front() {
			*counter++
			p.closeLocked(n.Value)
		}
	}
	for p.grantLocked(to, grant{err: why}) {
	}
	p.resumeBlockedLocked()
}

// sweep closes the idle connections that are too old or not needed, that the peer
// has closed, or on which something came that belongs to no request.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var next *queue.Node[*upstreamConn]
	for n := p.idle.Front(); n != nil; n = next {
		next = n.Next()
		switch c := n.Value; {
		case now.Sub(c.idleSince) >= c.idleLimit:
			p.count.Expired++
			p.closeLocked(c)
		case p.isStaleLocked(c):
			p.closeLocked(c)
		case now.Sub(c.idleSince) >= 2*demandWindow && c.server.open-c.server.dialing > c.server.needed(now):
			p.count.Unneeded++
			p.closeLocked(c)
		}
	}
	p.resumeBlockedLocked()
}

// isStaleLocked looks at an idle connection once, counts one that is of no use any more, and notes an excess.
func (p *pool) isStaleLocked(c *upstreamConn) bool {
	switch probeIdle(c.Conn) {
	case socketIdle:
		return false
	case socketReadable:
		p.noteSurplusLocked(c)
	}
	p.count.Stale++
	return true
}

// poolState is what is open at a moment.
type poolState struct {
	Open       int `json:"Open"`
	Idle       int `json:"Idle"`
	Resting    int `json:"Resting"`
	Handshakes int `json:"Handshakes"`
	Waiting    int `json:"Waiting"`
}

// counters returns what was counted so far, and what is open now.
func (p *pool) counters() (poolCounters, poolState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count, poolState{p.open, p.idle.Len(), len(p.quarantined), p.dialing, p.waiting}
}

// logCounters logs them.
func (p *pool) logCounters() {
	count, now := p.counters()
	slog.Info("upstream connections", "now", now, "counters", count)
}
