package localfleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/sidecar/config"

	"barleywick/internal/sidecar"
	"barleywick/internal/simulation/emulator"
)

// TestMain lets the test binary run as the sidecar program.
func TestMain(m *testing.M) {
	if os.Getenv("ROUTER_CONFIG") == "" {
		slog.SetDefault(slog.New(slog.DiscardHandler)) // discards the logs of the registry in this process
		os.Exit(m.Run())
	}
	stop, done := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer done()
	c, err := config.Load(os.Getenv)
	if err == nil {
		err = sidecar.Run(stop, nil, c)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// options returns the options of a short run, with a folder for temporary files.
func options(t *testing.T, name string, length time.Duration) Options {
	t.Helper()
	t.Setenv("TMPDIR", t.TempDir())
	sc, err := emulator.Preset(name, 3, 6)
	if err != nil {
		t.Fatal(err)
	}
	sc.Stretch(length)
	return Options{Scenario: sc, Seed: 1, Program: os.Args[0]}
}

// checkNothingLeft checks that a run has left no temporary files and no child processes.
func checkNothingLeft(t *testing.T) {
	t.Helper()
	if left, err := os.ReadDir(os.Getenv("TMPDIR")); err != nil || len(left) > 0 {
		t.Errorf("temporary files after the run: %v (error %v), want none", left, err)
	}
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the process has ended meanwhile
		}
		fields := strings.Fields(string(text[strings.LastIndex(string(text), ")")+1:]))
		if len(fields) > 1 && fields[1] == fmt.Sprint(os.Getpid()) {
			t.Errorf("a child process is still there after the run: %s", text)
		}
	}
}

func TestScenariosOnRealSocketsHaveNoViolations(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	for _, name := range []string{"calm", "herd", "join", "zone", "split", "blind"} {
		t.Run(name, func(t *testing.T) {
			reports := 0
			o := options(t, name, 4*time.Second)
			switch name {
			case "blind":
				o.Registry = 3
			case "split": // with a cost, sidecars cross zones only if servers of their own zone are ejected, which may not happen
				o.Scenario.Prices.CrossZone = 0
			}
			o.Progress = func(*emulator.Record) { reports++ }
			r, err := Run(t.Context(), o)
			if err != nil {
				t.Fatal(err)
			}
			if len(r.ViolationTexts) > 0 || r.Checked.Answers < 100 || r.Checked.Sends < 100 || r.ServedRequests < r.Requests/3 {
				t.Errorf("want no violations, 100 answers and sends, and a third of the requests served; got %s\n%+v", r.Line(), r.Checked)
			}
			if r.Windows[1].Capacity == nil || r.Probes == 0 || r.Handshakes == 0 || reports == 0 {
				t.Errorf("the record is incomplete: %+v", r)
			}
			if name == "split" && r.CrossZoneSends == 0 {
				t.Error("no request crossed zones, so the partition had no effect")
			}
			if name == "herd" && r.Restarts == 0 {
				t.Error("no sidecar was killed")
			}
			checkNothingLeft(t)
		})
	}
}

// Malformed requests get an error or a closed connection before the deadline, and the requests of
// other clients are served.
func TestMalformedRequestsAreAnsweredAndOthersServed(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	o := options(t, "calm", 4*time.Second)
	o.Scenario.Faults = []emulator.Fault{{Name: "bad_clients", Duration: emulator.Duration(4 * time.Second), Size: 15}}
	r, err := Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	if r.MalformedClients < 2*len(malformedRequests) || r.MalformedUnanswered > 0 || len(r.ViolationTexts) > 0 || r.ServedRequests < r.Requests*9/10 {
		t.Errorf("%d malformed requests, %d unanswered, want none unanswered and the other clients served; %s", r.MalformedClients, r.MalformedUnanswered, r.Line())
	}
	checkNothingLeft(t)
}

func TestInterruptedRunLeavesNothing(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	o := options(t, "slow", time.Minute)
	ctx, cancel := context.WithCancel(t.Context())
	o.Progress = func(r *emulator.Record) {
		if r.ServedRequests > 20 {
			cancel()
		}
	}
	r, err := Run(ctx, o)
	if !errors.Is(err, context.Canceled) || r == nil || !r.Partial || r.ServedRequests < 20 {
		t.Errorf("got error %v, want context.Canceled with a partial record; record: %+v", err, r)
	}
	checkNothingLeft(t)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Run(cancelled, o); err == nil {
		t.Error("Run with a cancelled context returned no error")
	}
	checkNothingLeft(t)
}

func TestFailedStartReportsReason(t *testing.T) {
	o := options(t, "calm", time.Second)
	o.Program = "/bin/false"
	if _, err := Run(t.Context(), o); err == nil || !strings.Contains(err.Error(), "ended before it was ready") || strings.Contains(err.Error(), "\n") {
		t.Errorf("sidecar program that ends at once: got error %v, want one line with \"ended before it was ready\"", err)
	}
	checkNothingLeft(t)
	o.Logs = filepath.Join(t.TempDir(), "none")
	if _, err := Run(t.Context(), o); err == nil || !strings.Contains(err.Error(), "none") {
		t.Errorf("missing log folder: got error %v, want one that names the folder", err)
	}
	checkNothingLeft(t)
	for want, change := range map[string]func(*emulator.Scenario){
		"2.5s at most": func(sc *emulator.Scenario) {
			sc.Faults = []emulator.Fault{{Name: "stale_list", Extra: emulator.Duration(3 * time.Second)}}
		},
		"sidecars is 100": func(sc *emulator.Scenario) { sc.Sidecars = 100 },
		"servers is 500":  func(sc *emulator.Scenario) { sc.Servers = 500 },
		"a second":        func(sc *emulator.Scenario) { sc.Load = 500 },
		"sidecars is 0":   func(sc *emulator.Scenario) { sc.Sidecars = 0 },
	} {
		o := options(t, "calm", time.Second)
		change(o.Scenario)
		if _, err := Run(t.Context(), o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error that contains \"%s\", got %v", want, err)
		}
	}
}

// stop reports an error for a sidecar that ended before SIGTERM or was cut off by its watchdog,
// whatever its exit status is.
func TestStopReportsUngracefulEnds(t *testing.T) {
	for script, want := range map[string]string{
		"exit 0": "before SIGTERM",
		"exit 3": "exit status 3",
		"trap 'echo shutdown: cut off; exit 0' TERM; echo up; while :; do sleep 0.01; done": "shutdown: cut off",
		"trap 'exit 0' TERM; echo up; while :; do sleep 0.01; done":                         "",
	} {
		log, err := os.Create(filepath.Join(t.TempDir(), "n0.log"))
		if err != nil {
			t.Fatal(err)
		}
		defer log.Close()
		s := &sidecarProcess{log: log, cmd: exec.Command("sh", "-c", script), ended: make(chan error, 1)}
		s.cmd.Stdout = log
		if err := s.cmd.Start(); err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(script, "exit") {
			s.ended <- s.cmd.Wait()
		} else {
			go func() { s.ended <- s.cmd.Wait() }()
			for deadline := time.Now().Add(readyTimeout); s.lastLine() != "up"; time.Sleep(pollInterval) {
				if time.Now().After(deadline) {
					t.Fatal("the process did not start before the deadline")
				}
			}
		}
		if err := s.stop(); (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want %q", script, err, want)
		}
	}
}
