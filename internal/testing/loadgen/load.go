package loadgen

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat/distuv"
)

// Class is a share of a load.
type Class struct {
	Name   string
	Effect Effect
	Share  float64
}

// Plan is a load.
type Plan struct {
	Targets  []string        // sidecars; requests go to them in turn
	Rate     float64         // requests a second over all of them
	Arrivals string          // "poisson", "constant" or "recorded"
	Recorded []time.Duration // the times, with "recorded"
	Length   time.Duration
	Timeout  time.Duration // a client waits so long
	Classes  []Class
	Tenants  []string
	Keys     int // how many different ones; 0: none
	Body     int // bytes, where the method has one
	MostOpen int // requests open at once; what is due beyond is not sent and counts as lost
	Seed     uint64
}

// Limits of a plan.
const (
	maxRate   = 1e6
	maxOpen   = 100_000
	maxLength = 24 * time.Hour
)

// Check returns an error that names the first field that cannot be.
func (p *Plan) Check() error {
	shares := 0.0
	for _, c := range p.Classes {
		if c.Name == "" || !(c.Share >= 0) {
			return fmt.Errorf("class %q: a name and a share of 0 or more are needed", c.Name)
		}
		if c.Effect != Safe && c.Effect != Keyed && c.Effect != Unsafe {
			return fmt.Errorf("class %q: effect is %q; there are safe, keyed and unsafe", c.Name, c.Effect)
		}
		shares += c.Share
	}
	switch {
	case len(p.Targets) == 0:
		return errors.New("targets: at least one address is needed")
	case p.Arrivals != "poisson" && p.Arrivals != "constant" && p.Arrivals != "recorded":
		return fmt.Errorf("arrivals: %q; there are poisson, constant and recorded", p.Arrivals)
	case p.Arrivals == "recorded" && len(p.Recorded) == 0:
		return errors.New("arrivals: nothing is recorded")
	case p.Arrivals != "recorded" && !(p.Rate > 0 && p.Rate <= maxRate):
		return fmt.Errorf("rate is %g, it must be above 0 and at most %g a second", p.Rate, maxRate)
	case p.Length <= 0 || p.Length > maxLength:
		return fmt.Errorf("length is %v, it must be above 0 and at most %v", p.Length, maxLength)
	case p.Timeout <= 0 || p.Timeout > time.Hour:
		return fmt.Errorf("timeout is %v, it must be above 0 and at most an hour", p.Timeout)
	case !(shares > 0) || math.IsInf(shares, 0):
		return errors.New("classes: the shares add up to nothing")
	case p.Keys < 0 || p.Body < 0 || p.Body > maxBody:
		return fmt.Errorf("keys is %d and body %d; keys must not be negative, a body has at most %d bytes", p.Keys, p.Body, maxBody)
	case p.MostOpen < 1 || p.MostOpen > maxOpen:
		return fmt.Errorf("open is %d, it must lie between 1 and %d", p.MostOpen, maxOpen)
	}
	return nil
}

// ReadArrivals reads recorded arrivals: a time in seconds on each line, not falling.
func ReadArrivals(r io.Reader) (times []time.Duration, err error) {
	lines := bufio.NewScanner(io.LimitReader(r, 1<<30))
	last := 0.0
	for n := 1; lines.Scan(); n++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" {
			continue
		}
		s, err := strconv.ParseFloat(text, 64)
		if err != nil || !(s >= last && s <= maxLength.Seconds()) {
			return nil, fmt.Errorf("line %d: %.40q is no time in seconds that is not before the one above", n, text)
		}
		last = s
		times = append(times, time.Duration(s*float64(time.Second)))
	}
	return times, lines.Err()
}

// Result is what came of a load.
type Result struct {
	Partial  bool           `json:"partial,omitempty"`
	LengthS  float64        `json:"length_s"`
	Due      int            `json:"due"`
	Unsent   int            `json:"unsent"` // too many were open: the load, not the target, gave way
	Outcomes map[string]int `json:"outcomes"`
	RateS    float64        `json:"served_per_s"`
	MaxOpen  int            `json:"max_open"`
	Served   Latency        `json:"served"`
	Refused  Latency        `json:"refused"`
	LagMS    float64        `json:"send_lag_p99_ms"`  // how late the load itself was
	Errors   []string       `json:"errors,omitempty"` // the first few
}

// Latency are percentiles in milliseconds, from when each request was due.
type Latency struct {
	Count int64   `json:"Count"`
	P50   float64 `json:"P50"`
	P90   float64 `json:"P90"`
	P99   float64 `json:"P99"`
	P999  float64 `json:"P999"`
	Max   float64 `json:"Max"`
	Mean  float64 `json:"Mean"`
}

func latency(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e3 }
	return Latency{h.TotalCount(), at(50), at(90), at(99), at(99.9), float64(h.Max()) / 1e3, h.Mean() / 1e3}
}

const (
	mostErrors = 5
	// overdue is how long past its time-out an answer is still waited for: one that
	// comes then is late, and none at all is lost.
	overdue = 500 * time.Millisecond
)

// run is a load under way.
type run struct {
	plan    *Plan
	clients []*Client
	began   time.Time

	mu           sync.Mutex
	open         int
	res          Result
	served, away *hdrhistogram.Histogram
	lag          *hdrhistogram.Histogram
}

// Run plays a load until its end, or until ctx ends; then what is open is still
// waited for. progress is called once a second; it may be nil.
func Run(ctx context.Context, p *Plan, progress func(Result)) (*Result, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, (p.Timeout + time.Hour).Microseconds(), 3)
	}
	r := &run{plan: p, served: histogram(), away: histogram(), lag: histogram(), began: time.Now()}
	r.res.Outcomes = make(map[string]int)
	for _, t := range p.Targets {
		c := NewClient(t, p.MostOpen)
		defer c.Close()
		r.clients = append(r.clients, c)
	}
	var tasks sync.WaitGroup
	if progress != nil {
		ticking, stop := context.WithCancel(context.Background())
		var ticker sync.WaitGroup
		ticker.Go(func() { r.tell(ticking, progress) })
		defer ticker.Wait()
		defer stop()
	}
	all := r.send(ctx, &tasks)
	tasks.Wait()
	out := r.result()
	out.Partial = !all
	return &out, nil
}

// send starts each request when it is due, however many are open, and says whether
// all were. It never waits for an answer: that is what makes the load an open one.
func (r *run) send(ctx context.Context, tasks *sync.WaitGroup) bool {
	p := r.plan
	rng := rand.New(rand.NewPCG(p.Seed, 1))
	shares := make([]float64, len(p.Classes))
	for i, c := range p.Classes {
		shares[i] = c.Share
	}
	class := distuv.NewCategorical(shares, rng)
	timer := time.NewTimer(0)
	defer timer.Stop()
	body := make([]byte, p.Body)
	var last time.Duration
	for n := 0; ; n++ {
		due := last
		switch {
		case p.Arrivals == "recorded" && n >= len(p.Recorded):
			return true
		case p.Arrivals == "recorded":
			due = p.Recorded[n]
		case p.Arrivals == "constant":
			due = time.Duration(float64(n) / p.Rate * float64(time.Second))
		default:
			due += time.Duration(distuv.Exponential{Rate: p.Rate, Src: rng}.Rand() * float64(time.Second))
		}
		last = due
		if due >= p.Length {
			return true
		}
		if wait := due - time.Since(r.began); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return false
			}
		} else if ctx.Err() != nil {
			return false
		}
		c := p.Classes[int(class.Rand())]
		a := Ask{ID: fmt.Sprintf("%016x", rng.Uint64()), Class: c.Name, Effect: c.Effect, Timeout: p.Timeout, Body: body}
		if len(p.Tenants) > 0 {
			a.Tenant = p.Tenants[rng.IntN(len(p.Tenants))]
		}
		if p.Keys > 0 {
			a.Key = strconv.Itoa(rng.IntN(p.Keys))
		}
		if r.begin() {
			tasks.Go(func() { r.one(r.clients[n%len(r.clients)], a, due) })
		}
	}
}

// begin counts a request that is due, and says whether it may be sent.
func (r *run) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Due++
	if r.open >= r.plan.MostOpen {
		r.res.Unsent++
		return false
	}
	r.open++
	r.res.MaxOpen = max(r.res.MaxOpen, r.open)
	return true
}

// one sends one request and books what became of it.
func (r *run) one(c *Client, a Ask, due time.Duration) {
	late := time.Since(r.began) - due
	// Its owner is the load, not the caller's context: what was sent is waited for.
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout+overdue)
	defer cancel()
	got := c.Do(ctx, a, nil)
	took := time.Since(r.began) - due
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	r.res.Outcomes[got.Outcome.String()]++
	record := func(h *hdrhistogram.Histogram, d time.Duration) {
		_ = h.RecordValue(min(max(1, d.Microseconds()), h.HighestTrackableValue())) // in range by the line itself
	}
	record(r.lag, late)
	switch got.Outcome {
	case Served:
		record(r.served, took)
	case Refused:
		record(r.away, took)
	case Lost:
		if len(r.res.Errors) < mostErrors {
			r.res.Errors = append(r.res.Errors, fmt.Sprintf("request %s: %v", a.ID, got.Err))
		}
	}
}

// result is how things stand.
func (r *run) result() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.res
	out.LengthS = time.Since(r.began).Seconds()
	out.Outcomes = make(map[string]int, len(r.res.Outcomes))
	for name, n := range r.res.Outcomes {
		out.Outcomes[name] = n
	}
	out.Errors = append([]string(nil), r.res.Errors...)
	out.RateS = float64(out.Outcomes[Served.String()]) / max(out.LengthS, 1e-9)
	out.Served, out.Refused = latency(r.served), latency(r.away)
	out.LagMS = float64(r.lag.ValueAtQuantile(99)) / 1e3
	return out
}

// tell reports progress once a second until ctx ends.
func (r *run) tell(ctx context.Context, progress func(Result)) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			progress(r.result())
		case <-ctx.Done():
			return
		}
	}
}

// Line is a result in one line.
func (r Result) Line() string {
	return fmt.Sprintf("%.0f s: %d due, %d served (%.1f/s), %d refused, %d failed, %d lost, %d unsent; served in p50 %.1f p99 %.1f p99.9 %.1f max %.1f ms; the load's own lag p99 %.1f ms",
		r.LengthS, r.Due, r.Outcomes["served"], r.RateS, r.Outcomes["refused"], r.Outcomes["failed"], r.Outcomes["lost"], r.Unsent,
		r.Served.P50, r.Served.P99, r.Served.P999, r.Served.Max, r.LagMS)
}
