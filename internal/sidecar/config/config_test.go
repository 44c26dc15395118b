package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestConfiguration(t *testing.T) {
	dir := t.TempDir()
	load := func(text string, env map[string]string) (*Config, error) {
		path := filepath.Join(dir, "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return Load(func(name string) string {
			if name == "ROUTER_CONFIG" {
				return path
			}
			return env[name]
		})
	}
	const good = `{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff","later":1,"known":7,
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":{"balancers":1,"caps":{"most_tries":3},"later":null,
		"classes":[{"name":"a","aim_ms":1,"hard_limit_ms":2}]}}`
	c, err := load(good, map[string]string{"ROUTER_LISTEN": "127.0.0.1:9"})
	if err != nil || c.Name != "n3" || c.Listen != "127.0.0.1:9" || c.Seed != 255 || c.KnownEndpoints != nil || c.Limits.Sockets != 1024 ||
		c.DialTimeout != defaultDialTimeout || c.UpstreamIdleTimeout != defaultUpstreamIdle {
		t.Errorf("got configuration %+v, error %v; want the values of the file and the environment", c, err)
	}
	for name, change := range map[string][2]string{
		"no JSON":      {"{", "("},
		"no settings":  {`"settings"`, `"others"`},
		"no seed":      {`"ff"`, `"seed"`},
		"no address":   {"127.0.0.1:2", "discovery.internal"},
		"few sockets":  {"1024", "3"},
		"wrong figure": {`"most_tries":3`, `"most_tries":"x"`},
		"no name":      {`"name":"a"`, `"name":""`},
	} {
		if _, err := load(strings.Replace(good, change[0], change[1], 1), nil); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one of a single line", name, err)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil {
		t.Error("without ROUTER_CONFIG: got no error, want one")
	}
}

// A last known endpoint list that cannot be read is ignored, because discovery provides a new one.
func TestUnreadableKnownEndpointsAreIgnored(t *testing.T) {
	if parseKnownEndpoints([]byte(`{"seq":"x"}`)) != nil || parseKnownEndpoints([]byte("null")) != nil {
		t.Error("an unreadable list was kept")
	}
	if known := parseKnownEndpoints([]byte(`{"seq":1,"whole":true,"hosts":[{"host":7},{"host":"s-1","dial":"127.0.0.1:7","health":"up"}]}`)); known == nil || len(known.Endpoints) != 2 {
		t.Errorf("a list with an invalid entry was read as %+v, want 2 endpoints", known)
	}
}
