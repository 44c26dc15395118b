package model

import (
	"os"
	"testing"
	"time"
)

// long is set for the modes that take minutes; the README names the command.
var long = os.Getenv("BARLEYWICK_LONG") != ""

// searchSetups are the worlds that are searched through. A time to live of two ticks is the
// least in which a holder can act at two moments and lose its lease between two more.
var searchSetups = map[string]Setup{
	"two holders": {Holders: 2, Leases: 1, TTL: 2 * time.Second, Tick: time.Second, MaxInFlight: 3, MaxDuplicates: 1, MaxLosses: 1, MaxElections: 1, EndTime: 5 * time.Second},
	"clocks a tenth apart": {
		Holders: 2, Leases: 1, TTL: 2 * time.Second, Tick: time.Second, MaxInFlight: 2, MaxElections: 1, EndTime: 5 * time.Second, ClockRates: []int64{900, 1000, 1000},
	},
	"namesakes":     {Holders: 2, Leases: 1, TTL: 2 * time.Second, Tick: time.Second, MaxInFlight: 3, EndTime: 4 * time.Second, SharedName: true},
	"an old backup": {Holders: 2, Leases: 1, TTL: 2 * time.Second, Tick: time.Second, MaxInFlight: 2, MaxRestores: 1, EndTime: 4 * time.Second},
	// No time passes here, so that orders of calls can be followed further.
	"late calls":     {Holders: 2, Leases: 1, TTL: 2 * time.Second, Tick: time.Second, MaxInFlight: 3, MaxDuplicates: 1},
	"killed holders": {Holders: 2, Leases: 1, TTL: 2 * time.Second, Tick: time.Second, MaxInFlight: 2, MaxRestarts: 2, MaxElections: 1, EndTime: 5 * time.Second},
}

// Level (a): every order of events to a depth.
func TestProofBySearch(t *testing.T) {
	depth, most := 16, 150_000
	if long {
		depth, most = 40, 3_000_000
	}
	for name, s := range searchSetups {
		t.Run(name, func(t *testing.T) {
			states, full, seen, found := Search(s, depth, most)
			if found != nil {
				t.Fatal(found)
			}
			t.Logf("%d states, all to depth %d; judged: %+v", states, full, seen)
			if full < 8 || states < 10_000 || seen.Grants == 0 || seen.Acts == 0 || seen.Writes == 0 {
				t.Errorf("too little was judged: %d states to depth %d, %+v", states, full, seen)
			}
		})
	}
}

// Level (b): long histories drawn from seeds.
func TestProofBySchedules(t *testing.T) {
	walks := 1500
	if long {
		walks = 100_000
	}
	var all Counts
	for seed := range uint64(walks) {
		s := Setup{
			Holders: 4, Leases: 2, TTL: 8 * time.Second, Tick: 700 * time.Millisecond, MaxInFlight: 10, MaxDuplicates: 1000, MaxLosses: 1000, MaxElections: 4, MaxRestarts: 4,
			MaxRestores: int(seed % 2), EndTime: time.Hour, SharedName: seed%3 == 0,
		}
		seen, found := Walk(s, seed, 400)
		if found != nil {
			t.Fatalf("seed %d: %v", seed, found)
		}
		all.add(seen)
	}
	t.Logf("%d schedules; judged: %+v", walks, all)
	if all.Grants < 5*walks || all.Acts < 50*walks || all.Writes < 5*walks || all.Refused == 0 || all.Faults < 10*walks {
		t.Errorf("too little was judged: %+v", all)
	}
}
