package policy

import "time"

// Take-over: a new process takes a sidecar's place while the old one still has requests. To the
// servers both are one balancer, with one set of slots, queue places and slow start budgets.

// takeoverState is how a process stands towards the other one of its sidecar.
type takeoverState struct {
	otherProcess bool // another process of this sidecar is running
	handedOver   bool // it takes this one's place
}

// HandOver gives up what this process needs neither for the requests that it has nor for a number
// that may still be coming. It returns what it keeps, by tenant, which never grows again. The
// budgets of servers that warm up belong to the other process.
func (b *Balancer) HandOver(coming int) []BulkheadCapacity {
	b.takeover = takeoverState{otherProcess: true, handedOver: true}
	kept := make([]BulkheadCapacity, len(b.bulkheads.byTenant))
	for i := range b.bulkheads.byTenant {
		bh := &b.bulkheads.byTenant[i]
		bh.capacity.Slots = min(bh.capacity.Slots, bh.used+len(bh.queue)+coming)
		bh.capacity.Places = min(bh.capacity.Places, len(bh.queue)+coming)
		kept[i] = bh.capacity
	}
	return kept
}

// ReserveForPredecessor takes what the old process keeps, by tenant; nothing if it has ended. Until
// then servers that warm up get nothing, as the old process may have just used their budget.
func (b *Balancer) ReserveForPredecessor(now time.Duration, kept []BulkheadCapacity) {
	for i := range b.bulkheads.byTenant {
		reserved := BulkheadCapacity{}
		if i < len(kept) {
			reserved = kept[i]
		}
		b.bulkheads.byTenant[i].reserved = reserved
	}
	if b.takeover.otherProcess && len(kept) == 0 {
		for _, s := range b.endpoints.servers {
			s.slowStart.nextSend = max(s.slowStart.nextSend, now+b.slowStartInterval(now, s))
		}
	}
	b.takeover.otherProcess = len(kept) > 0
	b.dispatchQueued(now)
}
