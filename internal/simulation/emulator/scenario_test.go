package emulator

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
)

func TestScenarioFileIsReadStrictly(t *testing.T) {
	s, err := ReadScenario(strings.NewReader("name = \"mine\"\nlength = \"12s\"\nsidecars = 4\n[network]\nfar = \"20ms\"\n[[troubles]]\nname = \"slow\"\nat = \"1s\"\nfor = \"2s\"\npart = 0.5\nsize = 3\n"))
	if err != nil || s.Name != "mine" || time.Duration(s.Network.FarDelay) != 20*time.Millisecond || s.Servers != DefaultScenario().Servers || len(s.Faults) != 1 {
		t.Fatalf("got scenario %+v, error %v; want the values of the file and the defaults", s, err)
	}
	for text, want := range map[string]string{
		"sidecar = 4":                    "line 1: there is no field sidecar",
		"\nsidecars = \"many\"":          "line 2: sidecars",
		"[network]\nfar = \"far\"":       "is not a duration",
		"load = -1":                      "load is -1",
		"load = nan":                     "load is NaN",
		"servers = 100000":               "servers is 100000",
		"zones = []":                     "zones is 0",
		"[[troubles]]\nname = \"flood\"": `there is no fault "flood"`,
		"[[troubles]]\nname = \"slow\"\nsize = 0.5":    "troubles[0]: slow: size is 0.5",
		"[[troubles]]\nname = \"kill\"\npart = 2":      "part is 2",
		"[[troubles]]\nname = \"kill\"\nat = \"-1s\"":  "must not be negative",
		"[[troubles]]\nname = \"partition\"\nzone = 7": "zone is 7",
		"[[classes]]\nname = \"x\"":                    "classes[0]",
		"length = ":                                    "line 1",
	} {
		_, err := ReadScenario(strings.NewReader(text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got error %v, want one line with %q", text, err, want)
		}
	}
}

// Marshalling a scenario and reading it again gives the same scenario.
func TestScenarioRoundTrip(t *testing.T) {
	names, _ := PresetNames()
	for _, name := range names {
		text, err := toml.Marshal(presetScenario(t, name, 7, 9))
		if err != nil {
			t.Fatal(err)
		}
		s, err := ReadScenario(bytes.NewReader(text))
		if err != nil {
			t.Fatalf("%s: %v\n%s", name, err, text)
		}
		again, err := toml.Marshal(s)
		if err != nil || !bytes.Equal(again, text) {
			t.Errorf("%s: error %v; the text after the round trip differs:\n%s", name, err, again)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte("name = \"x\"\nlength = \"2s\"\n[list]\nper_ms = 3.5\n[[troubles]]\nname = \"slow\"\nat = \"1s\"\nsize = 2\n"))
	f.Add([]byte("zones = [\"a\"]\n[[tenants]]\nname = \"t\"\nshare = 1\nusage = 1\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := ReadScenario(bytes.NewReader(text))
		if err == nil && s.Check() != nil {
			t.Error("ReadScenario accepted a scenario that Check rejects")
		}
		if err != nil && !strings.HasPrefix(err.Error(), "scenario: ") {
			t.Errorf("got error %v, want the prefix \"scenario: \"", err)
		}
	})
}
