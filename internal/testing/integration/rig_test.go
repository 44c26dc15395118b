package integration

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pelletier/go-toml/v2"

	"barleywick/internal/addressmap"
	"barleywick/internal/controller"
	"barleywick/internal/lease"
	"barleywick/internal/membership"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
	"barleywick/internal/testing/faultinjection"
	"barleywick/internal/testing/linearizability"
)

// long is set for the modes that take minutes; docs/TESTING.md names the command.
var long = os.Getenv("BARLEYWICK_LONG") != ""

const (
	leaseMS          = 1000
	witnessVariable  = "SYSTEMTEST_WITNESS"
	tasksVariable    = "SYSTEMTEST_TASKS"
	everyVariable    = "SYSTEMTEST_EVERY"    // a pause between two acts; none where it is left out
	shrinkVariable   = "SYSTEMTEST_SHRINK"   // in how many plays a schedule that fails is to be shrunk
	scheduleVariable = "SYSTEMTEST_SCHEDULE" // a schedule to play instead of those drawn
)

// rig is three replicas and some keepers, every link between two of which is a relay.
type rig struct {
	t testing.TB
	*faultinjection.Injector
	members []registry.ReplicaInfo
	keepers []string
	routes  map[string]addressmap.Map // by process
	env     map[string][]string       // of keepers
	gossip  map[string]string         // where members listen, by process; empty: there is no membership
	listens map[string]string         // where keepers that are members serve
	files   map[string]string         // the replicas' configurations
}

// fleet makes every process of these names a member, with a link to each other.
func (r *rig) fleet(names ...string) {
	r.t.Helper()
	r.gossip, r.listens, r.files = make(map[string]string), make(map[string]string), make(map[string]string)
	for _, name := range names {
		r.gossip[name] = freeAddr(r.t)
	}
	for _, from := range names {
		for _, to := range names {
			if from == to {
				continue
			}
			l, _, err := r.Network.AddTCPAndUDP(from+">"+to+":gossip", r.gossip[to])
			if err != nil {
				r.t.Fatal(err)
			}
			r.route(from, r.gossip[to], l)
		}
	}
}

// membership is a process's configuration as a member.
func (r *rig) membership(name string) *membership.Config {
	if r.gossip[name] == "" {
		return nil
	}
	c := &membership.Config{Fleet: "test", Listen: r.gossip[name], ProbeMS: gossipMS, Routes: make(addressmap.Map), StateDir: r.t.TempDir()}
	for other, at := range r.gossip {
		if other != name {
			c.Routes[at] = r.routes[name][at]
			if strings.HasPrefix(other, "r") { // the others are found through them
				c.Seeds = append(c.Seeds, at)
			}
		}
	}
	return c
}

// gossipMS is between two looks of a member at some other.
const gossipMS = 200

// reach makes the link from one process to an address of another.
func (r *rig) reach(name, from, address string) {
	l, err := r.Network.AddTCP(name, address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.route(from, address, l)
}

func (r *rig) route(from, address string, l *faultinjection.Link) {
	if r.routes[from] == nil {
		r.routes[from] = make(addressmap.Map)
	}
	r.routes[from][address] = l.Addr()
}

func (r *rig) process(name, role string, env ...string) {
	r.Processes[name] = &faultinjection.Process{Name: name, NewCommand: func() *exec.Cmd {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(append(os.Environ(), env...), roleVariable+"="+role)
		return cmd
	}}
}

// startRig starts replicas and keepers whose tasks are to act.
func startRig(t testing.TB, seed uint64, keepers, tasks int, witness string, members ...string) *rig {
	t.Helper()
	r := &rig{t: t}
	r.begin(seed, members...)
	for i := range keepers {
		r.keeper(fmt.Sprint("k", i), "actor", "", witnessVariable+"="+witness, tasksVariable+"="+strconv.Itoa(tasks))
	}
	for _, p := range r.Processes {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

// begin makes the rig with its replicas, none of which runs yet.
func (r *rig) begin(seed uint64, members ...string) {
	t := r.t
	t.Helper()
	r.Injector = &faultinjection.Injector{Network: faultinjection.NewNetwork(seed), Processes: make(map[string]*faultinjection.Process)}
	r.routes, r.env = make(map[string]addressmap.Map), make(map[string][]string)
	t.Cleanup(func() {
		for _, p := range r.Processes {
			p.Kill()
		}
		r.Network.Close()
		if t.Failed() {
			for name, p := range r.Processes {
				text := p.Output()
				t.Logf("%s:\n%s", name, text[max(0, len(text)-8000):])
			}
		}
	})
	r.fleet(members...)
	for i := range 3 {
		r.members = append(r.members, registry.ReplicaInfo{ID: fmt.Sprint("r", i), HTTP: freeAddr(t), Raft: freeAddr(t)})
	}
	for _, from := range r.members {
		for _, to := range r.members {
			if from != to {
				r.reach(from.ID+">"+to.ID+":raft", from.ID, to.Raft)
				r.reach(from.ID+">"+to.ID+":http", from.ID, to.HTTP)
			}
		}
		file := map[string]any{
			"group": "test", "id": from.ID, "data": t.TempDir(), "replicas": r.members, "routes": r.routes[from.ID],
			"timing": map[string]any{"election_ms": 200}, "leases": map[string]any{"most_ttl_ms": leaseMS},
		}
		if c := r.membership(from.ID); c != nil {
			file["membership"] = c
		}
		path := writeFile(t, "registry.json", file)
		r.files[from.ID] = path
		r.process(from.ID, "registry", configVariable+"="+path)
	}
}

// keeper makes a keeper, which does not run yet.
func (r *rig) keeper(name, role, rest string, env ...string) {
	r.t.Helper()
	r.keepers = append(r.keepers, name)
	var addrs, routes []string
	for _, m := range r.members {
		r.reach(name+">"+m.ID, name, m.HTTP)
		addrs = append(addrs, strconv.Quote(m.HTTP))
		routes = append(routes, fmt.Sprintf("%q = %q", m.HTTP, r.routes[name][m.HTTP]))
	}
	if c := r.membership(name); c != nil {
		text, err := toml.Marshal(map[string]any{"membership": c})
		if err != nil {
			r.t.Fatal(err)
		}
		rest += string(text)
		r.listens[name] = freeAddr(r.t)
		rest = fmt.Sprintf("listen = %q\n", r.listens[name]) + rest
	}
	path := filepath.Join(r.t.TempDir(), name+".toml")
	text := fmt.Sprintf("name = %q\nregistry = [%s]\nlease_ms = %d\n%s[routes]\n%s\n", name, strings.Join(addrs, ", "), leaseMS, rest, strings.Join(routes, "\n"))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	r.env[name] = append(env, configVariable+"="+path)
	r.process(name, role, r.env[name]...)
}

// runActor is a keeper whose tasks are to act: towards the witness, which knows no
// tokens, and by fenced writes to the registry.
func runActor() error {
	stop, _ := signals()
	c, err := controller.LoadConfig(os.Getenv(configVariable))
	if err != nil {
		return err
	}
	r, err := client.New(c.Registry, uint64(os.Getpid()))
	if err != nil {
		return err
	}
	n, err := strconv.Atoi(os.Getenv(tasksVariable))
	if err != nil {
		return err
	}
	c.MaxActMS = actIn.Milliseconds()
	every, _ := time.ParseDuration(os.Getenv(everyVariable))
	a := &actor{name: c.Name, every: every, registry: r.WithAddressMap(c.Routes), witness: os.Getenv(witnessVariable), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	k, err := controller.New(c, func(*controller.Controller) (all []controller.Task) {
		for i := range n {
			all = append(all, controller.Task{LeaseName: fmt.Sprint("task-", i), Run: a.run})
		}
		return all
	})
	if err != nil {
		return err
	}
	return k.Run(stop)
}

type actor struct {
	name, witness string
	every         time.Duration
	registry      *client.Client
	http          *http.Client
	calls         atomic.Uint64
}

// tell says something to the witness, and waits for its word.
func (a *actor) tell(ctx context.Context, what string, values url.Values) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.witness+"/"+what+"?"+values.Encode(), nil)
	if err != nil {
		return err
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

const actIn = 100 * time.Millisecond // for one timed act; the witness takes a part of it

func (a *actor) run(ctx context.Context, term *lease.Handle) error {
	// Its writes go on beyond the task's end, each with its own time: one that comes late
	// is what the fence is for.
	if a.every == 0 {
		go a.write(ctx, term.LeaseName(), term.Fence())
	}
	for n := 0; ; n++ {
		err := term.Do(ctx, actIn, func(ctx context.Context) error {
			return a.tell(ctx, "act", url.Values{"task": {term.LeaseName()}, "by": {fmt.Sprintf("%s/%d", a.name, os.Getpid())}, "token": {fmt.Sprint(term.Token())}})
		})
		if errors.Is(err, lease.ErrLapsed) || ctx.Err() != nil {
			return cmp.Or(ctx.Err(), err)
		}
		select {
		case <-time.After(a.every):
		case <-ctx.Done():
		}
		if n%3 == 0 && a.every == 0 {
			a.read(ctx, term.LeaseName())
		}
	}
}

// op reports a call to the witness before it is made, and what became of it.
func (a *actor) op(task, kind, value string, call func(ctx context.Context) (version uint64, got string, err error)) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	// Counted, not timed: tasks that were granted together act in step, and two reads may begin
	// in one nanosecond.
	id := fmt.Sprintf("%s/%d/%d", a.name, os.Getpid(), a.calls.Add(1))
	v := url.Values{"id": {id}, "task": {task}, "kind": {kind}, "value": {value}}
	if a.tell(ctx, "call", v) != nil {
		return
	}
	version, got, err := call(ctx)
	v.Set("version", fmt.Sprint(version))
	v.Set("got", got)
	switch {
	case errors.Is(err, registry.ErrFenced):
		v.Set("error", "fenced")
	case err != nil:
		v.Set("error", "unknown")
	}
	a.tell(ctx, "return", v)
}

// write writes one value after the other, each in the place of the one that it has
// seen: as every call may be carried out twice, and late, it names the version.
func (a *actor) write(ctx context.Context, task string, f *registry.Fence) {
	known, version := false, uint64(0)
	for n := 0; ctx.Err() == nil; n++ {
		if !known {
			version, known = a.read(ctx, task)
			continue
		}
		a.op(task, "write", fmt.Sprintf("%s %d %d", a.name, f.Token, n), func(ctx context.Context) (uint64, string, error) {
			v, err := a.registry.PutFenced(ctx, task, fmt.Appendf(nil, "%s %d %d", a.name, f.Token, n), &version, f)
			if version = v; err != nil {
				known = false
			}
			return v, "", err
		})
		// And one that names no version, which only the fence keeps from coming too late.
		blind := fmt.Sprintf("%s %d %d", a.name, f.Token, n)
		a.op(task, "blind", blind, func(ctx context.Context) (uint64, string, error) {
			v, err := a.registry.PutFenced(ctx, "blind-"+task, []byte(blind), nil, f)
			return v, "", err
		})
		time.Sleep(max(5*time.Millisecond, a.every))
	}
}

// read reads what is written, and says whether it could.
func (a *actor) read(ctx context.Context, task string) (version uint64, ok bool) {
	a.op(task, "read", "", func(within context.Context) (uint64, string, error) {
		within, cancel := context.WithTimeout(within, time.Second)
		defer cancel()
		r, err := a.registry.Record(within, task)
		if errors.Is(err, registry.ErrNotFound) {
			r, err = registry.Record{}, nil
		}
		version, ok = r.Version, err == nil
		return r.Version, string(r.Value), err
	})
	return version, ok
}

// witness sees what is done and knows nothing of leases.
type witness struct {
	addr  string
	began time.Time

	mu   sync.Mutex
	acts []act
	ops  map[string]*op
	two  []string // ids that two calls had: one of them is not judged
}

type act struct {
	task, by   string
	token      uint64
	begin, end time.Duration
}

type op struct {
	task, kind, value, got, failed string
	version                        uint64
	call, ret                      time.Duration
	returned                       bool
}

func startWitness(t testing.TB) *witness {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &witness{addr: ln.Addr().String(), began: time.Now(), ops: make(map[string]*op)}
	s := &http.Server{Handler: w, ReadHeaderTimeout: patience}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	return w
}

func (w *witness) now() time.Duration { return time.Since(w.began) }

// actTakes is how long the witness holds an act.
const actTakes = 20 * time.Millisecond

func (w *witness) ServeHTTP(_ http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	switch q.URL.Path {
	case "/act":
		a := act{task: v.Get("task"), by: v.Get("by"), begin: w.now()}
		a.token, _ = strconv.ParseUint(v.Get("token"), 10, 64)
		select {
		case <-time.After(actTakes):
		case <-q.Context().Done(): // whoever acts has gone, or has stopped in time
		}
		a.end = w.now()
		w.mu.Lock()
		w.acts = append(w.acts, a)
		w.mu.Unlock()
	case "/call":
		w.mu.Lock()
		if w.ops[v.Get("id")] != nil {
			w.two = append(w.two, v.Get("id"))
		}
		w.ops[v.Get("id")] = &op{task: v.Get("task"), kind: v.Get("kind"), value: v.Get("value"), call: w.now()}
		w.mu.Unlock()
	case "/return":
		w.mu.Lock()
		if o := w.ops[v.Get("id")]; o != nil {
			o.ret, o.returned, o.got, o.failed = w.now(), true, v.Get("got"), v.Get("error")
			o.version, _ = strconv.ParseUint(v.Get("version"), 10, 64)
		}
		w.mu.Unlock()
	}
}

// lastAct is when a task was acted for last, and by whom.
func (w *witness) lastAct(task string) (last act) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.acts {
		if a.task == task && a.begin > last.begin {
			last = a
		}
	}
	return last
}

func (w *witness) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acts)
}

// paused is when a process was stopped.
type paused struct {
	of         string
	begin, end time.Duration
}

// judged is what a judgement rested on.
type judged struct {
	Acts, Excused, Grants, Writes, Fenced, Unknown, Reads int
}

// judge looks for two that acted at once. An act of a process that was stopped within
// it, or between its look at the clock and its call, is outside the bounds of timed
// acts: the first that it began before it was stopped, or up to a moment after it went on.
func (w *witness) judge(t testing.TB, pauses []paused, restored bool) judged {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	var j judged
	j.Acts = len(w.acts)
	slices.SortFunc(w.acts, func(a, b act) int { return cmp.Compare(a.begin, b.begin) })
	owner := make(map[uint64]string)
	for _, a := range w.acts {
		if was, ok := owner[a.token]; ok && was != a.by+" "+a.task {
			t.Errorf("token %d is that of %s and of %s %s", a.token, was, a.by, a.task)
		}
		owner[a.token] = a.by + " " + a.task
	}
	j.Grants = len(owner)
	used := make(map[paused]bool)
	excused := func(a act) bool {
		const moment = 100 * time.Millisecond
		for _, p := range pauses {
			if strings.HasPrefix(a.by, p.of+"/") && !used[p] && a.end >= p.begin && a.begin <= p.end+moment {
				used[p] = true
				return true
			}
		}
		return false
	}
	running := make(map[string]act) // by task: the act that ends last
	for _, a := range w.acts {
		if was, ok := running[a.task]; ok && a.begin < was.end && (a.token != was.token || a.by != was.by) {
			if excused(a) || excused(was) {
				j.Excused++
			} else {
				t.Errorf("%s acted with token %d for %s from %v to %v, %s with %d from %v to %v", was.by, was.token, a.task, was.begin, was.end, a.by, a.token, a.begin, a.end)
			}
		}
		if a.end > running[a.task].end {
			running[a.task] = a
		}
	}
	if len(w.two) > 0 {
		t.Errorf("ids of two calls: %q; what became of them cannot be told apart", w.two)
	}
	byTask := make(map[string][]*op)
	for _, o := range w.ops {
		byTask[o.task] = append(byTask[o.task], o)
	}
	for task, ops := range byTask {
		j.order(t, task, ops)
		if !restored { // which writes, too
			j.linearizable(t, task, ops)
		}
	}
	return j
}

// order checks that no fenced write has taken effect after one with a later token.
func (j *judged) order(t testing.TB, task string, ops []*op) {
	t.Helper()
	var done []*op
	for _, o := range ops {
		switch {
		case o.kind == "read":
		case o.failed == "fenced":
			j.Fenced++
		case o.returned && o.failed == "":
			done = append(done, o)
			j.Writes++
		default:
			j.Unknown++
		}
	}
	slices.SortFunc(done, func(a, b *op) int { return cmp.Compare(a.version, b.version) })
	var last uint64
	for _, o := range done {
		words := strings.Fields(o.value)
		token, _ := strconv.ParseUint(words[1], 10, 64)
		if token < last {
			t.Errorf("%s: the write %q took effect after one with token %d", task, o.value, last)
		}
		last = token
	}
}

// linearizable holds the history of one record against a register. A write that was fenced
// off may have been done by an earlier try of the same call.
func (j *judged) linearizable(t testing.TB, task string, ops []*op) {
	t.Helper()
	var calls []linearizability.Operation
	for _, o := range ops {
		c := linearizability.Operation{Key: task, Written: o.value, Start: o.call, End: o.ret, Completed: o.returned && o.failed == ""}
		switch o.kind {
		case "blind":
			continue
		case "read":
			if c.Written, c.Read = "", o.got; c.Completed {
				j.Reads++
			}
		}
		calls = append(calls, c)
	}
	of := linearizability.GroupByKey(calls)[task]
	if got := linearizability.Check(of, patience); got != porcupine.Ok {
		t.Errorf("%s: the history of %d calls is not linearizable: %v; %s", task, len(of), got, backwards(ops))
	}
}

// backwards names what is wrong with a history, as far as two calls show it: a value that
// nobody wrote, or that was read before; two values of one version; a call that was
// answered with an older version than one that had been answered before it was made.
func backwards(ops []*op) string {
	done := slices.DeleteFunc(slices.Clone(ops), func(o *op) bool { return !o.returned || o.failed != "" || o.kind == "blind" })
	slices.SortFunc(done, func(a, b *op) int { return cmp.Compare(a.call, b.call) })
	wrote, values := make(map[string]*op), make(map[uint64]*op)
	for _, o := range ops {
		if o.kind == "write" {
			wrote[o.value] = o
		}
	}
	for _, o := range done {
		text := o.got
		if o.kind == "write" {
			text = o.value
		}
		if was := values[o.version]; was == nil {
			values[o.version] = o
		} else if was.got+was.value != text {
			return fmt.Sprintf("version %d is %q to one and %q to another (%s from %v to %v, %s from %v to %v)", o.version, was.got+was.value, text, was.kind, was.call, was.ret, o.kind, o.call, o.ret)
		}
		w := wrote[text]
		switch {
		case o.kind != "read" || text == "":
		case w == nil:
			return fmt.Sprintf("%q was read and nobody wrote it", text)
		case o.ret < w.call:
			return fmt.Sprintf("%q was read until %v and is written from %v on", text, o.ret, w.call)
		}
	}
	for i, o := range done {
		for _, before := range done[:i] {
			if before.ret < o.call && before.version > o.version {
				return fmt.Sprintf("%s %q%q from %v to %v got version %d, after %s %q%q from %v to %v with %d", o.kind, o.value, o.got, o.call, o.ret, o.version,
					before.kind, before.value, before.got, before.call, before.ret, before.version)
			}
		}
	}
	return "no version goes back"
}

// move gives a replica other addresses, which its own file alone knows.
func (r *rig) move(i int, to registry.ReplicaInfo) {
	r.t.Helper()
	var file map[string]any
	if err := readFile(r.files[to.ID], &file); err != nil {
		r.t.Fatal(err)
	}
	for _, m := range file["replicas"].([]any) {
		if m := m.(map[string]any); m["id"] == to.ID {
			m["http"], m["raft"] = to.HTTP, to.Raft
		}
	}
	text, err := json.Marshal(file)
	if err == nil {
		err = os.WriteFile(r.files[to.ID], text, 0o600)
	}
	if err != nil {
		r.t.Fatal(err)
	}
	r.members[i] = to
}

// client is one of the rig's own, which no fault touches.
func (r *rig) client() *client.Client {
	r.t.Helper()
	var addrs []string
	for _, m := range r.members {
		addrs = append(addrs, m.HTTP)
	}
	c, err := client.New(addrs, 1)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(c.Close)
	return c
}

// leases are all leases now.
func (r *rig) leases(c *client.Client) map[string]registry.Lease {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	all, err := c.Leases(ctx, 0, 0)
	if err != nil {
		return nil
	}
	byName := make(map[string]registry.Lease)
	for _, l := range all.Leases {
		byName[l.Name] = l
	}
	return byName
}

// holder waits until somebody holds a lease, and says who.
func (r *rig) holder(c *client.Client, name string) (holder string) {
	r.t.Helper()
	eventually(r.t, name+" is held", func() bool {
		if g := r.leases(c)[name].Grant; g != nil {
			holder = g.Name
		}
		return holder != ""
	})
	return holder
}

// holderPrefix begins a target that stands for whoever holds a lease when its fault starts.
const holderPrefix = "holder:"

// holdersAsTargets are targets for faults of whoever holds a task, three for each task, so that
// more than half of the faults are theirs.
func (r *rig) holdersAsTargets(tasks int) (targets []string) {
	c := r.client()
	r.ResolveTarget = func(target string) string {
		task, ok := strings.CutPrefix(target, holderPrefix)
		if !ok {
			return target
		}
		if g := r.leases(c)[task].Grant; g != nil {
			return g.Name
		}
		return r.keepers[0] // nobody holds it: the fault may hit any of them
	}
	for i := range tasks {
		for range 3 {
			targets = append(targets, fmt.Sprint(holderPrefix, "task-", i))
		}
	}
	return targets
}

// leader waits until a replica leads, and says which.
func (r *rig) leader() (leader registry.ReplicaInfo) {
	r.t.Helper()
	eventually(r.t, "there is a leader", func() bool {
		i := slices.IndexFunc(r.members, func(m registry.ReplicaInfo) bool { return r.counter(m, "registry_leader") == 1 })
		if i >= 0 {
			leader = r.members[i]
		}
		return i >= 0
	})
	return leader
}

// anotherActs waits until the last to act for a task is another than a keeper.
func (r *rig) anotherActs(w *witness, task, than string) {
	r.t.Helper()
	eventually(r.t, "another acts for "+task, func() bool {
		last := w.lastAct(task)
		return last.by != "" && !strings.HasPrefix(last.by, than+"/")
	})
}

// acted waits until somebody acts for each task after a time, and returns the longest wait.
func (r *rig) acted(w *witness, tasks int, after time.Duration) {
	r.t.Helper()
	for i := range tasks {
		task := fmt.Sprint("task-", i)
		eventually(r.t, "somebody acts for "+task, func() bool { return w.lastAct(task).begin > after })
	}
}
