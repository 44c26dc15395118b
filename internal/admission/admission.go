// Package admission decides which client connections may be open, and enforces all limits on them.
// It does no I/O and reads no clock: the caller reports the events of each connection and closes the
// connections that are to be evicted.
//
// Client addresses share the capacity by max-min fairness. An address may exceed its fair share while
// other addresses don't use theirs. When an address with fewer connections needs capacity, idle
// connections of the address above its share are evicted. A connection with a request in progress is
// never evicted.
//
// Every operation takes constant time in the number of connections, except OverdueWithoutByte.
package admission

import (
	"net/netip"
	"time"

	"barleywick/internal/queue"
)

// Limits bound the connections that are open at once.
type Limits struct {
	Total      int // connections of all clients
	PerAddress int // connections of one client address
	HalfOpen   int // connections that have not sent a complete header yet
	Idle       int // connections between requests
}

// Grace holds how long an unfinished request protects its connection from eviction while others wait for
// capacity.
type Grace struct {
	FirstByte       time.Duration // from accepting the connection until its first byte
	CompleteRequest time.Duration // from a request's first byte until the request is complete
}

// Table holds the open connections. It is not safe for concurrent use.
type Table[T any] struct {
	limits   Limits
	grace    Grace
	open     int
	halfOpen int
	silent   queue.List[*Conn[T]] // oldest first, like reading and idle
	reading  queue.List[*Conn[T]]
	idle     queue.List[*Conn[T]]
	clients  map[netip.Addr]*client[T]
	holders  holderRanks[T] // clients with idle connections, ranked by their number of open connections
}

// New returns an empty Table.
func New[T any](limits Limits, grace Grace) *Table[T] {
	return &Table[T]{limits: limits, grace: grace, clients: make(map[netip.Addr]*client[T])}
}

// SetLimits replaces the limits. Connections above the new limits stay open until they are idle and
// ExcessIdle returns them.
func (t *Table[T]) SetLimits(l Limits) { t.limits = l }

// Open returns the number of open connections.
func (t *Table[T]) Open() int { return t.open }

// HalfOpen returns the number of open connections that have not sent a complete header.
func (t *Table[T]) HalfOpen() int { return t.halfOpen }

// Idle returns the number of open connections that are between requests.
func (t *Table[T]) Idle() int { return t.idle.Len() }

// OpenFrom returns the number of open connections of an address.
func (t *Table[T]) OpenFrom(addr netip.Addr) int {
	if c := t.clients[addr]; c != nil {
		return c.open
	}
	return 0
}

// Verdict is the decision on a new connection.
type Verdict int

// The verdicts.
const (
	Admit Verdict = iota // may be opened
	Evict                // may be opened after the returned connection was closed
	Wait                 // there is no capacity, and no connection can be evicted now
)

// Decide decides whether a connection from addr may be opened. With Evict it also returns the connection
// to close. If that connection has received data or started a request in the meantime, the caller reports
// this to the Table and calls Decide again.
func (t *Table[T]) Decide(addr netip.Addr, now time.Time) (Verdict, *Conn[T]) {
	own := t.clients[addr]
	held := t.OpenFrom(addr)
	withinAddressLimit := held < t.limits.PerAddress
	if withinAddressLimit && t.open < t.limits.Total && t.halfOpen < t.limits.HalfOpen {
		return Admit, nil
	}
	if c := t.overdue(now); c != nil && (withinAddressLimit || c.client == own) {
		return Evict, c // regardless of its client
	}
	if withinAddressLimit {
		if t.open < t.limits.Total {
			return Wait, nil // the half-open limit is reached; evicting an idle connection would not help
		}
		// With a difference of one, eviction would only swap the counts of the two addresses.
		if largest := t.holders.largest(); largest != nil && largest.open >= held+2 {
			return Evict, largest.idle.Front().Value
		}
	}
	// The address may replace one of its own idle connections, but not while it has an unfinished connection:
	// a client's silent connections must not evict the ones that it uses.
	if own != nil && own.unfinished == 0 && own.idle.Len() > 0 {
		return Evict, own.idle.Front().Value
	}
	return Wait, nil
}

// overdue returns a connection whose grace period has expired, or nil.
func (t *Table[T]) overdue(now time.Time) *Conn[T] {
	if n := t.silent.Front(); n != nil && now.Sub(n.Value.since) >= t.grace.FirstByte {
		return n.Value
	}
	if n := t.reading.Front(); n != nil && now.Sub(n.Value.since) >= t.grace.CompleteRequest {
		return n.Value
	}
	return nil
}

// NextOverdue returns when the next grace period expires, or the zero time if there is none.
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

// OverdueWithoutByte returns the number of connections that have sent nothing and whose grace period has
// expired. It takes time in proportion to that number.
func (t *Table[T]) OverdueWithoutByte(now time.Time) (overdue int) {
	for n := t.silent.Front(); n != nil && now.Sub(n.Value.since) >= t.grace.FirstByte; n = n.Next() {
		overdue++
	}
	return overdue
}

// ExcessIdle returns an idle connection to close because a limit is exceeded, or nil. It is the longest
// idle connection of the client with the most connections.
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
