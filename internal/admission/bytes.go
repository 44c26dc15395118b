package admission

import (
	"time"

	"barleywick/internal/queue"
)

// ByteLimits bound the memory that requests may take while clients send them.
type ByteLimits struct {
	Heads   int64 // bytes of request heads that are not complete
	Bodies  int64 // bytes of the request bodies of all requests that have not ended
	Partial int64 // of Bodies, those of requests that may never be complete
}

// ByteTable holds what requests take of the ByteLimits. A request whose body has arrived completely may use all of
// Bodies; others share Partial, so that they leave room for it. A ByteTable is not safe for concurrent use.
type ByteTable struct {
	limits  ByteLimits
	grace   time.Duration // how long a partial body is protected from eviction
	heads   int64
	bodies  int64
	partial int64
	arrival queue.List[*Body] // partial bodies, oldest first
}

// Body is the entry of a request's body in a ByteTable.
type Body struct {
	Interrupt func() // called by the owner of the table to end the request; set by the caller of AddBody

	size    int64
	since   time.Time
	partial bool
	evicted bool
	node    queue.Node[*Body]
}

// NewByteTable returns an empty ByteTable. A partial body may be evicted once it is older than grace.
func NewByteTable(limits ByteLimits, grace time.Duration) *ByteTable {
	return &ByteTable{limits: limits, grace: grace}
}

// ResizeHead changes the bytes that an incomplete head holds, and reports whether the limit allows that. It
// always allows fewer bytes.
func (t *ByteTable) ResizeHead(from, to int64) bool {
	if to > from && t.heads-from+to > t.limits.Heads {
		return false
	}
	t.heads += to - from
	return true
}

// AddBody adds a body of size bytes, and reports whether the limits allow it. complete means that all of it
// has arrived. If they do not, AddBody may return a body to evict; the caller interrupts it and has room then,
// as the evicted body no longer counts.
func (t *ByteTable) AddBody(b *Body, size int64, complete bool, now time.Time) (evicted *Body, ok bool) {
	if !t.fits(size, complete) {
		if evicted = t.overdue(now); evicted == nil {
			return nil, false
		}
		t.Remove(evicted)
		evicted.evicted = true
		if !t.fits(size, complete) {
			return evicted, false
		}
	}
	b.size, b.since, b.partial = size, now, !complete
	b.node.Value = b
	t.bodies += size
	if b.partial {
		t.partial += size
		t.arrival.PushBack(&b.node)
	}
	return evicted, true
}

// EverFits reports whether a body of size bytes would be within the limits if nothing else were held.
func (t *ByteTable) EverFits(size int64) bool { return size <= t.limits.Bodies }

// fits reports whether a body is within the limits.
func (t *ByteTable) fits(size int64, complete bool) bool {
	return t.bodies+size <= t.limits.Bodies && (complete || t.partial+size <= t.limits.Partial)
}

// overdue returns the oldest partial body whose grace has passed, or nil.
func (t *ByteTable) overdue(now time.Time) *Body {
	if n := t.arrival.Front(); n != nil && now.Sub(n.Value.since) >= t.grace {
		return n.Value
	}
	return nil
}

// Complete reports that no more of the body will arrive: it will not be evicted any more. It returns false if
// the body was evicted before. It does nothing for a body that was not added.
func (t *ByteTable) Complete(b *Body) bool {
	if b.partial {
		b.partial = false
		t.partial -= b.size
		b.node.Remove()
	}
	return !b.evicted
}

// Remove releases what a body holds, so that the entry can be added again for the next request.
func (t *ByteTable) Remove(b *Body) {
	t.Complete(b)
	t.bodies -= b.size
	b.size, b.evicted = 0, false
}

// Held returns the bytes that are held by heads and by bodies.
func (t *ByteTable) Held() (heads, bodies int64) { return t.heads, t.bodies }
