package model

import (
	"os"
	"testing"
	"time"
)

// long is set for the modes that take minutes; docs/TESTING.md names the command.
var long = os.Getenv("BARLEYWICK_LONG") != ""

// searchSetups are the worlds that are searched. A time to live of two ticks is the
// shortest in which a holder can act at two moments and lose its lease between two more.
var searchSetups = map[string]Setup{
	"two holders": {Holders: 2, Leases: 1, TTL: 2 * time.Second, Tick: time.Second, MaxInFlight: 3, MaxDuplicates: 1, MaxLosses: 1, MaxElections: 1, EndTime: 5 * time.Second},
	"clocks a tenth apart": {
		Holders: 2, Leases: 1, TTL: 2 * time.Second, Tick: time.Second, MaxInFlight: 2, MaxElections: 1, EndTime: 5 * time.Second, ClockRates: []int64{900, 1000, 1000},
	},
	"one name":      {Holders: 2, Leases: 1, TTL: 2 * time.Second, Tick: time.Second, MaxInFlight: 3, EndTime: 4 * time.Second, SharedName: true},
	"an old backup": {Holders: 2, Leases: 1, TTL: 2 * time.Second, Tick: time.Second, MaxInFlight: 2, MaxRestores: 1, EndTime: 4 * time.Second},
	// No time passes here, so that orders of calls are searched to a greater depth.
	"late calls":        {Holders: 2, Leases: 1, TTL: 2 * time.Second, Tick: time.Second, MaxInFlight: 3, MaxDuplicates: 1},
	"restarted holders": {Holders: 2, Leases: 1, TTL: 2 * time.Second, Tick: time.Second, MaxInFlight: 2, MaxRestarts: 2, MaxElections: 1, EndTime: 5 * time.Second},
}

// TestProofBySearch checks every order of steps to a depth.
func TestProofBySearch(t *testing.T) {
	depth, maxStates := 16, 150_000
	if long {
		depth, maxStates = 40, 3_000_000
	}
	for name, s := range searchSetups {
		t.Run(name, func(t *testing.T) {
			states, fullDepth, seen, violation := Search(s, depth, maxStates)
			if violation != nil {
				t.Fatal(violation)
			}
			t.Logf("%d states, all to depth %d; checked: %+v", states, fullDepth, seen)
			if fullDepth < 8 || states < 10_000 || seen.Grants == 0 || seen.Acts == 0 || seen.Writes == 0 {
				t.Errorf("too few events were checked: got %d states to depth %d, %+v", states, fullDepth, seen)
			}
		})
	}
}

// TestProofBySchedules checks long random schedules, drawn from seeds.
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
		seen, violation := Walk(s, seed, 400)
		if violation != nil {
			t.Fatalf("seed %d: %v", seed, violation)
		}
		all.add(seen)
	}
	t.Logf("%d schedules; checked: %+v", walks, all)
	if all.Grants < 5*walks || all.Acts < 50*walks || all.Writes < 5*walks || all.Refused == 0 || all.Faults < 10*walks {
		t.Errorf("too few events were checked: %+v", all)
	}
}
