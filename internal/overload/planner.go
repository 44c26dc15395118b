package overload

import (
	"fmt"
	"slices"
	"time"
)

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
