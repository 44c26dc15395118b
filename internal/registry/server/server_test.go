package server

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
)

func TestMain(m *testing.M) {
	if config := os.Getenv(processVariable); config != "" {
		if err := runReplica(config); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})))
	os.Exit(m.Run())
}

const patience = 30 * time.Second // how long a test waits for an event; it never has to in a good run

func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain until %s", what)
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

// node is one replica of a test's group.
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

// stop ends a replica as a lost process does, as far as one process can: nothing
// is handed over and connections are cut.
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
		text, err := json.Marshal(map[string]any{
			"group": "test", "id": m.ID, "data": t.TempDir(), "replicas": members,
			"timing": map[string]any{"election_ms": 200}, "sessions": map[string]any{"floor": 0.5, "within_ms": 60000},
		})
		if err != nil {
			t.Fatal(err)
		}
		c, err := ParseConfig(text)
		if err != nil {
			t.Fatal(err)
		}
		g.nodes = append(g.nodes, &node{t: t, config: c, member: m})
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
		eventually(t, "a replica is ready", func() bool { return n.ready.Load() })
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

// testWatcher is an unchanged sidecar's side: it holds what the watch told it.
type testWatcher struct {
	mu   sync.Mutex
	held map[string]string // host: health and start
	seq  uint64
	back int // versions that went back, but for whole lists of another history
}

func startTestWatcher(t testing.TB, addrs []string, seed uint64) *testWatcher {
	t.Helper()
	f := &testWatcher{held: make(map[string]string)}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	w := client.NewWatcher(client.WatcherOptions{Addrs: addrs, Seed: seed, Deliver: f.take})
	done.Go(func() { w.Follow(ctx) })
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	return f
}

func (f *testWatcher) take(l client.ListUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.Seq < f.seq {
		f.back++
	}
	f.seq = l.Seq
	if l.Full {
		clear(f.held)
	}
	for _, e := range l.Endpoints {
		if e.Health == "removed" {
			delete(f.held, e.Host)
		} else {
			f.held[e.Host] = fmt.Sprint(e.Health, " ", int64(e.BornMS))
		}
	}
}

func (f *testWatcher) holds(want map[string]string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Equal(f.held, want)
}

// wantedList is what followers have to hold.
func (n *node) wantedList() map[string]string {
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

func do(t testing.TB, method, url, body string) (status int, answer registry.WriteResponse, text string) {
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
	json.Unmarshal(got, &answer)
	return resp.StatusCode, answer, string(got)
}

// The protocol's list and watch, word for word, from one replica.
func TestListAndWatchAsTheProtocolHasThem(t *testing.T) {
	g := startGroup(t, 1)
	n, c := g.nodes[0], g.client()
	first, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance("s-1", 5)})
	if err != nil {
		t.Fatal(err)
	}
	base := "http://" + n.member.HTTP + registry.ListPath
	status, header, text := get(t, base)
	want := fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:7070","site":"a","class":"m2","block":1,"health":"up","share":1,"born_ms":5}]}`, first.Seq)
	if status != 200 || strings.TrimSpace(text) != want || !strings.HasPrefix(header.Get(registry.ReadHeader), registry.ReadCurrent) {
		t.Errorf("the list: %d %s (%s), want %s", status, text, header.Get(registry.ReadHeader), want)
	}
	resp, err := http.Get(fmt.Sprintf("%s?watch=1&from=%d", base, first.Seq))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.ContentLength != -1 || resp.StatusCode != 200 {
		t.Errorf("the watch: %d, length %d; want a chunked answer", resp.StatusCode, resp.ContentLength)
	}
	lines := bufio.NewReader(resp.Body)
	next := func() string {
		t.Helper()
		line, err := lines.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		return strings.TrimSpace(line)
	}
	if got := next(); got != fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[]}`, first.Seq) {
		t.Errorf("the first line is %s, want no change", got)
	}
	if got := next(); got != "" {
		t.Errorf("while nothing changes: %q, want an empty line", got)
	}
	mark, err := c.Mark(testContext(t), registry.MarkRequest{Hosts: []string{"s-1"}, MarkedBy: "ops-a", Draining: true})
	if err != nil {
		t.Fatal(err)
	}
	want = fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[{"host":"s-1","dial":"127.0.0.1:7070","site":"a","class":"m2","block":1,"health":"draining","share":1,"born_ms":5}]}`, mark.Seq)
	if got := next(); got != want {
		t.Errorf("a change: %s, want %s", got, want)
	}
	if err := c.Remove(testContext(t), "s-1", ""); err != nil {
		t.Fatal(err)
	}
	var l registry.ListUpdate
	if err := json.Unmarshal([]byte(next()), &l); err != nil || l.Seq <= mark.Seq || len(l.Instances) != 1 || l.Instances[0].Health != registry.HealthRemoved {
		t.Errorf("the removal: %+v, error %v", l, err)
	}
	for _, from := range []string{"0", "41", fmt.Sprint(uint64(1) << 60), "18446744073709551615"} {
		resp, err := http.Get(base + "?watch=1&from=" + from)
		if err != nil {
			t.Fatal(err)
		}
		line, err := bufio.NewReader(resp.Body).ReadString('\n')
		resp.Body.Close()
		if err != nil || !strings.Contains(line, `"whole":true`) {
			t.Errorf("from %s: %s, error %v; want the whole list", from, line, err)
		}
	}
}

// Bad input gets one line that says why, and leaves the state as it was.
func TestBadInput(t *testing.T) {
	g := startGroup(t, 1)
	n, c := g.nodes[0], g.client()
	if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance("s-1", 5), Session: "x", TTLMS: 60000}); err != nil {
		t.Fatal(err)
	}
	seq := n.stateMachine.seq()
	good, _ := json.Marshal(registry.RegisterRequest{Instance: instance("s-2", 5)})
	with := func(old, new string) string {
		if !strings.Contains(string(good), old) {
			t.Fatalf("%s has no %s", good, old)
		}
		return strings.Replace(string(good), old, new, 1)
	}
	for name, x := range map[string]struct {
		method, path, body string
		status             int
	}{
		"unreadable":          {"PUT", "instances/s-2", `{"instance":`, 400},
		"nothing":             {"PUT", "instances/s-2", ``, 400},
		"an unknown key":      {"PUT", "instances/s-2", `{"instanse":{}}`, 400},
		"more behind it":      {"PUT", "instances/s-2", string(good) + "{}", 400},
		"a wrong type":        {"PUT", "instances/s-2", with(`"share":1`, `"share":"much"`), 400},
		"a huge number":       {"PUT", "instances/s-2", with(`"share":1`, `"share":1e400`), 400},
		"another host":        {"PUT", "instances/s-3", string(good), 400},
		"another network":     {"PUT", "instances/s-2", with("127.0.0.1", "192.0.2.1"), 400},
		"a session alone":     {"PUT", "instances/s-2", with(`"session":""`, `"session":"x"`), 400},
		"a short session":     {"PUT", "instances/s-2", with(`"session":"","ttl_ms":0`, `"session":"x","ttl_ms":1`), 400},
		"a negative version":  {"PUT", "instances/s-2", with(`"ttl_ms":0`, `"ttl_ms":0,"if_version":-1`), 400},
		"a taken host":        {"PUT", "instances/s-1", with(`"s-2"`, `"s-1"`), 409},
		"another version":     {"PUT", "instances/s-2", with(`"ttl_ms":0`, `"ttl_ms":0,"if_version":7`), 409},
		"an oversized body":   {"PUT", "instances/s-2", with(`"m2"`, `"`+strings.Repeat("x", maxBody)+`"`), 413},
		"no such session":     {"POST", "instances/s-1/renew", `{"session":"y"}`, 404},
		"no such host":        {"POST", "instances/s-9/renew", `{"session":"x"}`, 404},
		"a mark on nobody":    {"POST", "marks", `{"hosts":["s-9"],"by":"ops-a","draining":true}`, 404},
		"a mark by nobody":    {"POST", "marks", `{"hosts":["s-1"],"draining":true}`, 400},
		"a removal's version": {"DELETE", "instances/s-1?if_version=x", ``, 400},
		"an old removal":      {"DELETE", "instances/s-1?if_version=7", ``, 409},
		"no record":           {"GET", "records/x", ``, 404},
		"the group's record":  {"PUT", "records/member:x", `{"value":"eA=="}`, 400},
		"no replica":          {"DELETE", "members/r9", ``, 404},
		"a bad replica":       {"PUT", "members/r9", `{"http":"127.0.0.1:1","raft":"192.0.2.1:1"}`, 400},
		"no backup":           {"POST", "restore", `{"form":7}`, 400},
		"an unknown path":     {"GET", "nothing", ``, 404},
		"an unknown method":   {"PATCH", "instances/s-1", ``, 405},
		"a bad read":          {"GET", "instances?linearizable=maybe", ``, 400},
	} {
		status, a, text := do(t, x.method, "http://"+n.member.HTTP+registry.APIPath+x.path, x.body)
		if status != x.status || strings.Count(strings.TrimSpace(text), "\n") > 0 || (x.status < 404 && a.Error == "") {
			t.Errorf("%s: %d %q, want %d and one line", name, status, text, x.status)
		}
	}
	for _, query := range []string{"?watch=1&from=-1", "?watch=1&from=x", "?watch=2", "?watch=1&from=99999999999999999999", "?%zz"} {
		if status, _, _ := get(t, "http://"+n.member.HTTP+registry.ListPath+query); status != 400 {
			t.Errorf("%s: %d, want 400", query, status)
		}
	}
	if n.stateMachine.seq() != seq {
		t.Errorf("the version went from %d to %d", seq, n.stateMachine.seq())
	}
}

// The loss of the leader loses no acknowledged write, no watcher and no session;
// a replica that comes back catches up before it is asked.
func TestLossOfTheLeader(t *testing.T) {
	g := startGroup(t, 3)
	c := g.client()
	var followers []*testWatcher
	for i := range 6 {
		followers = append(followers, startTestWatcher(t, g.addrs(), uint64(i)))
	}
	const ttl = 3000
	ctx, cancel := context.WithCancel(context.Background())
	var kept sync.WaitGroup
	for i := range 4 {
		registered := make(chan struct{}, 10)
		kept.Go(func() {
			r := registry.RegisterRequest{Instance: instance(fmt.Sprint("kept-", i), 1), Session: fmt.Sprint("x", i), TTLMS: ttl}
			if err := g.client().KeepRegistered(ctx, r, func(registry.WriteResponse) { registered <- struct{}{} }); err != nil {
				t.Error(err)
			}
		})
		<-registered
	}
	write := func(host string) {
		t.Helper()
		if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance(host, 1)}); err != nil {
			t.Fatal(err)
		}
	}
	for round := range 3 {
		write(fmt.Sprint("before-", round))
		old := g.leader()
		old.stop()
		write(fmt.Sprint("after-", round))
		old.start()
		eventually(t, "it is ready again", func() bool { return old.ready.Load() })
	}
	want := g.leader().wantedList()
	if len(want) != 4+6 {
		t.Errorf("%d instances are listed, want 10: %v", len(want), want)
	}
	for i, f := range followers {
		eventually(t, fmt.Sprintf("follower %d holds the list", i), func() bool { return f.holds(want) })
		if f.back > 0 {
			t.Errorf("follower %d went back %d times", i, f.back)
		}
	}
	cancel()
	kept.Wait()
	eventually(t, "those that left are out", func() bool { return len(g.leader().wantedList()) == 6 })
}

// A replica without a quorum goes on serving its list and says that it is stale,
// refuses writes plainly, and ends its watches so that they may go elsewhere.
func TestCutOffReplica(t *testing.T) {
	g := startGroup(t, 3)
	c := g.client()
	if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance("s-1", 1)}); err != nil {
		t.Fatal(err)
	}
	last := g.nodes[0]
	eventually(t, "the list is everywhere", func() bool { return len(last.wantedList()) == 1 })
	resp, err := http.Get(fmt.Sprintf("http://%s%s?watch=1", last.member.HTTP, registry.ListPath))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	g.nodes[1].stop()
	g.nodes[2].stop()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Errorf("the watch ended with %v, want a clean end", err)
	}
	status, header, text := get(t, "http://"+last.member.HTTP+registry.ListPath)
	if status != 200 || !strings.HasPrefix(header.Get(registry.ReadHeader), registry.ReadStale) || !strings.Contains(text, "s-1") {
		t.Errorf("the list: %d %s, read %q", status, text, header.Get(registry.ReadHeader))
	}
	good, _ := json.Marshal(registry.RegisterRequest{Instance: instance("s-2", 5)})
	if status, a, _ := do(t, "PUT", "http://"+last.member.HTTP+registry.APIPath+"instances/s-2", string(good)); status != 503 || !strings.Contains(a.Error, "quorum") {
		t.Errorf("a write: %d %q, want 503 and why", status, a.Error)
	}
	if status, _, _ := do(t, "GET", "http://"+last.member.HTTP+registry.APIPath+"instances?linearizable=1", ""); status != 503 {
		t.Errorf("a linearizable read: %d, want 503", status)
	}
	// Nobody can say whether a version it does not know is of this history.
	if status, _, _ := get(t, fmt.Sprintf("http://%s%s?watch=1&from=%d", last.member.HTTP, registry.ListPath, last.stateMachine.seq()+1)); status != 503 {
		t.Errorf("a watch from a version that is ahead: %d, want 503", status)
	}
	g.nodes[1].start()
	g.nodes[2].start()
	if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance("s-2", 1)}); err != nil {
		t.Errorf("a write after its return: %v", err)
	}
}

// All replicas ended and started again from their disks hold what was acknowledged,
// at versions that never came before, and empty no list.
func TestRestartFromDisk(t *testing.T) {
	g := startGroup(t, 3)
	c := g.client()
	var f []*testWatcher
	for i := range 3 {
		f = append(f, startTestWatcher(t, g.addrs(), uint64(i)))
	}
	for round := range 2 {
		for i := range 10 {
			r := registry.RegisterRequest{Instance: instance(fmt.Sprint("s-", i), int64(round)), Session: "x", TTLMS: 1000}
			r.Session = fmt.Sprint("x", round)
			r.Instance.BornMS = int64(round + 1)
			if _, err := c.Register(testContext(t), r); err != nil {
				t.Fatal(err)
			}
		}
		leader := g.leader()
		want, seq := leader.wantedList(), leader.stateMachine.seq()
		if round == 0 {
			if err := leader.raft.Snapshot().Error(); err != nil {
				t.Fatal(err)
			}
		}
		for _, n := range g.nodes {
			n.stop()
		}
		for _, n := range g.nodes {
			n.start()
		}
		// The leader gives each session its full time, and then, as all are silent, removes none.
		leader = g.leader()
		if got := leader.wantedList(); !maps.Equal(got, want) || leader.stateMachine.seq() < seq {
			t.Errorf("after the restart: %v at %d, want %v at %d or later", got, leader.stateMachine.seq(), want, seq)
		}
		eventually(t, "removals are held back", func() bool { return leader.Status().ExpiryHeld })
		if got := leader.wantedList(); len(got) != 10 {
			t.Errorf("%d of 10 are left of sessions that all fell silent at once", len(got))
		}
	}
	want := g.leader().wantedList()
	for i, f := range f {
		eventually(t, fmt.Sprintf("follower %d holds the list", i), func() bool { return f.holds(want) })
		if f.back > 0 {
			t.Errorf("follower %d went back %d times", i, f.back)
		}
	}
}

// An instance that stops renewing is removed after its time; those that renew stay.
func TestSilentInstanceIsRemoved(t *testing.T) {
	g := startGroup(t, 1)
	c := g.client()
	for i := range 3 {
		r := registry.RegisterRequest{Instance: instance(fmt.Sprint("s-", i), 1), Session: "x", TTLMS: 500}
		if _, err := c.Register(testContext(t), r); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 2 {
		go func() {
			for ctx.Err() == nil {
				c.RenewSession(ctx, fmt.Sprint("s-", i), "x")
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	eventually(t, "the silent one is out", func() bool {
		return !maps.Equal(g.nodes[0].wantedList(), map[string]string{"s-0": "up 1", "s-1": "up 1", "s-2": "up 1"})
	})
	if got := g.nodes[0].wantedList(); len(got) != 2 || got["s-2"] != "" {
		t.Errorf("left are %v, want those that renew", got)
	}
	if err := c.RenewSession(testContext(t), "s-2", "x"); !errors.Is(err, registry.ErrNotFound) {
		t.Errorf("a late renewal: %v", err)
	}
}

// Any watcher, cut at any moment, at any replica, ends at the list.
func TestWatchersEndAtTheList(t *testing.T) {
	g := startGroup(t, 3)
	c := g.client()
	rng := rand.New(rand.NewPCG(5, 5))
	var followers []*testWatcher
	for i := range 8 {
		followers = append(followers, startTestWatcher(t, g.addrs(), uint64(i)))
	}
	for i := range 150 {
		host := fmt.Sprint("s-", rng.IntN(12))
		var err error
		switch rng.IntN(4) {
		case 0:
			err = c.Remove(testContext(t), host, "")
		case 1:
			_, err = c.Mark(testContext(t), registry.MarkRequest{Hosts: []string{host}, MarkedBy: "ops-a", Draining: rng.IntN(2) == 0})
		default:
			_, err = c.Register(testContext(t), registry.RegisterRequest{Instance: instance(host, int64(i))})
		}
		if err != nil && !errors.Is(err, registry.ErrNotFound) {
			t.Fatal(err)
		}
		if i%10 == 0 {
			g.nodes[rng.IntN(3)].broadcaster.endWatches()
		}
	}
	want := g.leader().wantedList()
	for i, f := range followers {
		eventually(t, fmt.Sprintf("follower %d holds the list", i), func() bool { return f.holds(want) })
		if f.back > 0 {
			t.Errorf("follower %d went back %d times", i, f.back)
		}
	}
}

// A watcher that takes nothing is cut and holds up nobody.
func TestSlowWatcherIsCut(t *testing.T) {
	g := startGroup(t, 1)
	n, c := g.nodes[0], g.client()
	slow, err := net.Dial("tcp", n.member.HTTP)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slow.(*net.TCPConn).SetReadBuffer(4 << 10)
	fmt.Fprintf(slow, "GET %s?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n", registry.ListPath)
	eventually(t, "it watches", func() bool { return n.openWatches.Load() == 1 })
	f := startTestWatcher(t, g.addrs(), 1)
	big := instance("s-1", 1)
	for i := int64(0); n.broadcaster.cutWatches.Load() == 0; i++ {
		if i > 1<<20 {
			t.Fatal("a watcher that takes nothing is not cut")
		}
		big.BornMS = i
		n.stateMachine.broadcaster.publish(watchEvent{seq: n.stateMachine.seq(), line: []byte(`{"seq":0,"whole":false,"hosts":[]` + strings.Repeat(" ", 60<<10) + "}\n")})
		time.Sleep(time.Millisecond)
	}
	if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: big}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the other holds the list", func() bool { return f.holds(n.wantedList()) })
}

// Calls wait in a bounded turn, in order, and are told to come back beyond it.
func TestTurn(t *testing.T) {
	tn := &callLimiter{limits: Limits{Calls: 1, Waiting: 2}}
	if err := tn.acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	order := make(chan int, 3)
	gone, leave := context.WithCancel(t.Context())
	for i, ctx := range []context.Context{gone, t.Context()} {
		go func() {
			if tn.acquire(ctx) == nil {
				order <- i
			} else {
				order <- -1
			}
		}()
		eventually(t, "it waits", func() bool { _, waiting := tn.counts(); return waiting == i+1 })
	}
	if err := tn.acquire(t.Context()); err != errBusy {
		t.Errorf("beyond the bound: %v", err)
	}
	leave()
	if got := <-order; got != -1 {
		t.Errorf("%d was served", got)
	}
	tn.release()
	if got := <-order; got != 1 {
		t.Errorf("%d was served, want the one that still waits", got)
	}
	tn.setLimits(Limits{Calls: 2, Waiting: 0})
	if err := tn.acquire(t.Context()); err != nil {
		t.Errorf("with another limit: %v", err)
	}
	if running, waiting := tn.counts(); running != 2 || waiting != 0 {
		t.Errorf("%d run and %d wait", running, waiting)
	}
}

func TestBusyRegistrySaysWhenToComeBack(t *testing.T) {
	g := startGroup(t, 1)
	n := g.nodes[0]
	n.limiter.setLimits(Limits{Calls: 0, Waiting: 0})
	status, header, _ := get(t, "http://"+n.member.HTTP+registry.ListPath)
	if status != 503 || header.Get("Retry-After") == "" {
		t.Errorf("%d, Retry-After %q", status, header.Get("Retry-After"))
	}
	fresh := *n.config
	fresh.Limits.Watches = 1
	if err := n.Reload(&fresh); err != nil {
		t.Fatal(err)
	}
	startTestWatcher(t, g.addrs(), 1)
	eventually(t, "one watches", func() bool { return n.openWatches.Load() == 1 })
	if status, _, _ := get(t, "http://"+n.member.HTTP+registry.ListPath+"?watch=1"); status != 503 {
		t.Errorf("a second watch: %d, want 503", status)
	}
	if fresh.Limits.Watches = 1 << 20; n.Reload(&fresh) == nil {
		t.Error("a reload let in more callers than the listener does")
	}
	fresh.Limits.Watches = 1
	fresh.Group = "another"
	if err := n.Reload(&fresh); err == nil {
		t.Error("a reload moved the replica into another group")
	}
}

// A replica is replaced: a new one is added, catches up, and the old one goes.
func TestReplicaIsReplaced(t *testing.T) {
	g := startGroup(t, 3)
	c := g.client()
	if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance("s-1", 1)}); err != nil {
		t.Fatal(err)
	}
	leader := g.leader()
	lost := g.nodes[0]
	if lost == leader {
		lost = g.nodes[1]
	}
	lost.stop()
	http_, raft_ := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	m := registry.ReplicaInfo{ID: "r9", HTTP: http_.Addr().String(), Raft: raft_.Addr().String()}
	config := *g.nodes[0].config
	config.ID, config.DataDir, config.Join = "r9", t.TempDir(), true
	config.Replicas = append(slices.Clone(config.Replicas), m)
	if err := config.validate(); err != nil {
		t.Fatal(err)
	}
	fresh := &node{t: t, config: &config, member: m}
	fresh.serve(http_, raft_)
	defer fresh.stop()
	text, _ := json.Marshal(m)
	base := "http://" + leader.member.HTTP + registry.APIPath + "members/"
	if status, a, _ := do(t, "PUT", base+"r9", string(text)); status != 200 {
		t.Fatalf("add: %d %s", status, a.Error)
	}
	if status, a, _ := do(t, "DELETE", base+lost.member.ID, ""); status != 200 {
		t.Fatalf("drop: %d %s", status, a.Error)
	}
	eventually(t, "the new one is ready", func() bool { return fresh.ready.Load() })
	if got := fresh.wantedList(); len(got) != 1 {
		t.Errorf("the new one lists %v", got)
	}
	s := leader.Status()
	ids := make([]string, len(s.Replicas))
	for i, m := range s.Replicas {
		if ids[i] = m.ID; m.HTTP == "" {
			t.Errorf("replica %s has no address", m.ID)
		}
	}
	if len(ids) != 3 || !slices.Contains(ids, "r9") || slices.Contains(ids, lost.member.ID) {
		t.Errorf("the group is %v", ids)
	}
}

// A backup brings the contents back, at versions that never came before.
func TestBackupAndRestore(t *testing.T) {
	g := startGroup(t, 1)
	n, c := g.nodes[0], g.client()
	f := startTestWatcher(t, g.addrs(), 1)
	if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance("s-1", 1)}); err != nil {
		t.Fatal(err)
	}
	_, _, backup := get(t, "http://"+n.member.HTTP+registry.APIPath+"backup")
	if err := c.Remove(testContext(t), "s-1", ""); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance("s-2", 1)}); err != nil {
		t.Fatal(err)
	}
	seq := n.stateMachine.seq()
	if status, a, _ := do(t, "POST", "http://"+n.member.HTTP+registry.APIPath+"restore", backup); status != 200 || a.Seq <= seq {
		t.Fatalf("restore: %d %s at %d after %d", status, a.Error, a.Seq, seq)
	}
	want := map[string]string{"s-1": "up 1"}
	if got := n.wantedList(); !maps.Equal(got, want) {
		t.Errorf("restored: %v", got)
	}
	eventually(t, "the follower holds it", func() bool { return f.holds(want) })
}

func TestMetricsAndStatus(t *testing.T) {
	g := startGroup(t, 1)
	base := "http://" + g.nodes[0].member.HTTP
	if status, _, text := get(t, base+"/metrics"); status != 200 || !strings.Contains(text, "\nregistry_leader 1\n") {
		t.Errorf("metrics: %d %s", status, text)
	}
	if status, _, _ := get(t, base+"/health/ready"); status != 200 {
		t.Errorf("ready: %d", status)
	}
	var s registry.StatusResponse
	if _, _, text := get(t, base+registry.APIPath+"status"); json.Unmarshal([]byte(text), &s) != nil || s.State != "leader" || s.Leader != "r0" || s.Group != "test" {
		t.Errorf("status: %s", text)
	}
}

// A folder that is not this replica's, or not whole, is refused in one line.
func TestFoldersThatAreRefused(t *testing.T) {
	g := startGroup(t, 1)
	n, c := g.nodes[0], g.client()
	for i := range 50 {
		if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance(fmt.Sprint("s-", i), 1)}); err != nil {
			t.Fatal(err)
		}
	}
	open := func(c *Config) error {
		t.Helper()
		d, err := openStorage(c, newRaftLogger())
		if err == nil {
			d.bolt.Close()
		}
		return err
	}
	if err := open(n.config); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Errorf("while another process has it: %v", err)
	}
	n.stop()
	if err := open(n.config); err != nil {
		t.Fatalf("as it was left: %v", err)
	}
	whole, err := os.ReadFile(filepath.Join(n.config.DataDir, logFile))
	if err != nil {
		t.Fatal(err)
	}
	copied := func(log []byte) *Config {
		t.Helper()
		c := *n.config
		c.DataDir = t.TempDir()
		text, _ := json.Marshal(identity{1, c.Group, c.ID})
		if err := errors.Join(os.WriteFile(filepath.Join(c.DataDir, identityFile), text, 0o600), os.WriteFile(filepath.Join(c.DataDir, logFile), log, 0o600)); err != nil {
			t.Fatal(err)
		}
		return &c
	}
	at := strings.LastIndex(string(whole), "s-20")
	spoilt := slices.Clone(whole)
	spoilt[at]++
	other, stranger, empty := *n.config, *n.config, *n.config
	other.Group = "another"
	stranger.ID = "r7"
	empty.DataDir = t.TempDir()
	if err := os.WriteFile(filepath.Join(empty.DataDir, "notes.txt"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, x := range map[string]struct {
		config *Config
		want   string
	}{
		"another group":      {&other, "belongs to"},
		"another replica":    {&stranger, "belongs to"},
		"a folder of others": {&empty, "not a replica's"},
		"a flipped bit":      {copied(spoilt), "spoilt"},
		"cut in the middle":  {copied(whole[:at]), "log "},
		"cut at the start":   {copied(whole[:100]), "log "},
		"no log at all":      {copied([]byte(strings.Repeat("noise", 10000))), "log "},
	} {
		if err := open(x.config); err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", name, err, x.want)
		}
	}
	file := *n.config
	file.DataDir = filepath.Join(n.config.DataDir, logFile)
	if err := open(&file); err == nil {
		t.Error("a file was taken for a folder")
	}
}

// A log's entry that was changed on disk is found when it is read, not acted upon.
func TestSpoiltEntryIsFound(t *testing.T) {
	d, err := openStorage(&Config{Group: "a", ID: "r", DataDir: t.TempDir()}, newRaftLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer d.bolt.Close()
	for i := uint64(1); i <= 3; i++ {
		if err := d.log.StoreLog(&raft.Log{Index: i, Term: 1, Data: fmt.Appendf(nil, "entry %d", i)}); err != nil {
			t.Fatal(err)
		}
	}
	var l raft.Log
	if err := d.log.GetLog(2, &l); err != nil || string(l.Data) != "entry 2" {
		t.Errorf("read %q, error %v", l.Data, err)
	}
	if err := d.log.verify(); err != nil {
		t.Error(err)
	}
	if err := d.bolt.StoreLog(&raft.Log{Index: 2, Term: 1, Data: []byte("entry 2 without its checksum")}); err != nil {
		t.Fatal(err)
	}
	if err := d.log.verify(); err == nil || !strings.Contains(err.Error(), "entry 2 is spoilt") {
		t.Errorf("error %v, want entry 2", err)
	}
}

// A replica whose disk takes no more says so, and serves on.
func TestFullDiskIsTold(t *testing.T) {
	g := startGroup(t, 1)
	n, c := g.nodes[0], g.client()
	if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance("s-1", 1)}); err != nil {
		t.Fatal(err)
	}
	full := errors.New("no space left on device")
	n.storage.log.lastWriteError.Store(&full)
	w := &responseRecorder{header: make(http.Header)}
	n.writeError(w, nil, raft.ErrNotLeader)
	if w.status != 503 || !strings.Contains(w.text.String(), "cannot write its log: no space left") {
		t.Errorf("a write: %d %s", w.status, w.text.String())
	}
	if _, err := c.Register(testContext(t), registry.RegisterRequest{Instance: instance("s-2", 1)}); err != nil || n.storage.log.lastWriteError.Load() != nil {
		t.Errorf("once there is room again: %v", err)
	}
}

// flakyTermStore is a store that takes nothing while it is full.
type flakyTermStore struct {
	raft.StableStore
	mu    sync.Mutex
	full  bool
	tries int
	kept  []uint64
}

func (s *flakyTermStore) SetUint64(_ []byte, v uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tries++; s.full {
		return errors.New("no space left on device")
	}
	s.kept = append(s.kept, v)
	return nil
}

// A term waits for room on the disk, an earlier one that waited longer is not the last
// word, and one that waits at the replica's end is never taken for kept.
func TestTermWaitsForRoom(t *testing.T) {
	s := &flakyTermStore{full: true}
	p := newWaitingTermStore(s)
	if err := p.SetUint64([]byte("LastVoteTerm"), 4); err == nil {
		t.Error("a vote was kept on a full disk")
	}
	var waiting sync.WaitGroup
	for term := uint64(5); term < 8; term++ {
		waiting.Go(func() {
			if err := p.SetUint64([]byte(termKey), term); err != nil {
				t.Errorf("term %d: %v", term, err)
			}
		})
	}
	eventually(t, "all wait", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return p.waiting.Load() == 3 && s.tries > 3 })
	s.mu.Lock()
	s.full = false
	s.mu.Unlock()
	waiting.Wait()
	if !slices.Equal(s.kept, []uint64{7}) {
		t.Errorf("kept %v, want the newest alone", s.kept)
	}
	s.full = true
	returned := false
	waiting.Go(func() {
		p.SetUint64([]byte(termKey), 9)
		returned = true
	})
	eventually(t, "it waits", func() bool { return p.waiting.Load() == 1 })
	close(p.closing)
	if waiting.Wait(); returned {
		t.Error("it went on with a term that is not kept")
	}
}

// Replicas of other groups, and of another history under the same name, take no
// word from each other.
func TestOtherGroupsAreRefused(t *testing.T) {
	hello := func(group string, founded uint64) func() (string, uint64) {
		return func() (string, uint64) { return group, founded }
	}
	l := newStreamLayer(listen(t, "127.0.0.1:0"), nil, hello("a", 7))
	defer l.Close()
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	for name, x := range map[string]struct {
		hello func() (string, uint64)
		ok    bool
	}{
		"the same": {hello("a", 7), true}, "one that has none yet": {hello("a", 0), true},
		"another group": {hello("b", 7), false}, "another history": {hello("a", 8), false},
	} {
		other := &streamLayer{localHistory: x.hello}
		c, err := other.Dial(raft.ServerAddress(l.Addr().String()), patience)
		if (err == nil) != x.ok {
			t.Errorf("%s: error %v", name, err)
		}
		if err == nil {
			c.Close()
			(<-accepted).Close()
		}
	}
	for _, noise := range []string{"GET / HTTP/1.1\r\n\r\n", strings.Repeat("x", 2*maxHandshakeLine), "\x00\n"} {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(patience))
		io.WriteString(c, noise)
		if got, _ := io.ReadAll(c); len(got) > 0 && !strings.HasPrefix(string(got), "no ") {
			t.Errorf("noise is answered with %q", got)
		}
		c.Close()
	}
}

func TestConfigurations(t *testing.T) {
	const one = `{"group":"g","id":"r0","data":"/tmp/x","replicas":[{"id":"r0","http":"127.0.0.1:1","raft":"127.0.0.1:2"}]}`
	if c, err := ParseConfig([]byte(one)); err != nil || c.Limits.Watches != defaultWatches || c.electionTimeout() != defaultElection {
		t.Errorf("%+v, %v", c, err)
	}
	for name, change := range map[string][2]string{
		"unreadable":       {`{`, `(`},
		"unknown key":      {`"group"`, `"grope":1,"group"`},
		"no group":         {`"g"`, `""`},
		"another id":       {`"id":"r0","data"`, `"id":"r1","data"`},
		"no data":          {`/tmp/x`, ``},
		"another network":  {`127.0.0.1:1`, `192.0.2.1:1`},
		"no port":          {`127.0.0.1:1`, `127.0.0.1`},
		"the same address": {`127.0.0.1:2`, `127.0.0.1:1`},
		"two replicas":     {`"replicas":[`, `"replicas":[{"id":"r1","http":"127.0.0.1:3","raft":"127.0.0.1:4"},`},
		"no replicas":      {`[{"id":"r0","http":"127.0.0.1:1","raft":"127.0.0.1:2"}]`, `[]`},
		"a bad floor":      {`{"group"`, `{"sessions":{"floor":2},"group"`},
		"no calls":         {`{"group"`, `{"limits":{"calls":0},"group"`},
		"a hasty election": {`{"group"`, `{"timing":{"election_ms":1},"group"`},
	} {
		if _, err := ParseConfig([]byte(strings.Replace(one, change[0], change[1], 1))); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line", name, err)
		}
	}
}

// FuzzWrites: whatever comes as a write is answered, and never with a 500.
func FuzzWrites(f *testing.F) {
	g := startGroup(f, 1)
	n := g.nodes[0]
	good, _ := json.Marshal(registry.RegisterRequest{Instance: instance("s-2", 5)})
	f.Add("PUT", "instances/s-2", string(good))
	f.Add("POST", "marks", `{"hosts":["s-1"],"by":"a","draining":true}`)
	f.Add("POST", "restore", `{"form":1}`)
	f.Add("DELETE", "instances/x?if_version=7", ``)
	f.Fuzz(func(t *testing.T, method, path, body string) {
		req, err := http.NewRequest(method, "http://x"+registry.APIPath+path, strings.NewReader(body))
		if err != nil {
			return
		}
		w := &responseRecorder{header: make(http.Header)}
		n.Handler().ServeHTTP(w, req)
		if w.status >= 500 && w.status != 503 && w.status != 507 {
			t.Errorf("%s %q %q: %d %s", method, path, body, w.status, w.text.String())
		}
	})
}

type responseRecorder struct {
	header http.Header
	status int
	text   strings.Builder
}

func (r *responseRecorder) Header() http.Header { return r.header }
func (r *responseRecorder) WriteHeader(s int)   { r.status = s }
func (r *responseRecorder) Write(b []byte) (int, error) {
	return r.text.Write(b)
}

// FuzzConfig: a configuration is taken or refused in one line.
func FuzzConfig(f *testing.F) {
	f.Add([]byte(`{"group":"g","id":"r0","data":"/tmp/x","replicas":[{"id":"r0","http":"127.0.0.1:1","raft":"127.0.0.1:2"}]}`))
	f.Add([]byte(`{"timing":{"election_ms":-1},"sessions":{"floor":1e999}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := ParseConfig(text)
		if err != nil {
			return
		}
		if _, ok := c.findSelf(); !ok || c.electionTimeout() <= 0 || c.Limits.Calls < 1 {
			t.Errorf("taken: %+v", c)
		}
	})
}

// FuzzHello: whoever connects as a replica is of this group and history or refused.
func FuzzHello(f *testing.F) {
	f.Add("barleywick-registry/1 a 7")
	f.Add("barleywick-registry/1 a 0")
	f.Add("barleywick-registry/1 a -7 x")
	l := &streamLayer{localHistory: func() (string, uint64) { return "a", 7 }}
	f.Fuzz(func(t *testing.T, line string) {
		if l.checkHandshake(line) == nil && !strings.HasPrefix(strings.Join(strings.Fields(line), " "), handshakeProtocol+" a ") {
			t.Errorf("%q was let in", line)
		}
	})
}
