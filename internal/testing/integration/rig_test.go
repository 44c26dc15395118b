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

// long enables the tests and sizes that take minutes; docs/TESTING.md has the command.
var long = os.Getenv("BARLEYWICK_LONG") != ""

const (
	leaseMS          = 1000
	witnessVariable  = "SYSTEMTEST_WITNESS"
	tasksVariable    = "SYSTEMTEST_TASKS"
	everyVariable    = "SYSTEMTEST_EVERY"    // pause between two acts; unset: no pause
	shrinkVariable   = "SYSTEMTEST_SHRINK"   // how many runs the shrinking of a failed schedule may take
	scheduleVariable = "SYSTEMTEST_SCHEDULE" // schedule to use instead of drawing one
)

// rig is a fleet of three replicas and some controllers, with a relay for every link between two processes.
type rig struct {
	t testing.TB
	*faultinjection.Injector
	members         []registry.ReplicaInfo
	controllers     []string
	routes          map[string]addressmap.Map // by process
	env             map[string][]string       // of controllers
	gossipAddrs     map[string]string         // gossip addresses of the members, by process; empty if there is no membership
	controllerAddrs map[string]string         // HTTP addresses of the controllers that are members
	configFiles     map[string]string         // paths of the replicas' configurations
}

// addMembers makes the named processes members of a fleet, with a link between each two of them.
func (r *rig) addMembers(names ...string) {
	r.t.Helper()
	r.gossipAddrs, r.controllerAddrs, r.configFiles = make(map[string]string), make(map[string]string), make(map[string]string)
	for _, name := range names {
		r.gossipAddrs[name] = freeAddr(r.t)
	}
	for _, from := range names {
		for _, to := range names {
			if from == to {
				continue
			}
			l, _, err := r.Network.AddTCPAndUDP(from+">"+to+":gossip", r.gossipAddrs[to])
			if err != nil {
				r.t.Fatal(err)
			}
			r.addRoute(from, r.gossipAddrs[to], l)
		}
	}
}

// membership returns the membership configuration of a process, or nil if it is not a member.
func (r *rig) membership(name string) *membership.Config {
	if r.gossipAddrs[name] == "" {
		return nil
	}
	c := &membership.Config{Fleet: "test", Listen: r.gossipAddrs[name], ProbeMS: gossipMS, Routes: make(addressmap.Map), StateDir: r.t.TempDir()}
	for other, at := range r.gossipAddrs {
		if other != name {
			c.Routes[at] = r.routes[name][at]
			if strings.HasPrefix(other, "r") { // the replicas are the seeds
				c.Seeds = append(c.Seeds, at)
			}
		}
	}
	return c
}

// gossipMS is the probe interval of the members.
const gossipMS = 200

// addLink adds a link from one process to an address of another.
func (r *rig) addLink(name, from, address string) {
	l, err := r.Network.AddTCP(name, address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.addRoute(from, address, l)
}

func (r *rig) addRoute(from, address string, l *faultinjection.Link) {
	if r.routes[from] == nil {
		r.routes[from] = make(addressmap.Map)
	}
	r.routes[from][address] = l.Addr()
}

func (r *rig) addProcess(name, role string, env ...string) {
	r.Processes[name] = &faultinjection.Process{Name: name, NewCommand: func() *exec.Cmd {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(append(os.Environ(), env...), roleVariable+"="+role)
		return cmd
	}}
}

// startRig starts the replicas, and controllers whose tasks act.
func startRig(t testing.TB, seed uint64, controllers, tasks int, witnessAddr string, members ...string) *rig {
	t.Helper()
	r := &rig{t: t}
	r.prepare(seed, members...)
	for i := range controllers {
		r.addController(fmt.Sprint("k", i), "actor", "", witnessVariable+"="+witnessAddr, tasksVariable+"="+strconv.Itoa(tasks))
	}
	for _, p := range r.Processes {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

// prepare sets the rig up with its replicas, without starting them.
func (r *rig) prepare(seed uint64, members ...string) {
	t := r.t
	t.Helper()
	r.Injector = &faultinjection.Injector{Network: faultinjection.NewNetwork(seed), Processes: make(map[string]*faultinjection.Process)}
	r.routes, r.env = make(map[string]addressmap.Map), make(map[string][]string)
	t.TempDir() // registered first, so that it is removed last, after the processes have ended
	t.Cleanup(func() {
		for name, p := range r.Processes {
			if p.Kill(); p.CrashError() != nil {
				t.Errorf("%s failed by itself: %v", name, p.CrashError())
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
	r.addMembers(members...)
	for i := range 3 {
		r.members = append(r.members, registry.ReplicaInfo{ID: fmt.Sprint("r", i), HTTP: freeAddr(t), Raft: freeAddr(t)})
	}
	for _, from := range r.members {
		for _, to := range r.members {
			if from != to {
				r.addLink(from.ID+">"+to.ID+":raft", from.ID, to.Raft)
				r.addLink(from.ID+">"+to.ID+":http", from.ID, to.HTTP)
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
		r.configFiles[from.ID] = path
		r.addProcess(from.ID, "registry", configVariable+"="+path)
	}
}

// addController adds a controller without starting it. extraConfig is appended to its configuration.
func (r *rig) addController(name, role, extraConfig string, env ...string) {
	r.t.Helper()
	r.controllers = append(r.controllers, name)
	var addrs, routes []string
	for _, m := range r.members {
		r.addLink(name+">"+m.ID, name, m.HTTP)
		addrs = append(addrs, strconv.Quote(m.HTTP))
		routes = append(routes, fmt.Sprintf("%q = %q", m.HTTP, r.routes[name][m.HTTP]))
	}
	if c := r.membership(name); c != nil {
		text, err := toml.Marshal(map[string]any{"membership": c})
		if err != nil {
			r.t.Fatal(err)
		}
		extraConfig += string(text)
		r.controllerAddrs[name] = freeAddr(r.t)
		extraConfig = fmt.Sprintf("listen = %q\n", r.controllerAddrs[name]) + extraConfig
	}
	path := filepath.Join(r.t.TempDir(), name+".toml")
	text := fmt.Sprintf("name = %q\nregistry = [%s]\nlease_ms = %d\n%s[routes]\n%s\n", name, strings.Join(addrs, ", "), leaseMS, extraConfig, strings.Join(routes, "\n"))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	r.env[name] = append(env, configVariable+"="+path)
	r.addProcess(name, role, r.env[name]...)
}

// moveReplica gives a replica new addresses, only in its own configuration file.
func (r *rig) moveReplica(i int, to registry.ReplicaInfo) {
	r.t.Helper()
	var file map[string]any
	if err := readFile(r.configFiles[to.ID], &file); err != nil {
		r.t.Fatal(err)
	}
	for _, m := range file["replicas"].([]any) {
		if m := m.(map[string]any); m["id"] == to.ID {
			m["http"], m["raft"] = to.HTTP, to.Raft
		}
	}
	text, err := json.Marshal(file)
	if err == nil {
		err = os.WriteFile(r.configFiles[to.ID], text, 0o600)
	}
	if err != nil {
		r.t.Fatal(err)
	}
	r.members[i] = to
}

// client returns a registry client that bypasses the links and their faults.
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

// leases returns the current leases, by name, or nil on an error.
func (r *rig) leases(c *client.Client) map[string]registry.Lease {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
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

// holder waits until a lease is held and returns the name of its holder.
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

// holderPrefix begins a target that refers to the process that holds a lease when the fault starts.
const holderPrefix = "holder:"

// holderTargets returns targets that refer to the current holders of the tasks, three for each task, so
// that more than half of the faults hit a holder.
func (r *rig) holderTargets(tasks int) (targets []string) {
	c := r.client()
	r.ResolveTarget = func(target string) string {
		task, ok := strings.CutPrefix(target, holderPrefix)
		if !ok {
			return target
		}
		if g := r.leases(c)[task].Grant; g != nil {
			return g.Name
		}
		return r.controllers[0] // the task has no holder: any controller will do
	}
	for i := range tasks {
		for range 3 {
			targets = append(targets, fmt.Sprint(holderPrefix, "task-", i))
		}
	}
	return targets
}

// leader waits until a replica leads and returns it.
func (r *rig) leader() (leader registry.ReplicaInfo) {
	r.t.Helper()
	eventually(r.t, "a replica leads", func() bool {
		i := slices.IndexFunc(r.members, func(m registry.ReplicaInfo) bool { return r.counter(m, "registry_leader") == 1 })
		if i >= 0 {
			leader = r.members[i]
		}
		return i >= 0
	})
	return leader
}

// awaitOtherActor waits until the last act for a task is by a controller other than the given one.
func (r *rig) awaitOtherActor(w *witness, task, except string) {
	r.t.Helper()
	eventually(r.t, "another controller acts for "+task, func() bool {
		last := w.lastAct(task)
		return last.actor != "" && !strings.HasPrefix(last.actor, except+"/")
	})
}

// awaitActs waits until each task has an act that began after the given time.
func (r *rig) awaitActs(w *witness, tasks int, after time.Duration) {
	r.t.Helper()
	for i := range tasks {
		task := fmt.Sprint("task-", i)
		eventually(r.t, "a controller acts for "+task, func() bool { return w.lastAct(task).begin > after })
	}
}
