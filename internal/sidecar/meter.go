package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"reflect"
	"time"

	"barleywick/policy"
)

// Meter takes what is measured of a sidecar and serves it. Its methods may be called
// concurrently; Answered is called by the loop and must not wait.
type Meter interface {
	// Answered takes a request's end.
	Answered(class, tenant, outcome string, took time.Duration)
	// Serve answers for metrics on ln until ctx ends, taking the state at each
	// scrape from state.
	Serve(ctx context.Context, ln net.Listener, state func(context.Context) (State, error)) error
}

// State is how a sidecar stands at a moment.
type State struct {
	Open         int // requests
	Compartments []Compartment
	Servers      map[string]map[string]int // by zone and health: how many are listed
	ListAge      time.Duration             // since the last news of the list
	Decided      policy.Counters
	Clients      map[string]float64 // connections, by state
	Upstreams    map[string]float64
	ClientEvents map[string]float64 // what was counted of connections so far
	PoolEvents   map[string]float64
	Gate         GateCounters // what may be done now, and what was done past it
	Policy       *PolicyState // nil where the configuration names none
	Jam          float64      // what answers took of their aims lately
	Word         *WordState   // the fleet's on an overload; nil where the configuration names none
}

// Compartment is the state of one tenant's.
type Compartment struct {
	Tenant               string
	SlotsFree, QueueFree int
}

// asked is the event that asks the loop for its part of the state.
type asked struct{ state chan<- State }

var errEnded = errors.New("the sidecar has ended")

// state asks the loop how things stand.
func (l *loop) state(ctx context.Context) (State, error) {
	answer := make(chan State, 1)
	select {
	case l.events <- asked{answer}:
	case <-l.life.Done():
		return State{}, errEnded
	case <-ctx.Done():
		return State{}, ctx.Err()
	}
	select {
	case s := <-answer:
		return s, nil
	case <-l.life.Done():
		return State{}, errEnded
	case <-ctx.Done():
		return State{}, ctx.Err()
	}
}

// stand is the loop's part of the state.
func (l *loop) stand() State {
	s := State{Open: len(l.requests), Gate: l.up.gate.counters(), Jam: l.b.Congestion(l.now), Decided: l.b.Counters(), Servers: make(map[string]map[string]int)}
	if l.heardAt > 0 {
		s.ListAge = l.now - l.heardAt
	}
	if l.policy != nil {
		p := l.policy()
		s.Policy = &p
	}
	if l.word != nil {
		w := l.word()
		s.Word = &w
	}
	for i, name := range l.tenantNames() {
		s.Compartments = append(s.Compartments, Compartment{name, l.b.SlotsFree(i), l.b.QueueFree(i)})
	}
	for _, h := range l.hosts {
		zone := s.Servers[h.entry.Site]
		if zone == nil {
			zone = make(map[string]int)
			s.Servers[h.entry.Site] = zone
		}
		zone[h.entry.Health]++
	}
	return s
}

// tenantNames are the names of the compartments.
func (l *loop) tenantNames() []string {
	if len(l.config.Tenants) == 0 {
		return []string{""}
	}
	return l.config.Tenants
}

// Outcomes of requests, as metrics and the log name them.
const (
	outcomeServed  = "served"
	outcomeRefused = "refused"
	outcomeFailed  = "failed"
	outcomeLeft    = "left"
)

// outcomeOf names what an answer's status says.
func outcomeOf(status int) string {
	switch status {
	case http.StatusOK:
		return outcomeServed
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return outcomeRefused
	}
	return outcomeFailed
}

// told tells meter and log of a request's end.
func (l *loop) told(r *request, outcome string) {
	if l.config.Meter == nil && !l.trace {
		return
	}
	took := time.Since(r.began)
	class, tenant := l.config.Classes[r.class], l.tenantNames()[r.tenant]
	if l.config.Meter != nil {
		l.config.Meter.Answered(class, tenant, outcome, took)
	}
	if l.trace {
		slog.Debug("request ended", "request", r.name, "class", class, "tenant", tenant, "outcome", outcome, "attempts", len(r.attempts), "took", took)
	}
}

// traceAttempt logs the end of an attempt, with its request's id.
func (l *loop) traceAttempt(a *attempt, end policy.Ending) {
	if !l.trace {
		return
	}
	host := ""
	if a.host != nil {
		host = a.host.entry.Host
	}
	slog.Debug("attempt ended", "request", a.req.name, "attempt", a.number, "host", host, "ending", endingNames[end], "took", time.Since(a.began))
}

// endingNames are the module's endings in words.
var endingNames = map[policy.Ending]string{
	policy.Served: "served", policy.Errored: "error", policy.Rejected: "turned away", policy.TimedOut: "timed out",
	policy.NoConnection: "no connection", policy.Broken: "broken", policy.Cancelled: "called off", policy.NotSent: "not sent",
}

// numbers turns a struct of counts into a map by the fields' names.
func numbers(counts any) map[string]float64 {
	v := reflect.ValueOf(counts)
	m := make(map[string]float64, v.NumField())
	for i := range v.NumField() {
		f := v.Field(i)
		if f.CanUint() {
			m[v.Type().Field(i).Name] = float64(f.Uint())
		} else {
			m[v.Type().Field(i).Name] = float64(f.Int())
		}
	}
	return m
}

// meter serves metrics where the configuration names an address for them.
func meter(ctx context.Context, c *Config, l *loop, listener *limitedListener, p *pool) (run func(), err error) {
	if c.Meter == nil {
		return nil, nil
	}
	ln, err := net.Listen("tcp", c.Metrics.Listen)
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	state := func(ctx context.Context) (State, error) {
		s, err := l.state(ctx)
		if err != nil {
			return s, err
		}
		count, now := listener.counters()
		s.ClientEvents, s.Clients = numbers(count), numbers(now)
		poolCount, poolNow := p.counters()
		s.PoolEvents, s.Upstreams = numbers(poolCount), numbers(poolNow)
		return s, nil
	}
	return func() {
		if err := c.Meter.Serve(ctx, ln, state); err != nil {
			slog.Error("metrics", "err", err)
		}
	}, nil
}

// Decisions are the module's counters by name.
func (s State) Decisions() map[string]float64 { return numbers(s.Decided) }
