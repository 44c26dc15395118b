package integration

import (
	"context"
	"os"
	"os/exec"
	"testing"
	"time"

	"barleywick/internal/testing/chaostest"
)

// Runs a small fleet of all programs under random faults, with operators at work: every invariant holds,
// and enough was observed for that verdict.
func TestRandomFaultsKeepInvariants(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	o := chaostest.Options{Seed: 1, Duration: 5 * time.Second, Controllers: 2, Sidecars: 4, Servers: 8, Command: func(p chaostest.Program, config string) *exec.Cmd {
		role := map[chaostest.Program]string{chaostest.Replica: "registry", chaostest.Controller: "keeper", chaostest.Sidecar: "sidecar"}[p]
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), roleVariable+"="+role, configVariable+"="+config, "ROUTER_CONFIG="+config)
		return cmd
	}}
	if long {
		o.Duration, o.Controllers, o.Sidecars, o.Servers = 5*time.Minute, 3, 24, 16
	}
	rep, err := chaostest.Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%v", rep.Counts)
	for _, b := range rep.Violations {
		t.Error(b)
	}
	if t.Failed() {
		for _, l := range rep.Timeline {
			t.Logf("%9.3f %s %s", l.At.Seconds(), l.Kind, l.Text)
		}
		for name, log := range rep.Logs {
			t.Logf("last lines of the log of %s:\n%s", name, log)
		}
	}
	for what, least := range map[string]uint64{"faults": 2, "grants": 10, "requests that ran": 300, "calls on records": 30, "promises at rest": 7, "processes that ended in order": 9} {
		if rep.Counts[what] < least {
			t.Errorf("too little was observed for a verdict: %d %s, want at least %d", rep.Counts[what], what, least)
		}
	}
}
