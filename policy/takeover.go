package policy

import "time"

// Take-over: a successor process replaces a sidecar's predecessor process while the predecessor still has
// requests. Together they must not exceed the slots, queue places and slow start budgets of one balancer.

// takeoverState is the state of a take-over in one of the two processes.
type takeoverState struct {
	otherProcessRunning bool
	handedOver          bool // to a successor
}

// HandOver releases the capacity that this process needs neither for its open requests nor for the given
// number of requests that may still arrive. It returns the capacity that it keeps, by tenant, which never
// grows again. The slow start budgets pass to the successor.
func (b *Balancer) HandOver(incoming int) []BulkheadCapacity {
	b.takeover = takeoverState{otherProcessRunning: true, handedOver: true}
	kept := make([]BulkheadCapacity, len(b.bulkheads.byTenant))
	for i := range b.bulkheads.byTenant {
		bh := &b.bulkheads.byTenant[i]
		bh.capacity.Slots = min(bh.capacity.Slots, bh.used+len(bh.queue)+incoming)
		bh.capacity.Places = min(bh.capacity.Places, len(bh.queue)+incoming)
		kept[i] = bh.capacity
	}
	return kept
}

// ReserveForPredecessor reserves the capacity that the predecessor keeps, by tenant; kept is empty once the
// predecessor has ended. Until then this process sends nothing to servers that are warming up, since the
// predecessor may have just used their budget.
func (b *Balancer) ReserveForPredecessor(now time.Duration, kept []BulkheadCapacity) {
	for i := range b.bulkheads.byTenant {
		reserved := BulkheadCapacity{}
		if i < len(kept) {
			reserved = kept[i]
		}
		b.bulkheads.byTenant[i].reserved = reserved
	}
	if b.takeover.otherProcessRunning && len(kept) == 0 {
		for _, s := range b.endpoints.servers {
			s.slowStart.nextSendAt = max(s.slowStart.nextSendAt, now+b.slowStartInterval(now, s))
		}
	}
	b.takeover.otherProcessRunning = len(kept) > 0
	b.dispatchQueued(now)
}
