package chaostest

import (
	"os/exec"
	"strings"
	"testing"
	"time"

	"barleywick/internal/testing/faultinjection"
)

// A process that ends before SIGTERM, or after it with another status than 0, for instance as its watchdog
// cuts its shutdown off, is a violation, and its log is kept. A process that exits cleanly is not.
func TestProcessThatDoesNotExitCleanlyIsAViolation(t *testing.T) {
	const cutOff = "shutdown: cut off program=registry step=membership"
	for name, x := range map[string]struct {
		script string
		want   string // part of the violation; empty: no violation
	}{
		"in order":     {"trap 'exit 0' TERM; echo up; while :; do sleep 0.01; done", ""},
		"cut off":      {"trap 'echo " + cutOff + "; exit 1' TERM; echo up; while :; do sleep 0.01; done", "exit status 1"},
		"by a signal":  {"echo up; exec sleep 1000", "signal: terminated"},
		"ended before": {"echo up; exit 0", "has ended before"},
	} {
		t.Run(name, func(t *testing.T) {
			p := &faultinjection.Process{Name: "r0", NewCommand: func() *exec.Cmd { return exec.Command("sh", "-c", x.script) }}
			if err := p.Start(); err != nil {
				t.Fatal(err)
			}
			defer p.Kill()
			for !strings.Contains(p.Output(), "up") || name == "ended before" && p.Running() {
				time.Sleep(time.Millisecond)
			}
			r := &run{
				fleet:  &fleet{Injector: &faultinjection.Injector{Processes: map[string]*faultinjection.Process{"r0": p}}, sidecars: []string{"r0"}},
				report: Report{Counts: make(map[string]uint64)},
			}
			r.stopAll()
			violations := strings.Join(r.report.Violations, ";")
			if x.want == "" && violations != "" || !strings.Contains(violations, x.want) {
				t.Errorf("got violations %q, want %q", violations, x.want)
			}
			if log := r.report.Logs["r0"]; x.want != "" && !strings.Contains(log, "up") || name == "cut off" && !strings.Contains(log, cutOff) {
				t.Errorf("report has the log %q, want all output of a process that did not end in order", log)
			}
		})
	}
}
