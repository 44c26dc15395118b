package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Bulkheads: each tenant has its own slots and queue places, so that tenants cannot exhaust each other's
// capacity.

const (
	// slotObjectiveShare is the assumed time in flight of a request, as a share of its latency objective.
	slotObjectiveShare = 0.12
	// slotDeviations is the number of standard deviations added to the mean number of requests in flight.
	slotDeviations = 2.0
	// maxTrafficMultiple is the largest multiple of an even share of the traffic that a balancer may receive.
	maxTrafficMultiple = 5.0
	// slotsPerServer is the number of slots per server of the first endpoint list if no quota is known.
	slotsPerServer = 3.0
	// queuePlacesPerSlot makes queues just long enough to keep the slots in use.
	queuePlacesPerSlot = 0.15
)

// BulkheadCapacity is the number of slots and queue places of a bulkhead.
type BulkheadCapacity struct {
	Slots  int `json:"Slots"`
	Places int `json:"Places"`
}

// bulkhead holds the slots and the queue of one tenant.
type bulkhead struct {
	capacity BulkheadCapacity // in force
	reserved BulkheadCapacity // part of the capacity that the predecessor process may still use
	used     int              // slots in use
	queue    []*request
}

// hasSlot reports whether a slot is free.
func (bh *bulkhead) hasSlot() bool { return bh.used+bh.reserved.Slots < bh.capacity.Slots }

// hasQueuePlace reports whether a queue place is free.
func (bh *bulkhead) hasQueuePlace() bool {
	return len(bh.queue)+bh.reserved.Places < bh.capacity.Places
}

// free returns the numbers of free slots and queue places.
func (bh *bulkhead) free() BulkheadCapacity {
	return BulkheadCapacity{
		Slots:  max(0, bh.capacity.Slots-bh.reserved.Slots-bh.used),
		Places: max(0, bh.capacity.Places-bh.reserved.Places-len(bh.queue)),
	}
}

// bulkheads holds the bulkheads of all tenants.
type bulkheads struct {
	byTenant   []bulkhead
	configured []BulkheadCapacity // by tenant, before fleet limits
	totalSlots int                // in force
	// expectedInFlight is the number of requests of all balancers in flight if each tenant uses its quota.
	expectedInFlight float64
	firstTenant      int // index of the tenant whose queue is served first
}

func newBulkheads(tenants int) bulkheads {
	return bulkheads{byTenant: make([]bulkhead, tenants), configured: make([]BulkheadCapacity, tenants)}
}

func (bs *bulkheads) hasTenant(tenant int) bool { return tenant >= 0 && tenant < len(bs.byTenant) }

// limit applies the lower of the configured and the fleet's capacities.
func (bs *bulkheads) limit(fleet []BulkheadCapacity) {
	bs.totalSlots = 0
	for i, c := range bs.configured {
		if i < len(fleet) {
			c = BulkheadCapacity{min(c.Slots, fleet[i].Slots), min(c.Places, fleet[i].Places)}
		}
		bs.byTenant[i].capacity = c
		bs.totalSlots += c.Slots
	}
}

// sizeBulkheads derives the configured capacities from the quotas and a share of the average latency
// objective by Little's law. Since traffic is uneven, each balancer gets a multiple of its even share plus
// two standard deviations of a Poisson distribution.
func (b *Balancer) sizeBulkheads() {
	shares := 0.0
	for _, t := range b.cfg.Tenants {
		shares += t.Share
	}
	bs := &b.bulkheads
	bs.expectedInFlight = cmp.Or(
		b.traffic.quota*b.traffic.averageObjective*slotObjectiveShare,
		slotsPerServer*float64(len(b.endpoints.servers)))
	total := bs.expectedInFlight * min(1, maxTrafficMultiple/float64(b.cfg.Balancers))
	deviations := slotDeviations
	if b.cfg.Slots > 0 {
		total, deviations = float64(b.cfg.Slots), 0
	}
	for i, t := range b.cfg.Tenants {
		mean := total * t.Share / shares
		slots := max(1, int(math.Ceil(mean+deviations*math.Sqrt(mean))))
		bs.configured[i] = BulkheadCapacity{slots, int(math.Ceil(float64(slots) * queuePlacesPerSlot))}
	}
	b.applyFleetLimits()
}

// dispatchQueued gives free slots to queued requests. It starts at another tenant in each call.
func (b *Balancer) dispatchQueued(now time.Duration) {
	bs := &b.bulkheads
	bs.firstTenant = (bs.firstTenant + 1) % len(bs.byTenant)
	for i := range bs.byTenant {
		b.dispatchQueue(now, &bs.byTenant[(bs.firstTenant+i)%len(bs.byTenant)])
	}
}

// dispatchQueue gives the free slots of one bulkhead to its queued requests. A request that no permitted
// server can accept now does not block the requests behind it.
func (b *Balancer) dispatchQueue(now time.Duration, bh *bulkhead) {
	for n := 0; n < len(bh.queue) && bh.hasSlot(); {
		switch r := bh.queue[n]; {
		case now >= r.latestSend():
			b.finish(r) // also removes it from the queue
		case b.dispatch(now, r):
			bh.queue = slices.Delete(bh.queue, n, n+1)
		default:
			n++
		}
	}
}

// SlotsFree returns the number of free slots of a tenant; 0 for an unknown tenant.
func (b *Balancer) SlotsFree(tenant int) int {
	if !b.bulkheads.hasTenant(tenant) {
		return 0
	}
	return b.bulkheads.byTenant[tenant].free().Slots
}

// QueueFree returns the number of free queue places of a tenant; 0 for an unknown tenant.
func (b *Balancer) QueueFree(tenant int) int {
	if !b.bulkheads.hasTenant(tenant) {
		return 0
	}
	return b.bulkheads.byTenant[tenant].free().Places
}
