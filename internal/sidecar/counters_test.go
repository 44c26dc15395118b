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
)

// The names of the counters are label values of metrics and appear in the log: operators' dashboards and
// searches depend on them, so they must not change when Go fields are renamed.
func TestCounterNamesAreStable(t *testing.T) {
	for _, c := range []struct {
		counters any
		names    string
	}{
		{clientCounters{}, "Accepted Admitted Waited Refused GivenUpIdle GivenUpSilent OverIdle Silent Vanished Drained Dismissed"},
		{listenerState{}, "Open HalfOpen Idle Waiting"},
		{upstream.Counters{}, "Reused Opened DialFailed Waited LeftWaiting Evicted Expired Unneeded Stale Distrusted Retired Drained Excess Repeated ShortRest Local"},
		{upstream.State{}, "Open Idle Resting Handshakes Waiting"},
	} {
		names := strings.Fields(c.names)
		logged, encoded := make([]string, len(names)), make([]string, len(names))
		for i, name := range names {
			logged[i], encoded[i] = name+":0", fmt.Sprintf("%q:0", name)
		}
		if got, want := fmt.Sprintf("%+v", c.counters), "{"+strings.Join(logged, " ")+"}"; got != want {
			t.Errorf("%T in the text log: got %s, want %s", c.counters, got, want)
		}
		text, err := json.Marshal(c.counters)
		if want := "{" + strings.Join(encoded, ",") + "}"; err != nil || string(text) != want {
			t.Errorf("%T in the JSON log: got %s, %v, want %s", c.counters, text, err, want)
		}
		slices.Sort(names)
		if got := slices.Sorted(maps.Keys(counters.Values(c.counters))); !slices.Equal(got, names) {
			t.Errorf("%T as labels: got %v, want %v", c.counters, got, names)
		}
	}
}
