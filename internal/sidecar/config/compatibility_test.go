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
// names changed: what they mean, and what is said of mistakes in them, has to stay.
// reworded turns what 396a775 said of a configuration into today's words.
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
	"is warm after", "has all of it after",
	"connecting is given up after", "connect timeout",
	"a whole header", "a complete header",
	"barleywick-metered", "sidecar-metrics",
	"as the keepers have it", "as the controllers have it",
)

// fieldOfStruct is where the TOML library's messages name a Go type.
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
				t.Errorf("the platform's form of %s is\n%s, error %v; want\n%s", name, form, err, want)
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
		columns := regexp.MustCompile(`  +`) // their width follows from the words
		want := columns.ReplaceAllString(currentWording.Replace(fixture.ReadString(t, name+".explained.txt")), "  ")
		if text := columns.ReplaceAllString(got.String(), "  "); text != want {
			t.Errorf("%s is explained as\n%s\nwant\n%s", name, text, want)
		}
	}
}

// Each line of mutations.txt is a mistake in a configuration file, and the same line of
// mutations.golden is what 396a775 said of it.
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
		t.Errorf("%d mistakes tried, %d are in the golden file", checked, len(golden))
	}
}
