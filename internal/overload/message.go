package overload

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// TenantCounts counts the requests of one tenant at a sidecar since its last digest.
type TenantCounts struct {
	Tenant   string  `json:"tenant"`
	Quota    float64 `json:"share"` // relative to those of the other tenants
	Requests uint64  `json:"asked"`
	InTime   uint64  `json:"served"` // served within the latency objective
	Late     uint64  `json:"late"`
	Refused  uint64  `json:"refused"`
	Failed   uint64  `json:"failed"`
}

// Digest is a sidecar's load report.
type Digest struct {
	Fleet       string         `json:"fleet"`
	Name        string         `json:"name"`
	Incarnation uint64         `json:"incarnation"` // grows with each start of the sidecar
	Seq         uint64         `json:"seq"`         // grows with each digest of an incarnation
	PeriodMS    int64          `json:"over_ms"`     // the period that the counts cover
	Congestion  float64        `json:"jam"`         // the share of the latency objective that recent responses took
	Tenants     []TenantCounts `json:"tenants"`
}

// TenantAdvice is the fraction of a tenant's requests that sidecars may admit.
type TenantAdvice struct {
	Tenant        string  `json:"tenant"`
	AdmitFraction float64 `json:"part"`
	// RequestRate and AllowedRate are requests per second over the whole fleet, for display.
	RequestRate float64 `json:"asked"`
	AllowedRate float64 `json:"allowed"`
}

// Advice is the fraction of each tenant's requests that sidecars may admit. Tenants that it does not
// list are not limited.
type Advice struct {
	Fleet      string         `json:"fleet"`
	Token      uint64         `json:"token"`  // the fencing token of the holder's lease
	Number     uint64         `json:"number"` // grows with each plan under one token
	ValidMS    int64          `json:"for_ms"`
	Tenants    []TenantAdvice `json:"parts"`
	Limit      float64        `json:"limit"` // requests per second over the whole fleet; 0: no limit
	Congestion float64        `json:"jam"`
	Sidecars   int            `json:"members"` // number of sidecars whose digests it is based on
	// Expected is the number of sidecars in the fleet's membership; 0: unknown.
	Expected int `json:"expected,omitempty"`
	// Rates are for display.
	Rates Rates `json:"fate"`
}

// Rates are the fleet's requests per second, in total and by outcome.
type Rates struct {
	Requests float64 `json:"asked"`
	InTime   float64 `json:"in_time"`
	Late     float64 `json:"late"`
	Refused  float64 `json:"refused"`
	Failed   float64 `json:"failed"`
}

// Location is the address where the lease holder receives digests. It is the value of the registry
// record RecordKey.
type Location struct {
	Address string `json:"at"` // a loopback address with a port
	Token   uint64 `json:"token"`
}

// ErrInvalidMessage is wrapped by the errors about a digest or advice that is malformed, outdated, or
// for another fleet.
var ErrInvalidMessage = errors.New("invalid overload message")

// Check returns an error that names the first malformed field.
func (d *Digest) Check() error {
	maxPeriodMS := time.Hour.Milliseconds()
	switch {
	case d.Name == "" || len(d.Name) > maxNameLength || len(d.Fleet) > maxNameLength:
		return fmt.Errorf("%w: name or fleet is missing or too long", ErrInvalidMessage)
	case d.PeriodMS <= 0 || d.PeriodMS > maxPeriodMS:
		return fmt.Errorf("%w: over_ms is %d, it must lie between 1 and %d", ErrInvalidMessage, d.PeriodMS, maxPeriodMS)
	case !isFraction(d.Congestion):
		return fmt.Errorf("%w: jam is %v, it must lie between 0 and 1", ErrInvalidMessage, d.Congestion)
	case len(d.Tenants) > MaxTenants:
		return fmt.Errorf("%w: tenants: got %d, want %d at most", ErrInvalidMessage, len(d.Tenants), MaxTenants)
	}
	for i, t := range d.Tenants {
		if len(t.Tenant) > maxNameLength || !isQuota(t.Quota) {
			return fmt.Errorf("%w: tenants[%d]: name is too long, or share is not a finite number of 0 or more", ErrInvalidMessage, i)
		}
	}
	return nil
}

// Check returns an error that names the first malformed field.
func (a *Advice) Check() error {
	maxValidMS := AdviceTTL.Milliseconds()
	switch {
	case a.ValidMS <= 0 || a.ValidMS > maxValidMS:
		return fmt.Errorf("%w: for_ms is %d, it must lie between 1 and %d", ErrInvalidMessage, a.ValidMS, maxValidMS)
	case len(a.Tenants) > MaxTenants:
		return fmt.Errorf("%w: parts: got %d tenants, want %d at most", ErrInvalidMessage, len(a.Tenants), MaxTenants)
	}
	for i, t := range a.Tenants {
		if !isFraction(t.AdmitFraction) || len(t.Tenant) > maxNameLength {
			return fmt.Errorf("%w: parts[%d]: part is %v, it must lie between 0 and 1, and the tenant name must not be too long", ErrInvalidMessage, i, t.AdmitFraction)
		}
	}
	return nil
}

// FractionFor returns the fraction of a tenant's requests that sidecars may admit.
func (a *Advice) FractionFor(tenant string) float64 {
	for _, t := range a.Tenants {
		if t.Tenant == tenant {
			return t.AdmitFraction
		}
	}
	return 1
}

// isFraction reports whether f lies between 0 and 1. It returns false for NaN.
func isFraction(f float64) bool { return f >= 0 && f <= 1 }

// isQuota reports whether f is a finite number of 0 or more. It returns false for NaN.
func isQuota(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }
