// Package admission decides which client connections may be open. It alone knows the limits on them.
// It does no I/O and reads no clock: its owner reports what happens to a connection and closes the
// connections that it names.
//
// Client addresses share the capacity by max-min fairness. An address may hold more than its share
// while others leave theirs unused; what it holds beyond the share is taken back from its idle
// connections as soon as an address with fewer connections needs capacity. A connection with a
// request in progress is never evicted.
//
// Every operation takes constant time in the number of connections, except SilentOverdue.
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
	HalfOpen   int // that have not sent a complete header yet
	Idle       int // between requests
}

// Grace is how long a connection is kept while others wait for capacity.
type Grace struct {
	FirstByte       time.Duration // from the start until its first byte
	CompleteRequest time.Duration // from a request's first byte until the request is complete
}

// Table holds the open connections. It is not safe for concurrent use.
type Table[T any] struct {
	limits   Limits
	grace    Grace
	open     int
	halfOpen int
	silent   queue.List[*Conn[T]] // the oldest first, like the next two
	reading  queue.List[*Conn[T]]
	idle     queue.List[*Conn[T]]
	clients  map[netip.Addr]*client[T]
	holders  holderRanks[T] // clients with idle connections, by the number of connections that they have
}

// New makes an empty Table.
func New[T any](limits Limits, grace Grace) *Table[T] {
	return &Table[T]{limits: limits, grace: grace, clients: make(map[netip.Addr]*client[T])}
}

// SetLimits puts other limits in force. Connections beyond them stay open until they are idle: see
// ExcessIdle.
func (t *Table[T]) SetLimits(l Limits) { t.limits = l }

// Open returns the number of open connections.
func (t *Table[T]) Open() int { return t.open }

// HalfOpen returns how many of them have not sent a complete header.
func (t *Table[T]) HalfOpen() int { return t.halfOpen }

// Idle returns how many of them are between requests.
func (t *Table[T]) Idle() int { return t.idle.Len() }

// OpenFrom returns the number of open connections of an address.
func (t *Table[T]) OpenFrom(addr netip.Addr) int {
	if c := t.clients[addr]; c != nil {
		return c.open
	}
	return 0
}

// Verdict is what may happen to a new connection.
type Verdict int

// The verdicts.
const (
	Admit Verdict = iota // it may be opened
	Evict                // it may be opened after the named connection was closed
	Wait                 // no connection can be evicted now
)

// Decide says whether a connection from addr may be opened. With Evict comes the connection to close.
// If that turns out to have a request in progress, or to have sent something, the owner reports so
// to the Table and asks again.
func (t *Table[T]) Decide(addr netip.Addr, now time.Time) (Verdict, *Conn[T]) {
	own := t.clients[addr]
	held := t.OpenFrom(addr)
	withinAddressLimit := held < t.limits.PerAddress
	if withinAddressLimit && t.open < t.limits.Total && t.halfOpen < t.limits.HalfOpen {
		return Admit, nil
	}
	if c := t.overdue(now); c != nil && (withinAddressLimit || c.client == own) {
		return Evict, c // whoever its client is
	}
	if withinAddressLimit {
		if t.open < t.limits.Total {
			return Wait, nil // too many are half open, which evicting an idle one would not change
		}
		// With a difference of one, eviction would only exchange the two addresses.
		if largest := t.holders.largest(); largest != nil && largest.open >= held+2 {
			return Evict, largest.idle.Front().Value
		}
	}
	// The address may replace an idle connection of its own, but not while another new one of its own may
	// stay silent: a client's silent connections must not evict those that it uses.
	if own != nil && own.unfinished == 0 && own.idle.Len() > 0 {
		return Evict, own.idle.Front().Value
	}
	return Wait, nil
}

// overdue returns a connection whose grace has ended, or nil.
func (t *Table[T]) overdue(now time.Time) *Conn[T] {
	if n := t.silent.Front(); n != nil && now.Sub(n.Value.since) >= t.grace.FirstByte {
		return n.Value
	}
	if n := t.reading.Front(); n != nil && now.Sub(n.Value.since) >= t.grace.CompleteRequest {
		return n.Value
	}
	return nil
}

// NextOverdue returns when the next connection's grace ends; the zero time if none has one.
func (t *Table[T]) NextOverdue() time.Time {
	var at time.Time
	if n := t.silent.Front(); n != nil {
		at = n.Value.since.Add(t.grace.FirstByte)
	}
	if n := t.reading.Front(); n != nil {
		if by := n.Value.since.Add(t.grace.CompleteRequest); at.IsZero() || by.Before(at) {
			at = by
		}
	}
	return at
}

// OverdueWithoutByte returns how many connections have sent nothing although their grace has ended. It
// takes time in proportion to their number.
func (t *Table[T]) OverdueWithoutByte(now time.Time) (overdue int) {
	for n := t.silent.Front(); n != nil && now.Sub(n.Value.since) >= t.grace.FirstByte; n = n.Next() {
		overdue++
	}
	return overdue
}

// ExcessIdle returns an idle connection to close because there are too many connections, or nil: the
// longest idle one of the largest holder.
func (t *Table[T]) ExcessIdle() *Conn[T] {
	tooManyIdle := t.idle.Len() > t.limits.Idle
	tooManyOpen := t.open > t.limits.Total && t.idle.Len() > 0
	if !tooManyIdle && !tooManyOpen {
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
