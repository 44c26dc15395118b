package drain

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/registry"
)

var fleetStart = time.Unix(1_800_000_000, 0)

func TestNotified(t *testing.T) {
	var statuses []registry.StatusResponse
	now := fleetStart
	f := &LiveFleet{
		Statuses: func(context.Context) ([]registry.StatusResponse, bool) { return statuses, true },
		Sidecars: 3, MaxRequestTime: 6 * time.Second, Now: func() time.Time { return now },
	}
	check := func(what string, want bool) {
		t.Helper()
		if got, err := f.Notified(t.Context(), 10, fleetStart); got != want || err != nil {
			t.Errorf("%s: got %v, %v, want %v", what, got, err, want)
		}
	}
	statuses = []registry.StatusResponse{{Watches: 2, WatchSeq: 10}, {Watches: 1, WatchSeq: 12}}
	check("all have the version", true)
	statuses[0].WatchSeq = 9
	check("a watch has an older version", false)
	statuses[0].WatchSeq, statuses[0].Watches = 10, 1
	check("a sidecar does not watch", false)
	now = fleetStart.Add(notificationDeadline)
	check("at the notification deadline", true)
}

func TestIdle(t *testing.T) {
	now := fleetStart
	f := &LiveFleet{MaxRequestTime: 6 * time.Second, Now: func() time.Time { return now }}
	report, status := "", http.StatusOK
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, report)
	})}
	go server.Serve(ln)
	registration := registry.Registration{Instance: registry.Instance{Dial: ln.Addr().String()}}
	check := func(what string, want bool) {
		t.Helper()
		if got, err := f.Idle(t.Context(), registration, fleetStart); got != want || err != nil {
			t.Errorf("%s: got %v, %v, want %v", what, got, err, want)
		}
	}
	for text, want := range map[string]bool{
		"TEXT inflight=0, queue=0, util=0": true,
		"inflight=1, queue=0":              false,
		"queue=0, util=0.5, qps=3":         false,
		"queue=0, util=0, qps=9":           true,
		"queue=0":                          false,
		"":                                 false,
		"inflight=x":                       false,
	} {
		report = text
		check(fmt.Sprintf("report %q", text), want)
	}
	report, now = "no report", fleetStart.Add(notificationDeadline+f.MaxRequestTime)
	check("the requests of all clients have timed out", true)
	report, status, now = "inflight=0", http.StatusNotFound, fleetStart
	check("an error response", false)
	server.Close()
	check("a server that has ended", true)
}

func TestStopCommand(t *testing.T) {
	f := new(LiveFleet)
	if err := f.Stop(t.Context(), "m", "h"); err != nil {
		t.Errorf("no command: got %v, want success", err)
	}
	out := filepath.Join(t.TempDir(), "stopped")
	f.StopCommand = []string{"sh", "-c", "echo {machine} {host} > " + out}
	if err := f.Stop(t.Context(), "m-1", "s-1"); err != nil {
		t.Error(err)
	}
	if text, err := os.ReadFile(out); string(text) != "m-1 s-1\n" {
		t.Errorf("the command was given %q, %v, want machine and host", text, err)
	}
	f.StopCommand = []string{"sh", "-c", "echo no such unit >&2; exit 5"}
	if err := f.Stop(t.Context(), "m-1", "s-1"); err == nil || !strings.Contains(err.Error(), "no such unit") {
		t.Errorf("a command that fails: got %v, want its output", err)
	}
}

// A stop command that is interrupted, or has exited, does not block its caller although processes
// that it has started keep its output open.
func TestStopCommandThatLeavesProcesses(t *testing.T) {
	for name, x := range map[string]struct {
		then      string
		interrupt bool
	}{"interrupted": {"wait", true}, "ended": {"exit 0", false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pidPath := filepath.Join(t.TempDir(), "pid")
			f := &LiveFleet{StopCommand: []string{"sh", "-c", "sleep 1000 & echo $! > " + pidPath + ".new; mv " + pidPath + ".new " + pidPath + "; " + x.then}}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ended := make(chan error, 1)
			go func() { ended <- f.Stop(ctx, "m", "h") }()
			pid := awaitPID(t, pidPath)
			defer func() { _ = syscall.Kill(pid, syscall.SIGKILL) }() // started by the stop command of this test
			if x.interrupt {
				cancel()
			}
			select {
			case err := <-ended:
				if (err != nil) != x.interrupt {
					t.Errorf("got error %v, want an error: %v", err, x.interrupt)
				}
			case <-time.After(10 * time.Second):
				t.Error("the command blocks its caller 10s after it was interrupted or has exited")
				_ = syscall.Kill(pid, syscall.SIGKILL)
				<-ended
			}
		})
	}
}

// awaitPID waits for a file to be written, and returns the process id in it.
func awaitPID(t *testing.T, path string) (pid int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		text, err := os.ReadFile(path)
		if err == nil {
			if pid, err = strconv.Atoi(strings.TrimSpace(string(text))); err != nil {
				t.Fatal(err)
			}
			return pid
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}
