package overload

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// targetCongestion is the congestion that plans aim for: servers always have work, and still
	// respond within the latency objective. Above it, sidecars shed load on their own.
	targetCongestion = 0.15
	// correctionGain is the fraction of a deviation from the target that one plan corrects. A
	// correction takes effect only after a queueing delay, so correcting all of the deviation each
	// second would cause oscillation.
	correctionGain = 0.5
	// minCorrection is the lowest fraction of the capacity to which the limit is reduced to drain a queue.
	minCorrection = 0.9
	// capacityDecay is the factor that lowers the capacity each second under congestion, for example
	// after a loss of servers.
	capacityDecay = 0.97
	// capacityGrowth is the factor that raises the capacity each second without congestion, until it
	// covers all requests.
	capacityGrowth = 1.05
	// overQuotaFactor is the multiple of its quota that a tenant has to request before it is limited.
	overQuotaFactor = 1.5
	// unlimitedFactor is the ratio of the capacity to the rate of all requests from which on there is no
	// limit.
	unlimitedFactor = 1.2
	// minAdmitFraction is the fraction of its requests that a tenant is always admitted. If none were
	// admitted, sidecars could not detect that servers have recovered.
	minAdmitFraction = 0.01
	// minResponseRate is the rate of responses per second below which the fleet's capacity is unknown.
	minResponseRate = 5
	// minQuota avoids a division by zero if all quotas are 0.
	minQuota = 1e-9
)

// Planner computes advice from digests. The caller passes the time as a reading of a monotonic clock.
// It is not safe for concurrent use.
type Planner struct {
	fleet    string
	token    uint64
	number   uint64                    // of the last plan
	capacity float64                   // requests per second that the servers can serve; 0: enough for all requests
	sidecars map[string]*sidecarReport // by name
	expected int                       // number of sidecars in the fleet; 0: unknown
}

// sidecarReport is the latest digest of a sidecar.
type sidecarReport struct {
	digest     Digest
	receivedAt time.Duration
}

// NewPlanner makes the Planner of one lease grant. It starts without the state of earlier grants.
func NewPlanner(fleet string, token uint64) *Planner {
	return &Planner{fleet: fleet, token: token, sidecars: make(map[string]*sidecarReport)}
}

// SetExpected sets how many sidecars the fleet has according to its membership; 0: unknown. While
// fewer than half of them report, no tenant is limited, since the requests at the reporting sidecars
// are not representative of the tenant. A number below that of the reporting sidecars has no effect.
func (p *Planner) SetExpected(sidecars int) {
	p.expected = min(max(0, sidecars), MaxSidecars)
}

// AddDigest records a digest. It returns an error that wraps ErrInvalidMessage if the digest is
// malformed, of another fleet, not newer than the sidecar's latest one, or of a new sidecar while
// MaxSidecars are tracked.
func (p *Planner) AddDigest(now time.Duration, d Digest) error {
	if err := d.Check(); err != nil {
		return err
	}
	if d.Fleet != p.fleet {
		return fmt.Errorf("%w: digest is of fleet %.64q, want %q", ErrInvalidMessage, d.Fleet, p.fleet)
	}
	report, known := p.sidecars[d.Name]
	switch {
	case !known && len(p.sidecars) >= MaxSidecars:
		return fmt.Errorf("%w: too many sidecars: %d others have reported", ErrInvalidMessage, len(p.sidecars))
	case !known:
		report = new(sidecarReport)
		p.sidecars[d.Name] = report
	case !d.isNewerThan(&report.digest):
		return fmt.Errorf("%w: %.64s has already sent a later digest", ErrInvalidMessage, d.Name)
	}
	report.digest, report.receivedAt = d, now
	return nil
}

func (d *Digest) isNewerThan(other *Digest) bool {
	if d.Incarnation != other.Incarnation {
		return d.Incarnation > other.Incarnation
	}
	return d.Seq > other.Seq
}

// fleetLoad is the sum of the sidecars' latest digests, as rates per second.
type fleetLoad struct {
	sidecars     int
	rates        Rates
	responseRate float64
	congestion   float64 // the mean over all responses
	tenants      []tenantLoad
}

type tenantLoad struct {
	name        string
	quota       float64
	requestRate float64
}

// aggregate adds up the digests that are recent enough, and drops the others. It adds them in the
// order of the sidecars' names, since floating-point sums depend on the order.
func (p *Planner) aggregate(now time.Duration) fleetLoad {
	var load fleetLoad
	index := make(map[string]int) // of load.tenants, by name
	for _, name := range slices.Sorted(maps.Keys(p.sidecars)) {
		report := p.sidecars[name]
		if now-report.receivedAt > AdviceTTL {
			delete(p.sidecars, name)
			continue
		}
		load.add(&report.digest, index)
	}
	if load.responseRate > 0 {
		load.congestion /= load.responseRate
	}
	slices.SortFunc(load.tenants, func(a, b tenantLoad) int { return strings.Compare(a.name, b.name) })
	return load
}

// add adds a digest. Its congestion is added weighted by the response rate; aggregate then divides the
// sum by the total rate.
func (l *fleetLoad) add(d *Digest, index map[string]int) {
	l.sidecars++
	perSecond := 1000 / float64(d.PeriodMS)
	var responseRate float64
	for _, c := range d.Tenants {
		t := l.tenant(c.Tenant, index)
		if t == nil {
			continue
		}
		t.quota = max(t.quota, c.Quota)
		t.requestRate += float64(c.Requests) * perSecond
		l.rates.Requests += float64(c.Requests) * perSecond
		l.rates.InTime += float64(c.InTime) * perSecond
		l.rates.Late += float64(c.Late) * perSecond
		l.rates.Refused += float64(c.Refused) * perSecond
		l.rates.Failed += float64(c.Failed) * perSecond
		responseRate += float64(c.InTime+c.Late) * perSecond
	}
	l.congestion += d.Congestion * responseRate
	l.responseRate += responseRate
}

// tenant returns the load of a tenant; nil if there are too many tenants.
func (l *fleetLoad) tenant(name string, index map[string]int) *tenantLoad {
	i, known := index[name]
	if !known {
		if len(l.tenants) == MaxTenants {
			return nil
		}
		i = len(l.tenants)
		index[name] = i
		l.tenants = append(l.tenants, tenantLoad{name: name})
	}
	return &l.tenants[i]
}

// Plan computes new advice from the latest digests.
func (p *Planner) Plan(now time.Duration) Advice {
	load := p.aggregate(now)
	p.estimateCapacity(load)
	correction := 1 + correctionGain*(targetCongestion-load.congestion)/targetCongestion
	limit := p.capacity * max(minCorrection, min(1, correction))
	p.number++
	advice := Advice{
		Fleet: p.fleet, Token: p.token, Number: p.number, ValidMS: AdviceTTL.Milliseconds(),
		Limit: limit, Congestion: load.congestion, Sidecars: load.sidecars, Expected: p.expected, Rates: load.rates,
	}
	if limit > 0 && 2*load.sidecars >= p.expected {
		advice.Tenants = limitTenants(limit, load)
	}
	return advice
}

// estimateCapacity updates the estimate of the rate that the servers can serve.
func (p *Planner) estimateCapacity(load fleetLoad) {
	switch {
	case load.responseRate < minResponseRate:
		p.capacity = 0
	case load.congestion >= targetCongestion: // the servers have queues, so the response rate is their capacity
		p.capacity = max(load.responseRate, p.capacity*capacityDecay)
	case p.capacity > 0:
		p.capacity *= capacityGrowth
	}
	if p.capacity >= unlimitedFactor*load.rates.Requests {
		p.capacity = 0
	}
}

// limitTenants divides the limit among tenants, and then lifts it from tenants that are not far above
// their quota: an overload to which all tenants contribute equally is shed by each sidecar on its own.
func limitTenants(limit float64, load fleetLoad) []TenantAdvice {
	advice := divideByQuota(limit, load.tenants)
	quotas := 0.0
	for _, t := range load.tenants {
		quotas += t.quota
	}
	for i, t := range load.tenants {
		if t.requestRate*quotas <= overQuotaFactor*t.quota*load.rates.Requests {
			advice[i].AdmitFraction, advice[i].AllowedRate = 1, t.requestRate
		}
	}
	return advice
}

// divideByQuota divides a limit among tenants by weighted max-min fairness: what a tenant does not use
// of its quota is divided among the others.
func divideByQuota(limit float64, tenants []tenantLoad) []TenantAdvice {
	advice := make([]TenantAdvice, len(tenants))
	unsatisfied := make([]int, 0, len(tenants)) // indexes of tenants whose request rate is not granted yet
	for i, t := range tenants {
		advice[i] = TenantAdvice{Tenant: t.name, AdmitFraction: 1, RequestRate: t.requestRate}
		unsatisfied = append(unsatisfied, i)
	}
	for remaining := limit; len(unsatisfied) > 0; {
		quotas := 0.0
		for _, i := range unsatisfied {
			quotas += max(tenants[i].quota, minQuota)
		}
		fairRate := func(i int) float64 { return remaining * max(tenants[i].quota, minQuota) / quotas }
		var stillUnsatisfied []int
		granted := 0.0
		for _, i := range unsatisfied {
			if tenants[i].requestRate <= fairRate(i) {
				advice[i].AllowedRate = tenants[i].requestRate
				granted += tenants[i].requestRate
			} else {
				stillUnsatisfied = append(stillUnsatisfied, i)
			}
		}
		if len(stillUnsatisfied) == len(unsatisfied) {
			for _, i := range unsatisfied {
				advice[i].AllowedRate = fairRate(i)
				advice[i].AdmitFraction = max(minAdmitFraction, min(1, advice[i].AllowedRate/tenants[i].requestRate))
			}
			break
		}
		unsatisfied, remaining = stillUnsatisfied, remaining-granted
	}
	return advice
}
