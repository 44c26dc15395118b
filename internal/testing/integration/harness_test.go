// Package integration runs real processes of ours on loopback, breaks some of them
// and counts what became of every request. It holds tests alone.
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

const patience = 60 * time.Second // how long a test waits for an event; it never has to in a good run

// The test binary starts itself again as the processes under test: they are the
// same code, with the race detector where the test has it.
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
	signal.Ignore(syscall.SIGXFSZ) // a disk that the rig has filled
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
	t     testing.TB
	name  string
	env   []string
	cmd   *exec.Cmd
	log   *output
	begun int // where the last start's log begins
	ended chan error
}

// output keeps what a process writes.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// after returns what was written after the first bytes.
func (o *output) after(begun int) string { return o.String()[begun:] }

func (o *output) count(what string) int { return strings.Count(o.String(), what) }

func newProcess(t testing.TB, name, role string, env ...string) *process {
	p := &process{t: t, name: name, env: append(env, roleVariable+"="+role), log: new(output)}
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
	p.begun = len(p.log.String())
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the test
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

// kill ends the process outright. It must not have failed by itself before.
func (p *process) kill() {
	p.t.Helper()
	killError := p.cmd.Process.Kill()
	err := <-p.ended
	p.cmd = nil
	if err = p.checkEnd(err); errors.Is(killError, os.ErrProcessDone) && err != nil {
		p.t.Errorf("%s had ended before it was killed, with %v", p.name, err)
	}
}

// checkEnd returns an error unless the process has ended in order.
func (p *process) checkEnd(waitError error) error {
	return faultinjection.CheckEnd(waitError, p.log.after(p.begun))
}

// wait waits for the process to end by itself.
func (p *process) wait() {
	p.t.Helper()
	select {
	case err := <-p.ended:
		p.cmd = nil
		if err := p.checkEnd(err); err != nil {
			p.t.Errorf("%s ended with %v", p.name, err)
		}
	case <-time.After(patience):
		p.t.Errorf("%s does not end", p.name)
		p.kill()
	}
}

// eventually waits until a condition holds that no event tells of.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

// freeAddr is an address that nobody listens on, nor comes to.
func freeAddr(t testing.TB) string {
	t.Helper()
	address, err := loopback.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// readFile reads what writeFile has written.
func readFile(path string, v any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, v)
}

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

// registries runs a registry of n replicas.
type registries struct {
	t        testing.TB
	members  []registry.ReplicaInfo
	replicas []*process
}

func startRegistries(t testing.TB, n int) *registries {
	t.Helper()
	g := &registries{t: t}
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

func (g *registries) addrs() []string {
	var all []string
	for _, m := range g.members {
		all = append(all, m.HTTP)
	}
	return all
}

func (g *registries) client() *client.Client {
	g.t.Helper()
	c, err := client.New(g.addrs(), 1)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(c.Close)
	return c
}

func (g *registries) status(i int) (s registry.StatusResponse, ok bool) {
	resp, err := http.Get("http://" + g.members[i].HTTP + registry.APIPath + "status")
	if err != nil {
		return s, false
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s) == nil
}

func (g *registries) allReady() {
	g.t.Helper()
	for i := range g.members {
		eventually(g.t, fmt.Sprintf("registry %d is ready", i), func() bool { s, ok := g.status(i); return ok && s.Ready })
	}
}

// leader is which replica leads.
func (g *registries) leader() int {
	g.t.Helper()
	leader := -1
	eventually(g.t, "there is a leader", func() bool {
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

// settings are those of a small site with one class of each effect.
const settings = `{"balancers":4,"caps":{"may_cancel":true,"probes":false,"most_tries":3,"dial_timeout_ms":250,"conn_idle_ms":30000,"max_retry_after_ms":1200},
	"classes":[{"name":"read","semantics":"free","aim_ms":2000,"hard_limit_ms":5000,"worth":1},
		{"name":"keyed","semantics":"guarded","dedup_scope":"all","window_ms":4000,"aim_ms":2000,"hard_limit_ms":5000,"worth":1},
		{"name":"once","semantics":"single_shot","aim_ms":2000,"hard_limit_ms":5000,"worth":1}],
	"discovery":"push","zones":["a"],"rules":{"cold_from":0.9,"cold_ms":100,"fall_multiple":3,"drain_grace_ms":3000}}`

// sidecarProcess is a sidecar under test.
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

// alive says whether the process has not ended.
func (p *process) alive() bool {
	select {
	case err := <-p.ended:
		p.ended <- err
		return false
	default:
		return true
	}
}
