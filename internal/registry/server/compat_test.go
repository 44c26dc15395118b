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

// Data and messages of an earlier version must remain readable. The files in
// testdata/396a775 were written by the program of that commit, with
//
//	go test ./internal/registry/server -run 'Earlier' -earlier PROGRAM -record
//
// Without -record, -earlier names the program that runs as a replica in TestGroupWithEarlierVersion.
var (
	earlierProgram = flag.String("earlier", "", "the registry `program` of an earlier version")
	record         = flag.Bool("record", false, "write the fixtures anew with that program")
)

// configEnvVariable is the environment variable with the path of a configuration file. If it is
// set, the test binary runs as a replica with that configuration.
const configEnvVariable = "REGISTRY_TEST_CONFIG"

// runReplica does the same as cmd/registry.
func runReplica(config string) error {
	if err := diskgate.InstallFilter(); err != nil {
		return err
	}
	stop, done := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer done()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGXFSZ) // sent when a write exceeds the file size limit that simulates a full disk
	return Run(stop, reload, config)
}

// process is a replica that runs as a separate process.
type process struct {
	t       testing.TB
	command *exec.Cmd // nil once it has ended
	output  bytes.Buffer
}

// startProcess starts a replica of the given program, or of this version if program is empty.
func startProcess(t testing.TB, program, config string) *process {
	t.Helper()
	p := &process{t: t}
	if program == "" {
		p.command = exec.Command(os.Args[0])
		p.command.Env = append(os.Environ(), configEnvVariable+"="+config)
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
			t.Logf("output of a replica's process:\n%s", p.output.String())
		}
	})
	return p
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	if p.command != nil {
		p.command.Process.Kill()
		p.command.Wait()
		p.command = nil
	}
}

// terminate sends the process SIGTERM, and waits until it has exited.
func (p *process) terminate() {
	p.t.Helper()
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		p.t.Fatal(err)
	}
	if err := faultinjection.CheckEnd(p.command.Wait(), p.output.String()); err != nil {
		p.t.Errorf("a replica after SIGTERM: %v", err)
	}
	p.command = nil
}

// newMembers returns replicas with free addresses that the system picked.
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

// mustCallAPI makes a call of the API and fails the test unless it succeeds.
func mustCallAPI(t testing.TB, m registry.ReplicaInfo, method, path, body string) {
	t.Helper()
	if status, _, text := callAPI(t, method, "http://"+m.HTTP+registry.APIPath+path, body); status != http.StatusOK {
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
