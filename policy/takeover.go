package policy

import "time"

// Take-over: a new process takes a sidecar's place while the old one still has requests. Both
// are one balancer to the servers: its slots, queue places and part of a cold server's budget.

// HandOver gives up what this Balancer does not need for what it has and for so many requests that may be coming
// still. It returns what it keeps, by tenant; that never grows. Cold servers' budget is the other's.
func (b *Balancer) HandOver(coming int) []BulkheadCapacity {
	b.twoProcesses, b.handedOver = true, true
	held := make([]BulkheadCapacity, len(b.bulkheads))
	for i := range b.bulkheads {
		c := &b.bulkheads[i]
		c.slots = min(c.slots, c.used+len(c.queue)+coming)
		c.queuePlaces = min(c.queuePlaces, len(c.queue)+coming)
		held[i] = BulkheadCapacity{c.slots, c.queuePlaces}
	}
	return held
}

// ReserveForPredecessor takes what the other process keeps, by tenant; nothing where it has ended.
// Until then cold servers get nothing: it may have spent their budget a moment ago.
func (b *Balancer) ReserveForPredecessor(now time.Duration, held []BulkheadCapacity) {
	for i := range b.bulkheads {
		b.bulkheads[i].reserved = BulkheadCapacity{}
		if i < len(held) {
			b.bulkheads[i].reserved = held[i]
		}
	}
	if b.twoProcesses && len(held) == 0 {
		for _, s := range b.servers {
			s.nextSlowStartSend = max(s.nextSlowStartSend, now+b.slowStartInterval(now, s))
		}
	}
	b.twoProcesses = len(held) > 0
	b.dispatchQueued(now)
}
