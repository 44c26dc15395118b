package emulator

import (
	"encoding/json"
	"reflect"
	"testing"

	"barleywick/internal/settings"
)

// A sidecar that reads the emulator's settings is configured as the emulated one is.
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
				if c.Idempotency != 1 { // the group of a class whose repeats nobody drops says nothing
					want.Classes[i].DedupScope = got.Classes[i].DedupScope
				}
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("%s, sidecar %d:\n got %+v\nwant %+v", name, sidecar, got, want)
			}
		}
	}
}
