package model

import (
	"os"
	"testing"

	"barleywick/internal/testing/modelcheck"
)

var long = os.Getenv("BARLEYWICK_LONG") != ""

// small are the worlds that are searched through.
var small = map[string]Setup{
	"a change":        {Sidecars: 2, Changes: 1, Messages: 3, Leaders: 1, Losses: 1},
	"one comes":       {Sidecars: 2, Changes: 1, Messages: 3, Leaders: 1, Restarts: 1},
	"one cannot":      {Sidecars: 1, Cannot: 1, Messages: 2, Leaders: 1, Restarts: 1},
	"one is cut off":  {Sidecars: 2, Changes: 1, Messages: 2, Leaders: 1, Ticks: 2},
	"a few ahead":     {Sidecars: 2, Changes: 1, Messages: 2, Leaders: 1, Ticks: 1, Canaries: 1},
	"an early return": {Sidecars: 3, Changes: 1, Messages: 3, Leaders: 2, Goodbyes: 1},
}

func TestProofBySearch(t *testing.T) {
	depth, most := 40, 60_000
	if long {
		depth, most = 60, 2_000_000
	}
	for name, s := range small {
		t.Run(name, func(t *testing.T) {
			var seen Counts
			states, full, found := modelcheck.Search(New(s), depth, most, func(w *World) {
				seen.add(w.judge.Counts)
				w.judge.Counts = Counts{}
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
			Sidecars: 3, Changes: 4, Messages: 6, Losses: 10, Restarts: 3, Goodbyes: 2, Aborts: 1, Evicts: 1, Cannot: int(seed % 2), Ticks: 6,
			Restores: int(seed % 3 / 2), Leaders: 2, Canaries: int(seed % 3),
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
