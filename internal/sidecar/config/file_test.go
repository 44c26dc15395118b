package config

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"barleywick/internal/settings"
	"barleywick/internal/sidecar/handover"
)

const tomlText = `name = "n0"
listen = "127.0.0.1:7070"
discovery = "127.0.0.1:8500"
seed = "ff"
[limits]
sockets = 256
[connections.clients]
idle = 7
[log]
level = "debug"
[settings]
balancers = 3
zones = ["a", "b"]
zone = 1
[[settings.classes]]
name = "hold"
aim_ms = 500
hard_limit_ms = 1000.5
semantics = "guarded"
dedup_scope = "zone"
window_ms = 400
[[settings.classes]]
name = "confirm"
aim_ms = 500
hard_limit_ms = 1000
[[settings.orgs]]
name = "acme"
share = 1
quota_per_s = 100
[settings.caps]
most_tries = 3
probes = true
`

const platformText = `{"name":"n0","listen":"127.0.0.1:7070","discovery":"127.0.0.1:8500","seed":"ff","limits":{"sockets":256},
	"connections":{"clients":{"idle":7}},"log":{"level":"debug"},
	"settings":{"balancers":3,"zones":["a","b"],"zone":1,"caps":{"most_tries":3,"probes":true},"orgs":[{"name":"acme","share":1,"quota_per_s":100}],
	"classes":[{"name":"hold","aim_ms":500,"hard_limit_ms":1000.5,"semantics":"guarded","dedup_scope":"zone","window_ms":400},{"name":"confirm","aim_ms":500,"hard_limit_ms":1000}]}}`

func readText(t *testing.T, name, text string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return readConfig(path, nil)
}

func TestTOMLAndJSONGiveTheSameConfiguration(t *testing.T) {
	a, err := readText(t, "c.toml", tomlText)
	if err != nil {
		t.Fatal(err)
	}
	b, err := readText(t, "c.json", platformText)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(a, b) {
		t.Errorf("got from TOML\n%+v\nwant as from JSON\n%+v", a, b)
	}
	if a.Seed != 0xff || a.Connections.Clients.Idle != 7 || a.Policy.Zone != 1 || len(a.Policy.Classes) != 2 {
		t.Errorf("got %+v, want seed ff, 7 idle client connections, zone 1 and 2 classes", a)
	}
	c, err := readText(t, "c.toml", strings.Replace(tomlText, `seed = "ff"`, "", 1))
	d, err2 := readText(t, "c.toml", strings.Replace(tomlText, `seed = "ff"`, "", 1))
	if err != nil || err2 != nil || c.Seed == d.Seed {
		t.Errorf("two files without a seed got the same seed, or errors: %v, %v", err, err2)
	}
}

// The error about an invalid TOML file is one line with the file, the line number and the field.
func TestTOMLIsReadStrictly(t *testing.T) {
	for from, c := range map[string][2]string{
		`name = "n0"`:            {`nam = "n0"`, "line 1: there is no field nam"},
		`listen = `:              {`listen = 7 #`, "line 2: listen"},
		"sockets = 256":          {"sockets = 12", "line 6: limits.sockets is 12"},
		"idle = 7":               {"idle = 700", "line 8: connections.clients.idle is 700"},
		"idle = 7\n":             {"idel = 7\n", "line 8: there is no field connections.clients.idel"},
		`seed = "ff"`:            {`seed = "xyz"`, "line 4: seed"},
		"balancers = 3":          {"balancers = 0", "line 12: settings.balancers is 0"},
		"zone = 1":               {"zone = 2", "line 14: settings.zone is 2"},
		"hard_limit_ms = 1000\n": {"hard_limit_ms = 100\n", "line 25: settings.classes[1].hard_limit_ms is 100, under the 500 of aim_ms"},
		`name = "confirm"`:       {`semantics = "free"`, "line 22: settings.classes[1].name is missing"},
		"window_ms = 400":        {"", "line 15: settings.classes[0].window_ms is 0"},
		`"guarded"`:              {`"garded"`, `line 19: settings.classes[0].semantics is "garded"`},
		"aim_ms = 500\n":         {"aim_ms = \"fast\"\n", "line 17: settings.classes.aim_ms"},
		"most_tries = 3":         {"most_tries = 0", "line 31: settings.caps.most_tries is 0"},
		"[log]":                  {"[metrics]\nlisten = \"10.0.0.1:9\"\n[log]", "line 10: metrics.listen"},
		`"127.0.0.1:8500"`:       {`"127.0.0.1:8500`, "line 3"},
	} {
		_, err := readText(t, "c.toml", strings.Replace(tomlText, from, c[0], 1))
		if err == nil || !strings.Contains(err.Error(), "c.toml: "+c[1]) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got error %v, want one line with %q", c[0], err, c[1])
		}
	}
}

// The page lists exactly the fields of the schema, with the text of the code's tags.
func TestConfigurationPageAgreesWithTheCode(t *testing.T) {
	page, err := os.ReadFile("../../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	want := fields(reflect.TypeFor[file](), "")
	var got []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `") {
			got = append(got, strings.TrimSpace(line))
		}
	}
	if text := strings.Join(want, "\n"); text != strings.Join(got, "\n") {
		t.Errorf("docs/CONFIGURATION.md should have these lines:\n%s", text)
	}
}

// fields returns the page's lines for a part of the schema.
func fields(of reflect.Type, prefix string) (lines []string) {
	for i := range of.NumField() {
		f := of.Field(i)
		name, inner := prefix+f.Tag.Get("toml"), f.Type
		if inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		switch {
		case inner.Kind() == reflect.Struct:
			lines = append(lines, fields(inner, name+".")...)
		case inner.Kind() == reflect.Slice && inner.Elem().Kind() == reflect.Struct:
			lines = append(lines, fields(inner.Elem(), name+"[].")...)
		default:
			lines = append(lines, fmt.Sprintf("| `%s` | %s | %s | %s |", name, f.Tag.Get("unit"), orText(f.Tag.Get("default"), "required"), f.Tag.Get("doc")))
		}
	}
	return lines
}

func orText(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

// Each field of the settings changes the configuration of package policy.
func TestEachSettingIsRead(t *testing.T) {
	for _, path := range []string{
		"balancers=2", "zone=1", "discovery=ask", "caps.most_tries=9", "caps.may_cancel=true", "caps.probes=true", "caps.max_retry_after_ms=9",
		"rules.ask_within_ms=9", "rules.stop_sending_within_ms=9", "rules.cold_from=0.9", "rules.cold_ms=9", "rules.fall_multiple=9", "charges.cross_zone=9", "family_info.warm_keys=true", "client_habits.marks_retry=true",
		"classes.0.aim_ms=9", "classes.0.aim_stretch=9", "classes.0.hard_limit_ms=9", "classes.0.late_share=0.9", "classes.0.worth=9", "classes.0.semantics=free", "classes.0.dedup_scope=all", "classes.0.window_ms=9",
		"orgs.0.share=9", "orgs.0.quota_per_s=9",
	} {
		base, err := settings.ParseLines([]byte("classes.count=1\norgs.count=1\n"))
		if err != nil {
			t.Fatal(err)
		}
		with, err := settings.ParseLines([]byte("classes.count=1\norgs.count=1\n" + path))
		if err != nil {
			t.Fatal(err)
		}
		a, _ := base.PolicyConfig()
		b, _ := with.PolicyConfig()
		if reflect.DeepEqual(a, b) {
			t.Errorf("%s has no effect", path)
		}
	}
}

func FuzzTOMLFile(f *testing.F) {
	f.Add([]byte(tomlText))
	f.Add([]byte("[[settings.classes]]\n[settings.classes.x]\na.b = 1\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		platform, err := toPlatformJSON(text, func() string { return "1" })
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("got an error of more than one line: %v", err)
			}
			return
		}
		if _, err := Parse(platform, nil); err != nil && strings.Contains(err.Error(), "unmarshal") {
			t.Errorf("the platform's JSON cannot be parsed: %v", err)
		}
	})
}

// The takeover table is checked when the configuration is loaded.
func TestTakeoverConfiguration(t *testing.T) {
	for text, want := range map[string]string{
		`{"socket":"/run/x.sock"}`:                "",
		`{"socket":"/run/x.sock","ready_ms":500}`: "",
		`{"socket":"x.sock"}`:                     "absolute path",
		`{}`:                                      "absolute path",
		`{"socket":"/` + strings.Repeat("x", handover.MaxSocketPath+1) + `"}`: "bytes",
		`{"socket":"/run/x.sock","ready_ms":-1}`:                              "negative",
		`{"socket":"/run/x.sock","redy_ms":1}`:                                "unknown field",
	} {
		config := `{"seed":"1","takeover":` + text + `,"settings":{"balancers":1,"caps":{"most_tries":3},"classes":[{"name":"a","aim_ms":1,"hard_limit_ms":2}]}}`
		c, err := Parse([]byte(config), nil)
		if (err == nil) != (want == "") || (err != nil && !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: got error %v, want %q", text, err, want)
		}
		if err == nil && (c.Takeover == nil || c.Takeover.ReadyTimeout() <= 0) {
			t.Errorf("%s: got takeover %+v, want one with a positive ready timeout", text, c.Takeover)
		}
	}
}
