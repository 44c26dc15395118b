package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// preset is a scenario that has a name.
type preset struct {
	about    string
	troubles []Trouble
	change   func(*Scenario)
}

// presets are the days that can be played by name. Their figures are those that the
// operators' records give for such days, in the middle of the range.
var presets = map[string]preset{
	"calm": {about: "no fault; a burst of half as much again",
		troubles: []Trouble{{Name: "burst", At: at(12), For: at(6), Size: 1.5}},
		change:   func(s *Scenario) { s.Load = 0.6 }},
	"roll": {about: "half of the servers are replaced while all sidecars are restarted",
		troubles: []Trouble{{Name: "replace", At: at(4), For: at(20), Part: 0.5, Size: 5, Extra: at(4)}, {Name: "roll", At: at(5), For: at(18), Part: 1, Extra: at(0.3)}}},
	"herd": {about: "seven in ten sidecars are killed at once, some servers are replaced, the list is short of time",
		troubles: []Trouble{{Name: "herd", At: at(11.5), Part: 0.7, Extra: at(0.5)}, {Name: "replace", At: at(10), For: at(5), Part: 0.15, Size: 1, Extra: at(4)}, {Name: "slow", At: at(8), For: at(15), Part: 0.12, Size: 5}},
		change:   func(s *Scenario) { s.List.PerMS *= overbooked }},
	"zone": {about: "a zone is lost for 5 s and returns cold; some servers fail",
		troubles: []Trouble{{Name: "zone_lost", At: at(8), For: at(5), Zone: 1}, {Name: "fast_errors", At: at(6), For: at(16), Part: 0.12, Size: 0.6}}},
	"split": {about: "a zone is cut off for 6 s, lists come late, some connections break",
		troubles: []Trouble{{Name: "partition", At: at(10), For: at(6), Zone: 1}, {Name: "stale_list", At: at(8), For: at(12), Extra: at(2)}, {Name: "reset", At: at(6), For: at(18), Part: 0.02}}},
	"join": {about: "six in ten servers are replaced within 7 s; some answers are spoilt",
		troubles: []Trouble{{Name: "replace", At: at(8), For: at(7), Part: 0.6, Size: 2, Extra: at(4)}, {Name: "spoilt", At: at(5), For: at(20), Part: 0.01}},
		change:   func(s *Scenario) { s.Clients.Leave = 0.05 }},
	"slow": {about: "a fifth of the servers run five times slower",
		troubles: []Trouble{{Name: "slow", At: at(6), For: at(15), Part: 0.2, Size: 5}}},
	"errors": {about: "a sixth of the servers fail most requests at once",
		troubles: []Trouble{{Name: "fast_errors", At: at(6), For: at(15), Part: 0.16, Size: 0.7}}},
	"neighbour": {about: "something else takes half of a third of the machines, on and off",
		troubles: []Trouble{{Name: "neighbour", At: at(6), For: at(15), Part: 0.33, Size: 0.5, Extra: at(3)}}},
	"heavy": {about: "one in fifty of one class's requests costs fifteen times the usual work",
		troubles: []Trouble{{Name: "heavy_tail", At: at(6), For: at(15), Part: 0.02, Size: 15}}},
	"vanish": {about: "a fifth of the servers fall silent for 6 s",
		troubles: []Trouble{{Name: "vanish", At: at(10), For: at(6), Part: 0.2}}},
	"blind": {about: "the list is down while servers are killed and come back",
		troubles: []Trouble{{Name: "list_down", At: at(6), For: at(10)}, {Name: "kill", At: at(8), For: at(5), Part: 0.15}}},
	"surge": {about: "four times as much is asked for 8 s, and three in ten servers are killed meanwhile",
		troubles: []Trouble{{Name: "burst", At: at(8), For: at(8), Size: 4}, {Name: "kill", At: at(12), For: at(3), Part: 0.3}}},
	"greedy": {about: "one tenant asks for a hundred times its share for 12 s; a task gives the fleet's word, and is lost for 4 s",
		troubles: []Trouble{{Name: "burst", At: at(8), For: at(12), Size: 100, Tenant: "tenant-7"}, {Name: "no_advice", At: at(12), For: at(4), Part: 1}},
		change:   func(s *Scenario) { s.Advice = true }},
	"overload": {about: "more is asked for than all servers can do, to the end",
		change: func(s *Scenario) { s.Load = 1.4 }},
}

const (
	// keysEach is how many keys there are for each server: the operators state 400 to
	// 1,000 for 8 to 10. With a fixed number a large fleet would have them all warm.
	keysEach = 75
	// callsEach is how many calls for the whole list the service bears in a second for
	// each sidecar. The operators' drawn days state between one and two.
	callsEach = 1.4
	// overbooked is what is left of that where it has too many callers: a call takes
	// some 75 ms for 80 sidecars then.
	overbooked = 0.12
)

func at(seconds float64) Span { return span(seconds * 1000) }

// PresetNames lists the scenarios that have a name, sorted, each with what happens.
func PresetNames() (names []string, about map[string]string) {
	about = make(map[string]string, len(presets))
	for name, p := range presets {
		names = append(names, name)
		about[name] = p.about
	}
	slices.Sort(names)
	return names, about
}

// Preset is the scenario of that name, for a fleet of a size.
func Preset(name string, sidecars, servers int) (*Scenario, error) {
	p, known := presets[name]
	if !known {
		names, _ := PresetNames()
		return nil, fmt.Errorf("there is no scenario %q; there are %s", name, strings.Join(names, ", "))
	}
	s := Base()
	s.Name, s.Sidecars, s.Servers, s.Troubles = name, sidecars, servers, slices.Clone(p.troubles)
	// The service has grown with the fleet, as the operators' has.
	s.List.PerMS = callsEach * float64(sidecars) * float64(s.List.PerCall+servers) / 1000
	s.Keys.Count = keysEach * servers
	if p.change != nil {
		p.change(s)
	}
	return s, s.Check()
}

// Stretch changes the length of a scenario, with the times of its troubles.
func (s *Scenario) Stretch(length time.Duration) {
	f := length.Seconds() / s.Length.seconds()
	s.Length = Span(length)
	for i := range s.Troubles {
		t := &s.Troubles[i]
		t.At, t.For = Span(float64(t.At)*f), Span(float64(t.For)*f)
	}
}
