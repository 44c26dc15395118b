package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"barleywick/policy"
)

func runScenario(t testing.TB, sc *Scenario, seed uint64, decide DeciderFactory) *Record {
	t.Helper()
	s, err := NewSim(sc, seed, decide)
	if err != nil {
		t.Fatal(err)
	}
	r, err := s.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func presetScenario(t testing.TB, name string, sidecars, servers int) *Scenario {
	t.Helper()
	sc, err := Preset(name, sidecars, servers)
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

// In every preset the decision module keeps the rules with enough requests to check, and the same seed gives
// exactly the same record.
func TestEveryScenarioKeepsTheRulesAndIsReproducible(t *testing.T) {
	names, _ := PresetNames()
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			recordJSON := func(seed uint64) string {
				r := runScenario(t, presetScenario(t, name, 30, 20), seed, NewBalancer)
				if len(r.ViolationTexts) > 0 {
					t.Errorf("seed %d: got violations %v %v, want none", seed, r.Violations, r.ViolationTexts)
				}
				if r.Checked.Answers < 5000 || r.Goodput < 0.5 || r.Goodput > 1 || r.Result > r.Goodput+1e-9 {
					t.Errorf("seed %d: got %+v, want at least 5000 answers, goodput from 0.5 to 1, and a result not above it", seed, r.Line())
				}
				if ended := r.ServedRequests + r.Refused + r.Failed + r.Abandoned; ended > r.Requests || ended < r.Requests*9/10 {
					t.Errorf("seed %d: %d of %d calls ended, want at least 9 in 10", seed, ended, r.Requests)
				}
				checkLosses(t, r)
				out, err := json.Marshal(r)
				if err != nil {
					t.Fatal(err)
				}
				return string(out)
			}
			first := recordJSON(3)
			if recordJSON(3) != first {
				t.Error("the same seed gave a different record")
			}
			if recordJSON(4) == first {
				t.Error("a different seed gave the same record")
			}
		})
	}
}

// unsafeClass is the index of the non-idempotent class. Its attempts may be repeated only if they did not run.
const unsafeClass = 1

// checkLosses checks that the losses add up to the weight that was not served, and the costs to TotalCost.
func checkLosses(t *testing.T, r *Record) {
	t.Helper()
	requested, served, lost, costs := 0.0, 0.0, 0.0, 0.0
	for _, c := range r.Classes {
		requested, served = requested+c.Requested, served+c.Served
	}
	for _, cause := range r.Causes() {
		lost += r.LostWeight[cause]
	}
	for _, p := range r.Costs {
		costs += p
	}
	if math.Abs(requested-served-lost) > 1e-6*requested || lost <= 0 {
		t.Errorf("requested %v, served %v, but the losses add up to %v: %v", requested, served, lost, r.LostWeight)
	}
	if math.Abs(costs-r.TotalCost) > 1e-9 {
		t.Errorf("total cost is %v, but its parts are %v", r.TotalCost, r.Costs)
	}
}

// The losses of each scenario include the cause that its fault leads to.
func TestLossCauseMatchesFault(t *testing.T) {
	for name, cause := range map[string]string{
		"herd": causeKilled, "errors": causeError, "vanish": causeUnreachable, "overload": causeShed, "heavy": causeLateWork, "slow": causeLateSlow,
		"zone": causeBroken, "split": causeUnreachable, "join": causeMalformed,
	} {
		if r := runScenario(t, presetScenario(t, name, 30, 20), 1, NewBalancer); r.LostWeight[cause] == 0 {
			t.Errorf("%s: no loss with the cause %q: %v", name, cause, r.LostWeight)
		}
	}
}

// interceptor sits between a decision module and its host, and modifies actions and endpoint lists.
type interceptor struct {
	*policy.Balancer
	policy.Host
	classes      map[policy.RequestID]int
	unsafeTarget policy.ServerID // target of all attempts of the non-idempotent class; 0: unchanged
	send         func(m *interceptor, id policy.RequestID, to policy.ServerID, timeout time.Duration)
	neverPolls   bool // never polls the endpoint list
	refuse       func(m *interceptor, id policy.RequestID, pause time.Duration)
	list         func(kind policy.ListKind, entries []policy.Endpoint) []policy.Endpoint
}

func (m *interceptor) Wake(d time.Duration) { m.Host.Wake(d) }

func (m *interceptor) WatchList() {
	if !m.neverPolls {
		m.Host.WatchList()
	}
}

func (m *interceptor) Send(id policy.RequestID, to policy.ServerID, timeout, start time.Duration) {
	if class, known := m.classes[id]; m.unsafeTarget != 0 && known && class == unsafeClass {
		to = m.unsafeTarget
	}
	m.Host.Send(id, to, timeout, start)
	if m.send != nil {
		m.send(m, id, to, timeout)
	}
}

func (m *interceptor) Refuse(id policy.RequestID, pause time.Duration) {
	if m.refuse != nil {
		m.refuse(m, id, pause)
		return
	}
	m.Host.Refuse(id, pause)
}

// interceptedDecider is the interceptor as a Decider.
type interceptedDecider struct{ *interceptor }

func (d interceptedDecider) Wake(now time.Duration) { d.Balancer.Wake(now) }

func (d interceptedDecider) Request(now time.Duration, q policy.Request) {
	d.classes[q.ID] = q.Class
	d.Balancer.Request(now, q)
}

func (d interceptedDecider) List(now time.Duration, kind policy.ListKind, entries []policy.Endpoint) {
	if d.list != nil {
		entries = d.list(kind, slices.Clone(entries))
	}
	d.Balancer.List(now, kind, entries)
}

// intercepting returns a factory that wraps each decision module in an interceptor.
func intercepting(intercept func(*interceptor)) DeciderFactory {
	return func(b DeciderOptions) (Decider, error) {
		m := &interceptor{Host: b.Host, classes: make(map[policy.RequestID]int)}
		intercept(m)
		var err error
		m.Balancer, err = policy.New(b.Config, b.Seed, m)
		return interceptedDecider{m}, err
	}
}

// The Checker finds a deliberate violation of each rule and reports no other rule.
func TestCheckerFindsEachViolation(t *testing.T) {
	overload := presetScenario(t, "overload", 10, 8)
	join := presetScenario(t, "join", 10, 20)
	drained := presetScenario(t, "calm", 10, 20)
	drained.Faults = []Fault{{Name: "replace", Start: fromSeconds(2), Duration: fromSeconds(2), Part: 0.5, Extra: fromSeconds(28)}}
	for name, c := range map[string]struct {
		rule   int
		sc     *Scenario
		modify func(*interceptor)
	}{
		"refusal that is not sent": {1, overload, func(m *interceptor) {
			m.refuse = func(*interceptor, policy.RequestID, time.Duration) {}
		}},
		"attempt after the end of the request": {1, overload, func(m *interceptor) {
			m.refuse = func(m *interceptor, id policy.RequestID, pause time.Duration) {
				m.Host.Refuse(id, pause)
				m.Host.Send(id, 1, time.Second, 0)
			}
		}},
		"non-idempotent request sent twice": {2, presetScenario(t, "calm", 10, 8), func(m *interceptor) {
			m.send = func(m *interceptor, id policy.RequestID, to policy.ServerID, timeout time.Duration) {
				if m.classes[id] == unsafeClass && id%50 == 0 {
					m.Host.Send(id, to, timeout, 0)
				}
			}
		}},
		"refusal of a running request": {2, presetScenario(t, "calm", 10, 8), func(m *interceptor) {
			m.send = func(m *interceptor, id policy.RequestID, _ policy.ServerID, _ time.Duration) {
				if id%50 == 0 {
					m.Host.Refuse(id, 0)
				}
			}
		}},
		"attempts to draining servers": {3, presetScenario(t, "roll", 10, 20), func(m *interceptor) {
			m.list = func(kind policy.ListKind, entries []policy.Endpoint) []policy.Endpoint {
				for i := range entries {
					entries[i].State = policy.Ready
				}
				return entries
			}
		}},
		"attempts to draining servers without polls": {3, drained, func(m *interceptor) { m.neverPolls = true }},
		"overload of a server in slow start": {4, join, func(m *interceptor) {
			m.list = func(_ policy.ListKind, entries []policy.Endpoint) []policy.Endpoint {
				for _, e := range entries {
					switch {
					case e.State != policy.Ready && e.ID == m.unsafeTarget:
						m.unsafeTarget = 0
					case e.State == policy.Ready && e.Started > 0:
						m.unsafeTarget = e.ID
					}
				}
				return entries
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, c.sc, 1, intercepting(c.modify))
			for rule, n := range r.Violations {
				if (n > 0) != (rule == c.rule) {
					t.Errorf("rule %d: got %d violations, want some of rule %d only", rule, n, c.rule)
				}
			}
			if len(r.ViolationTexts) == 0 || !strings.HasPrefix(r.ViolationTexts[0], "rule ") {
				t.Errorf("got violation texts %v, want at least one", r.ViolationTexts)
			}
		})
	}
	t.Run("no modification", func(t *testing.T) {
		if r := runScenario(t, join, 1, intercepting(func(*interceptor) {})); len(r.ViolationTexts) > 0 {
			t.Error(r.ViolationTexts)
		}
	})
}

// A graceful shutdown of all sidecars loses none of their accepted requests; a kill does.
func TestGracefulShutdownAnswersAcceptedRequests(t *testing.T) {
	graceful, killed := presetScenario(t, "calm", 10, 8), presetScenario(t, "calm", 10, 8)
	graceful.Faults = []Fault{{Name: "roll", Start: fromSeconds(5), Duration: fromSeconds(10), Part: 1, Extra: fromSeconds(0.3)}}
	killed.Faults = []Fault{{Name: "herd", Start: fromSeconds(5), Part: 1, Extra: fromSeconds(0.3)}}
	a, b := runScenario(t, graceful, 1, NewBalancer), runScenario(t, killed, 1, NewBalancer)
	if a.Restarts != 10 || b.Restarts != 10 || len(a.ViolationTexts) > 0 {
		t.Fatalf("got %d and %d restarts, violations %v; want 10 each and none", a.Restarts, b.Restarts, a.ViolationTexts)
	}
	if a.LostWeight[causeKilled] > 0 || b.LostWeight[causeKilled] == 0 {
		t.Errorf("weight lost with a killed sidecar: %v in a graceful shutdown, %v in a kill; want 0 and more than 0", a.LostWeight[causeKilled], b.LostWeight[causeKilled])
	}
}

func TestFaultsForRealSocketsAreRefused(t *testing.T) {
	sc := presetScenario(t, "calm", 3, 3)
	sc.Faults = []Fault{{Name: "bad_clients", Size: 1}}
	if _, err := NewSim(sc, 1, NewBalancer); err == nil || !strings.Contains(err.Error(), "troubles[0]: bad_clients is for real sockets only") {
		t.Errorf("got error %v, want one that names the fault", err)
	}
}

// A run without requests proves nothing and must fail.
func TestRunWithoutRequestsFails(t *testing.T) {
	sc := presetScenario(t, "slow", 3, 4)
	sc.Load = 0
	if r := runScenario(t, sc, 1, NewBalancer); len(r.ViolationTexts) != 1 || !strings.Contains(r.ViolationTexts[0], "nothing to check") {
		t.Errorf("got violations %v, want one that says that nothing was checked", r.ViolationTexts)
	}
}

func TestInterruptedRunIsPartial(t *testing.T) {
	s, err := NewSim(presetScenario(t, "calm", 10, 8), 1, NewBalancer)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.schedule(StartTime+10*time.Second, cancel)
	r, err := s.Run(ctx)
	if !errors.Is(err, context.Canceled) || !r.Partial || r.Requests < 300 || r.ServedRequests == 0 {
		t.Errorf("got error %v, record %+v; want a partial record of 10 s", err, r)
	}
}

// Two variants get the same calls even if they answer them differently.
func TestVariantsGetTheSameCalls(t *testing.T) {
	defaultSlots, fewSlots := presetScenario(t, "slow", 10, 8), presetScenario(t, "slow", 10, 8)
	fewSlots.Slots = 7
	a, b := runScenario(t, defaultSlots, 5, NewBalancer), runScenario(t, fewSlots, 5, NewBalancer)
	if a.Requests != b.Requests || a.offered != b.offered {
		t.Errorf("variants got %d calls (%v s of work) and %d (%v s), want the same", a.Requests, a.offered, b.Requests, b.offered)
	}
	if a.ServedRequests == b.ServedRequests {
		t.Error("both variants served the same number of requests, want variants that differ")
	}
}

// Under overload ended requests and closed connections must be released, or memory grows without bound.
func TestOverloadLeavesNoRequestsOrConnections(t *testing.T) {
	sc := presetScenario(t, "overload", 5, 4)
	s, err := NewSim(sc, 1, NewBalancer)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	for _, n := range s.nodes {
		if len(n.open) > 0 {
			t.Errorf("sidecar %d has %d open requests after the run", n.index, len(n.open))
		}
	}
	for _, sv := range s.Servers {
		idle := 0
		for _, n := range s.nodes {
			idle += len(n.idle[sv.Index])
		}
		if sv.OpenConnections != idle {
			t.Errorf("server %d has %d open connections after the run, but the sidecars have %d idle ones", sv.Index, sv.OpenConnections, idle)
		}
	}
}

// BenchmarkRun runs ten simulated seconds with fleets of several sizes. 3,000 sidecars take minutes.
func BenchmarkRun(b *testing.B) {
	for _, size := range []struct{ sidecars, servers int }{{30, 20}, {100, 67}, {300, 200}, {1000, 667}, {3000, 2000}} {
		b.Run(fmt.Sprintf("%dx%d", size.sidecars, size.servers), func(b *testing.B) {
			if size.sidecars > 300 && testing.Short() {
				b.Skip("takes minutes")
			}
			sc := presetScenario(b, "slow", size.sidecars, size.servers)
			sc.Stretch(10 * time.Second)
			requests, events := 0, 0
			for b.Loop() {
				r := runScenario(b, sc, 1, NewBalancer)
				requests, events = requests+r.Requests, events+r.Events
			}
			b.ReportMetric(float64(requests)/b.Elapsed().Seconds(), "requests/s")
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
			b.ReportMetric(sc.Length.seconds()*float64(b.N)/b.Elapsed().Seconds(), "x-real-time")
		})
	}
}
