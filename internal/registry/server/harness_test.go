package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

// When the test binary runs as a replica, it locks its main thread as cmd/registry does.
func init() {
	if os.Getenv(configEnvVariable) != "" {
		runtime.LockOSThread()
	}
}

func TestMain(m *testing.M) {
	if config := os.Getenv(configEnvVariable); config != "" {
		if err := runReplica(config); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})))
	os.Exit(m.Run())
}

// eventTimeout is the timeout after which a test that waits for an event fails.
const eventTimeout = 30 * time.Second

func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func listen(t testing.TB, addr string) net.Listener {
	t.Helper()
	var ln net.Listener
	eventually(t, "the address is free", func() (ok bool) {
		var err error
		ln, err = net.Listen("tcp", addr)
		return err == nil
	})
	return ln
}

// node is one replica of a group that runs in the test's process.
type node struct {
	t      testing.TB
	config *Config
	member registry.ReplicaInfo
	*Replica
	server *http.Server
	up     bool
}

func (n *node) start() {
	n.t.Helper()
	n.serve(listen(n.t, n.member.HTTP), listen(n.t, n.member.Raft))
}

func (n *node) serve(ln, peers net.Listener) {
	n.t.Helper()
	r, err := Open(n.config, peers)
	if err != nil {
		n.t.Fatal(err)
	}
	n.Replica, n.server, n.up = r, r.HTTPServer(), true
	go n.server.Serve(ln)
}

// stop simulates a crash of the replica as far as is possible within one process:
// leadership is not transferred, and connections are closed abruptly.
func (n *node) stop() {
	n.t.Helper()
	if !n.up {
		return
	}
	n.up = false
	n.server.Close()
	if err := n.Close(); err != nil {
		n.t.Error(err)
	}
}

// parseSettings returns the configuration parsed from these settings.
func parseSettings(t testing.TB, settings map[string]any) *Config {
	t.Helper()
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	c, err := ParseConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// group is a group of replicas in the test's process.
type group struct {
	t     testing.TB
	nodes []*node
}

// startGroup runs a group of n replicas until the test ends.
func startGroup(t testing.TB, n int) *group {
	t.Helper()
	g := &group{t: t}
	var members []registry.ReplicaInfo
	var https, rafts []net.Listener
	for i := range n {
		https, rafts = append(https, listen(t, "127.0.0.1:0")), append(rafts, listen(t, "127.0.0.1:0"))
		members = append(members, registry.ReplicaInfo{ID: fmt.Sprint("r", i), HTTP: https[i].Addr().String(), Raft: rafts[i].Addr().String()})
	}
	for _, m := range members {
		config := parseSettings(t, map[string]any{
			"group": "test", "id": m.ID, "data": t.TempDir(), "replicas": members,
			"timing": map[string]any{"election_ms": 200}, "sessions": map[string]any{"floor": 0.5, "within_ms": 60000},
		})
		g.nodes = append(g.nodes, &node{t: t, config: config, member: m})
	}
	for i, n := range g.nodes {
		n.serve(https[i], rafts[i])
	}
	t.Cleanup(func() {
		for _, n := range g.nodes {
			n.stop()
		}
	})
	for _, n := range g.nodes {
		eventually(t, "replica "+n.member.ID+" is ready", func() bool { return n.ready.Load() })
	}
	return g
}

func (g *group) leader() *node {
	var leader *node
	eventually(g.t, "there is a leader", func() bool {
		for _, n := range g.nodes {
			if n.up && n.linearize() == nil {
				leader = n
				return true
			}
		}
		return false
	})
	return leader
}

func (g *group) addrs() []string {
	var all []string
	for _, n := range g.nodes {
		all = append(all, n.member.HTTP)
	}
	return all
}

func (g *group) client() *client.Client {
	g.t.Helper()
	c, err := client.New(g.addrs(), 1)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(c.Close)
	return c
}

func instance(host string, born int64) registry.Instance {
	block := 1
	return registry.Instance{Host: host, Dial: "127.0.0.1:7070", Site: "a", Class: "m2", Block: &block, Health: registry.HealthUp, Share: 1, BornMS: born}
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	t.Cleanup(cancel)
	return ctx
}

// testWatcher maintains the list from watch updates, as a sidecar does.
type testWatcher struct {
	mu               sync.Mutex
	list             map[string]string // health and start time by host
	seq              uint64
	versionDecreases int
}

func startTestWatcher(t testing.TB, addrs []string, seed uint64) *testWatcher {
	t.Helper()
	watcher := &testWatcher{list: make(map[string]string)}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	w := client.NewWatcher(client.WatcherOptions{Addrs: addrs, Seed: seed, Deliver: watcher.handle})
	done.Go(func() { w.Follow(ctx) })
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	return watcher
}

func (w *testWatcher) handle(l client.ListUpdate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.Seq < w.seq {
		w.versionDecreases++
	}
	w.seq = l.Seq
	if l.Full {
		clear(w.list)
	}
	for _, e := range l.Endpoints {
		if e.Health == "removed" {
			delete(w.list, e.Host)
		} else {
			w.list[e.Host] = fmt.Sprint(e.Health, " ", int64(e.BornMS))
		}
	}
}

func (w *testWatcher) holds(want map[string]string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Equal(w.list, want)
}

// checkWatchers waits until all watchers hold a list, and checks that their versions never decreased.
func checkWatchers(t testing.TB, watchers []*testWatcher, want map[string]string) {
	t.Helper()
	for i, w := range watchers {
		eventually(t, fmt.Sprintf("watcher %d holds the list", i), func() bool { return w.holds(want) })
		if w.versionDecreases > 0 {
			t.Errorf("watcher %d: the version decreased %d times, want never", i, w.versionDecreases)
		}
	}
}

// expectedList returns the list that watchers must hold.
func (n *node) expectedList() map[string]string {
	want := make(map[string]string)
	n.stateMachine.view(func(s *registry.State) {
		for _, i := range s.FullList().Instances {
			want[i.Host] = fmt.Sprint(i.Health, " ", i.BornMS)
		}
	})
	return want
}

func get(t testing.TB, url string) (status int, header http.Header, body string) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(text)
}

func callAPI(t testing.TB, method, url, body string) (status int, response registry.WriteResponse, text string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	json.Unmarshal(got, &response)
	return resp.StatusCode, response, string(got)
}
