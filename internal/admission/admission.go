// Package admission decides which client connections may be open. It is the one
// place that knows the limits on them, and it does no I/O and reads no clock: its
// owner tells it what happens to a connection and closes what it is told to.
//
// Places are shared between client addresses by max-min fairness. An address may
// hold more than its share while others leave theirs unused; what it was lent is
// taken back from its idle connections as soon as somebody with less wants a
// place. A connection whose request was taken is never given up.
//
// Every operation takes constant time in the number of connections.
package admission

import (
	"net/netip"
	"time"

	"barleywick/internal/queue"
)

// Limits bound the connections that are open at once.
type Limits struct {
	Total      int // of all clients
	PerAddress int // of one client address
	HalfOpen   int // that have not sent a whole header yet
	Idle       int // between requests
}

// Grace is how long a connection is left alone while others wait for its place.
type Grace struct {
	FirstByte    time.Duration // after connecting, until its first byte
	WholeRequest time.Duration // after a request's first byte, until it is whole
}

type state uint8

const (
	absent state = iota // not in the table
	silent
	readingRequest // a request's first byte has come, not yet all of it
	serving        // its request was taken
	idle
)

// Conn is a connection's entry in the Table. It is embedded in the owner's
// connection; Owner leads back to that.
type Conn[T any] struct {
	Owner T

	state    state
	halfOpen bool
	since    time.Time
	client   *client[T]
	inAll    queue.Node[*Conn[T]] // among all that are silent, begun or idle
	inClient queue.Node[*Conn[T]] // among its client's idle ones
}

// Silent says whether nothing has come on it so far.
func (c *Conn[T]) Silent() bool { return c.state == silent }

// Idle says whether it is between requests.
func (c *Conn[T]) Idle() bool { return c.state == idle }

// client is one address; it is kept while it has a connection.
type client[T any] struct {
	addr       netip.Addr
	open       int
	unfinished int                    // of them silent or begun
	idle       queue.List[*Conn[T]]   // the longest idle first
	rank       queue.Node[*client[T]] // while it has idle ones
	rankedAt   int
}

// Table holds the connections. It is not safe for concurrent use.
type Table[T any] struct {
	limits   Limits
	grace    Grace
	open     int
	halfOpen int
	silent   queue.List[*Conn[T]] // the oldest first
	reading  queue.List[*Conn[T]]
	idle     queue.List[*Conn[T]]
	clients  map[netip.Addr]*client[T]
	holders  holderRanks[T] // clients with idle connections, by how many connections they hold
}

// New makes an empty Table.
func New[T any](limits Limits, grace Grace) *Table[T] {
	return &Table[T]{limits: limits, grace: grace, clients: make(map[netip.Addr]*client[T])}
}

// SetLimits puts other limits in force. What is open beyond them stays until it
// is idle: see Excess.
func (t *Table[T]) SetLimits(l Limits) { t.limits = l }

// Open returns how many connections are open.
func (t *Table[T]) Open() int { return t.open }

// HalfOpen returns how many of them have not sent a whole header.
func (t *Table[T]) HalfOpen() int { return t.halfOpen }

// Idle returns how many of them are between requests.
func (t *Table[T]) Idle() int { return t.idle.Len() }

// OpenFrom returns how many connections an address holds.
func (t *Table[T]) OpenFrom(addr netip.Addr) int {
	if c := t.clients[addr]; c != nil {
		return c.open
	}
	return 0
}

// Verdict is what a new connection may do.
type Verdict int

const (
	// Admit: there is room.
	Admit Verdict = iota
	// Evict: there is room once the connection named is closed.
	Evict
	// Wait: none can be given up now.
	Wait
)

// Decide says whether a connection from addr may be opened. With Replace comes the
// connection to close: if that proves to have been taken, or to have spoken, its
// owner says so here and asks again.
func (t *Table[T]) Decide(addr netip.Addr, now time.Time) (Verdict, *Conn[T]) {
	own := t.clients[addr]
	held := t.OpenFrom(addr)
	if held < t.limits.PerAddress && t.open < t.limits.Total && t.halfOpen < t.limits.HalfOpen {
		return Admit, nil
	}
	if c := t.overdue(now); c != nil && (held < t.limits.PerAddress || c.client == own) {
		return Evict, c // past its time: it has no claim to its place, whosever it is
	}
	if held < t.limits.PerAddress {
		if t.open < t.limits.Total {
			return Wait, nil // too many are half open, and idle ones are none of them
		}
		// Taking one from an address with only one more would but swap the two.
		if rich := t.holders.largest(); rich != nil && rich.open >= held+2 {
			return Evict, rich.idle.Front().Value
		}
	}
	// Its own idle one, unless one of its own that have just come may turn out to
	// say nothing: a client's silent connections must not push out those it uses.
	if own != nil && own.unfinished == 0 && own.idle.Len() > 0 {
		return Evict, own.idle.Front().Value
	}
	return Wait, nil
}

// overdue returns a connection that has used up its grace, or nil.
func (t *Table[T]) overdue(now time.Time) *Conn[T] {
	if n := t.silent.Front(); n != nil && now.Sub(n.Value.since) >= t.grace.FirstByte {
		return n.Value
	}
	if n := t.reading.Front(); n != nil && now.Sub(n.Value.since) >= t.grace.WholeRequest {
		return n.Value
	}
	return nil
}

// NextOverdue is when the next connection will have used up its grace; the zero
// time if none has to do anything.
func (t *Table[T]) NextOverdue() time.Time {
	var at time.Time
	if n := t.silent.Front(); n != nil {
		at = n.Value.since.Add(t.grace.FirstByte)
	}
	if n := t.reading.Front(); n != nil {
		if by := n.Value.since.Add(t.grace.WholeRequest); at.IsZero() || by.Before(at) {
			at = by
		}
	}
	return at
}

// SilentOverdue returns how many connections have said nothing although their grace to speak is over.
// Unlike all else here it takes time in their number.
func (t *Table[T]) SilentOverdue(now time.Time) (mute int) {
	for n := t.silent.Front(); n != nil && now.Sub(n.Value.since) >= t.grace.FirstByte; n = n.Next() {
		mute++
	}
	return mute
}

// ExcessIdle returns an idle connection to close because there are too many, or nil:
// the longest idle of the address that holds the most.
func (t *Table[T]) ExcessIdle() *Conn[T] {
	if t.idle.Len() <= t.limits.Idle && (t.open <= t.limits.Total || t.idle.Len() == 0) {
		return nil
	}
	return t.holders.largest().idle.Front().Value
}

// LongestIdle returns the connection that has been idle longest, or nil.
func (t *Table[T]) LongestIdle() *Conn[T] {
	if n := t.idle.Front(); n != nil {
		return n.Value
	}
	return nil
}

// Add takes a connection in that was admitted. It is silent and half open.
func (t *Table[T]) Add(c *Conn[T], addr netip.Addr, now time.Time) {
	own := t.clients[addr]
	if own == nil {
		own = &client[T]{addr: addr}
		own.rank.Value = own
		t.clients[addr] = own
	}
	c.client = own
	c.inAll.Value, c.inClient.Value = c, c
	own.open++
	t.open++
	t.rank(own)
	t.move(c, silent, true, now)
}

// FirstByteRead takes that the first byte of a request has come.
func (t *Table[T]) FirstByteRead(c *Conn[T], now time.Time) {
	if c.state == silent || c.state == idle {
		t.move(c, readingRequest, true, now)
	}
}

// HeaderRead takes that a request's header is whole. Its body may be to come.
func (t *Table[T]) HeaderRead(c *Conn[T]) { t.setHalfOpen(c, false) }

// RequestStarted takes that a request of it was taken: from now on it is not given up.
func (t *Table[T]) RequestStarted(c *Conn[T], now time.Time) {
	if c.state != absent {
		t.move(c, serving, false, now)
	}
}

// BecameIdle takes that it waits for the next request.
func (t *Table[T]) BecameIdle(c *Conn[T], now time.Time) {
	if c.state != absent {
		t.move(c, idle, false, now)
	}
}

// Remove takes that it is closed. A connection that is not in the table is passed over.
func (t *Table[T]) Remove(c *Conn[T]) {
	if c.state == absent {
		return
	}
	own := c.client
	t.move(c, absent, false, time.Time{})
	t.open--
	if own.open--; own.open == 0 {
		delete(t.clients, own.addr)
	}
	t.rank(own)
	c.client = nil
}

func (t *Table[T]) move(c *Conn[T], to state, halfOpen bool, now time.Time) {
	c.client.unfinished += unfinished(to) - unfinished(c.state)
	c.state, c.since = to, now
	t.setHalfOpen(c, halfOpen)
	c.inAll.Remove()
	switch to {
	case silent:
		t.silent.PushBack(&c.inAll)
	case readingRequest:
		t.reading.PushBack(&c.inAll)
	case idle:
		t.idle.PushBack(&c.inAll)
	}
	c.inClient.Remove()
	if to == idle {
		c.client.idle.PushBack(&c.inClient)
	}
	t.rank(c.client)
}

// unfinished is 1 for a connection whose request is not whole.
func unfinished(s state) int {
	if s == silent || s == readingRequest {
		return 1
	}
	return 0
}

func (t *Table[T]) setHalfOpen(c *Conn[T], halfOpen bool) {
	if c.halfOpen != halfOpen {
		if c.halfOpen = halfOpen; halfOpen {
			t.halfOpen++
		} else {
			t.halfOpen--
		}
	}
}

// rank puts a client where it belongs after a change.
func (t *Table[T]) rank(c *client[T]) {
	if c.idle.Len() > 0 {
		t.holders.set(c, c.open)
	} else {
		t.holders.remove(c)
	}
}
