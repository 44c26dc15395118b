package config

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"barleywick/internal/testing/fixture"
)

// The files in testdata/396a775 were written for and by the code of that commit, the last one before
// identifiers were renamed. Their meaning, and the errors about mistakes in them, must not change except
// for the wording below.

// currentWording replaces the wording of 396a775 by the current wording.
var currentWording = strings.NewReplacer(
	"aim 500ms", "latency objective 500ms",
	"aim 400ms", "latency objective 400ms",
	"aim 300ms", "latency objective 300ms",
	"aim 250ms", "latency objective 250ms",
	"worth", "priority weight",
	"may be repeated", "idempotent: may be repeated",
	"repeats dropped", "idempotent by key: repeats dropped",
	"must never run twice", "non-idempotent: must never run twice",
	"compartment ", "bulkhead ",
	"the first list of servers", "the first endpoint list",
	"a change of the list counts as told after", "a change of the endpoint list counts as notified after",
	"sends to a server that drains stop within", "forwarding to a draining server stops within",
	"a cold server", "a server that warms up",
	"begins at", "starts at",
	"is warm after", "has all of it after",
	"falls over at", "fails at",
	"what it can do", "its present capacity",
	"no time is set", "not set",
	"a new process may take this one's place at", "a successor process requests the hand-over at",
	"connecting is given up after", "connect timeout",
	"a whole header", "a complete header",
	"barleywick-metered", "sidecar-metrics",
	"as the keepers have it", "as in the controllers' configuration",
	"; there are free, guarded and single_shot", ", want free, guarded or single_shot",
	"; there are all, zone and cell", ", want all, zone or cell",
	"; there are push and ask", ", want push or ask",
	"; there are silent, pull and piggyback", ", want silent, pull or piggyback",
	"a part between 0 and 1 is needed", "want a fraction from 0 to 1",
	", and dedup_scope and window_ms are for guarded alone", ", but dedup_scope and window_ms apply only to guarded",
	", zones has 2", ", want an index into zones, whose length is 2",
	"39 for the rest", "39 for other purposes",
	"unknown, there are clients and servers", "unknown table, want clients or servers",
	"it cannot be named beside takeover: two processes of one sidecar have one seat",
	"cannot be combined with takeover: both processes of a sidecar would use the same roster entry",
)

// structFieldName matches the part of the TOML library's messages that names a Go type.
var structFieldName = regexp.MustCompile(`struct field \S+ of type`)

func loadFile(path string) (*Config, error) {
	return Load(func(name string) string {
		if name == "ROUTER_CONFIG" {
			return path
		}
		return ""
	})
}

func TestConfigurationFilesAreReadAsBy396a775(t *testing.T) {
	for _, name := range []string{"short.toml", "full.toml", "takeover.toml", "platform.json"} {
		path := filepath.Join("testdata", "396a775", name)
		if isTOML(path) {
			form, err := toPlatformJSON([]byte(fixture.ReadString(t, name)), randomSeed)
			if want := fixture.ReadString(t, name+".platform.json"); err != nil || string(form)+"\n" != want {
				t.Errorf("%s: got the platform's JSON\n%s, error %v; want\n%s", name, form, err, want)
			}
		}
		c, err := loadFile(path)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		var got bytes.Buffer
		if err := c.Explain(&got); err != nil {
			t.Fatal(err)
		}
		columns := regexp.MustCompile(`  +`) // column widths depend on the wording
		want := columns.ReplaceAllString(currentWording.Replace(fixture.ReadString(t, name+".explained.txt")), "  ")
		if text := columns.ReplaceAllString(got.String(), "  "); text != want {
			t.Errorf("%s: got explanation\n%s\nwant\n%s", name, text, want)
		}
	}
}

// Each line of mutations.txt changes a configuration file into an invalid one. The same line of
// mutations.golden is the error that 396a775 returned for it.
func TestConfigurationErrorsMatch396a775(t *testing.T) {
	golden := strings.Split(strings.TrimSuffix(fixture.ReadString(t, "mutations.golden"), "\n"), "\n")
	checked := 0
	for line := range strings.Lines(fixture.ReadString(t, "mutations.txt")) {
		line = strings.TrimSuffix(line, "\n")
		if strings.HasPrefix(line, "#") {
			continue
		}
		file, change, _ := strings.Cut(line, ": ")
		from, to, _ := strings.Cut(change, " => ")
		text := strings.Replace(fixture.ReadString(t, file), from, strings.ReplaceAll(to, "|", "\n"), 1)
		dir := t.TempDir()
		path := filepath.Join(dir, file)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := loadFile(path)
		got := structFieldName.ReplaceAllString(strings.ReplaceAll(fmt.Sprint(err), dir+"/", ""), "struct field of type")
		want := structFieldName.ReplaceAllString(currentWording.Replace(golden[checked]), "struct field of type")
		if got != want {
			t.Errorf("%s:\ngot  %s\nwant %s", line, got, want)
		}
		checked++
	}
	if checked != len(golden) {
		t.Errorf("got %d mistakes in mutations.txt, want %d as in mutations.golden", checked, len(golden))
	}
}
