// Package overload is what a fleet of sidecars does about more being asked of it than its
// servers bear, where it is given a word: each sidecar tells once a second what came to
// it (Digest), one task works out what part of each tenant's requests may be tried
// (Planner), and its word goes back (Advice). Advice only ever tightens, counts for a few
// seconds, and is taken from the latest holder of the task's lease alone (Taker).
//
// Nothing here has a clock or does I/O. docs/OVERLOAD.md describes it for operators.
package overload

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// LeaseName is the lease of the task, and RecordKey the record that says where it listens.
const (
	LeaseName = "overload"
	RecordKey = "overload"
)

const (
	// ReportInterval is how often a sidecar tells, and the task answers: a queue of servers takes
	// about as long to come and go.
	ReportInterval = time.Second
	// AdviceTTL is how long advice counts: two answers may be lost.
	AdviceTTL = 3 * time.Second
	// Most bounds: a digest and an answer are read whole.
	MaxTenants      = 64
	MaxSidecars     = 4096
	MaxMessageBytes = 16 << 10
	maxNameLength   = 128

	// targetCongestion is the jam that the task keeps the fleet at: servers have work for every
	// moment, and what they answer is in time still. Sidecars shed by themselves above it.
	targetCongestion = 0.15
	// correctionGain is how much of a deviation from it one answer corrects: it shows after a queue's
	// time only, and a whole correction each second would swing. A queue is drained with
	// minCorrection of what servers bear at least.
	correctionGain, minCorrection = 0.5, 0.9
	// What servers bear is followed down by capacityDecay a second while they jam, as when some are
	// lost, and up by capacityGrowth while they do not, until all that is asked goes through.
	capacityDecay, capacityGrowth = 0.97, 1.05
	// overQuotaFactor is how many times the part of its share a tenant's part of all that is asked
	// has to be for the task to cut it.
	overQuotaFactor = 1.5
	// unlimitedFactor is how far above all that is asked a limit has to be to be none.
	unlimitedFactor = 1.2
	// minAdmitFraction is what each tenant may try whatever it asks: who is shut out altogether
	// never shows that it has become less.
	minAdmitFraction = 0.01
	// minResponseRate are too few a second to tell anything.
	minResponseRate = 5
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

// Planner works out the advice. It is told the time, as a reading of a clock that never
// goes back, and is not safe for concurrent use.
type Planner struct {
	fleet    string
	token    uint64
	number   uint64
	capacity float64 // requests a second that servers bear; 0: all that is asked
	limit    float64
	sidecars map[string]*sidecarReport
	expected int
}

type sidecarReport struct {
	digest     Digest
	receivedAt time.Duration
}

// NewPlanner makes the Planner of one grant: nothing of an earlier one's is known.
func NewPlanner(fleet string, token uint64) *Planner {
	return &Planner{fleet: fleet, token: token, sidecars: make(map[string]*sidecarReport)}
}

// SetExpected notes how many sidecars there are, by somebody else's word; 0: nobody knows. Where
// fewer than half of them are heard, nobody is cut: their part of a tenant is not the
// tenant. A lower number than that of those heard changes nothing.
func (p *Planner) SetExpected(sidecars int) { p.expected = min(max(0, sidecars), MaxSidecars) }

// AddDigest takes a digest in. One that is older than what is known of its sidecar is an error.
func (p *Planner) AddDigest(now time.Duration, d Digest) error {
	if err := d.Check(); err != nil {
		return err
	}
	if d.Fleet != p.fleet {
		return fmt.Errorf("%w: it is of fleet %.64q, this is %q", ErrBadMessage, d.Fleet, p.fleet)
	}
	m := p.sidecars[d.Name]
	switch {
	case m == nil && len(p.sidecars) >= MaxSidecars:
		return fmt.Errorf("%w: %d sidecars are known", ErrBadMessage, len(p.sidecars))
	case m == nil:
		m = new(sidecarReport)
		p.sidecars[d.Name] = m
	case d.Incarnation < m.digest.Incarnation || d.Incarnation == m.digest.Incarnation && d.Seq <= m.digest.Seq:
		return fmt.Errorf("%w: %.64s has told later ones", ErrBadMessage, d.Name)
	}
	m.digest, m.receivedAt = d, now
	return nil
}

// fleetLoad are what the fleet's latest digests add up to, a second.
type fleetLoad struct {
	sidecars     int
	rates        Rates
	responseRate float64
	congestion   float64
	tenants      []tenantLoad
}

type tenantLoad struct {
	name        string
	quota       float64
	requestRate float64
}

func (p *Planner) aggregate(now time.Duration) (s fleetLoad) {
	index := make(map[string]int)
	for name, m := range p.sidecars {
		if now-m.receivedAt > AdviceTTL {
			delete(p.sidecars, name) // its part is the others' from now on
			continue
		}
		s.sidecars++
		second := 1000 / float64(m.digest.PeriodMS)
		var answers float64
		for _, c := range m.digest.Tenants {
			i, known := index[c.Tenant]
			if !known {
				if len(s.tenants) == MaxTenants {
					continue
				}
				i = len(s.tenants)
				index[c.Tenant] = i
				s.tenants = append(s.tenants, tenantLoad{name: c.Tenant})
			}
			t := &s.tenants[i]
			t.quota = max(t.quota, c.Quota)
			t.requestRate += float64(c.Requests) * second
			s.rates.Requests += float64(c.Requests) * second
			s.rates.InTime += float64(c.InTime) * second
			s.rates.Late += float64(c.Late) * second
			s.rates.Refused += float64(c.Refused) * second
			s.rates.Failed += float64(c.Failed) * second
			answers += float64(c.InTime+c.Late) * second
		}
		s.congestion += m.digest.Congestion * answers
		s.responseRate += answers
	}
	if s.responseRate > 0 {
		s.congestion /= s.responseRate
	}
	slices.SortFunc(s.tenants, func(a, b tenantLoad) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return s
}

// Plan works out the advice of this moment.
func (p *Planner) Plan(now time.Duration) Advice {
	s := p.aggregate(now)
	switch {
	case s.responseRate < minResponseRate:
		p.capacity, p.limit = 0, 0 // nothing is known
	case s.congestion >= targetCongestion: // servers with a queue answer what they can, however much is sent there
		p.capacity = max(s.responseRate, p.capacity*capacityDecay)
	case p.capacity > 0:
		p.capacity *= capacityGrowth
	}
	if p.capacity >= unlimitedFactor*s.rates.Requests {
		p.capacity = 0
	}
	p.limit = p.capacity * max(minCorrection, min(1, 1+correctionGain*(targetCongestion-s.congestion)/targetCongestion))
	p.number++
	a := Advice{Fleet: p.fleet, Token: p.token, Number: p.number, ValidMS: AdviceTTL.Milliseconds(), Limit: p.limit, Congestion: s.congestion, Sidecars: s.sidecars, Expected: p.expected, Rates: s.rates}
	if p.limit > 0 && 2*s.sidecars >= p.expected {
		a.Tenants = divideByQuota(p.limit, s.tenants)
		shares := 0.0
		for _, t := range s.tenants {
			shares += t.quota
		}
		for i, t := range s.tenants {
			if t.requestRate*shares <= overQuotaFactor*t.quota*s.rates.Requests { // an overload of all is each sidecar's own to shed
				a.Tenants[i].AdmitFraction, a.Tenants[i].AllowedRate = 1, t.requestRate
			}
		}
	}
	return a
}

// divideByQuota gives tenants what they ask for as far as it goes round, by their shares: who
// asks for less than its part leaves the rest to the others (weighted max-min fairness).
func divideByQuota(limit float64, tenants []tenantLoad) []TenantAdvice {
	parts := make([]TenantAdvice, len(tenants))
	open := make([]int, 0, len(tenants)) // who has not got all that it asked for
	for i, t := range tenants {
		parts[i] = TenantAdvice{Tenant: t.name, AdmitFraction: 1, RequestRate: t.requestRate}
		open = append(open, i)
	}
	for left := limit; len(open) > 0; {
		shares := 0.0
		for _, i := range open {
			shares += max(tenants[i].quota, 1e-9)
		}
		var still []int
		given := 0.0
		for _, i := range open {
			if own := left * max(tenants[i].quota, 1e-9) / shares; tenants[i].requestRate <= own {
				parts[i].AllowedRate = tenants[i].requestRate
				given += tenants[i].requestRate
			} else {
				still = append(still, i)
			}
		}
		if len(still) == len(open) {
			for _, i := range open {
				parts[i].AllowedRate = left * max(tenants[i].quota, 1e-9) / shares
				parts[i].AdmitFraction = max(minAdmitFraction, min(1, parts[i].AllowedRate/tenants[i].requestRate))
			}
			break
		}
		open, left = still, left-given
	}
	return parts
}

// AdviceFilter decides which advice a sidecar takes: that of the latest holder, in order.
type AdviceFilter struct {
	Fleet         string
	token, number uint64
}

// Accept says whether advice is to be put in force.
func (t *AdviceFilter) Accept(a Advice) error {
	if err := a.Check(); err != nil {
		return err
	}
	switch {
	case a.Fleet != t.Fleet:
		return fmt.Errorf("%w: it is for fleet %.64q, this is %q", ErrBadMessage, a.Fleet, t.Fleet)
	case a.Token < t.token:
		return fmt.Errorf("%w: it is under token %d, an earlier holder's: %d is known", ErrBadMessage, a.Token, t.token)
	case a.Token == t.token && a.Number <= t.number:
		return fmt.Errorf("%w: number %d came already", ErrBadMessage, t.number)
	}
	t.token, t.number = a.Token, a.Number
	return nil
}

// Path is where the task takes digests (POST) and tells its word (GET).
const Path = "/overload"

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
