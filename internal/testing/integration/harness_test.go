// Package integration runs the project's programs as real processes on loopback, injects faults and
// checks the result of every request. It contains only tests.
package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
	"barleywick/internal/registry/server"
	"barleywick/internal/sidecar"
	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecarmember"
	"barleywick/internal/testing/faultinjection"
	"barleywick/internal/testing/loopback"
)

const eventTimeout = 60 * time.Second // how long a test waits for an event; reached only in failing runs

// The test binary also runs as each process under test, so that these have the race detector whenever
// the test has it.
const (
	roleVariable   = "SYSTEMTEST_ROLE"
	configVariable = "SYSTEMTEST_CONFIG"
)

func TestMain(m *testing.M) {
	run := map[string]func() error{"registry": runRegistry, "sidecar": runSidecar, "actor": runActor, "keeper": runController, failingRole: runFailing, cutOffRole: runCutOff}[os.Getenv(roleVariable)]
	if run == nil {
		os.Exit(m.Run())
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func signals() (stop context.Context, reload <-chan os.Signal) {
	stop, _ = signal.NotifyContext(context.Background(), syscall.SIGTERM)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return stop, hup
}

func runRegistry() error {
	stop, reload := signals()
	signal.Ignore(syscall.SIGXFSZ) // sent when the rig has filled the disk
	return server.Run(stop, reload, os.Getenv(configVariable))
}

func runSidecar() error {
	stop, reload := signals()
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	return sidecar.Run(stop, reload, c, sidecar.WithMembership(sidecarmember.New))
}

// process is one process under test.
type process struct {
	t        testing.TB
	name     string
	env      []string
	cmd      *exec.Cmd
	log      *processLog
	logStart int // offset of the last start in the log; checkEnd ignores earlier output
	ended    chan error
}

// processLog holds the output of a process.
type processLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *processLog) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *processLog) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// from returns the output from an offset on.
func (o *processLog) from(offset int) string { return o.String()[offset:] }

func (o *processLog) count(what string) int { return strings.Count(o.String(), what) }

func newProcess(t testing.TB, name, role string, env ...string) *process {
	p := &process{t: t, name: name, env: append(env, roleVariable+"="+role), log: new(processLog)}
	t.Cleanup(func() {
		if p.cmd != nil {
			p.kill()
		}
		if t.Failed() {
			t.Logf("%s:\n%s", name, p.log)
		}
	})
	return p
}

func (p *process) start() {
	p.t.Helper()
	p.logStart = len(p.log.String())
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the test
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	ended, cmd := make(chan error, 1), p.cmd
	p.ended = ended
	go func() { ended <- cmd.Wait() }()
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Errorf("%s: %v", p.name, err)
	}
}

// kill sends SIGKILL and waits for the end. That the process failed before is an error of the test.
func (p *process) kill() {
	p.t.Helper()
	killError := p.cmd.Process.Kill()
	err := <-p.ended
	p.cmd = nil
	if err = p.checkEnd(err); errors.Is(killError, os.ErrProcessDone) && err != nil {
		p.t.Errorf("%s ended before it was killed: %v", p.name, err)
	}
}

// checkEnd returns an error unless the process has shut down gracefully.
func (p *process) checkEnd(waitError error) error {
	return faultinjection.CheckEnd(waitError, p.log.from(p.logStart))
}

// wait waits for the process to end by itself.
func (p *process) wait() {
	p.t.Helper()
	select {
	case err := <-p.ended:
		p.cmd = nil
		if err := p.checkEnd(err); err != nil {
			p.t.Errorf("%s did not shut down gracefully: %v", p.name, err)
		}
	case <-time.After(eventTimeout):
		p.t.Errorf("%s did not end within the event timeout", p.name)
		p.kill()
	}
}

// eventually polls until a condition holds, and fails the test after the event timeout.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// freeAddr returns an address that no process listens on or connects to.
func freeAddr(t testing.TB) string {
	t.Helper()
	address, err := loopback.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// readFile decodes a JSON file into v.
func readFile(path string, v any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, v)
}

// writeFile writes v as JSON to a temporary file and returns its path.
func writeFile(t testing.TB, name string, v any) string {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// registryGroup is a running registry of several replicas.
type registryGroup struct {
	t        testing.TB
	members  []registry.ReplicaInfo
	replicas []*process
}

func startRegistryGroup(t testing.TB, n int) *registryGroup {
	t.Helper()
	g := &registryGroup{t: t}
	for i := range n {
		g.members = append(g.members, registry.ReplicaInfo{ID: fmt.Sprint("r", i), HTTP: freeAddr(t), Raft: freeAddr(t)})
	}
	for i, m := range g.members {
		path := writeFile(t, "registry.json", map[string]any{
			"group": "test", "id": m.ID, "data": t.TempDir(), "replicas": g.members, "timing": map[string]any{"election_ms": 500},
		})
		g.replicas = append(g.replicas, newProcess(t, fmt.Sprint("registry ", i), "registry", configVariable+"="+path))
		g.replicas[i].start()
	}
	g.allReady()
	return g
}

func (g *registryGroup) addrs() []string {
	var all []string
	for _, m := range g.members {
		all = append(all, m.HTTP)
	}
	return all
}

func (g *registryGroup) client() *client.Client {
	g.t.Helper()
	c, err := client.New(g.addrs(), 1)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(c.Close)
	return c
}

func (g *registryGroup) status(i int) (s registry.StatusResponse, ok bool) {
	resp, err := http.Get("http://" + g.members[i].HTTP + registry.APIPath + "status")
	if err != nil {
		return s, false
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s) == nil
}

func (g *registryGroup) allReady() {
	g.t.Helper()
	for i := range g.members {
		eventually(g.t, fmt.Sprintf("registry %d is ready", i), func() bool { s, ok := g.status(i); return ok && s.Ready })
	}
}

// leader waits for a leader and returns its index.
func (g *registryGroup) leader() int {
	g.t.Helper()
	leader := -1
	eventually(g.t, "a replica leads", func() bool {
		for i, p := range g.replicas {
			if p.cmd == nil {
				continue
			}
			if s, ok := g.status(i); ok && s.State == "leader" {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// settings are the sidecar settings of a small site with one class of each idempotency.
const settings = `{"balancers":4,"caps":{"may_cancel":true,"probes":false,"most_tries":3,"dial_timeout_ms":250,"conn_idle_ms":30000,"max_retry_after_ms":1200},
	"classes":[{"name":"read","semantics":"free","aim_ms":2000,"hard_limit_ms":5000,"worth":1},
		{"name":"keyed","semantics":"guarded","dedup_scope":"all","window_ms":4000,"aim_ms":2000,"hard_limit_ms":5000,"worth":1},
		{"name":"once","semantics":"single_shot","aim_ms":2000,"hard_limit_ms":5000,"worth":1}],
	"discovery":"push","zones":["a"],"rules":{"cold_from":0.9,"cold_ms":100,"fall_multiple":3,"drain_grace_ms":3000}}`

// sidecarProcess is a sidecar process under test.
type sidecarProcess struct {
	*process
	addr string
}

func startSidecar(t testing.TB, name string, discovery []string) *sidecarProcess {
	t.Helper()
	s := &sidecarProcess{addr: freeAddr(t)}
	path := writeFile(t, "sidecar.json", map[string]any{
		"name": name, "listen": s.addr, "discovery": discovery[0], "discovery_replicas": discovery[1:], "seed": "8c1f30d27a5be96" + name[len(name)-1:],
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 512}, "settings": json.RawMessage(settings),
	})
	s.process = newProcess(t, name, "sidecar", "ROUTER_CONFIG="+path)
	s.start()
	s.ready()
	return s
}

func (s *sidecarProcess) ready() {
	s.t.Helper()
	eventually(s.t, s.name+" is ready", func() bool {
		resp, err := http.Get("http://" + s.addr + "/health/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// alive reports whether the process is still running.
func (p *process) alive() bool {
	select {
	case err := <-p.ended:
		p.ended <- err
		return false
	default:
		return true
	}
}
