package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"barleywick/internal/cli"
)

func TestErrorsAreOneLineWithTheirStatus(t *testing.T) {
	unknownKey := filepath.Join(t.TempDir(), "r1.json")
	if err := os.WriteFile(unknownKey, []byte(`{"group":"g","idd":"x"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args     []string
		status   int
		wantText string
	}{
		{nil, cli.StatusUsageError, "-config FILE is needed"},
		{[]string{"-config", "a", "b"}, cli.StatusUsageError, "-config FILE is needed"},
		{[]string{"--fast"}, cli.StatusUsageError, "-fast"},
		{[]string{"-config", "/nonexistent"}, cli.StatusFailed, "/nonexistent"},
		{[]string{"--config", "/nonexistent"}, cli.StatusFailed, "/nonexistent"},
		{[]string{"-config", unknownKey}, cli.StatusFailed, `"idd"`},
	} {
		var errs bytes.Buffer
		status := cli.Report("registry", run(c.args, &errs), &errs)
		line := errs.String()
		if status != c.status || !strings.Contains(line, c.wantText) || strings.Count(line, "\n") != 1 {
			t.Errorf("%v: got status %d, %q; want %d and one line with %q", c.args, status, line, c.status, c.wantText)
		}
	}
	var out bytes.Buffer
	if status := cli.Report("registry", run([]string{"-help"}, &out), &out); status != cli.StatusOK || !strings.Contains(out.String(), "-config FILE") {
		t.Errorf("-help: got status %d, output %q; want status 0 and the usage", status, out.String())
	}
}
