package emulator

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Record is the result of a run.
type Record struct {
	Scenario string        `json:"scenario"`
	Seed     uint64        `json:"seed"`
	Sidecars int           `json:"sidecars"`
	Servers  int           `json:"servers"`
	Zones    []string      `json:"zones"`
	Length   time.Duration `json:"length_ns"`
	Partial  bool          `json:"partial,omitempty"` // the run was interrupted

	// Goodput is the served weight as a fraction of the requested weight. Result also includes the worst
	// 10 s, the worst class and tenant, and the costs.
	Goodput   float64 `json:"goodput"`
	Result    float64 `json:"result"`
	TotalCost float64 `json:"prices"`

	Requests            int `json:"asked"` // first attempts
	ServedRequests      int `json:"served"`
	Late                int `json:"late"`    // served after the latency objective
	Refused             int `json:"refused"` // ended with a refusal
	Failed              int `json:"failed"`
	Abandoned           int `json:"left"` // the client left
	ClientAttempts      int `json:"tries"`
	Sends               int `json:"sends"`
	Rejected            int `json:"turned_away"`
	Handshakes          int `json:"handshakes"`
	Probes              int `json:"probes"`
	CrossZoneSends      int `json:"crossed"`
	ListCalls           int `json:"list_calls"`
	ListFailed          int `json:"list_failed"`
	Restarts            int `json:"restarts"`
	OverloadedServers   int `json:"fell"`
	Events              int `json:"events"`
	MalformedClients    int `json:"bad_clients"`         // connections of clients that send malformed requests
	MalformedUnanswered int `json:"bad_clients_waiting"` // of those, neither answered nor closed by the deadline

	P50MS  float64 `json:"p50_ms"`
	P99MS  float64 `json:"p99_ms"`
	P999MS float64 `json:"p999_ms"`

	// LostWeight is the weight that was not served, by cause; its sum is the requested weight less the
	// served weight. Costs holds the parts of TotalCost by name.
	LostWeight map[string]float64 `json:"losses"`
	Costs      map[string]float64 `json:"priced"`

	Classes []WeightShare `json:"classes"`
	Tenants []WeightShare `json:"tenants"`
	Windows []Window      `json:"windows"` // one per second, by the time of a call's first attempt

	Faults         []Fault  `json:"troubles"`
	Violations     [5]int   `json:"breaches"` // by number of the rule, from 1 on
	ViolationTexts []string `json:"broken,omitempty"`
	Checked        struct {
		Requests  int `json:"Requests"`
		Answers   int `json:"Answers"`
		Sends     int `json:"Sends"`
		Repeats   int `json:"Repeats"`
		ColdSends int `json:"ColdSends"`
	} `json:"judged"`

	wasted, offered, lateWeight float64
	latency                     *hdrhistogram.Histogram
	perWindow                   []*hdrhistogram.Histogram
	scenario                    *Scenario
}

// WeightShare is the requested and served weight of a class, tenant or second.
type WeightShare struct {
	Name      string  `json:"name"`
	Requested float64 `json:"asked"`
	Served    float64 `json:"got"`
}

// Share returns the fraction that was served; 1 if nothing was requested.
func (p WeightShare) Share() float64 {
	if p.Requested == 0 {
		return 1
	}
	return p.Served / p.Requested
}

// Window is one second of a run.
type Window struct {
	WeightShare
	Requests int       `json:"requests"`
	Refused  int       `json:"refused"`
	Failed   int       `json:"failed"`
	Late     int       `json:"late"`
	P50MS    float64   `json:"p50_ms"`
	P99MS    float64   `json:"p99_ms"`
	Queue    []int     `json:"queue"`    // by zone, at its start: requests queued at servers
	Capacity []float64 `json:"capacity"` // by zone, at its start: work a second
	Fleet    Impact    `json:"fleet"`    // activity of the fleet in this second, independent of when the requests arrived
}

const (
	minLatency        = 1        // microseconds
	maxLatency        = 60 * 1e6 // longer than any deadline
	significantDigits = 2        // of a latency
)

// NewRecord returns the record of a new run.
func NewRecord(sc *Scenario, seed uint64) *Record {
	r := &Record{
		Scenario: sc.Name, Seed: seed, Sidecars: sc.Sidecars, Servers: sc.Servers, Zones: sc.Zones, Length: time.Duration(sc.Length),
		Faults: sc.Faults, latency: hdrhistogram.New(minLatency, maxLatency, significantDigits), scenario: sc,
		LostWeight: make(map[string]float64), Costs: make(map[string]float64),
	}
	for _, c := range sc.Classes {
		r.Classes = append(r.Classes, WeightShare{Name: c.Name})
	}
	for _, t := range sc.Tenants {
		r.Tenants = append(r.Tenants, WeightShare{Name: t.Name})
	}
	n := int(math.Ceil(sc.Length.seconds()))
	r.Windows = make([]Window, n)
	r.perWindow = make([]*hdrhistogram.Histogram, n)
	return r
}

// Sample adds a server's state at a time of the run to the values of its zone.
func (r *Record) Sample(at time.Duration, zone, waiting int, capacity float64) {
	i := int(at / time.Second)
	if i < 0 || i >= len(r.Windows) {
		return
	}
	w := &r.Windows[i]
	if w.Queue == nil {
		w.Queue, w.Capacity = make([]int, len(r.Zones)), make([]float64, len(r.Zones))
	}
	w.Queue[zone] += waiting
	w.Capacity[zone] += capacity
}

// AddWasted adds work that served no client, in seconds on a core of speed 1.
func (r *Record) AddWasted(now time.Duration, work float64) {
	r.wasted += work
	r.impactAt(now).WastedWork += work
}

// window returns the second in which a call arrived, and its index.
func (r *Record) window(c Call) (*Window, int) {
	i := min(len(r.Windows)-1, int(c.At/time.Second))
	return &r.Windows[i], i
}

// AddRequest adds a first attempt.
func (r *Record) AddRequest(c Call) {
	r.Requests++
	r.offered += c.Work
	r.addRequested(c, 1)
	w, _ := r.window(c)
	w.Requests++
}

// addRequested adds a call's weight, multiplied by sign, to the requested weight.
func (r *Record) addRequested(c Call, sign float64) {
	r.Classes[c.Class].Requested += sign * c.Weight
	if c.WithinQuota {
		r.Tenants[c.Tenant].Requested += sign * c.Weight
	}
	w, _ := r.window(c)
	w.WeightShare.Requested += sign * c.Weight
}

// AddServed adds a call that was served; took is the time since its first attempt. late is the cause of the
// delay if it was served after the latency objective.
func (r *Record) AddServed(c Call, took time.Duration, late string) {
	r.ServedRequests++
	w, i := r.window(c)
	weight, class := c.Weight, r.scenario.Classes[c.Class]
	if took > time.Duration(class.LatencyObjective) {
		weight *= class.LateShare
		r.lateWeight += c.Weight - weight
		r.addLoss(late, c.Weight-weight)
		r.Late++
		w.Late++
	}
	r.Classes[c.Class].Served += weight
	if c.WithinQuota {
		r.Tenants[c.Tenant].Served += weight
	}
	w.Served += weight
	if r.perWindow[i] == nil {
		r.perWindow[i] = hdrhistogram.New(minLatency, maxLatency, significantDigits)
	}
	for _, h := range []*hdrhistogram.Histogram{r.latency, r.perWindow[i]} {
		_ = h.RecordValue(min(max(took.Microseconds(), minLatency), maxLatency)) // clamped to the histogram's range
	}
}

// AddUnserved adds a call that was not served, with the cause; elapsed is the time from its first attempt to
// its end.
func (r *Record) AddUnserved(c Call, refused bool, elapsed time.Duration, cause string) {
	r.addLoss(cause, c.Weight)
	if elapsed > time.Duration(r.scenario.Classes[c.Class].LatencyObjective) {
		r.lateWeight += c.Weight
	}
	w, _ := r.window(c)
	if refused {
		r.Refused++
		w.Refused++
		return
	}
	r.Failed++
	w.Failed++
}

// AddAbandoned removes a call whose client left early from the requested weight.
func (r *Record) AddAbandoned(c Call) {
	r.Abandoned++
	r.addRequested(c, -1)
}

// Weights of the parts of the result, set by the operators.
const (
	weightOverall = 0.45
	weightWorst   = 0.15
	weightClass   = 0.30
	weightTenant  = 0.10
	worstWindow   = 10 // seconds
)

// Finish computes the result of the run, with the Checker's findings.
func (r *Record) Finish(c *Checker, partial bool) {
	r.Partial = partial
	var total WeightShare
	class, tenant, worst := 1.0, 1.0, 1.0
	for _, p := range r.Classes {
		total.Requested += p.Requested
		total.Served += p.Served
		class = min(class, p.Share())
	}
	for _, p := range r.Tenants {
		tenant = min(tenant, p.Share())
	}
	for i := range r.Windows {
		if h := r.perWindow[i]; h != nil {
			r.Windows[i].P50MS, r.Windows[i].P99MS = float64(h.ValueAtQuantile(50))/1e3, float64(h.ValueAtQuantile(99))/1e3
		}
		if i+worstWindow > len(r.Windows) && i > 0 {
			continue
		}
		var sum WeightShare
		for _, w := range r.Windows[i:min(len(r.Windows), i+worstWindow)] {
			sum.Requested += w.WeightShare.Requested
			sum.Served += w.Served
		}
		worst = min(worst, sum.Share())
	}
	r.Goodput = total.Share()
	if n := float64(r.Requests); n > 0 {
		p := r.scenario.Prices
		r.Costs["crossing zones"], r.Costs["probes"], r.Costs["handshakes"] = p.CrossZone*float64(r.CrossZoneSends)/n, p.Probe*float64(r.Probes)/n, p.Handshake*float64(r.Handshakes)/n
		if r.offered > 0 {
			r.Costs["waste"] = p.Waste * r.wasted / r.offered
		}
		if total.Requested > 0 {
			r.Costs["failing late"] = p.LateFail * r.lateWeight / total.Requested
		}
		for _, what := range slices.Sorted(maps.Keys(r.Costs)) { // in a fixed order, for a reproducible floating-point sum
			r.TotalCost += r.Costs[what]
		}
	}
	r.Result = weightOverall*r.Goodput + weightWorst*worst + weightClass*class + weightTenant*tenant - r.TotalCost
	r.P50MS = float64(r.latency.ValueAtQuantile(50)) / 1e3
	r.P99MS = float64(r.latency.ValueAtQuantile(99)) / 1e3
	r.P999MS = float64(r.latency.ValueAtQuantile(99.9)) / 1e3
	r.Violations, r.ViolationTexts = c.Violations, c.ViolationTexts
	r.Checked.Requests, r.Checked.Answers, r.Checked.Sends, r.Checked.Repeats, r.Checked.ColdSends = c.Requests, c.Answers, c.Sends, c.Repeats, c.ColdSends
}

// Line returns a one-line summary of the run.
func (r *Record) Line() string {
	rules := "rules kept"
	if len(r.ViolationTexts) > 0 {
		rules = fmt.Sprintf("RULES BROKEN %v: %s", r.Violations[1:], r.ViolationTexts[0])
	}
	return fmt.Sprintf("%-10s seed %-4d goodput %.3f  result %.3f  asked %d  late %d  refused %d  failed %d  p50 %.0f ms  p99 %.0f ms  %s",
		r.Scenario, r.Seed, r.Goodput, r.Result, r.Requests, r.Late, r.Refused, r.Failed, r.P50MS, r.P99MS, rules)
}
