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
	since time.Time
	got   chan got // takes one value; never blocks
	place queue.Node[*waiter]
}

type got struct {
	conn *conn
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
	idleFor     time.Duration // an idle connection is not used for longer than this
	life        context.Context
	end         context.CancelFunc
	dials       sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	limits  poolLimits
	open    int // connections, and handshakes under way
	dialing int
	idle    queue.List[*conn] // the longest idle first
	resting restHeap          // the one whose rest ends first on top
	rested  *time.Timer       // when that is
	answers answerMemory
	blocked queue.List[*peer] // upstreams whose next handshake a bound on all holds up
	waiting int
	count   poolCounters
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
	// needFor is how long what was in use at once is held to be needed. Twice that is
	// well under the time upstreams keep an idle connection.
	needFor = 10 * time.Second
	// firstWindow is how many handshakes an upstream gets at once before one has succeeded.
	firstWindow = 2
)

// Why the pool gave no connection, other than a handshake that failed.
var (
	errGone    = errors.New("the upstream has left the list")
	errDrains  = errors.New("the upstream drains")
	errBounded = errors.New("no connection within the limits in time")
	errLate    = errors.New("the caller's own time was up before a connection came up")
	errSilent  = errors.New("no connection came up in time")
)

func newPool(dialTimeout, connIdle time.Duration, limits poolLimits, seed uint64) *pool {
	life, end := context.WithCancel(context.Background())
	p := &pool{
		dialTimeout: dialTimeout,
		idleFor:     max(connIdle-idleMargin, connIdle/2),
		life:        life, end: end,
		limits: limits,
		rng:    rand.New(rand.NewPCG(seed, 1)),
	}
	p.rested = time.AfterFunc(time.Hour, p.endRests)
	return p
}

// close ends handshakes under way and closes what is idle. Connections that are
// out are their users' to drop.
func (p *pool) close() {
	p.mu.Lock()
	p.end() // under the lock: no handshake begins after it
	p.mu.Unlock()
	p.dials.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := p.idle.Front(); n != nil; n = p.idle.Front() {
		p.closeLocked(n.Value)
	}
	for len(p.resting) > 0 {
		p.closeLocked(p.resting[0])
	}
	p.rested.Stop()
}

// setLimits puts other limits in force. Idle connections beyond them are closed
// now, others when they are put back.
func (p *pool) setLimits(l poolLimits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = l
	for p.open > l.Total && p.evictLocked() {
	}
	p.unblockLocked()
}

// get returns an idle connection to the upstream, the most recently used, or waits for one: for a handshake, or for another request to end. The error
// errBounded says that the pool's own limits were the reason.
func (p *pool) get(ctx context.Context, to *peer) (*conn, error) {
	for {
		c, err := p.takeOrWait(ctx, to)
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
			p.excessLocked(c)
		}
		p.mu.Unlock()
		p.drop(c)
	}
}

func (p *pool) takeOrWait(ctx context.Context, to *peer) (*conn, error) {
	p.mu.Lock()
	if n := to.idle.Back(); n != nil && to.closedTo() == nil {
		c := n.Value
		p.takeLocked(c)
		p.count.Reused++
		p.mu.Unlock()
		return c, nil
	}
	err := cmp.Or(to.closedTo(), p.life.Err())
	if err == nil && ctx.Err() != nil {
		err = errLate
	}
	if err != nil {
		p.mu.Unlock()
		return nil, err
	}
	w := &waiter{since: time.Now(), got: make(chan got, 1)}
	w.place.Value = w
	to.waiting.PushBack(&w.place)
	p.waiting++
	p.count.Waited++
	p.openLocked(to)
	p.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	select {
	case g := <-w.got:
		return g.conn, g.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !w.place.Linked() { // served a moment ago
		g := <-w.got
		return g.conn, g.err
	}
	w.place.Remove()
	p.waiting--
	p.count.LeftWaiting++
	switch {
	case time.Since(w.since) < p.dialTimeout:
		return nil, errLate
	case to.dialing > 0 && to.madeAt.Before(w.since):
		return nil, errSilent
	}
	return nil, errBounded
}

// takeLocked takes an idle connection out for use.
func (p *pool) takeLocked(c *conn) {
	c.inPeer.Remove()
	c.inAll.Remove()
	c.peer.used(time.Now())
}

// openLocked begins handshakes with an upstream while somebody waits for more
// than are under way and the bounds allow.
func (p *pool) openLocked(to *peer) {
	soon := 0
	if to.waiting.Len() > 0 {
		soon = to.restedSoon(time.Now())
	}
	for to.closedTo() == nil && p.life.Err() == nil && to.waiting.Len() > to.dialing+soon &&
		to.open < p.limits.PerServer && to.dialing < min(max(to.window, firstWindow), p.limits.HandshakesPerServer) {
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

// unblockLocked goes on with the upstreams that a bound on all held up, in turn.
func (p *pool) unblockLocked() {
	for n := p.blocked.Front(); n != nil; n = p.blocked.Front() {
		if p.openLocked(n.Value); n.Linked() {
			return // it is held up still, and so are those behind it
		}
	}
}

// dial opens a connection for whoever waits longest by then.
func (p *pool) dial(to *peer) {
	ctx, cancel := context.WithTimeout(p.life, p.dialTimeout)
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
		if isLocal(err) { // no word against the upstream
			p.count.Local++
			err = errBounded
		} else {
			p.count.DialFailed++
			to.window = 1
		}
		if ctx.Err() != nil {
			p.distrustLocked(to, begun)
		}
		p.giveLocked(to, got{err: err})
		p.openLocked(to)
		p.unblockLocked()
		return
	}
	p.count.Opened++
	to.grow()
	to.madeAt, to.heard = now, now
	c := &conn{Conn: nc, peer: to, idle: now}
	c.inPeer.Value, c.inAll.Value = c, c
	to.used(now)
	p.putLocked(c) // nothing can be left over from an answer: it needs no rest
}

// giveLocked serves the one that waits longest, if any does.
func (p *pool) giveLocked(to *peer, g got) bool {
	n := to.waiting.Front()
	if n == nil {
		return false
	}
	n.Remove()
	p.waiting--
	n.Value.got <- g
	return true
}

// put gives a connection back whose last answer was read to its end. One to a
// host that has gone meanwhile is closed.
func (p *pool) put(c *conn) {
	c.idle = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.putLocked(c)
}

// answered takes that a whole answer came from the upstream, whether its
// connection can be used again or not.
func (p *pool) answered(to *peer) {
	p.mu.Lock()
	to.heard = time.Now()
	p.mu.Unlock()
}

// putLocked takes a connection back that carries no request, or a new one in.
func (p *pool) putLocked(c *conn) {
	to, fresh := c.peer, c.keep == 0
	c.keep = time.Duration(float64(p.idleFor) * (1 - idleJitter*p.rng.Float64()))
	switch {
	case to.gone:
		p.count.Retired++
		p.closeLocked(c)
	case to.drains:
		p.count.Drained++
		p.closeLocked(c)
	case p.life.Err() != nil || p.open > p.limits.Total || to.open > p.limits.PerServer: // the limits are new
		p.count.Evicted++
		p.closeLocked(c)
	case fresh:
		p.offerLocked(c)
	default:
		p.restLocked(c)
	}
	p.openLocked(to)
	p.unblockLocked()
}

// offerLocked gives a connection to who waits longest for it, or keeps it idle.
func (p *pool) offerLocked(c *conn) {
	if p.giveLocked(c.peer, got{conn: c}) {
		return
	}
	c.peer.idle.PushBack(&c.inPeer)
	p.idle.PushBack(&c.inAll)
}

// drop closes a connection that came from get.
func (p *pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
	p.openLocked(c.peer)
	p.unblockLocked()
}

// closeLocked closes a connection, idle or not.
func (p *pool) closeLocked(c *conn) {
	c.inPeer.Remove()
	c.inAll.Remove()
	p.resting.remove(c)
	c.Close()
	p.open--
	c.peer.open--
}

// evictLocked closes the connection that has been idle longest, or else one that rests.
func (p *pool) evictLocked() bool {
	var c *conn
	if n := p.idle.Front(); n != nil {
		c = n.Value
	} else if len(p.resting) > 0 {
		c = p.resting[0]
	} else {
		return false
	}
	p.count.Evicted++
	p.closeLocked(c)
	return true
}

// fellSilent takes that nothing came on a connection to an upstream on which a
// request was written at that time.
func (p *pool) fellSilent(to *peer, written time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.distrustLocked(to, written)
	p.openLocked(to)
	p.unblockLocked()
}

// distrustLocked closes the idle connections to an upstream from which nothing
// at all has come since then. A machine that vanished or was cut off says
// nothing: a connection to it looks as good as ever, and swallows a request that
// may never be repeated. Where another answer came meanwhile only that one
// request was slow, and the connections are worth their handshakes.
func (p *pool) distrustLocked(to *peer, since time.Time) {
	if to.heard.After(since) {
		return
	}
	for _, list := range []*queue.List[*conn]{&to.idle, &to.resting} {
		for n := list.Front(); n != nil; n = list.Front() {
			p.count.Distrusted++
			p.closeLocked(n.Value)
		}
	}
}

// stateOf is what the list says of an upstream by now. Between its choice and the write lies a
// handshake, and meanwhile the list may have said that it drains.
func (p *pool) stateOf(to *peer) policy.EndpointState {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case to.gone:
		return policy.Removed
	case to.drains:
		return policy.Draining
	}
	return policy.Ready
}

// drain closes the idle connections to an upstream that drains, and the others as
// they are given back; those that wait for one are told at once. If the drain is
// called off, resume takes it back.
func (p *pool) drain(to *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !to.drains {
		to.drains = true
		p.shutLocked(to, errDrains, &p.count.Drained)
	}
}

// resume lets an upstream be used again that was drained.
func (p *pool) resume(to *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to.drains = false
}

// retire closes the idle connections to a host that has gone, and from now on
// every other that is given back. Whoever is at its address next has its own.
// Those that wait for one are told at once.
func (p *pool) retire(to *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to.gone = true
	p.shutLocked(to, errGone, &p.count.Retired)
}

func (p *pool) shutLocked(to *peer, why error, counter *uint64) {
	to.blocked.Remove()
	for _, list := range []*queue.List[*conn]{&to.idle, &to.resting} {
		for n := list.Front(); n != nil; n = list.Front() {
			*counter++
			p.closeLocked(n.Value)
		}
	}
	for p.giveLocked(to, got{err: why}) {
	}
	p.unblockLocked()
}

// sweep closes the idle connections that are too old or not needed, that the peer
// has closed, or on which something came that belongs to no request.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var next *queue.Node[*conn]
	for n := p.idle.Front(); n != nil; n = next {
		next = n.Next()
		switch c := n.Value; {
		case now.Sub(c.idle) >= c.keep:
			p.count.Expired++
			p.closeLocked(c)
		case p.isStaleLocked(c):
			p.closeLocked(c)
		case now.Sub(c.idle) >= 2*needFor && c.peer.open-c.peer.dialing > c.peer.needed(now):
			p.count.Unneeded++
			p.closeLocked(c)
		}
	}
	p.unblockLocked()
}

// isStaleLocked looks at an idle connection once, counts one that is of no use any more, and notes an excess.
func (p *pool) isStaleLocked(c *conn) bool {
	switch look(c.Conn) {
	case socketQuiet:
		return false
	case socketExcess:
		p.excessLocked(c)
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
	return p.count, poolState{p.open, p.idle.Len(), len(p.resting), p.dialing, p.waiting}
}

// report logs them.
func (p *pool) report() {
	count, now := p.counters()
	slog.Info("upstream connections", "now", now, "counters", count)
}
