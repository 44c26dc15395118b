package sidecarcmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"barleywick/internal/cli"
)

// call runs a command line that does not serve, and returns its exit status and output.
func call(env map[string]string, args ...string) (status int, out, errs string) {
	var o, e bytes.Buffer
	status = run(Program{}, args, func(name string) string { return env[name] }, &o, &e)
	return status, o.String(), e.String()
}

func TestExitStatusDistinguishesUsageErrorsFromFailures(t *testing.T) {
	for _, c := range []struct {
		args     []string
		status   int
		mentions string
	}{
		{[]string{"version"}, cli.StatusOK, ""},
		{[]string{"--help"}, cli.StatusOK, ""},
		{[]string{"completion", "bash"}, cli.StatusOK, ""},
		{[]string{"swerve"}, cli.StatusUsageError, "swerve"},
		{[]string{"serve", "--fast"}, cli.StatusUsageError, "--fast"},
		{[]string{"serve", "--log-level", "loud"}, cli.StatusUsageError, "loud"},
		{[]string{"serve", "--log-format", "xml"}, cli.StatusUsageError, "xml"},
		{[]string{"check", "a", "b"}, cli.StatusUsageError, "at most 1"},
		{[]string{"check", "/nonexistent/config.json"}, cli.StatusFailed, "/nonexistent/config.json"},
		{[]string{"check"}, cli.StatusFailed, "ROUTER_CONFIG"},
	} {
		status, _, errs := call(nil, c.args...)
		if status != c.status || !strings.Contains(errs, c.mentions) || (c.status != cli.StatusOK && strings.Count(errs, "\n") != 1) {
			t.Errorf("%v: got status %d, errors %q; want %d and one line that names %q", c.args, status, errs, c.status, c.mentions)
		}
	}
}

func TestCheckPrintsDerivedValues(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	text := `{"name":"n0","listen":"127.0.0.1:7070","discovery":"127.0.0.1:8500","seed":"ff","limits":{"sockets":256},
		"settings":{"balancers":3,"caps":{"most_tries":3},"orgs":[{"name":"acme","share":1,"quota_per_s":100}],
		"classes":[{"name":"pay","semantics":"single_shot","aim_ms":500,"hard_limit_ms":1000}]}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	status, out, errs := call(map[string]string{"ROUTER_DISCOVERY": "127.0.0.1:9"}, "check", path)
	if status != cli.StatusOK || errs != "" {
		t.Fatalf("got status %d, errors %q; want 0 and none", status, errs)
	}
	for _, want := range []string{"127.0.0.1:9", "must never run twice", "124; 124 of one address", "bulkhead acme"} {
		if !strings.Contains(out, want) {
			t.Errorf("want %q in the output, got\n%s", want, out)
		}
	}
	if strings.Contains(out, "bulkhead acme  0 slots") {
		t.Errorf("want slots for bulkhead acme in the output, got\n%s", out)
	}
}
