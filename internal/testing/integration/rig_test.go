package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"barleywick/internal/addressmap"
	"barleywick/internal/membership"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
	"barleywick/internal/testing/faultinjection"
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

// rig is three replicas and some controllers, every link between two of which is a relay.
type rig struct {
	t testing.TB
	*faultinjection.Injector
	members     []registry.ReplicaInfo
	controllers []string
	routes      map[string]addressmap.Map // by process
	env         map[string][]string       // of controllers
	gossip      map[string]string         // where members listen, by process; empty: there is no membership
	listens     map[string]string         // where controllers that are members serve
	files       map[string]string         // the replicas' configurations
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

// startRig starts replicas and controllers whose tasks are to act.
func startRig(t testing.TB, seed uint64, controllers, tasks int, witness string, members ...string) *rig {
	t.Helper()
	r := &rig{t: t}
	r.begin(seed, members...)
	for i := range controllers {
		r.addController(fmt.Sprint("k", i), "actor", "", witnessVariable+"="+witness, tasksVariable+"="+strconv.Itoa(tasks))
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
	t.TempDir() // it is removed after the processes have ended: what is registered first is done last
	t.Cleanup(func() {
		for name, p := range r.Processes {
			if p.Kill(); p.Crashed() != nil {
				t.Errorf("%s has failed by itself: %v", name, p.Crashed())
			}
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

// addController makes a controller, which does not run yet.
func (r *rig) addController(name, role, rest string, env ...string) {
	r.t.Helper()
	r.controllers = append(r.controllers, name)
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
		return r.controllers[0] // nobody holds it: the fault may hit any of them
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

// anotherActs waits until the last to act for a task is another than a controller.
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
