package admission

import (
	"net/netip"
	"time"

	"barleywick/internal/queue"
)

// state is the state of a connection.
type state uint8

const (
	notInTable     state = iota // not in the table
	silent                      // nothing received yet
	readingRequest              // a request was received in part
	serving                     // a request is in progress
	idle                        // between requests
)

// unfinished reports whether the connection may be in the middle of receiving a request.
func (s state) unfinished() bool { return s == silent || s == readingRequest }

// Conn is a connection's entry in the Table. It is embedded in the caller's connection type, and Owner
// refers back to that connection.
type Conn[T any] struct {
	Owner T

	state    state
	halfOpen bool
	since    time.Time // when state began
	client   *client[T]
	inTable  queue.Node[*Conn[T]] // in the table's list for its state
	inClient queue.Node[*Conn[T]] // in the client's list of idle connections
}

// Silent reports whether nothing has been received on the connection.
func (c *Conn[T]) Silent() bool { return c.state == silent }

// Idle reports whether the connection is between requests.
func (c *Conn[T]) Idle() bool { return c.state == idle }

// client is the state of a client address. It exists while the address has a connection.
type client[T any] struct {
	addr       netip.Addr
	open       int
	unfinished int                    // connections in an unfinished state
	idle       queue.List[*Conn[T]]   // longest idle first
	rank       queue.Node[*client[T]] // in holderRanks while it has idle connections
	rankedAt   int                    // the count under which it is ranked
}

// Add adds an admitted connection, which starts silent and half open.
func (t *Table[T]) Add(c *Conn[T], addr netip.Addr, now time.Time) {
	own := t.clients[addr]
	if own == nil {
		own = &client[T]{addr: addr}
		own.rank.Value = own
		t.clients[addr] = own
	}
	c.client = own
	c.inTable.Value, c.inClient.Value = c, c
	own.open++
	t.open++
	t.rank(own)
	t.move(c, silent, true, now)
}

// FirstByteRead reports that the first byte of a request was received.
func (t *Table[T]) FirstByteRead(c *Conn[T], now time.Time) {
	if c.state == silent || c.state == idle {
		t.move(c, readingRequest, true, now)
	}
}

// HeaderRead reports that a request's header is complete. Its body may still be incomplete.
func (t *Table[T]) HeaderRead(c *Conn[T]) { t.setHalfOpen(c, false) }

// RequestStarted reports that a request is in progress. The connection is not evicted until BecameIdle.
func (t *Table[T]) RequestStarted(c *Conn[T], now time.Time) {
	if c.state != notInTable {
		t.move(c, serving, false, now)
	}
}

// BecameIdle reports that the connection waits for the next request.
func (t *Table[T]) BecameIdle(c *Conn[T], now time.Time) {
	if c.state != notInTable {
		t.move(c, idle, false, now)
	}
}

// Remove reports that the connection is closed. It does nothing if the connection is not in the table.
func (t *Table[T]) Remove(c *Conn[T]) {
	if c.state == notInTable {
		return
	}
	own := c.client
	t.move(c, notInTable, false, time.Time{})
	t.open--
	own.open--
	if own.open == 0 {
		delete(t.clients, own.addr)
	}
	t.rank(own)
	c.client = nil
}

// move changes a connection's state, and the lists and counts that depend on it.
func (t *Table[T]) move(c *Conn[T], to state, halfOpen bool, now time.Time) {
	if c.state.unfinished() {
		c.client.unfinished--
	}
	if to.unfinished() {
		c.client.unfinished++
	}
	c.state, c.since = to, now
	t.setHalfOpen(c, halfOpen)
	c.inTable.Remove()
	switch to {
	case silent:
		t.silent.PushBack(&c.inTable)
	case readingRequest:
		t.reading.PushBack(&c.inTable)
	case idle:
		t.idle.PushBack(&c.inTable)
	}
	c.inClient.Remove()
	if to == idle {
		c.client.idle.PushBack(&c.inClient)
	}
	t.rank(c.client)
}

func (t *Table[T]) setHalfOpen(c *Conn[T], halfOpen bool) {
	if c.halfOpen == halfOpen {
		return
	}
	c.halfOpen = halfOpen
	if halfOpen {
		t.halfOpen++
	} else {
		t.halfOpen--
	}
}

// rank updates a client's rank after a change of its connections.
func (t *Table[T]) rank(c *client[T]) {
	if c.idle.Len() > 0 {
		t.holders.set(c, c.open)
	} else {
		t.holders.remove(c)
	}
}
