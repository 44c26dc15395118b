package model

import (
	"os"
	"testing"

	"barleywick/internal/testing/modelcheck"
)

var long = os.Getenv("BARLEYWICK_LONG") != ""

// searchSetups are the worlds that are searched through.
var searchSetups = map[string]Setup{
	"a change":        {Sidecars: 2, MaxProposals: 1, MaxInFlight: 3, Leaders: 1, MaxLosses: 1},
	"one comes":       {Sidecars: 2, MaxProposals: 1, MaxInFlight: 3, Leaders: 1, MaxRestarts: 1},
	"one cannot":      {Sidecars: 1, MaxUnsupported: 1, MaxInFlight: 2, Leaders: 1, MaxRestarts: 1},
	"one is cut off":  {Sidecars: 2, MaxProposals: 1, MaxInFlight: 2, Leaders: 1, MaxTicks: 2},
	"a few ahead":     {Sidecars: 2, MaxProposals: 1, MaxInFlight: 2, Leaders: 1, MaxTicks: 1, Canaries: 1},
	"an early return": {Sidecars: 3, MaxProposals: 1, MaxInFlight: 3, Leaders: 2, MaxLeaves: 1},
}

func TestProofBySearch(t *testing.T) {
	depth, most := 40, 60_000
	if long {
		depth, most = 60, 2_000_000
	}
	for name, s := range searchSetups {
		t.Run(name, func(t *testing.T) {
			var seen Counts
			states, full, found := modelcheck.Search(New(s), depth, most, func(w *World) {
				seen.add(w.checker.Counts)
				w.checker.Counts = Counts{}
			})
			if found != nil {
				t.Fatal(found)
			}
			t.Logf("%d states, all to depth %d; judged: %+v", states, full, seen)
			if states < 1000 || seen.Acting == 0 || seen.Joint == 0 && full < 14 {
				t.Errorf("too little was judged: %d states to depth %d, %+v", states, full, seen)
			}
		})
	}
}

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
		seen, found := Walk(s, seed, 200)
		if found != nil {
			t.Fatalf("seed %d: %v", seed, found)
		}
		all.add(seen)
	}
	t.Logf("%d schedules; judged: %+v", walks, all)
	if all.Commits < walks/8 || all.Joint < 5*walks || all.Acting < 50*walks || all.Faults < 5*walks {
		t.Errorf("too little was judged: %+v", all)
	}
}
