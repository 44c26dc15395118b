package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Bulkheads: each tenant has its own slots and queue places, so that none can take another's.

const (
	// slotObjectiveShare is the share of the objective for which the slots hold a quota's traffic.
	slotObjectiveShare = 0.12
	// slotDeviations is how many standard deviations of the number in flight are added.
	slotDeviations = 2.0
	// maxTrafficMultiple is by how much one balancer's traffic may exceed an even part of it.
	maxTrafficMultiple = 5.0
	// slotsPerServer is the number of slots for each server of the first list, if no quota is known.
	slotsPerServer = 3.0
	// queuePlacesPerSlot keeps queues just long enough for the slots not to run empty.
	queuePlacesPerSlot = 0.15
)

// BulkheadCapacity is how many slots and queue places a bulkhead has.
type BulkheadCapacity struct {
	Slots  int `json:"Slots"`
	Places int `json:"Places"`
}

// bulkhead holds the slots and the queue of one tenant.
type bulkhead struct {
	capacity BulkheadCapacity // in force
	reserved BulkheadCapacity // part of the capacity that another process of this sidecar uses
	used     int              // slots
	queue    []*request
}

// hasSlot says whether a slot is free.
func (bh *bulkhead) hasSlot() bool { return bh.used+bh.reserved.Slots < bh.capacity.Slots }

// hasQueuePlace says whether a queue place is free.
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

// bulkheads are those of all tenants.
type bulkheads struct {
	byTenant   []bulkhead
	configured []BulkheadCapacity // by tenant, before fleet limits
	totalSlots int                // in force
	// expectedInFlight is how many requests of all balancers are in flight when traffic is at its quotas.
	expectedInFlight float64
	next             int // whose queue is served first
}

func newBulkheads(tenants int) bulkheads {
	return bulkheads{byTenant: make([]bulkhead, tenants), configured: make([]BulkheadCapacity, tenants)}
}

func (bs *bulkheads) has(tenant int) bool { return tenant >= 0 && tenant < len(bs.byTenant) }

// limit puts the stricter of the configured and the given capacities in force.
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

// sizeBulkheads derives the configured capacities by Little's law from the quotas and a small share
// of the average objective. Traffic is uneven, so each balancer gets a multiple of its even part and
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

// dispatchQueued gives free slots to queued requests, one tenant after the other.
func (b *Balancer) dispatchQueued(now time.Duration) {
	bs := &b.bulkheads
	bs.next = (bs.next + 1) % len(bs.byTenant)
	for i := range bs.byTenant {
		b.dispatchQueue(now, &bs.byTenant[(bs.next+i)%len(bs.byTenant)])
	}
}

// dispatchQueue gives the free slots of one bulkhead to its queue. A request that no server can take
// now, as it is bound to certain servers, does not hold up those behind it.
func (b *Balancer) dispatchQueue(now time.Duration, bh *bulkhead) {
	for n := 0; n < len(bh.queue) && bh.hasSlot(); {
		switch r := bh.queue[n]; {
		case now >= r.latestSend():
			b.finish(r) // and removes it from the queue
		case b.dispatch(now, r):
			bh.queue = slices.Delete(bh.queue, n, n+1)
		default:
			n++
		}
	}
}

// SlotsFree returns the number of free slots of a tenant; 0 for a tenant that does not exist.
func (b *Balancer) SlotsFree(tenant int) int {
	if !b.bulkheads.has(tenant) {
		return 0
	}
	return b.bulkheads.byTenant[tenant].free().Slots
}

// QueueFree returns the number of free queue places of a tenant; 0 for a tenant that does not exist.
func (b *Balancer) QueueFree(tenant int) int {
	if !b.bulkheads.has(tenant) {
		return 0
	}
	return b.bulkheads.byTenant[tenant].free().Places
}
