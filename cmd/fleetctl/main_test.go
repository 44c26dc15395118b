package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"barleywick/internal/drain"
	"barleywick/internal/overload"
	"barleywick/internal/registry"
	"barleywick/internal/registry/server"
)

// startRegistry runs a registry with two machines until the test ends, and returns the path of a fleetctl
// configuration.
func startRegistry(t *testing.T) (config string) {
	t.Helper()
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return ln
	}
	httpListener, raft := listen(), listen()
	text, err := json.Marshal(map[string]any{
		"group": "test", "id": "r", "data": t.TempDir(), "timing": map[string]any{"election_ms": 100},
		"replicas": []registry.ReplicaInfo{{ID: "r", HTTP: httpListener.Addr().String(), Raft: raft.Addr().String()}},
	})
	if err != nil {
		t.Fatal(err)
	}
	c, err := server.ParseConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	r, err := server.Open(c, raft)
	if err != nil {
		t.Fatal(err)
	}
	s := r.HTTPServer()
	go s.Serve(httpListener)
	t.Cleanup(func() {
		s.Close()
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
	config = filepath.Join(t.TempDir(), "ctl.json")
	text, err = json.Marshal(drain.Config{
		Registry: []string{httpListener.Addr().String()}, Floor: drain.Floor{Default: 1}, MaxRequestMS: 1000, LeaseMS: 15000,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := drain.LoadConfig(config)
	if err != nil {
		t.Fatal(err)
	}
	w, end, err := cfg.Workflow("test", time.Second, func(e drain.Event) { t.Log(e) })
	if err != nil {
		t.Fatal(err)
	}
	defer end()
	writer := w.Registry.(interface {
		Register(context.Context, registry.RegisterRequest) (registry.WriteResponse, error)
	})
	for _, s := range [][2]string{{"s-1", "m-1"}, {"s-2", "m-2"}} {
		i := registry.Instance{Host: s[0], Dial: "127.0.0.1:1", Site: "a", Health: registry.HealthUp, Share: 1} // no process listens there, so the server has no work
		if _, err := writer.Register(t.Context(), registry.RegisterRequest{Instance: i, Machine: s[1]}); err != nil {
			t.Fatal(err)
		}
	}
	return config
}

func runFleetctl(t *testing.T, env string, args ...string) (status int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	status = run(t.Context(), args, func(string) string { return env }, &o, &e)
	return status, o.String(), e.String()
}

// Checks the exit status and the message of each kind of call.
func TestExitStatuses(t *testing.T) {
	config := startRegistry(t)
	unreachable := filepath.Join(t.TempDir(), "dead.json")
	if err := os.WriteFile(unreachable, []byte(`{"registry":["127.0.0.1:1"],"floor":{"others":1},"longest_ms":1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, x := range map[string]struct {
		env      string
		args     []string
		status   int
		wantText string
	}{
		"help":               {config, []string{"--help"}, statusDone, "fleetctl takes machines"},
		"nothing":            {config, nil, statusWrongCall, "drain, undrain or status"},
		"an unknown command": {config, []string{"fetch", "m-1"}, statusWrongCall, "unknown command"},
		"no machine":         {config, []string{"drain"}, statusWrongCall, "needs a machine"},
		"two machines":       {config, []string{"drain", "m-1", "m-2"}, statusWrongCall, "one machine"},
		"an unknown flag":    {config, []string{"drain", "m-1", "--fast"}, statusWrongCall, "--fast"},
		"no time":            {config, []string{"drain", "m-1", "--timeout", "0s"}, statusWrongCall, "above 0"},
		"no configuration":   {"", []string{"status"}, statusWrongCall, "-config FILE"},
		"a missing file":     {"/nonexistent", []string{"status"}, statusFailed, "read configuration"},
		"no registry":        {unreachable, []string{"drain", "m-1", "--timeout", "300ms"}, statusFailed, "no replica"},
		"an unknown machine": {config, []string{"drain", "m-9"}, statusRefused, "it has those of m-1, m-2"},
		"not drained":        {config, []string{"undrain", "m-1"}, statusRefused, "not drained"},
		"a dry run":          {config, []string{"drain", "--dry-run", "m-1"}, statusDone, "1 of 2 ready servers would remain, the floor is 1"},
		"no drains":          {config, []string{"status"}, statusDone, "no machine"},
	} {
		status, out, errs := runFleetctl(t, x.env, x.args...)
		if status != x.status || !strings.Contains(strings.ReplaceAll(out+errs, "-fast", "--fast"), x.wantText) {
			t.Errorf("%s: status %d, %q %q; want %d and %q", name, status, out, errs, x.status, x.wantText)
		}
	}
	if status, out, errs := runFleetctl(t, config, "drain", "m-1", "--timeout", "500ms"); status != statusTimedOut || !strings.Contains(errs, "undone") {
		t.Errorf("drain that times out: got status %d, output %q, errors %q; want status 4 and the drain undone", status, out, errs) // the sidecars count as notified only after 6 s
	}
	if status, out, errs := runFleetctl(t, config, "drain", "m-1"); status != statusDone || !strings.Contains(out, "m-1: done") {
		t.Errorf("drain: got status %d, output %q, errors %q; want status 0 and the drain done", status, out, errs)
	}
	if status, _, errs := runFleetctl(t, config, "drain", "m-2"); status != statusRefused || !strings.Contains(errs, "floor") {
		t.Errorf("drain below the floor: got status %d, errors %q; want status 3 and an error that names the floor", status, errs)
	}
	if status, out, _ := runFleetctl(t, config, "status", "m-1"); status != statusDone || !strings.Contains(out, "out of service") {
		t.Errorf("status: got status %d, output %q; want status 0 and \"out of service\"", status, out)
	}
	if status, _, errs := runFleetctl(t, config, "undrain", "m-1"); status != statusDone {
		t.Errorf("undrain: got status %d, errors %q; want status 0", status, errs)
	}
}

func TestOverloadAdviceIsPrinted(t *testing.T) {
	var out bytes.Buffer
	a := &app{out: &out}
	advice := overload.Advice{Fleet: "f", Token: 7, Number: 3, Sidecars: 12, Congestion: 0.31, Rates: overload.Rates{Requests: 100, InTime: 61.5, Refused: 38.5}}
	if err := a.showAdvice(advice, false); err != nil || !strings.Contains(out.String(), "f: 12 sidecars, answers take 0.31 of their latency objectives (token 7, advice 3)") || !strings.Contains(out.String(), "100.0 requested, 61.5 served in time, 0.0 late, 38.5 refused") || !strings.Contains(out.String(), "no tenant is limited") {
		t.Errorf("%v: %s", err, out.String())
	}
	out.Reset()
	advice.Tenants = []overload.TenantAdvice{{Tenant: "acme", AdmitFraction: 0.075, RequestRate: 8210.4, AllowedRate: 611.9}}
	if err := a.showAdvice(advice, false); err != nil || !strings.Contains(out.String(), "acme    8210.4       611.9      7.5 %") {
		t.Errorf("%v: %s", err, out.String())
	}
}

// Existing scripts may set the variable under its former name.
func TestFormerEnvironmentVariableNamesTheConfiguration(t *testing.T) {
	for variable, warned := range map[string]bool{"FLEETCTL_CONFIG": false, "BARLEYCTL_CONFIG": true} {
		getenv := func(name string) string {
			if name == variable {
				return "/nonexistent"
			}
			return ""
		}
		var out, errs bytes.Buffer
		status := run(t.Context(), []string{"status"}, getenv, &out, &errs)
		if status != statusFailed || !strings.Contains(errs.String(), "/nonexistent") {
			t.Errorf("%s: got status %d, output %q; want status 1 and an error that names the file /nonexistent", variable, status, errs.String())
		}
		if got := strings.Contains(errs.String(), "BARLEYCTL_CONFIG is deprecated, use FLEETCTL_CONFIG"); got != warned {
			t.Errorf("%s: got deprecation warning %v, want %v", variable, got, warned)
		}
	}
}
