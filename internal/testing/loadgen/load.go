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

// Class is a class of requests and its share of the load.
type Class struct {
	Name        string
	Idempotency Idempotency
	Share       float64
}

// Plan describes a load.
type Plan struct {
	Targets  []string        // sidecars; requests go to them in turn
	Rate     float64         // requests per second, of all targets together
	Arrivals string          // "poisson", "constant" or "recorded"
	Recorded []time.Duration // times of the requests if Arrivals is "recorded"
	Length   time.Duration
	Timeout  time.Duration // how long a client waits
	Classes  []Class
	Tenants  []string
	Keys     int // number of distinct affinity keys; 0: none
	Body     int // size in bytes of the bodies of requests that have one
	MaxOpen  int // bound on concurrent requests; a request that is due when it is reached counts as unsent
	Seed     uint64
}

// Limits of a plan.
const (
	maxRate   = 1e6
	maxOpen   = 100_000
	maxLength = 24 * time.Hour
)

// Check returns an error that names the first field that is out of range.
func (p *Plan) Check() error {
	if err := p.checkClasses(); err != nil {
		return err
	}
	if len(p.Targets) == 0 {
		return errors.New("targets: got none, want at least one address")
	}
	if err := p.checkArrivals(); err != nil {
		return err
	}
	switch {
	case p.Length <= 0 || p.Length > maxLength:
		return fmt.Errorf("length is %v, want more than 0 and at most %v", p.Length, maxLength)
	case p.Timeout <= 0 || p.Timeout > time.Hour:
		return fmt.Errorf("timeout is %v, want more than 0 and at most an hour", p.Timeout)
	case p.Keys < 0 || p.Body < 0 || p.Body > maxBody:
		return fmt.Errorf("keys is %d and body is %d bytes; want keys of 0 or more, and a body of 0 to %d bytes", p.Keys, p.Body, maxBody)
	case p.MaxOpen < 1 || p.MaxOpen > maxOpen:
		return fmt.Errorf("open is %d, want 1 to %d", p.MaxOpen, maxOpen)
	}
	return nil
}

// checkClasses checks each class, and that the sum of the shares is positive and finite.
func (p *Plan) checkClasses() error {
	shares := 0.0
	for _, c := range p.Classes {
		if c.Name == "" || !(c.Share >= 0) {
			return fmt.Errorf("class %q: want a name and a share of 0 or more", c.Name)
		}
		if c.Idempotency != Idempotent && c.Idempotency != IdempotentByKey && c.Idempotency != NonIdempotent {
			return fmt.Errorf("class %q: effect is %q, want safe, keyed or unsafe", c.Name, c.Idempotency)
		}
		shares += c.Share
	}
	if !(shares > 0) || math.IsInf(shares, 0) {
		return errors.New("classes: the sum of the shares is not positive and finite")
	}
	return nil
}

// checkArrivals checks the settings of the arrival times.
func (p *Plan) checkArrivals() error {
	switch {
	case p.Arrivals != "poisson" && p.Arrivals != "constant" && p.Arrivals != "recorded":
		return fmt.Errorf("arrivals: got %q, want poisson, constant or recorded", p.Arrivals)
	case p.Arrivals == "recorded" && len(p.Recorded) == 0:
		return errors.New("arrivals: recorded, but the list of recorded times is empty")
	case p.Arrivals != "recorded" && !(p.Rate > 0 && p.Rate <= maxRate):
		return fmt.Errorf("rate is %g, want more than 0 and at most %g per second", p.Rate, maxRate)
	}
	return nil
}

// ReadArrivals reads recorded arrivals: one time in seconds per line, in ascending order.
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
			return nil, fmt.Errorf("line %d: got %.40q, want a time in seconds that is not before the previous one", n, text)
		}
		last = s
		times = append(times, time.Duration(s*float64(time.Second)))
	}
	return times, lines.Err()
}

// Result is the result of a load.
type Result struct {
	Partial  bool           `json:"partial,omitempty"`
	LengthS  float64        `json:"length_s"`
	Due      int            `json:"due"`
	Unsent   int            `json:"unsent"` // not sent as MaxOpen requests were open
	Outcomes map[string]int `json:"outcomes"`
	RateS    float64        `json:"served_per_s"`
	MaxOpen  int            `json:"max_open"`
	Served   Latency        `json:"served"`
	Refused  Latency        `json:"refused"`
	LagMS    float64        `json:"send_lag_p99_ms"`  // delay between due and sent
	Errors   []string       `json:"errors,omitempty"` // the first maxErrors of them
}

// Latency has the percentiles, in milliseconds, of latencies measured from when each request was due.
type Latency struct {
	Count int64   `json:"Count"`
	P50   float64 `json:"P50"`
	P90   float64 `json:"P90"`
	P99   float64 `json:"P99"`
	P999  float64 `json:"P999"`
	Max   float64 `json:"Max"`
	Mean  float64 `json:"Mean"`
}

func percentiles(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e3 }
	return Latency{h.TotalCount(), at(50), at(90), at(99), at(99.9), float64(h.Max()) / 1e3, h.Mean() / 1e3}
}

const (
	maxErrors = 5
	// lateGrace is how long past its timeout a client still waits for a response: one that arrives then
	// is late, otherwise it is lost.
	lateGrace = 500 * time.Millisecond
)

// run is a load in progress.
type run struct {
	plan    *Plan
	clients []*Client
	started time.Time

	mu              sync.Mutex
	open            int
	counts          Result
	served, refused *hdrhistogram.Histogram
	lag             *hdrhistogram.Histogram
}

// Run generates a load until its length has passed or ctx ends, and then waits for open requests.
// progress is called once a second; it may be nil.
func Run(ctx context.Context, p *Plan, progress func(Result)) (*Result, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, (p.Timeout + time.Hour).Microseconds(), 3)
	}
	r := &run{plan: p, served: histogram(), refused: histogram(), lag: histogram(), started: time.Now()}
	r.counts.Outcomes = make(map[string]int)
	for _, t := range p.Targets {
		c := NewClient(t, p.MaxOpen)
		defer c.Close()
		r.clients = append(r.clients, c)
	}
	var tasks sync.WaitGroup
	if progress != nil {
		progressCtx, stop := context.WithCancel(context.Background())
		var ticker sync.WaitGroup
		ticker.Go(func() { r.reportProgress(progressCtx, progress) })
		defer ticker.Wait()
		defer stop()
	}
	allSent := r.send(ctx, &tasks)
	tasks.Wait()
	out := r.result()
	out.Partial = !allSent
	return &out, nil
}

// send starts each request when it is due, and reports whether all were started. It never waits for a
// response, so the load is an open loop.
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
		due, more := p.dueTime(n, last, rng)
		if !more || due >= p.Length {
			return true
		}
		last = due
		if wait := due - time.Since(r.started); wait > 0 {
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
		a := Request{ID: fmt.Sprintf("%016x", rng.Uint64()), Class: c.Name, Idempotency: c.Idempotency, Timeout: p.Timeout, Body: body}
		if len(p.Tenants) > 0 {
			a.Tenant = p.Tenants[rng.IntN(len(p.Tenants))]
		}
		if p.Keys > 0 {
			a.AffinityKey = strconv.Itoa(rng.IntN(p.Keys))
		}
		if r.admit() {
			tasks.Go(func() { r.sendOne(r.clients[n%len(r.clients)], a, due) })
		}
	}
}

// dueTime returns when request n, counted from 0, is due. last is when the request before it was due. The
// result is false if there is no such request.
func (p *Plan) dueTime(n int, last time.Duration, rng *rand.Rand) (time.Duration, bool) {
	switch p.Arrivals {
	case "recorded":
		if n >= len(p.Recorded) {
			return 0, false
		}
		return p.Recorded[n], true
	case "constant":
		return time.Duration(float64(n) / p.Rate * float64(time.Second)), true
	}
	interval := distuv.Exponential{Rate: p.Rate, Src: rng}.Rand()
	return last + time.Duration(interval*float64(time.Second)), true
}

// admit counts a request that is due and reports whether it may be sent.
func (r *run) admit() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Due++
	if r.open >= r.plan.MaxOpen {
		r.counts.Unsent++
		return false
	}
	r.open++
	r.counts.MaxOpen = max(r.counts.MaxOpen, r.open)
	return true
}

// sendOne sends one request and records its outcome.
func (r *run) sendOne(c *Client, a Request, due time.Duration) {
	late := time.Since(r.started) - due
	// Not the caller's context: Run waits for all requests that were sent.
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout+lateGrace)
	defer cancel()
	got := c.Do(ctx, a, nil)
	took := time.Since(r.started) - due
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	r.counts.Outcomes[got.Outcome.String()]++
	record := func(h *hdrhistogram.Histogram, d time.Duration) {
		_ = h.RecordValue(min(max(1, d.Microseconds()), h.HighestTrackableValue())) // clamped to the histogram's range
	}
	record(r.lag, late)
	switch got.Outcome {
	case Served:
		record(r.served, took)
	case Refused:
		record(r.refused, took)
	case Lost:
		if len(r.counts.Errors) < maxErrors {
			r.counts.Errors = append(r.counts.Errors, fmt.Sprintf("request %s: %v", a.ID, got.Err))
		}
	}
}

// result returns a snapshot of the result.
func (r *run) result() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.counts
	out.LengthS = time.Since(r.started).Seconds()
	out.Outcomes = make(map[string]int, len(r.counts.Outcomes))
	for name, n := range r.counts.Outcomes {
		out.Outcomes[name] = n
	}
	out.Errors = append([]string(nil), r.counts.Errors...)
	out.RateS = float64(out.Outcomes[Served.String()]) / max(out.LengthS, 1e-9)
	out.Served, out.Refused = percentiles(r.served), percentiles(r.refused)
	out.LagMS = float64(r.lag.ValueAtQuantile(99)) / 1e3
	return out
}

// reportProgress calls progress once a second until ctx ends.
func (r *run) reportProgress(ctx context.Context, progress func(Result)) {
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

// Line summarises a result in one line.
func (r Result) Line() string {
	return fmt.Sprintf("%.0f s: %d due, %d served (%.1f/s), %d refused, %d failed, %d lost, %d unsent; served in p50 %.1f p99 %.1f p99.9 %.1f max %.1f ms; the load's own lag p99 %.1f ms",
		r.LengthS, r.Due, r.Outcomes["served"], r.RateS, r.Outcomes["refused"], r.Outcomes["failed"], r.Outcomes["lost"], r.Unsent,
		r.Served.P50, r.Served.P99, r.Served.P999, r.Served.Max, r.LagMS)
}
