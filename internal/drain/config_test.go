package drain

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestLoadConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ctl.json")
	load := func(text string) error {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadConfig(path)
		return err
	}
	const valid = `{"registry":["127.0.0.1:1"],"floor":{"zones":{"a":2},"others":1},"longest_ms":6000}`
	if err := load(valid); err != nil {
		t.Error(err)
	}
	for name, change := range map[string][2]string{
		"unreadable":    {`{`, `(`},
		"unknown key":   {`"floor"`, `"flor"`},
		"no registry":   {`"127.0.0.1:1"`, ``},
		"no floor":      {`,"others":1`, ``},
		"no longest":    {`,"longest_ms":6000`, ``},
		"a bad floor":   {`"a":2`, `"a":-2`},
		"a short lease": {`"longest_ms"`, `"lease_ms":1,"longest_ms"`},
	} {
		if err := load(strings.Replace(valid, change[0], change[1], 1)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line", name, err)
		}
	}
	var d map[string]Drain
	if err := json.Unmarshal([]byte(`{"m":{"step":"claimed"}}`), &d); err != nil || d["m"].Step != Claimed {
		t.Error(err)
	}
}
