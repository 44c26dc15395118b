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
	Quota    float64 `json:"share"` // relative to the other tenants' quotas
	Requests uint64  `json:"asked"`
	InTime   uint64  `json:"served"` // served within the latency objective
	Late     uint64  `json:"late"`
	Refused  uint64  `json:"refused"`
	Failed   uint64  `json:"failed"`
}

// Digest is the load that a sidecar reports.
type Digest struct {
	Fleet       string         `json:"fleet"`
	Name        string         `json:"name"`
	Incarnation uint64         `json:"incarnation"` // grows with each start of the sidecar
	Seq         uint64         `json:"seq"`         // grows with each digest of an incarnation
	PeriodMS    int64          `json:"over_ms"`     // the period that the counts cover
	Congestion  float64        `json:"jam"`         // the share of the latency objective that responses took lately
	Tenants     []TenantCounts `json:"tenants"`
}

// TenantAdvice says which part of a tenant's requests may be tried.
type TenantAdvice struct {
	Tenant        string  `json:"tenant"`
	AdmitFraction float64 `json:"part"`
	// RequestRate and AllowedRate are requests a second over the fleet, for display.
	RequestRate float64 `json:"asked"`
	AllowedRate float64 `json:"allowed"`
}

// Advice says which part of each tenant's requests may be tried. All requests of a tenant that
// it does not name may be.
type Advice struct {
	Fleet      string         `json:"fleet"`
	Token      uint64         `json:"token"`  // the fencing token of the holder's lease
	Number     uint64         `json:"number"` // grows with each plan under one token
	ValidMS    int64          `json:"for_ms"`
	Tenants    []TenantAdvice `json:"parts"`
	Limit      float64        `json:"limit"` // requests a second over the fleet; 0: no limit
	Congestion float64        `json:"jam"`
	Sidecars   int            `json:"members"` // how many sidecars' digests it rests on
	// Expected is how many sidecars the fleet's membership sees; 0: not known.
	Expected int `json:"expected,omitempty"`
	// Rates are for display.
	Rates Rates `json:"fate"`
}

// Rates are the outcomes of the fleet's requests, a second.
type Rates struct {
	Requests float64 `json:"asked"`
	InTime   float64 `json:"in_time"`
	Late     float64 `json:"late"`
	Refused  float64 `json:"refused"`
	Failed   float64 `json:"failed"`
}

// Location says where the holder of the lease takes digests. It is the value of the record
// RecordKey.
type Location struct {
	Address string `json:"at"` // a loopback address with a port
	Token   uint64 `json:"token"`
}

// ErrBadMessage is wrapped by the errors about a digest or advice that is malformed, out of
// date, or meant for another fleet.
var ErrBadMessage = errors.New("bad message")

// Check returns an error that names the first malformed field.
func (d *Digest) Check() error {
	maxPeriodMS := time.Hour.Milliseconds()
	switch {
	case d.Name == "" || len(d.Name) > maxNameLength || len(d.Fleet) > maxNameLength:
		return fmt.Errorf("%w: name or fleet is missing or too long", ErrBadMessage)
	case d.PeriodMS <= 0 || d.PeriodMS > maxPeriodMS:
		return fmt.Errorf("%w: over_ms is %d, it must lie between 1 and %d", ErrBadMessage, d.PeriodMS, maxPeriodMS)
	case !isFraction(d.Congestion):
		return fmt.Errorf("%w: jam is %v, it must lie between 0 and 1", ErrBadMessage, d.Congestion)
	case len(d.Tenants) > MaxTenants:
		return fmt.Errorf("%w: tenants: %d are named, %d at most", ErrBadMessage, len(d.Tenants), MaxTenants)
	}
	for i, t := range d.Tenants {
		if len(t.Tenant) > maxNameLength || !isQuota(t.Quota) {
			return fmt.Errorf("%w: tenants[%d]: its name is too long or its share is no number of 0 or more", ErrBadMessage, i)
		}
	}
	return nil
}

// Check returns an error that names the first malformed field.
func (a *Advice) Check() error {
	maxValidMS := AdviceTTL.Milliseconds()
	switch {
	case a.ValidMS <= 0 || a.ValidMS > maxValidMS:
		return fmt.Errorf("%w: for_ms is %d, it must lie between 1 and %d", ErrBadMessage, a.ValidMS, maxValidMS)
	case len(a.Tenants) > MaxTenants:
		return fmt.Errorf("%w: parts: %d tenants are named, %d at most", ErrBadMessage, len(a.Tenants), MaxTenants)
	}
	for i, t := range a.Tenants {
		if !isFraction(t.AdmitFraction) || len(t.Tenant) > maxNameLength {
			return fmt.Errorf("%w: parts[%d].part is %v, it must lie between 0 and 1", ErrBadMessage, i, t.AdmitFraction)
		}
	}
	return nil
}

// FractionFor returns the part of a tenant's requests that may be tried.
func (a *Advice) FractionFor(tenant string) float64 {
	for _, t := range a.Tenants {
		if t.Tenant == tenant {
			return t.AdmitFraction
		}
	}
	return 1
}

// isFraction is false for NaN, too.
func isFraction(f float64) bool { return f >= 0 && f <= 1 }

// isQuota is false for NaN, too.
func isQuota(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }
