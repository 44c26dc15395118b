package model

import (
	"os"
	"testing"

	"barleywick/internal/testing/modelcheck"
)

// long is set for the modes that take minutes; docs/TESTING.md names the command.
var long = os.Getenv("BARLEYWICK_LONG") != ""

// searchSetups are the worlds that are searched.
var searchSetups = map[string]Setup{
	"a change":    {Sidecars: 2, MaxProposals: 1, MaxInFlight: 3, Leaders: 1, MaxLosses: 1},
	"a restart":   {Sidecars: 2, MaxProposals: 1, MaxInFlight: 3, Leaders: 1, MaxRestarts: 1},
	"one refuses": {Sidecars: 1, MaxUnsupported: 1, MaxInFlight: 2, Leaders: 1, MaxRestarts: 1},
	"a deadline":  {Sidecars: 2, MaxProposals: 1, MaxInFlight: 2, Leaders: 1, MaxTicks: 2},
	"canaries":    {Sidecars: 2, MaxProposals: 1, MaxInFlight: 2, Leaders: 1, MaxTicks: 1, Canaries: 1},
	"one leaves":  {Sidecars: 3, MaxProposals: 1, MaxInFlight: 3, Leaders: 2, MaxLeaves: 1},
}

// TestProofBySearch checks every order of steps to a depth.
func TestProofBySearch(t *testing.T) {
	depth, maxStates := 40, 60_000
	if long {
		depth, maxStates = 60, 2_000_000
	}
	for name, s := range searchSetups {
		t.Run(name, func(t *testing.T) {
			var seen Counts
			states, fullDepth, violation := modelcheck.Search(New(s), depth, maxStates, func(w *World) {
				seen.add(w.checker.Counts)
				w.checker.Counts = Counts{}
			})
			if violation != nil {
				t.Fatal(violation)
			}
			t.Logf("%d states, all to depth %d; checked: %+v", states, fullDepth, seen)
			if states < 1000 || seen.Acting == 0 || seen.Joint == 0 && fullDepth < 14 {
				t.Errorf("too few events were checked: got %d states to depth %d, %+v", states, fullDepth, seen)
			}
		})
	}
}

// TestProofBySchedules checks long random schedules, drawn from seeds.
func TestProofBySchedules(t *testing.T) {
	walks := 2000
	if long {
		walks = 100_000
	}
	var all Counts
	for seed := range uint64(walks) {
		s := Setup{
			Sidecars: 3, MaxProposals: 4, MaxInFlight: 6, MaxLosses: 10, MaxRestarts: 3, MaxLeaves: 2, MaxAborts: 1, MaxEvictions: 1, MaxUnsupported: int(seed % 2), MaxTicks: 6,
			MaxRestores: int(seed % 3 / 2), Leaders: 2, Canaries: int(seed % 3),
		}
		seen, violation := Walk(s, seed, 200)
		if violation != nil {
			t.Fatalf("seed %d: %v", seed, violation)
		}
		all.add(seen)
	}
	t.Logf("%d schedules; checked: %+v", walks, all)
	if all.Commits < walks/8 || all.Joint < 5*walks || all.Acting < 50*walks || all.Faults < 5*walks {
		t.Errorf("too few events were checked: %+v", all)
	}
}
