package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"barleywick/internal/drain"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
	"barleywick/internal/registry/server"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})))
	os.Exit(m.Run())
}

const patience = 40 * time.Second

func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

// startGroup runs a registry of one replica until the test ends.
func startGroup(t *testing.T, name string) (addr string, c *client.Client) {
	t.Helper()
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return ln
	}
	ln, raft := listen(), listen()
	text, err := json.Marshal(map[string]any{
		"group": name, "id": "r", "data": t.TempDir(), "timing": map[string]any{"election_ms": 100}, "leases": map[string]any{"most_ttl_ms": 1000},
		"replicas": []registry.ReplicaInfo{{ID: "r", HTTP: ln.Addr().String(), Raft: raft.Addr().String()}},
	})
	if err != nil {
		t.Fatal(err)
	}
	config, err := server.ParseConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	r, err := server.Open(config, raft)
	if err != nil {
		t.Fatal(err)
	}
	s := r.HTTPServer()
	go s.Serve(ln)
	addr = ln.Addr().String()
	if c, err = client.New([]string{addr}, 1); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		s.Close()
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
	return addr, c
}

// startKeeper runs one until the test ends, or until it is left.
func startKeeper(t *testing.T, name, addr, rest string) (leave func()) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "k.toml")
	text := fmt.Sprintf("name = %q\nregistry = [%q]\nlease_ms = 1000\n%s", name, addr, rest)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := LoadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- Serve(ctx, c) }()
	leave = sync.OnceFunc(func() {
		cancel()
		if err := <-over; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(leave)
	return leave
}

func holder(t *testing.T, c *client.Client, name string) string {
	t.Helper()
	all, err := c.Leases(t.Context(), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range all.Leases {
		if l.Name == name && l.Grant != nil {
			return l.Grant.Name
		}
	}
	return ""
}

func TestSpread(t *testing.T) {
	at := func(members ...string) *placement {
		s := &placement{settle: 10 * time.Second}
		s.update(members, 0)
		return s
	}
	five := []string{"k0", "k1", "k2", "k3", "k4"}
	owners := make(map[string]string)
	counts := make(map[string]int)
	for i := range 200 {
		task := fmt.Sprint("task-", i)
		owners[task] = at(five...).rank(task)[0]
		counts[owners[task]]++
	}
	for _, m := range five {
		if counts[m] < 20 || counts[m] > 60 {
			t.Errorf("%s has %d of 200 tasks", m, counts[m])
		}
	}
	for task, owner := range owners { // one goes: its tasks move, the others stay
		ranked := at(slices.DeleteFunc(slices.Clone(five), func(m string) bool { return m == "k2" })...).rank(task)
		if owner != "k2" && ranked[0] != owner {
			t.Errorf("%s moves from %s to %s as k2 goes", task, owner, ranked[0])
		}
		if owner == "k2" && ranked[0] != at(five...).rank(task)[1] {
			t.Errorf("%s goes from k2 to %s, who did not stand by", task, ranked[0])
		}
		claims := 0
		for _, m := range five {
			if at(five...).shouldClaim(task, m) {
				claims++
			}
		}
		if claims != 1+standbys {
			t.Errorf("%d keepers claim %s", claims, task)
		}
	}
	// One that comes and goes is handed nothing before it has been there for a while.
	s := at("k0", "k1")
	task := "task-0"
	first, second := s.rank(task)[0], s.rank(task)[1]
	for now := time.Duration(0); now < time.Minute; now += time.Second {
		present := []string{second}
		if int(now/time.Second)%8 != 0 {
			present = append(present, first)
		}
		s.update(present, now)
		if to, hand := s.handOverTarget(task, second, []string{first}, now); hand {
			t.Fatalf("handed over to %s after %v", to, now)
		}
	}
	s.update([]string{first, second}, time.Minute)
	s.update([]string{first, second}, 2*time.Minute)
	if to, hand := s.handOverTarget(task, second, []string{first}, 2*time.Minute); !hand || to != first {
		t.Errorf("not handed over to %s: %s", first, to)
	}
	if _, hand := s.handOverTarget(task, second, nil, 2*time.Minute); hand {
		t.Error("handed over to one who does not wait")
	}
	if _, hand := s.handOverTarget(task, first, []string{second}, 2*time.Minute); hand {
		t.Error("handed over by the one who is to have it")
	}
}

func TestConfigErrors(t *testing.T) {
	const good = "name = \"k1\"\nregistry = [\"127.0.0.1:1\"]\n"
	for text, says := range map[string]string{
		"registry = [\"127.0.0.1:1\"]\n":        "name is missing",
		"name = \"k1\"\n":                       "registry is missing",
		good + "lease_ms = 1\n":                 "line 3: lease_ms is 1, it must lie between 1000 and 600000",
		good + "leese_ms = 1\n":                 "line 3: there is no field leese_ms",
		good + "listen = \"0.0.0.0:1\"\n":       "loopback",
		good + "[copies]\nevery_ms = 5000\n":    "copies.folder is missing",
		good + "[drains]\n":                     "drains.config is missing",
		good + "[health]\nevery_ms = 5\n":       "health.every_ms is 5",
		good + "[routes]\n\"here\" = \"two\"\n": "not an address",
	} {
		if _, err := ParseConfig([]byte(text)); err == nil || !strings.Contains(err.Error(), says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v; want %q", text, err, says)
		}
	}
	c, err := ParseConfig([]byte(good + "[health]\n[copies]\nfolder = \"x\"\n"))
	if err != nil || c.Health.Failures != defaultFailures || c.ListCache.Keep != defaultKeep || len(c.Tasks(nil)) != healthShards+1 {
		t.Errorf("%+v, %v", c, err)
	}
}

func TestCopies(t *testing.T) {
	c := &ListCache{Dir: filepath.Join(t.TempDir(), "copies"), Keep: 3}
	at := time.UnixMilli(1_700_000_000_000)
	save := func(token uint64, text string) (string, error) {
		at = at.Add(time.Second)
		return c.Save(t.Context(), token, at, []byte(text))
	}
	for i := range 5 {
		if _, err := save(7, fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := save(9, "newer"); err != nil {
		t.Fatal(err)
	}
	if _, err := save(8, "older"); !errors.Is(err, registry.ErrFenced) {
		t.Errorf("an older token: %v", err)
	}
	all, err := c.Paths()
	if err != nil || len(all) != 3 {
		t.Fatalf("%d copies are kept, %v", len(all), err)
	}
	if text, err := ReadCachedList(all[2]); err != nil || string(text) != "newer" {
		t.Errorf("the last is %q, %v", text, err)
	}
	if err := os.WriteFile(all[1], []byte("spoilt"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadCachedList(all[1]); err == nil || !strings.Contains(err.Error(), "spoilt") {
		t.Errorf("a spoilt copy: %v", err)
	}
	if err := os.Remove(all[0] + checksumSuffix); err != nil { // as when the process ended between the two
		t.Fatal(err)
	}
	if _, err := ReadCachedList(all[0]); err == nil || !strings.Contains(err.Error(), "not whole") {
		t.Errorf("half a copy: %v", err)
	}
	if left, _ := c.Paths(); len(left) != 2 {
		t.Errorf("%d copies count as whole", len(left))
	}
	// Somebody who was stopped has the folder: one waits as long as it may, and no longer.
	unlock, err := c.lock(t.Context(), 9)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*lockRetryInterval)
	defer cancel()
	if _, err := c.Save(ctx, 9, at, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the folder is another's: %v", err)
	}
	unlock()
	if err := os.WriteFile(filepath.Join(c.Dir, fenceFile), []byte("what"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := save(10, "x"); err == nil || !strings.Contains(err.Error(), "spoilt") {
		t.Errorf("a spoilt fence: %v", err)
	}
}

// A copy that a keeper made is restored into a new group.
func TestCopyIsRestored(t *testing.T) {
	addr, c := startGroup(t, "g")
	i := registry.Instance{Host: "s-1", Dial: "127.0.0.1:1", Site: "a", Health: registry.HealthUp, Share: 1}
	if _, err := c.Register(t.Context(), registry.RegisterRequest{Instance: i}); err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	startKeeper(t, "k1", addr, fmt.Sprintf("[copies]\nfolder = %q\nevery_ms = 1000\n", folder))
	copies := &ListCache{Dir: folder}
	var all []string
	eventually(t, "there is a copy", func() bool { all, _ = copies.Paths(); return len(all) > 0 })
	text, err := ReadCachedList(all[0])
	if err != nil {
		t.Fatal(err)
	}
	_, other := startGroup(t, "g")
	if err := other.Restore(t.Context(), text); err != nil {
		t.Fatal(err)
	}
	got, err := other.Registrations(t.Context())
	if err != nil || len(got.Registrations) != 1 || got.Registrations[0].Host != "s-1" {
		t.Errorf("restored: %+v, %v", got.Registrations, err)
	}
}

// A drain that was handed over goes on when its keeper is gone, with another.
func TestDrainGoesOn(t *testing.T) {
	addr, c := startGroup(t, "g")
	config := filepath.Join(t.TempDir(), "ctl.json")
	text, _ := json.Marshal(drain.Config{Registry: []string{addr}, Floor: drain.Floor{Default: 1}, MaxRequestMS: 100, LeaseMS: 15000})
	if err := os.WriteFile(config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, s := range [][2]string{{"s-1", "m-1"}, {"s-2", "m-2"}} {
		i := registry.Instance{Host: s[0], Dial: "127.0.0.1:1", Site: "a", Health: registry.HealthUp, Share: 1}
		if _, err := c.Register(t.Context(), registry.RegisterRequest{Instance: i, Machine: s[1]}); err != nil {
			t.Fatal(err)
		}
	}
	leave := make(map[string]func())
	for _, k := range []string{"k1", "k2"} {
		leave[k] = startKeeper(t, k, addr, fmt.Sprintf("[drains]\nconfig = %q\n", config))
	}
	var first string
	eventually(t, "the task is held", func() bool { first = holder(t, c, DrainsLease); return first != "" })
	cfg, err := drain.LoadConfig(config)
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var said []string
	w := cfg.WorkflowWith(c, "operator", 20*time.Millisecond, func(e drain.Event) {
		mu.Lock()
		defer mu.Unlock()
		said = append(said, e.String())
	})
	if err := w.HandOver(t.Context(), "m-1", time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	if err := w.HandOver(t.Context(), "m-1", time.Now().Add(patience)); err != nil {
		t.Errorf("handed over twice: %v", err)
	}
	if err := w.HandOver(t.Context(), "m-2", time.Now().Add(patience)); !errors.Is(err, drain.ErrRefused) {
		t.Errorf("below the floor: %v", err)
	}
	if err := w.Drain(t.Context(), "m-1"); !errors.Is(err, drain.ErrRefused) || !strings.Contains(err.Error(), "controllers") {
		t.Errorf("an operator beside the keepers: %v", err)
	}
	eventually(t, "its servers are marked", func() bool {
		got, err := c.Registrations(t.Context())
		return err == nil && got.Marks["s-1"] != ""
	})
	leave[first]() // the sidecars count as told after 6 s: it is far from done
	eventually(t, "the other keeper has it", func() bool { h := holder(t, c, DrainsLease); return h != "" && h != first })
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if err := w.Follow(ctx, "m-1"); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(said, "; "); !strings.HasSuffix(got, "m-1: done") {
		t.Errorf("told: %s", got)
	}
	// One whose time is up is undone by the keepers, and one that is taken back as well.
	if err := w.Undrain(t.Context(), "m-1"); err != nil {
		t.Fatal(err)
	}
	if err := w.HandOver(t.Context(), "m-1", time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if err := w.Follow(ctx, "m-1"); !errors.Is(err, drain.ErrTimeout) {
		t.Errorf("out of time: %v", err)
	}
	if err := w.HandOver(t.Context(), "m-1", time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	if err := w.Undrain(t.Context(), "m-1"); err != nil {
		t.Errorf("taken back from the keepers: %v", err)
	}
	if got, err := c.Registrations(t.Context()); err != nil || len(got.Marks) != 0 {
		t.Errorf("marks are left: %v, %v", got.Marks, err)
	}
}

// Each server is probed by one keeper, and advice tells which do not answer.
func TestHealth(t *testing.T) {
	addr, c := startGroup(t, "g")
	var mu sync.Mutex
	probes := make(map[string]int)
	for i := range 6 {
		name := fmt.Sprint("s-", i)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			mu.Lock()
			probes[name]++
			mu.Unlock()
			if name == "s-3" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		t.Cleanup(s.Close)
		in := registry.Instance{Host: name, Dial: s.Listener.Addr().String(), Site: "a", Health: registry.HealthUp, Share: 1}
		if _, err := c.Register(t.Context(), registry.RegisterRequest{Instance: in}); err != nil {
			t.Fatal(err)
		}
	}
	for _, k := range []string{"k1", "k2"} {
		startKeeper(t, k, addr, "[health]\nevery_ms = 200\ntimeout_ms = 100\nfailures = 2\n")
	}
	bad := make(map[string]HealthAdvice)
	eventually(t, "advice tells of s-3", func() bool {
		for shard := range healthShards {
			r, err := c.Record(t.Context(), HealthRecordKey(shard))
			if err != nil {
				continue
			}
			if err := json.Unmarshal(r.Value, &bad); err != nil {
				t.Fatal(err)
			}
		}
		return len(bad) > 0
	})
	if a := bad["s-3"]; len(bad) != 1 || a.ConsecutiveFailures < 2 || a.SinceMS == 0 || !strings.Contains(a.LastError, "503") {
		t.Errorf("advice: %+v", bad)
	}
	if list, err := c.Registrations(t.Context()); err != nil || len(list.Registrations) != 6 {
		t.Errorf("%d servers are left, %v", len(list.Registrations), err)
	}
	eventually(t, "all are probed", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(probes) == 6
	})
}
