package overload

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// TenantCounts is what came of one tenant's requests at a sidecar since its last digest.
type TenantCounts struct {
	Tenant   string  `json:"tenant"`
	Quota    float64 `json:"share"` // of the service, set against the others'
	Requests uint64  `json:"asked"`
	InTime   uint64  `json:"served"` // in time
	Late     uint64  `json:"late"`
	Refused  uint64  `json:"refused"`
	Failed   uint64  `json:"failed"`
}

// Digest is what a sidecar tells.
type Digest struct {
	Fleet       string         `json:"fleet"`
	Name        string         `json:"name"`
	Incarnation uint64         `json:"incarnation"` // of its process: a later one has a higher one
	Seq         uint64         `json:"seq"`
	PeriodMS    int64          `json:"over_ms"` // the time that the counts are over
	Congestion  float64        `json:"jam"`     // what answers took of their aims lately
	Tenants     []TenantCounts `json:"tenants"`
}

// TenantAdvice is the part of a tenant's requests that may be tried.
type TenantAdvice struct {
	Tenant        string  `json:"tenant"`
	AdmitFraction float64 `json:"part"`
	// For people: requests a second.
	RequestRate float64 `json:"asked"`
	AllowedRate float64 `json:"allowed"`
}

// Advice is the task's word. One without parts says that all may be tried.
type Advice struct {
	Fleet      string         `json:"fleet"`
	Token      uint64         `json:"token"`  // of the grant under which it was worked out
	Number     uint64         `json:"number"` // grows under one grant
	ValidMS    int64          `json:"for_ms"`
	Tenants    []TenantAdvice `json:"parts"`
	Limit      float64        `json:"limit"` // requests a second over the fleet; 0: none
	Congestion float64        `json:"jam"`
	Sidecars   int            `json:"members"` // whose digests it rests on
	// Expected is how many the fleet's membership sees; 0: nobody told.
	Expected int   `json:"expected,omitempty"`
	Rates    Rates `json:"fate"` // for people
}

// Rates is what came of the fleet's requests, a second.
type Rates struct {
	Requests float64 `json:"asked"`
	InTime   float64 `json:"in_time"`
	Late     float64 `json:"late"`
	Refused  float64 `json:"refused"`
	Failed   float64 `json:"failed"`
}

// ErrBadMessage is for what cannot be a digest or advice.
var ErrBadMessage = errors.New("bad message")

func isFraction(f float64) bool { return f >= 0 && f <= 1 } // no number fails too

// Check returns an error that names the first field that cannot be.
func (d *Digest) Check() error {
	switch {
	case d.Name == "" || len(d.Name) > maxNameLength || len(d.Fleet) > maxNameLength:
		return fmt.Errorf("%w: name or fleet is missing or too long", ErrBadMessage)
	case d.PeriodMS <= 0 || d.PeriodMS > time.Hour.Milliseconds():
		return fmt.Errorf("%w: over_ms is %d, it must lie between 1 and %d", ErrBadMessage, d.PeriodMS, time.Hour.Milliseconds())
	case !isFraction(d.Congestion):
		return fmt.Errorf("%w: jam is %v, it must lie between 0 and 1", ErrBadMessage, d.Congestion)
	case len(d.Tenants) > MaxTenants:
		return fmt.Errorf("%w: tenants: %d are named, %d at most", ErrBadMessage, len(d.Tenants), MaxTenants)
	}
	for i, t := range d.Tenants {
		if len(t.Tenant) > maxNameLength || !(t.Quota >= 0) || math.IsInf(t.Quota, 0) {
			return fmt.Errorf("%w: tenants[%d]: its name is too long or its share is no number of 0 or more", ErrBadMessage, i)
		}
	}
	return nil
}

// Check returns an error that names the first field that cannot be.
func (a *Advice) Check() error {
	switch {
	case a.ValidMS <= 0 || a.ValidMS > AdviceTTL.Milliseconds():
		return fmt.Errorf("%w: for_ms is %d, it must lie between 1 and %d", ErrBadMessage, a.ValidMS, AdviceTTL.Milliseconds())
	case len(a.Tenants) > MaxTenants:
		return fmt.Errorf("%w: parts: %d tenants are named, %d at most", ErrBadMessage, len(a.Tenants), MaxTenants)
	}
	for i, p := range a.Tenants {
		if !isFraction(p.AdmitFraction) || len(p.Tenant) > maxNameLength {
			return fmt.Errorf("%w: parts[%d].part is %v, it must lie between 0 and 1", ErrBadMessage, i, p.AdmitFraction)
		}
	}
	return nil
}

// Location is what the record holds.
type Location struct {
	Address string `json:"at"` // a loopback address with a port
	Token   uint64 `json:"token"`
}

// FractionFor is the part of a tenant's requests that may be tried.
func (a *Advice) FractionFor(tenant string) float64 {
	for _, p := range a.Tenants {
		if p.Tenant == tenant {
			return p.AdmitFraction
		}
	}
	return 1
}
