package drain

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"barleywick/internal/registry"
)

func TestSite(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	var got []registry.StatusResponse
	all, now := true, begin
	s := &LiveFleet{
		Statuses: func(context.Context) ([]registry.StatusResponse, bool) { return got, all },
		Sidecars: 3, MaxRequestTime: 6 * time.Second, Now: func() time.Time { return now },
	}
	told := func() bool { ok, err := s.Notified(t.Context(), 10, begin); return ok && err == nil }
	got = []registry.StatusResponse{{Watches: 2, WatchSeq: 10}, {Watches: 1, WatchSeq: 12}}
	if !told() {
		t.Error("all hold it")
	}
	if got[0].WatchSeq = 9; told() {
		t.Error("one watch holds an older version")
	}
	if got[0].WatchSeq, got[0].Watches = 10, 1; told() {
		t.Error("one sidecar does not watch")
	}
	if now = begin.Add(notificationDeadline); !told() {
		t.Error("by the protocol it is told by then")
	}

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
	e := registry.Registration{Instance: registry.Instance{Dial: ln.Addr().String()}}
	idle := func() bool { ok, err := s.Idle(t.Context(), e, begin); return ok && err == nil }
	for text, want := range map[string]bool{
		"TEXT inflight=0, queue=0, util=0": true, "inflight=1, queue=0": false, "queue=0, util=0.5, qps=3": false,
		"queue=0, util=0, qps=9": true, "queue=0": false, "": false, "inflight=x": false,
	} {
		if report = text; idle() != want {
			t.Errorf("report %q: idle %v", text, !want)
		}
	}
	report = "no report"
	if now = begin.Add(notificationDeadline + s.MaxRequestTime); !idle() {
		t.Error("nobody can wait for an answer any longer")
	}
	now, status, report = begin, http.StatusNotFound, "inflight=0"
	if idle() {
		t.Error("an error was taken for a report")
	}
	server.Close()
	if !idle() {
		t.Error("a server that has gone has no work")
	}
	if err := s.Stop(t.Context(), "m", "h"); err != nil {
		t.Errorf("no command: %v", err)
	}
	out := filepath.Join(t.TempDir(), "stopped")
	s.StopCommand = []string{"sh", "-c", "echo {machine} {host} > " + out}
	if err := s.Stop(t.Context(), "m-1", "s-1"); err != nil {
		t.Error(err)
	}
	if text, _ := os.ReadFile(out); string(text) != "m-1 s-1\n" {
		t.Errorf("the command got %q", text)
	}
	s.StopCommand = []string{"sh", "-c", "echo no such unit >&2; exit 5"}
	if err := s.Stop(t.Context(), "m-1", "s-1"); err == nil || !strings.Contains(err.Error(), "no such unit") {
		t.Errorf("a command that fails: %v", err)
	}
}
