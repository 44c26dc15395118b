// Package integration runs real processes of ours on loopback, breaks some of them
// and counts what became of every request. It holds tests alone.
package integration

import (
	"barleywick/internal/sidecar/config"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
	"barleywick/internal/registry/server"
	"barleywick/internal/sidecar"
	"barleywick/internal/sidecarmember"
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
	run := map[string]func() error{"registry": runRegistry, "sidecar": runSidecar, "actor": runActor, "keeper": runKeeper}[os.Getenv(roleVariable)]
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

// kill ends the process outright.
func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.ended
	p.cmd = nil
}

// wait waits for the process to end by itself.
func (p *process) wait() {
	p.t.Helper()
	select {
	case err := <-p.ended:
		if p.cmd = nil; err != nil {
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

// booking is a stand-in for a booking server: it takes a moment over each request
// and notes which ids it ran.
type booking struct {
	host, machine string
	addr          string
	server        *http.Server
	work          time.Duration

	mu      sync.Mutex
	ran     map[string]int
	running int
	last    time.Time // the last request's begin
	leave   context.CancelFunc
	left    chan error
}

func startBooking(t testing.TB, host, machine string, work time.Duration) *booking {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &booking{host: host, machine: machine, addr: ln.Addr().String(), work: work, ran: make(map[string]int)}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: patience}
	go b.server.Serve(ln)
	t.Cleanup(func() {
		if b.leave != nil {
			b.leave()
			<-b.left
		}
		b.server.Close()
	})
	return b
}

func (b *booking) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/stats" {
		fmt.Fprintf(w, "TEXT inflight=%d, queue=0", b.held())
		return
	}
	id := q.Header.Get("Request-Id")
	if id == "" {
		http.NotFound(w, q)
		return
	}
	io.Copy(io.Discard, q.Body)
	b.mu.Lock()
	b.ran[id]++
	b.running++
	b.last = time.Now()
	b.mu.Unlock()
	time.Sleep(b.work)
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	text := "done " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	io.WriteString(w, text)
}

// requests is how many requests it has begun.
func (b *booking) requests() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range b.ran {
		n += k
	}
	return n
}

// held is how many requests it has.
func (b *booking) held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

// lastBegin is when it began a request last.
func (b *booking) lastBegin() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// register keeps the server in the registry's list until the test ends.
func (b *booking) register(t testing.TB, c *client.Client, ttl time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	b.leave, b.left = cancel, make(chan error, 1)
	block := 1
	r := registry.RegisterRequest{
		Instance: registry.Instance{Host: b.host, Dial: b.addr, Site: "a", Class: "m2", Block: &block, Health: registry.HealthUp, Share: 1},
		Session:  b.host + "-1", TTLMS: ttl.Milliseconds(), Machine: b.machine,
	}
	registered := make(chan struct{}, 100)
	go func() {
		b.left <- c.KeepRegistered(ctx, r, func(registry.WriteResponse) {
			select {
			case registered <- struct{}{}:
			default:
			}
		})
	}()
	select {
	case <-registered:
	case <-time.After(patience):
		t.Fatalf("%s is not registered", b.host)
	}
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

// load is a constant load on sidecars, with the fate of every request.
type load struct {
	stop    context.CancelFunc
	clients sync.WaitGroup
	sent    atomic.Int64

	mu     sync.Mutex
	served map[string]bool
	other  map[string]string // id: what it got instead
	gates  map[*sidecarProcess]*sync.RWMutex
}

var methods = map[string]string{"read": http.MethodGet, "keyed": http.MethodPost, "once": http.MethodPost}

// startLoad lets clients of each sidecar ask one request after the other.
func startLoad(t testing.TB, clients int, sidecars ...*sidecarProcess) *load {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{stop: cancel, served: make(map[string]bool), other: make(map[string]string), gates: make(map[*sidecarProcess]*sync.RWMutex)}
	for _, s := range sidecars {
		l.gates[s] = new(sync.RWMutex)
	}
	for i, s := range sidecars {
		for j := range clients {
			l.clients.Go(func() {
				c := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
				defer c.CloseIdleConnections()
				for n := 0; ctx.Err() == nil; n++ {
					class := []string{"read", "keyed", "once"}[(n+j)%3]
					id := fmt.Sprintf("%d-%d-%d-%s", i, j, n, class)
					l.gates[s].RLock()
					l.sent.Add(1)
					gate := l.gates[s].RUnlock
					got := askOnce(c, s.addr, id, class, gate)
					l.mu.Lock()
					if got == "done "+id {
						l.served[id] = true
					} else {
						l.other[id] = got
					}
					l.mu.Unlock()
				}
			})
		}
	}
	t.Cleanup(func() {
		cancel()
		l.clients.Wait()
	})
	return l
}

// askOnce sends one request as a client does: a request on a kept connection that
// proves to be closed is sent once more on a new one, as the protocol says. sent is
// called when it has been written.
func askOnce(c *http.Client, addr, id, class string, sent func()) string {
	written := sync.OnceFunc(sent)
	defer written()
	got, reused, err := try(c, addr, id, class, written)
	if err != nil && reused {
		c.CloseIdleConnections()
		got, _, err = try(c, addr, id, class, written)
	}
	if err != nil {
		return err.Error()
	}
	return got
}

// try sends a request once, and says whether it was on a kept connection.
func try(c *http.Client, addr, id, class string, written func()) (got string, reused bool, err error) {
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { reused = i.Reused },
		WroteRequest: func(httptrace.WroteRequestInfo) { written() },
	})
	req, err := http.NewRequestWithContext(ctx, methods[class], "http://"+addr+"/api", nil)
	if err != nil {
		return "", false, err
	}
	req.Header = http.Header{"Request-Id": {id}, "Request-Class": {class}, "Request-Timeout": {"4.5"}}
	if class == "keyed" {
		req.Header.Set("Idempotency-Key", id)
	}
	resp, err := c.Do(req)
	if err != nil {
		return "", reused, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", false, err // an answer had begun
	}
	if resp.StatusCode != http.StatusOK {
		return strconv.Itoa(resp.StatusCode), false, nil
	}
	return string(text), false, nil
}

// pause lets a sidecar's clients send nothing more until resume; what they have
// sent goes on. A client and its sidecar end together, so between a sidecar's end and
// its return there is nobody who asks.
func (l *load) pause(s *sidecarProcess)  { l.gates[s].Lock() }
func (l *load) resume(s *sidecarProcess) { l.gates[s].Unlock() }

// end stops the load and waits for the last answer.
func (l *load) end() {
	l.stop()
	l.clients.Wait()
}

// await lets so many more requests be sent.
func (l *load) await(t testing.TB, more int64) {
	t.Helper()
	until := l.sent.Load() + more
	eventually(t, "the load goes on", func() bool { return l.sent.Load() >= until })
}

// account checks the fate of every request: each sent got one answer, each answer
// was made for it, and none that must not run twice did.
func (l *load) account(t testing.TB, servers []*booking) (served, refused, lost int) {
	t.Helper()
	ran := make(map[string]int)
	for _, b := range servers {
		b.mu.Lock()
		for id, n := range b.ran {
			ran[id] += n
		}
		b.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.served) + len(l.other); n != int(l.sent.Load()) {
		t.Errorf("%d requests were sent and %d ended", l.sent.Load(), n)
	}
	for id := range l.served {
		if ran[id] == 0 {
			t.Errorf("%s was served and never ran", id)
		}
	}
	for id, n := range ran {
		if strings.HasSuffix(id, "-once") && n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	for id, got := range l.other {
		if got == "503" || got == "429" {
			refused++
			if strings.HasSuffix(id, "-once") && ran[id] > 0 {
				t.Errorf("%s was refused and had run", id)
			}
			continue
		}
		lost++
		t.Logf("%s: %s", id, got)
	}
	return len(l.served), refused, lost
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
