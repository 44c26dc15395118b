package counters

import (
	"maps"
	"testing"
)

func TestCounterNamesComeFromJSONTags(t *testing.T) {
	c := struct {
		Renamed  uint64 `json:"Old"`
		Untagged int
	}{7, -3}
	if got, want := Values(c), map[string]float64{"Old": 7, "Untagged": -3}; !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got, want := Format(c), "{Old:7 Untagged:-3}"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
