package policy

import (
	"cmp"
	"math"
)

// sizeBulkheads sizes the walls, once, by Little's law: the quotas times a small share of the mean aim. As
// traffic is uneven each balancer gets a multiple of its even part, and two standard deviations (Poisson).
func (b *Balancer) sizeBulkheads() {
	shares := 0.0
	for _, t := range b.cfg.Tenants {
		shares += t.Share
		b.totalQuota += t.Quota
	}
	b.expectedInFlight = cmp.Or(
		b.totalQuota*b.averageObjective*slotObjectiveShare, slotsPerServer*float64(len(b.servers)))
	total, room := b.expectedInFlight*min(1, maxTrafficMultiple/float64(b.cfg.Balancers)), slotDeviations
	if b.cfg.Slots > 0 {
		total, room = float64(b.cfg.Slots), 0
	}
	for i, t := range b.cfg.Tenants {
		mean := total * t.Share / shares
		slots := max(1, int(math.Ceil(mean+room*math.Sqrt(mean))))
		b.configuredBulkheads[i] = BulkheadCapacity{slots, int(math.Ceil(float64(slots) * queuePlacesPerSlot))}
	}
	b.applyFleetLimits()
}

// bulkhead holds one tenant's slots and queue, walled off from the others'.
type bulkhead struct {
	slots, used, queuePlaces int
	reserved                 BulkheadCapacity // of them, to another process of this sidecar
	queue                    []*request
}

// full says whether a compartment has no slot for another request.
func (c *bulkhead) full() bool { return c.used+c.reserved.Slots >= c.slots }

// BulkheadCapacity is what one compartment holds of its slots and queue places.
type BulkheadCapacity struct {
	Slots  int `json:"Slots"`
	Places int `json:"Places"`
}

// SlotsFree returns the free slots in a tenant's compartment; 0 for a tenant that does not exist.
func (b *Balancer) SlotsFree(tenant int) int {
	if tenant < 0 || tenant >= len(b.bulkheads) {
		return 0
	}
	return max(0, b.bulkheads[tenant].slots-b.bulkheads[tenant].reserved.Slots-b.bulkheads[tenant].used)
}

// QueueFree returns the free queue places in a tenant's compartment; 0 for a tenant that does not exist.
func (b *Balancer) QueueFree(tenant int) int {
	if tenant < 0 || tenant >= len(b.bulkheads) {
		return 0
	}
	return max(0, b.bulkheads[tenant].queuePlaces-b.bulkheads[tenant].reserved.Places-len(b.bulkheads[tenant].queue))
}
