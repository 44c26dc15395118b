package main

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"barleywick/internal/cli"
)

func runTestbench(ctx context.Context, args ...string) (status int, out, errs string) {
	var o, e bytes.Buffer
	status = cli.Run(ctx, "testbench", newRoot(), args, &o, &e)
	return status, o.String(), e.String()
}

func TestSavedRunRendersTheSamePage(t *testing.T) {
	folder := t.TempDir()
	saved, page := filepath.Join(folder, "day.json"), filepath.Join(folder, "day.html")
	status, out, errs := runTestbench(t.Context(), "simulate", "zone", "--sidecars", "6", "--servers", "6", "--length", "5s", "--json", saved, "--html", page)
	if status != cli.StatusOK || !strings.Contains(out, "rules kept") {
		t.Fatalf("simulate: got status %d, output %s%s; want status 0 and the rules kept", status, out, errs)
	}
	first, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if status, _, errs := runTestbench(t.Context(), "report", saved); status != cli.StatusOK {
		t.Fatalf("report: got status %d, errors %s; want status 0", status, errs)
	}
	second, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{string(first), string(second)} {
		if strings.Count(text, "<svg") != 6 || strings.Contains(text, "<?xml") || strings.Contains(text, "src=") || strings.Contains(text, "<script") || strings.Contains(text, "<link") {
			t.Error("the page is incomplete or refers to other files")
		}
	}
	cut := func(text []byte) string { _, rest, _ := strings.Cut(string(text), "</p>"); return rest }
	if cut(first) != cut(second) {
		t.Error("the page of the saved results differs from the first one")
	}
}

func TestExperimentFromFileToPage(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "e.toml")
	text := "name = \"e\"\nscenarios = [\"slow\"]\nseeds = [1, 2]\nsidecars = 4\nservers = 4\nlength = \"3s\"\n[[variants]]\nname = \"a <b>\"\n[[variants]]\nname = \"c\"\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	page := filepath.Join(folder, "e.html")
	status, out, errs := runTestbench(t.Context(), "experiment", path, "--html", page)
	if status != cli.StatusOK || !strings.Contains(out, "too few pairs") {
		t.Fatalf("experiment: got status %d, output %s%s; want status 0 and a verdict of too few pairs", status, out, errs)
	}
	made, err := os.ReadFile(page)
	if err != nil || strings.Contains(string(made), "<b>") || !strings.Contains(string(made), "a &lt;b&gt;") {
		t.Errorf("the page has a variant's name unescaped or not at all (error %v), want it escaped", err)
	}
}

func TestErrorsAreOneLineWithTheirStatus(t *testing.T) {
	folder := t.TempDir()
	emptyResult := filepath.Join(folder, "nothing.json")
	if err := os.WriteFile(emptyResult, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		ctx      context.Context
		args     []string
		status   int
		wantText string
	}{
		{t.Context(), []string{"simulate"}, cli.StatusUsageError, "--list"},
		{t.Context(), []string{"simulate", "flood"}, cli.StatusFailed, "flood"},
		{t.Context(), []string{"simulate", "calm", "--servers", "-1"}, cli.StatusFailed, "servers is -1"},
		{t.Context(), []string{"simulate", "calm", "--seed", "-1"}, cli.StatusUsageError, "seed"},
		{t.Context(), []string{"simulate", "calm", "--length", "-1s"}, cli.StatusUsageError, "--length"},
		{t.Context(), []string{"simulate", "a", "b"}, cli.StatusUsageError, "--help"},
		{t.Context(), []string{"simulate", "calm", "--length", "1s", "--json", filepath.Join(folder, "no", "where.json")}, cli.StatusFailed, "where.json"},
		{t.Context(), []string{"experiment", filepath.Join(folder, "none.toml")}, cli.StatusFailed, "none.toml"},
		{t.Context(), []string{"report", emptyResult}, cli.StatusFailed, "no results"},
		{t.Context(), []string{"lap"}, cli.StatusUsageError, "lap"},
		{t.Context(), []string{"load"}, cli.StatusUsageError, "at least 1"},
		{t.Context(), []string{"load", "127.0.0.1:1"}, cli.StatusUsageError, "classes"},
		{t.Context(), []string{"load", "127.0.0.1:1", "--class", "a:odd"}, cli.StatusUsageError, "odd"},
		{t.Context(), []string{"load", "127.0.0.1:1", "--class", "a:safe", "--rate", "-5"}, cli.StatusUsageError, "rate is -5"},
		{cancelled, []string{"simulate", "calm"}, statusInterrupted, "interrupted"},
	} {
		status, _, errs := runTestbench(c.ctx, c.args...)
		if status != c.status || !strings.Contains(errs, c.wantText) || strings.Count(errs, "\n") != 1 {
			t.Errorf("%v: status %d, output %q; want %d and one line with %q", c.args, status, errs, c.status, c.wantText)
		}
	}
	if status, out, _ := runTestbench(t.Context(), "simulate", "--list"); status != cli.StatusOK || !strings.Contains(out, "zone_lost") {
		t.Errorf("simulate --list: got status %d, output %s; want status 0 and the fault zone_lost", status, out)
	}
}

// A failed write leaves no partial or temporary file.
func TestFailedWriteLeavesNoFile(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "out.json")
	err := writeFileAtomically(path, func(w io.Writer) error {
		if _, err := w.Write([]byte("half")); err != nil {
			return err
		}
		return os.ErrClosed
	})
	left, readErr := os.ReadDir(folder)
	if err == nil || readErr != nil || len(left) != 0 {
		t.Errorf("failed write: got error %v, files left %v (%v); want an error and no files", err, left, readErr)
	}
}

func TestSearchPrintsAndSavesUnrecoveredRuns(t *testing.T) {
	saveDir := filepath.Join(t.TempDir(), "found")
	status, out, errs := runTestbench(t.Context(), "search", "--sidecars", "20", "--servers", "5", "--days", "6", "--keep", saveDir)
	if status != cli.StatusOK || !strings.Contains(out, "6 runs: recovered after") {
		t.Fatalf("search: got status %d, output %s%s; want status 0 and a summary of 6 runs", status, out, errs)
	}
	found, _ := filepath.Glob(filepath.Join(saveDir, "hunt-*.toml"))
	if n := strings.Count(out, "seed "); n != len(found) {
		t.Errorf("printed %d unrecovered runs and saved %d, want equal numbers: %s", n, len(found), out)
	}
	for _, path := range found {
		if status, out, errs := runTestbench(t.Context(), "simulate", path, "--seed", "1"); status != cli.StatusOK || !strings.Contains(out, "the fleet sent") {
			t.Errorf("simulate %s: got status %d, output %s%s; want status 0 and the number of attempts", path, status, out, errs)
		}
	}
	if status, _, errs := runTestbench(t.Context(), "search", "--days", "0"); status != cli.StatusUsageError || !strings.Contains(errs, "--days is 0") {
		t.Errorf("search --days 0: got status %d, errors %s; want status 2 and an error that names --days", status, errs)
	}
}

func TestFormerCommandNamesStillWork(t *testing.T) {
	for former, name := range map[string]string{"lab": "localfleet", "hunt": "search", "explore": "modelcheck", "torture": "chaos"} {
		status, out, errs := runTestbench(t.Context(), former, "--help")
		if status != cli.StatusOK || !strings.Contains(out, "testbench "+name) {
			t.Errorf("%s --help: got status %d, output %q, errors %s; want status 0 and the help of the current name", former, status, out, errs)
		}
	}
	if status, out, errs := runTestbench(t.Context(), "chaos", "--keepers", "0"); status != cli.StatusUsageError || !strings.Contains(out, "use --controllers") {
		t.Errorf("chaos --keepers: got status %d, output %q, errors %q; want status 2 and a notice to use --controllers", status, out, errs)
	}
	status, _, errs := runTestbench(t.Context(), "hunt", "--days", "0")
	if status != cli.StatusUsageError || !strings.Contains(errs, "the command hunt is deprecated, use search\n") {
		t.Errorf("hunt: got status %d, errors %q; want status 2 and a notice to use search", status, errs)
	}
}
