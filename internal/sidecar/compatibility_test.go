package sidecar

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"barleywick/internal/sidecar/counters"
	"barleywick/internal/sidecar/upstream"
	"barleywick/internal/testing/fixture"
	"barleywick/policy"
)

// The files in testdata/396a775 were written by the code of that commit, the last one before identifiers
// were renamed. Data that it stored or sent must still be readable, and data that is stored or sent now
// must be the same byte for byte.

// The names of these counters are label values of metrics.
func TestCounterNamesAreThoseOf396a775(t *testing.T) {
	var got strings.Builder
	for _, counts := range []any{clientCounters{}, listenerState{}, upstream.Counters{}, upstream.State{}, policy.Counters{}} {
		text, err := json.Marshal(slices.Sorted(maps.Keys(counters.Values(counts))))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%s\n", text)
	}
	if want := fixture.ReadString(t, "metrics/counters.jsonl"); got.String() != want {
		t.Errorf("got\n%s\nwant\n%s", got.String(), want)
	}
}

// Tools and operators read the texts that /health/ready serves.
func TestPhaseTextsAreThoseOf396a775(t *testing.T) {
	var got strings.Builder
	for _, p := range []phase{phaseStarting, phaseServing, phaseDraining, phaseFinishing, phaseEnded, phaseWithoutPolicy} {
		fmt.Fprintln(&got, p)
	}
	if want := fixture.ReadString(t, "health/phases.txt"); got.String() != want {
		t.Errorf("got\n%s\nwant\n%s", got.String(), want)
	}
}
