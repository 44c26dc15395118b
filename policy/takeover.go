package policy

import "time"

// Take-over: a new process takes a sidecar's place while the old one still has requests. Both
// are one balancer to the servers: its slots, queue places and part of a cold server's budget.

// HandOver gives up what this Balancer does not need for what it has and for so many requests that may be coming
// still. It returns what it keeps, by tenant; that never grows. Cold servers' budget is the other's.
func (b *Balancer) HandOver(coming int) []BulkheadCapacity {
	b.shared, b.leaving = true, true
	held := make([]BulkheadCapacity, len(b.parts))
	for i := range b.parts {
		c := &b.parts[i]
		c.slots = min(c.slots, c.used+len(c.queue)+coming)
		c.places = min(c.places, len(c.queue)+coming)
		held[i] = BulkheadCapacity{c.slots, c.places}
	}
	return held
}

// ReserveForPredecessor takes what the other process keeps, by tenant; nothing where it has ended.
// Until then cold servers get nothing: it may have spent their budget a moment ago.
func (b *Balancer) ReserveForPredecessor(now time.Duration, held []BulkheadCapacity) {
	for i := range b.parts {
		b.parts[i].lent = BulkheadCapacity{}
		if i < len(held) {
			b.parts[i].lent = held[i]
		}
	}
	if b.shared && len(held) == 0 {
		for _, s := range b.servers {
			s.coldAt = max(s.coldAt, now+b.coldGap(now, s))
		}
	}
	b.shared = len(held) > 0
	b.feed(now)
}

// full says whether a compartment has no slot for another request.
func (c *compartment) full() bool { return c.used+c.lent.Slots >= c.slots }
