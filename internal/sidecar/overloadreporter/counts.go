package overloadreporter

import (
	"slices"

	"barleywick/internal/overload"
	"barleywick/internal/sidecar/outcome"
)

// Counts holds the request counts of each tenant for the next digest. It is not safe for concurrent use.
type Counts struct{ tenants []overload.TenantCounts }

// NewCounts returns zero counts for the named tenants. quota returns a tenant's share of the service, if
// it has one; without one it is 1.
func NewCounts(tenants []string, quota func(tenant int) (share float64, ok bool)) *Counts {
	c := &Counts{tenants: make([]overload.TenantCounts, len(tenants))}
	for i, name := range tenants {
		c.tenants[i] = overload.TenantCounts{Tenant: name, Quota: 1}
		if share, ok := quota(i); ok {
			c.tenants[i].Quota = share
		}
	}
	return c
}

// RequestArrived counts a new request of a tenant.
func (c *Counts) RequestArrived(tenant int) { c.tenants[tenant].Requests++ }

// RequestEnded counts the outcome of a request of a tenant.
func (c *Counts) RequestEnded(tenant int, o outcome.Outcome) {
	t := &c.tenants[tenant]
	switch o {
	case outcome.InTime:
		t.InTime++
	case outcome.Late:
		t.Late++
	case outcome.Refused:
		t.Refused++
	case outcome.Failed:
		t.Failed++
	}
}

// Take returns the counts since the previous call and resets them.
func (c *Counts) Take() []overload.TenantCounts {
	taken := slices.Clone(c.tenants)
	for i, t := range c.tenants {
		c.tenants[i] = overload.TenantCounts{Tenant: t.Tenant, Quota: t.Quota}
	}
	return taken
}
