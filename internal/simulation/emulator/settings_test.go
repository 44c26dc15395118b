package emulator

import (
	"encoding/json"
	"reflect"
	"testing"

	"barleywick/internal/settings"
)

// A sidecar that parses the settings of a scenario gets the same policy configuration as the simulated one.
func TestSettingsMatchPolicyConfig(t *testing.T) {
	names, _ := PresetNames()
	for _, name := range names {
		sc := presetScenario(t, name, 7, 9)
		for _, sidecar := range []int{0, 1} {
			text, err := json.Marshal(sc.Settings(sidecar))
			if err != nil {
				t.Fatal(err)
			}
			s, err := settings.ParseJSON(text)
			if err != nil {
				t.Fatal(err)
			}
			got, err := s.PolicyConfig()
			if err != nil {
				t.Fatal(err)
			}
			want := sc.Policy(sc.ZoneOf(sidecar))
			for i, c := range want.Classes {
				if c.Idempotency != 1 { // without deduplication the scope has no meaning
					want.Classes[i].DedupScope = got.Classes[i].DedupScope
				}
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("%s, sidecar %d:\n got %+v\nwant %+v", name, sidecar, got, want)
			}
		}
	}
}
