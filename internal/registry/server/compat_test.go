package server

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"barleywick/internal/registry"
	"barleywick/internal/testing/diskgate"
	"barleywick/internal/testing/faultinjection"
	"barleywick/internal/testing/fixture"
	"barleywick/internal/testing/loopback"
)

// Data and messages of an earlier version have to stay readable. What stands in
// testdata/396a775 was written by that commit's program, by
//
//	go test ./internal/registry/server -run 'Earlier' -earlier PROGRAM -record
//
// Without -record, -earlier names the program that takes part in TestGroupWithEarlierVersion.
var (
	earlierProgram = flag.String("earlier", "", "the registry `program` of an earlier version")
	record         = flag.Bool("record", false, "write the fixtures anew with that program")
)

// processVariable makes the test binary a replica: it names the configuration.
const processVariable = "REGISTRY_TEST_CONFIG"

// runReplica is what cmd/registry does.
func runReplica(config string) error {
	if err := diskgate.Enter(); err != nil {
		return err
	}
	stop, done := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer done()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGXFSZ) // a disk that a test has filled
	return Run(stop, reload, config)
}

// process is a replica that runs as a process of its own.
type process struct {
	t       testing.TB
	command *exec.Cmd // nil once it has ended
	output  bytes.Buffer
}

// startProcess starts a replica: of the program named, or of this version if none is.
func startProcess(t testing.TB, program, config string) *process {
	t.Helper()
	p := &process{t: t}
	if program == "" {
		p.command = exec.Command(os.Args[0])
		p.command.Env = append(os.Environ(), processVariable+"="+config)
	} else {
		p.command = exec.Command(program, "-config", config)
	}
	p.command.Stdout, p.command.Stderr = &p.output, &p.output
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("a replica's process wrote:\n%s", p.output.String())
		}
	})
	return p
}

// kill ends the process without a warning.
func (p *process) kill() {
	if p.command != nil {
		p.command.Process.Kill()
		p.command.Wait()
		p.command = nil
	}
}

// terminate asks the process to end, and waits until it has.
func (p *process) terminate() {
	p.t.Helper()
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		p.t.Fatal(err)
	}
	if err := faultinjection.CheckEnd(p.command.Wait(), p.output.String()); err != nil {
		p.t.Errorf("a replica that was asked to end: %v", err)
	}
	p.command = nil
}

// newMembers are replicas at addresses that the system picked and nobody uses.
func newMembers(t testing.TB, ids ...string) (members []registry.ReplicaInfo) {
	t.Helper()
	addr := func() string {
		a, err := loopback.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	for _, id := range ids {
		members = append(members, registry.ReplicaInfo{ID: id, HTTP: addr(), Raft: addr()})
	}
	return members
}

// writeConfig writes a replica's configuration file.
func writeConfig(t testing.TB, settings map[string]any) (path string) {
	t.Helper()
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	path = filepath.Join(t.TempDir(), "registry.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func awaitReady(t testing.TB, m registry.ReplicaInfo) {
	t.Helper()
	eventually(t, "replica "+m.ID+" is ready", func() bool {
		resp, err := http.Get("http://" + m.HTTP + "/health/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// mustDo makes a call of the write interface that has to succeed.
func mustDo(t testing.TB, m registry.ReplicaInfo, method, path, body string) {
	t.Helper()
	if status, _, text := do(t, method, "http://"+m.HTTP+registry.APIPath+path, body); status != http.StatusOK {
		t.Fatalf("%s %s %s: got %d %s", method, path, body, status, text)
	}
}

func awaitGrantsOpen(t testing.TB, m registry.ReplicaInfo) {
	t.Helper()
	eventually(t, "leases are granted", func() bool {
		_, _, text := get(t, "http://"+m.HTTP+registry.APIPath+"leases")
		return !strings.Contains(text, `"shut":true`)
	})
}

func writeFixture(t testing.TB, name string, text []byte) {
	t.Helper()
	path := filepath.Join(fixture.Folder, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		t.Fatal(err)
	}
}
