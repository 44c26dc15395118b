package integration

import (
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
)

// Roles of processes that do not end in order.
const (
	failingRole = "failing"
	cutOffRole  = "cut off"
)

func runFailing() error { return errors.New("this process fails") }

// runCutOff ends with status 0 while its watchdog writes.
func runCutOff() error {
	slog.Error("shutdown: cut off")
	return nil
}

// recorder keeps the errors of a test, which goes on.
type recorder struct {
	testing.TB
	errors []string
}

func (r *recorder) Errorf(format string, args ...any) {
	r.errors = append(r.errors, fmt.Sprintf(format, args...))
}

// A process that has failed or was cut off by its watchdog is an error of its test, be it
// waited for, killed or left to the test's end; of a start after one in order it is none.
func TestHelpersReportEndsOutOfOrder(t *testing.T) {
	for role, want := range map[string]string{failingRole: "exit status 1", cutOffRole: "shutdown: cut off"} {
		for name, end := range map[string]func(p *process){"wait": (*process).wait, "kill": (*process).kill} {
			t.Run(role+"/"+name, func(t *testing.T) {
				r := &recorder{TB: t}
				p := newProcess(r, "p", role)
				p.start()
				eventually(t, "the process has ended", func() bool { return !p.alive() })
				end(p)
				if len(r.errors) != 1 || !strings.Contains(r.errors[0], want) {
					t.Errorf("got the errors %q, want one with %q", r.errors, want)
				}
			})
		}
		t.Run(role+"/rig", func(t *testing.T) {
			r := &recorder{TB: t}
			t.Run("its test", func(t *testing.T) {
				r.TB = t
				rig := &rig{t: r}
				rig.begin(1)
				rig.process("p", role)
				if err := rig.Processes["p"].Start(); err != nil {
					t.Fatal(err)
				}
				eventually(t, "the process has ended", func() bool { return !rig.Processes["p"].Running() })
			})
			if len(r.errors) != 1 || !strings.Contains(r.errors[0], want) {
				t.Errorf("got the errors %q, want one with %q", r.errors, want)
			}
		})
	}
}
