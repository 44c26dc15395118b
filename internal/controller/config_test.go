package controller

import (
	"strings"
	"testing"
)

func TestConfigErrors(t *testing.T) {
	const good = "name = \"k1\"\nregistry = [\"127.0.0.1:1\"]\n"
	for text, want := range map[string]string{
		"registry = [\"127.0.0.1:1\"]\n":        "name is missing",
		"name = \"k1\"\n":                       "registry is missing",
		good + "lease_ms = 1\n":                 "line 3: lease_ms is 1, it must lie between 1000 and 600000",
		good + "leese_ms = 1\n":                 "line 3: there is no field leese_ms",
		good + "listen = \"0.0.0.0:1\"\n":       "loopback",
		good + "[copies]\nevery_ms = 5000\n":    "copies.folder is missing",
		good + "[drains]\n":                     "drains.config is missing",
		good + "[health]\nevery_ms = 5\n":       "health.every_ms is 5",
		good + "[routes]\n\"here\" = \"two\"\n": "not an address",
	} {
		if _, err := ParseConfig([]byte(text)); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got %v, want one line with %q", text, err, want)
		}
	}
	c, err := ParseConfig([]byte(good + "[health]\n[copies]\nfolder = \"x\"\n"))
	if err != nil || c.Health.Failures != defaultFailures || c.Backup.Keep != defaultBackupCount || len(c.LeaseNames()) != healthShards+1 {
		t.Errorf("defaults: got %+v, %v, want the default failures, backup count and number of leases", c, err)
	}
}
