package integration

import (
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
)

// Roles of processes that do not shut down gracefully.
const (
	failingRole = "failing"
	cutOffRole  = "cut off"
)

func runFailing() error { return errors.New("this process fails") }

// runCutOff ends with status 0, but logs the message of the shutdown watchdog.
func runCutOff() error {
	slog.Error("shutdown: cut off")
	return nil
}

// errorRecorder records the errors of a test instead of failing it.
type errorRecorder struct {
	testing.TB
	errors []string
}

func (r *errorRecorder) Errorf(format string, args ...any) {
	r.errors = append(r.errors, fmt.Sprintf(format, args...))
}

// A process that failed or was cut off by its watchdog is reported as an error of its test, whether the
// test waits for it, kills it or leaves it to the clean-up.
func TestHelpersReportUngracefulEnds(t *testing.T) {
	for role, want := range map[string]string{failingRole: "exit status 1", cutOffRole: "shutdown: cut off"} {
		for name, end := range map[string]func(p *process){"wait": (*process).wait, "kill": (*process).kill} {
			t.Run(role+"/"+name, func(t *testing.T) {
				r := &errorRecorder{TB: t}
				p := newProcess(r, "p", role)
				p.start()
				eventually(t, "the process has ended", func() bool { return !p.alive() })
				end(p)
				if len(r.errors) != 1 || !strings.Contains(r.errors[0], want) {
					t.Errorf("got errors %q, want one that contains %q", r.errors, want)
				}
			})
		}
		t.Run(role+"/rig", func(t *testing.T) {
			r := &errorRecorder{TB: t}
			t.Run("its test", func(t *testing.T) {
				r.TB = t
				rig := &rig{t: r}
				rig.prepare(1)
				rig.addProcess("p", role)
				if err := rig.Processes["p"].Start(); err != nil {
					t.Fatal(err)
				}
				eventually(t, "the process has ended", func() bool { return !rig.Processes["p"].Running() })
			})
			if len(r.errors) != 1 || !strings.Contains(r.errors[0], want) {
				t.Errorf("got errors %q, want one that contains %q", r.errors, want)
			}
		})
	}
}
