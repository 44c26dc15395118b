package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// The days of a hunt: a surge and a trouble that ends with it or a little later. A fleet
// that is not well some seconds after both are over keeps itself down.
const (
	huntBegin  = 8.0  // seconds until the surge
	huntAfter  = 20.0 // that the day goes on after all is over
	huntLoad   = 0.7
	leastSurge = 1.5
	mostSurge  = 6.0
)

// HuntWithin is within how long after its troubles a day has to be back.
const HuntWithin = 5 * time.Second

// huntTroubles are what comes with a surge, each with the range of its part and size.
var huntTroubles = []struct {
	name                             string
	leastPart, mostPart, least, most float64
	extra                            float64
}{
	{name: "kill", leastPart: 0.1, mostPart: 0.4}, {name: "vanish", leastPart: 0.1, mostPart: 0.3}, {name: "zone_lost"},
	{name: "slow", leastPart: 0.1, mostPart: 0.4, least: 2, most: 8}, {name: "fast_errors", leastPart: 0.1, mostPart: 0.4, least: 0.3, most: 0.9},
	{name: "list_down"}, {name: "herd", leastPart: 0.3, mostPart: 0.8, extra: 0.5}, {name: "partition"}, {name: "reset", leastPart: 0.02, mostPart: 0.2},
}

// HuntDay draws a day of a hunt, and when its troubles are over.
func HuntDay(seed uint64, sidecars, servers int) (*Scenario, time.Duration, error) {
	s, err := Preset("calm", sidecars, servers)
	if err != nil {
		return nil, 0, err
	}
	rng := rand.New(rand.NewPCG(seed, 17))
	between := func(least, most float64) float64 { return least + rng.Float64()*(most-least) }
	surge := between(2, 15)
	over := huntBegin + surge
	s.Name, s.Load = fmt.Sprintf("hunt-%d", seed), huntLoad
	s.Troubles = []Trouble{{Name: "burst", At: at(huntBegin), For: at(surge), Size: between(leastSurge, mostSurge)}}
	if k := rng.IntN(len(huntTroubles) + 1); k < len(huntTroubles) { // or none
		x := huntTroubles[k]
		begin, length := huntBegin+between(0, surge), between(1, 8)
		s.Troubles = append(s.Troubles, Trouble{Name: x.name, At: at(begin), For: at(length), Part: between(x.leastPart, x.mostPart), Size: between(x.least, x.most), Extra: at(x.extra), Zone: rng.IntN(len(s.Zones))})
		over = max(over, begin+length)
	}
	s.Length = at(over + huntAfter)
	return s, at(over).duration(), s.Check()
}

func (s Span) duration() time.Duration { return time.Duration(s) }

// Hunted is one day of a hunt.
type Hunted struct {
	Seed     uint64        `json:"seed"`
	Scenario *Scenario     `json:"-"`
	Over     time.Duration `json:"over_ns"` // its troubles, by the day's clock
	Back     time.Duration `json:"back_ns"` // after that; as long as the day went on where it never was
	Never    bool          `json:"never,omitempty"`
	Goodput  float64       `json:"goodput"`
	Broken   []string      `json:"broken,omitempty"`
	Troubles []Trouble     `json:"troubles"`
}

// Hunt plays the day of a seed.
func Hunt(ctx context.Context, seed uint64, sidecars, servers int, decide Make) (*Hunted, error) {
	sc, over, err := HuntDay(seed, sidecars, servers)
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
	h := &Hunted{Seed: seed, Scenario: sc, Over: over, Goodput: r.Goodput, Broken: r.Broken, Troubles: sc.Troubles}
	var back bool
	if h.Back, back = r.Back(over); !back {
		h.Back, h.Never = at(huntAfter).duration(), true
	}
	return h, nil
}
