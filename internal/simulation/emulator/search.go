package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// The scenarios of a search have a surge and possibly a further fault that starts during it. A fleet that
// has not recovered some seconds after both ended sustains its own overload (a metastable failure).
const (
	searchFaultStart     = 8.0  // seconds until the surge starts
	searchRecoveryLength = 20.0 // seconds that the run continues after the last fault
	searchLoad           = 0.7
	minSurge             = 1.5
	maxSurge             = 6.0
)

// RecoveryLimit is how long after its last fault a run may take to recover.
const RecoveryLimit = 5 * time.Second

// searchFaults are the faults that may accompany a surge, with the ranges of their parts and sizes.
var searchFaults = []struct {
	name                               string
	minPart, maxPart, minSize, maxSize float64
	extra                              float64
}{
	{name: "kill", minPart: 0.1, maxPart: 0.4}, {name: "vanish", minPart: 0.1, maxPart: 0.3}, {name: "zone_lost"},
	{name: "slow", minPart: 0.1, maxPart: 0.4, minSize: 2, maxSize: 8}, {name: "fast_errors", minPart: 0.1, maxPart: 0.4, minSize: 0.3, maxSize: 0.9},
	{name: "list_down"}, {name: "herd", minPart: 0.3, maxPart: 0.8, extra: 0.5}, {name: "partition"}, {name: "reset", minPart: 0.02, maxPart: 0.2},
}

// SearchScenario draws the scenario of a seed and returns the time at which its last fault ends.
func SearchScenario(seed uint64, sidecars, servers int) (*Scenario, time.Duration, error) {
	s, err := Preset("calm", sidecars, servers)
	if err != nil {
		return nil, 0, err
	}
	rng := rand.New(rand.NewPCG(seed, 17))
	between := func(low, high float64) float64 { return low + rng.Float64()*(high-low) }
	surge := between(2, 15)
	faultsEnd := searchFaultStart + surge
	s.Name, s.Load = fmt.Sprintf("hunt-%d", seed), searchLoad
	s.Faults = []Fault{{Name: "burst", Start: fromSeconds(searchFaultStart), Duration: fromSeconds(surge), Size: between(minSurge, maxSurge)}}
	if k := rng.IntN(len(searchFaults) + 1); k < len(searchFaults) { // otherwise no further fault
		x := searchFaults[k]
		start, length := searchFaultStart+between(0, surge), between(1, 8)
		s.Faults = append(s.Faults, Fault{Name: x.name, Start: fromSeconds(start), Duration: fromSeconds(length), Part: between(x.minPart, x.maxPart), Size: between(x.minSize, x.maxSize), Extra: fromSeconds(x.extra), Zone: rng.IntN(len(s.Zones))})
		faultsEnd = max(faultsEnd, start+length)
	}
	s.Length = fromSeconds(faultsEnd + searchRecoveryLength)
	return s, fromSeconds(faultsEnd).timeDuration(), s.Check()
}

func (s Duration) timeDuration() time.Duration { return time.Duration(s) }

// SearchResult is one run of a search.
type SearchResult struct {
	Seed           uint64        `json:"seed"`
	Scenario       *Scenario     `json:"-"`
	FaultsEnd      time.Duration `json:"over_ns"` // end of the last fault, since the start of the run
	RecoveryTime   time.Duration `json:"back_ns"` // since FaultsEnd; the rest of the run if it did not recover
	NotRecovered   bool          `json:"never,omitempty"`
	Goodput        float64       `json:"goodput"`
	ViolationTexts []string      `json:"broken,omitempty"`
	Faults         []Fault       `json:"troubles"`
}

// RunSearch runs the scenario of a seed.
func RunSearch(ctx context.Context, seed uint64, sidecars, servers int, decide DeciderFactory) (*SearchResult, error) {
	sc, faultsEnd, err := SearchScenario(seed, sidecars, servers)
	if err != nil {
		return nil, err
	}
	s, err := NewSim(sc, seed, decide)
	if err != nil {
		return nil, err
	}
	r, err := s.Run(ctx)
	if err != nil {
		return nil, err
	}
	result := &SearchResult{Seed: seed, Scenario: sc, FaultsEnd: faultsEnd, Goodput: r.Goodput, ViolationTexts: r.ViolationTexts, Faults: sc.Faults}
	var recovered bool
	if result.RecoveryTime, recovered = r.RecoveryTime(faultsEnd); !recovered {
		result.RecoveryTime, result.NotRecovered = fromSeconds(searchRecoveryLength).timeDuration(), true
	}
	return result, nil
}
