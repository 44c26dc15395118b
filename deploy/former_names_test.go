package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Existing scripts and unit files may start the programs under their former names.
func TestFormerNamesLinkToPrograms(t *testing.T) {
	dir := t.TempDir()
	formerNames := map[string]string{
		"barleywick": "sidecar", "barleywick-metered": "sidecar-metrics", "barleykeeper": "controller",
		"barleyctl": "fleetctl", "barleylab": "testbench", "adapter": "simadapter",
	}
	for _, name := range formerNames {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(name), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 { // the second build finds existing links
		if out, err := exec.Command("sh", "former-names.sh", dir).CombinedOutput(); err != nil {
			t.Fatalf("former-names.sh: %v, %s", err, out)
		}
	}
	for former, name := range formerNames {
		if got, err := os.ReadFile(filepath.Join(dir, former)); err != nil || string(got) != name {
			t.Errorf("%s links to %q (%v), want %q", former, got, err, name)
		}
	}
	balancer, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(balancer), "sh deploy/former-names.sh bin") {
		t.Error("the build command in balancer.toml does not create the links")
	}
}
