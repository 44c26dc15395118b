package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// preset is a named scenario.
type preset struct {
	description string
	faults      []Fault
	adjust      func(*Scenario)
}

// presets holds the named scenarios. Sizes and times of faults are in the middle of the ranges in the
// operators' records of such faults.
var presets = map[string]preset{
	"calm": {description: "no fault; a burst of 1.5 times the traffic",
		faults: []Fault{{Name: "burst", Start: fromSeconds(12), Duration: fromSeconds(6), Size: 1.5}},
		adjust: func(s *Scenario) { s.Load = 0.6 }},
	"roll": {description: "half of the servers are replaced while all sidecars are restarted",
		faults: []Fault{{Name: "replace", Start: fromSeconds(4), Duration: fromSeconds(20), Part: 0.5, Size: 5, Extra: fromSeconds(4)}, {Name: "roll", Start: fromSeconds(5), Duration: fromSeconds(18), Part: 1, Extra: fromSeconds(0.3)}}},
	"herd": {description: "seven in ten sidecars are killed at once, some servers are replaced, the discovery service is overloaded",
		faults: []Fault{{Name: "herd", Start: fromSeconds(11.5), Part: 0.7, Extra: fromSeconds(0.5)}, {Name: "replace", Start: fromSeconds(10), Duration: fromSeconds(5), Part: 0.15, Size: 1, Extra: fromSeconds(4)}, {Name: "slow", Start: fromSeconds(8), Duration: fromSeconds(15), Part: 0.12, Size: 5}},
		adjust: func(s *Scenario) { s.List.PerMS *= overloadedListShare }},
	"zone": {description: "a zone is lost for 5 s and returns cold; some servers fail",
		faults: []Fault{{Name: "zone_lost", Start: fromSeconds(8), Duration: fromSeconds(5), Zone: 1}, {Name: "fast_errors", Start: fromSeconds(6), Duration: fromSeconds(16), Part: 0.12, Size: 0.6}}},
	"split": {description: "a zone is partitioned for 6 s, endpoint lists are delayed, some connections break",
		faults: []Fault{{Name: "partition", Start: fromSeconds(10), Duration: fromSeconds(6), Zone: 1}, {Name: "stale_list", Start: fromSeconds(8), Duration: fromSeconds(12), Extra: fromSeconds(2)}, {Name: "reset", Start: fromSeconds(6), Duration: fromSeconds(18), Part: 0.02}}},
	"join": {description: "six in ten servers are replaced within 7 s; some responses are malformed",
		faults: []Fault{{Name: "replace", Start: fromSeconds(8), Duration: fromSeconds(7), Part: 0.6, Size: 2, Extra: fromSeconds(4)}, {Name: "spoilt", Start: fromSeconds(5), Duration: fromSeconds(20), Part: 0.01}},
		adjust: func(s *Scenario) { s.Clients.AbandonRate = 0.05 }},
	"slow": {description: "a fifth of the servers run five times slower",
		faults: []Fault{{Name: "slow", Start: fromSeconds(6), Duration: fromSeconds(15), Part: 0.2, Size: 5}}},
	"errors": {description: "a sixth of the servers fail most requests at once",
		faults: []Fault{{Name: "fast_errors", Start: fromSeconds(6), Duration: fromSeconds(15), Part: 0.16, Size: 0.7}}},
	"neighbour": {description: "another process takes half of a third of the machines, on and off",
		faults: []Fault{{Name: "neighbour", Start: fromSeconds(6), Duration: fromSeconds(15), Part: 0.33, Size: 0.5, Extra: fromSeconds(3)}}},
	"heavy": {description: "one in fifty of one class's requests costs fifteen times the usual work",
		faults: []Fault{{Name: "heavy_tail", Start: fromSeconds(6), Duration: fromSeconds(15), Part: 0.02, Size: 15}}},
	"vanish": {description: "a fifth of the servers are unreachable for 6 s",
		faults: []Fault{{Name: "vanish", Start: fromSeconds(10), Duration: fromSeconds(6), Part: 0.2}}},
	"blind": {description: "the discovery service is down while servers are killed and restarted",
		faults: []Fault{{Name: "list_down", Start: fromSeconds(6), Duration: fromSeconds(10)}, {Name: "kill", Start: fromSeconds(8), Duration: fromSeconds(5), Part: 0.15}}},
	"surge": {description: "four times the traffic for 8 s; three in ten servers are killed meanwhile",
		faults: []Fault{{Name: "burst", Start: fromSeconds(8), Duration: fromSeconds(8), Size: 4}, {Name: "kill", Start: fromSeconds(12), Duration: fromSeconds(3), Part: 0.3}}},
	"greedy": {description: "one tenant sends a hundred times its share for 12 s; the fleet has overload advice, which is lost for 4 s",
		faults: []Fault{{Name: "burst", Start: fromSeconds(8), Duration: fromSeconds(12), Size: 100, Tenant: "tenant-7"}, {Name: "no_advice", Start: fromSeconds(12), Duration: fromSeconds(4), Part: 1}},
		adjust: func(s *Scenario) { s.OverloadAdvice = true }},
	"overload": {description: "more work is requested than all servers can do, until the end of the run",
		adjust: func(s *Scenario) { s.Load = 1.4 }},
}

const (
	// keysPerServer is the number of affinity keys per server: the operators state 400 to 1,000 keys for
	// 8 to 10 servers. With a fixed number of keys all of them would be warm in a large fleet.
	keysPerServer = 75
	// callsPerSidecar is how many polls for the full list the discovery service can answer per second and
	// sidecar. The operators' scenarios state between one and two.
	callsPerSidecar = 1.4
	// overloadedListShare is the fraction of that rate that an overloaded discovery service has: a poll
	// then takes some 75 ms with 80 sidecars.
	overloadedListShare = 0.12
)

func fromSeconds(seconds float64) Duration { return milliseconds(seconds * 1000) }

// PresetNames returns the names of the presets, sorted, and their descriptions.
func PresetNames() (names []string, descriptions map[string]string) {
	descriptions = make(map[string]string, len(presets))
	for name, p := range presets {
		names = append(names, name)
		descriptions[name] = p.description
	}
	slices.Sort(names)
	return names, descriptions
}

// Preset returns the named scenario for a fleet of the given size.
func Preset(name string, sidecars, servers int) (*Scenario, error) {
	p, known := presets[name]
	if !known {
		names, _ := PresetNames()
		return nil, fmt.Errorf("there is no scenario %q, want one of %s", name, strings.Join(names, ", "))
	}
	s := DefaultScenario()
	s.Name, s.Sidecars, s.Servers, s.Faults = name, sidecars, servers, slices.Clone(p.faults)
	// The discovery service's capacity grows with the fleet, as in the operators' deployment.
	s.List.PerMS = callsPerSidecar * float64(sidecars) * float64(s.List.PerCall+servers) / 1000
	s.Keys.Count = keysPerServer * servers
	if p.adjust != nil {
		p.adjust(s)
	}
	return s, s.Check()
}

// Stretch sets the length of a scenario and scales the times of its faults accordingly.
func (s *Scenario) Stretch(length time.Duration) {
	factor := length.Seconds() / s.Length.seconds()
	s.Length = Duration(length)
	for i := range s.Faults {
		t := &s.Faults[i]
		t.Start, t.Duration = Duration(float64(t.Start)*factor), Duration(float64(t.Duration)*factor)
	}
}

// DefaultScenario returns a scenario without faults; its values are in the middle of the ranges that the
// operators state for their fleet.
func DefaultScenario() *Scenario {
	s := &Scenario{
		Name: "calm", Length: Duration(30 * time.Second), Sidecars: 30, Servers: 20,
		Zones: []string{"milano-a", "torino-b"}, Load: 0.7,
		Network: Network{NearDelay: milliseconds(0.2), FarDelay: milliseconds(10), Jitter: 0.2, ConnectTimeout: milliseconds(250), IdleTimeout: milliseconds(15000), HandshakeWork: milliseconds(4), ConnectionsPerCore: 750},
		List:    ListService{RemovalDelay: milliseconds(2200), AdditionDelay: milliseconds(1200), Period: milliseconds(800), PerMS: 4, PerCall: 50, MaxWait: milliseconds(1000)},
		Clients: Clients{TrafficCV: 1, ZoneSkew: 0.15, Swing: 0.12, SwingTime: milliseconds(20000), Retries: 2, AttemptShare: 0.6, Backoff: milliseconds(300), HonourRetryAfter: 0.8, AbandonRate: 0.01},
		Classes: []Class{
			{Name: "hold-slot", Share: 0.61, Work: milliseconds(90), WorkCV: 2, Tail: "lognormal", LatencyObjective: milliseconds(1500), Deadline: milliseconds(6000), PriorityWeight: 5, LateShare: 0.5, Idempotency: "keyed", DedupScope: "zone", DedupWindow: milliseconds(4000)},
			{Name: "confirm-visit", Share: 0.39, Work: milliseconds(90), WorkCV: 2, Tail: "pareto", LatencyObjective: milliseconds(1200), Deadline: milliseconds(3000), PriorityWeight: 3, LateShare: 0.25, Idempotency: "unsafe"},
		},
		Keys:   Keys{Count: 700, Zipf: 0.75, WarmSaving: 0.5, WarmWindow: milliseconds(7000), PerCore: 16, CellSize: 6},
		Rules:  Rules{AnswerSlack: milliseconds(70), DrainGrace: milliseconds(3000), PollDeadline: milliseconds(10000), OverloadFactor: 3, OverloadWindow: milliseconds(2000), MaxAttempts: 4, RetryAfter: milliseconds(2000)},
		Prices: Prices{CrossZone: 0.026, Waste: 0.3, Probe: 0.05, Handshake: 0.08, LateFail: 0.057, OverShare: 0.1},
		Kinds: []MachineKind{
			{Name: "single-fast", Share: 0.63, Cores: 1, Speed: 1.5, SpeedCV: 0.15, Slots: 1, QueueCapacity: 26, CrowdedAt: 9, SlowStartFloor: 0.45, SlowStartWindow: milliseconds(6000), ErrorRate: 0.001, ConnectionCost: 0.25, ReportInterval: milliseconds(50), ReportNoise: 0.02},
			{Name: "dual-std", Share: 0.37, Cores: 2, Speed: 1, SpeedCV: 0.1, Slots: 1, QueueCapacity: 20, CrowdedAt: 9, SlowStartFloor: 0.45, SlowStartWindow: milliseconds(6000), ErrorRate: 0.001, ConnectionCost: 0.25, ReportInterval: milliseconds(50), ReportNoise: 0.02},
		},
	}
	for i, share := range []float64{0.2, 0.18, 0.15, 0.14, 0.13, 0.12, 0.08} {
		s.Tenants = append(s.Tenants, Tenant{Name: fmt.Sprintf("tenant-%d", i+1), Share: share, Usage: 1})
	}
	return s
}
