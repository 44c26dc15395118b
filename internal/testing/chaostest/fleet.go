// Package chaostest runs a whole fleet of real processes under load (replicas of the
// registry, keepers with all their tasks, sidecars) and breaks it for as long as is
// wanted: faults of processes and between them, up to three at once, while operators
// change policies, drain machines and hand tasks over. What was promised is checked on the
// way and at the end, by what shares no code with what it checks.
package chaostest

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pelletier/go-toml/v2"

	"barleywick/internal/addressmap"
	"barleywick/internal/membership"
	"barleywick/internal/registry"
	"barleywick/internal/testing/faultinjection"
	"barleywick/internal/testing/loadgen"
)

// Program is one of ours.
type Program string

// The programs.
const (
	Replica    Program = "registry"
	Controller Program = "controller"
	Sidecar    Program = "sidecar-metrics"
)

// Options are what a run needs.
type Options struct {
	Command     func(p Program, config string) *exec.Cmd // starts a program on its configuration
	Duration    time.Duration                            // of faults; what comes before and after is beside
	Seed        uint64
	Schedule    faultinjection.Schedule // the faults; none: drawn from the seed
	Controllers int
	Sidecars    int
	Servers     int
	OnEvent     func(line string) // the time line as it comes; may be nil
}

const (
	fleetName     = "torture"
	leaseMS       = 2000
	gossipProbeMS = 300
	electionMS    = 200
	maxSockets    = 256
	memoryMB      = 192
	// requestTimeout is a client's whole wait, aims what its class aims at.
	requestTimeout   = 2 * time.Second
	latencyObjective = 500 * time.Millisecond
)

// fleet is the processes, and the links between them.
type fleet struct {
	*faultinjection.Injector
	options     Options
	dir         string
	replicas    []registry.ReplicaInfo
	controllers []string
	sidecars    []string
	gossipAddrs map[string]string
	httpAddrs   map[string]string // where each is asked
	addressMaps map[string]addressmap.Map
	clients     map[string]*loadgen.Client // of sidecars
}

// addressesGiven counts hosts of the loopback that were addressesGiven out: each process has its own, so
// that no port that the system gives to somebody is in the way when it starts again.
var addressesGiven atomic.Int64

func freeAddr() (string, error) {
	n := addressesGiven.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, 1+n/250, 1+n%250))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// numberedNames are those of so many processes of a kind.
func numberedNames(kind string, n int) (all []string) {
	for i := range n {
		all = append(all, kind+strconv.Itoa(i))
	}
	return all
}

// newFleet makes the fleet in a folder; none of it runs yet.
func newFleet(o Options, folder string) (f *fleet, err error) {
	f = &fleet{
		Injector: &faultinjection.Injector{Network: faultinjection.NewNetwork(o.Seed), Processes: make(map[string]*faultinjection.Process)}, options: o, dir: folder,
		controllers: numberedNames("k", o.Controllers), sidecars: numberedNames("n", o.Sidecars),
		gossipAddrs: make(map[string]string), httpAddrs: make(map[string]string), addressMaps: make(map[string]addressmap.Map), clients: make(map[string]*loadgen.Client),
	}
	defer func() {
		if err != nil {
			f.Network.Close()
		}
	}()
	addr := func() (a string) {
		if err == nil {
			a, err = freeAddr()
		}
		return a
	}
	for _, id := range numberedNames("r", 3) {
		f.replicas = append(f.replicas, registry.ReplicaInfo{ID: id, HTTP: addr(), Raft: addr()})
	}
	var members []string
	for _, m := range f.replicas {
		f.httpAddrs[m.ID] = m.HTTP
		members = append(members, m.ID)
	}
	for _, name := range slices.Concat(f.controllers, f.sidecars) {
		f.httpAddrs[name] = addr()
		members = append(members, name)
	}
	desks := make(map[string]string)
	for _, k := range f.controllers {
		desks[k] = addr()
	}
	for _, name := range members {
		f.gossipAddrs[name] = addr()
	}
	if err != nil {
		return nil, err
	}
	for _, from := range members {
		f.addressMaps[from] = make(addressmap.Map)
		for _, to := range members {
			if from == to {
				continue
			}
			l, _, err := f.Network.AddTCPAndUDP(from+">"+to+":gossip", f.gossipAddrs[to])
			if err != nil {
				return nil, err
			}
			f.addressMaps[from][f.gossipAddrs[to]] = l.Addr()
		}
		for _, m := range f.replicas {
			if err := f.addLink(from, m.ID+":http", m.HTTP); err != nil {
				return nil, err
			}
			if strings.HasPrefix(from, "r") {
				if err := f.addLink(from, m.ID+":raft", m.Raft); err != nil {
					return nil, err
				}
			}
		}
		for k, desk := range desks {
			if err := f.addLink(from, k+":word", desk); err != nil {
				return nil, err
			}
		}
	}
	for _, m := range f.replicas {
		if err := f.addReplica(m); err != nil {
			return nil, err
		}
	}
	for _, k := range f.controllers {
		if err := f.addController(k, desks[k]); err != nil {
			return nil, err
		}
	}
	for i, n := range f.sidecars {
		if err := f.addSidecar(n, i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// addLink makes the link from a process to an address of another.
func (f *fleet) addLink(from, to, address string) error {
	if strings.HasPrefix(to, from+":") {
		return nil
	}
	l, err := f.Network.AddTCP(from+">"+to, address)
	if err == nil {
		f.addressMaps[from][address] = l.Addr()
	}
	return err
}

// membershipConfig is a process's table of that name.
func (f *fleet) membershipConfig(name string) map[string]any {
	routes := make(addressmap.Map)
	var seeds []string
	for other, at := range f.gossipAddrs {
		if other == name {
			continue
		}
		routes[at] = f.addressMaps[name][at]
		if strings.HasPrefix(other, "r") {
			seeds = append(seeds, at)
		}
	}
	slices.Sort(seeds)
	return map[string]any{"fleet": fleetName, "listen": f.gossipAddrs[name], "seeds": seeds, "probe_ms": gossipProbeMS, "routes": routes, "folder": filepath.Join(f.dir, name)}
}

// addProcess writes a configuration and makes the addProcess that reads it.
func (f *fleet) addProcess(name string, p Program, file string, text []byte) error {
	path := filepath.Join(f.dir, name+file)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	f.Processes[name] = &faultinjection.Process{Name: name, NewCommand: func() *exec.Cmd { return f.options.Command(p, path) }}
	return nil
}

func (f *fleet) addReplica(m registry.ReplicaInfo) error {
	data := filepath.Join(f.dir, m.ID)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	text, err := json.Marshal(map[string]any{
		"group": fleetName, "id": m.ID, "data": data, "replicas": f.replicas, "routes": f.addressMaps[m.ID], "membership": f.membershipConfig(m.ID),
		"timing": map[string]any{"election_ms": electionMS}, "leases": map[string]any{"most_ttl_ms": leaseMS},
	})
	if err != nil {
		return err
	}
	return f.addProcess(m.ID, Replica, ".json", text)
}

func (f *fleet) registryAddrs() (all []string) {
	for _, m := range f.replicas {
		all = append(all, m.HTTP)
	}
	return all
}

func (f *fleet) addController(name, desk string) error {
	ctl := filepath.Join(f.dir, "ctl.json")
	text, err := json.Marshal(map[string]any{"registry": f.registryAddrs(), "floor": map[string]any{"others": 1}, "sidecars": len(f.sidecars), "longest_ms": requestTimeout.Milliseconds()})
	if err == nil {
		err = os.WriteFile(ctl, text, 0o600)
	}
	if err != nil {
		return err
	}
	routes := make(addressmap.Map)
	for _, at := range f.registryAddrs() {
		routes[at] = f.addressMaps[name][at]
	}
	text, err = toml.Marshal(map[string]any{
		"name": name, "registry": f.registryAddrs(), "listen": f.httpAddrs[name], "lease_ms": leaseMS, "routes": routes, "membership": f.membershipConfig(name),
		"drains": map[string]any{"config": ctl}, "health": map[string]any{"every_ms": 1000, "timeout_ms": 300},
		"copies": map[string]any{"folder": filepath.Join(f.dir, "copies"), "every_ms": 2000, "keep": 5},
		"policy": map[string]any{}, "overload": map[string]any{"fleet": fleetName, "listen": desk},
	})
	if err != nil {
		return err
	}
	return f.addProcess(name, Controller, ".toml", text)
}

func (f *fleet) addSidecar(name string, i int) error {
	var pairs []string
	for _, at := range slices.Sorted(func(yield func(string) bool) {
		for at := range f.addressMaps[name] {
			if !yield(at) {
				return
			}
		}
	}) {
		pairs = append(pairs, at+"="+f.addressMaps[name][at])
	}
	discovery := make([]string, len(f.replicas))
	for n, m := range f.replicas { // each begins at another
		discovery[(n+i)%len(discovery)] = f.addressMaps[name][m.HTTP]
	}
	text, err := json.Marshal(map[string]any{
		"name": name, "listen": f.httpAddrs[name], "discovery": discovery[0], "discovery_replicas": discovery[1:], "seed": strconv.FormatUint(f.options.Seed+uint64(i)+1, 16),
		"limits":     map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": maxSockets},
		"policy":     map[string]any{"registry": f.registryAddrs(), "routes": pairs, "lease_ms": leaseMS},
		"overload":   map[string]any{"registry": f.registryAddrs(), "routes": pairs, "fleet": fleetName},
		"membership": f.membershipConfig(name),
		"settings": map[string]any{
			"balancers": len(f.sidecars), "zones": []string{"a", "b"}, "zone": i % 2, "discovery": "push", "orgs": []any{map[string]any{"name": "t", "share": 1, "quota_per_s": 400}},
			"caps": map[string]any{"most_tries": 3, "dial_timeout_ms": 250, "conn_idle_ms": 30000, "max_retry_after_ms": 500},
			"classes": []any{
				map[string]any{"name": "read", "semantics": "free", "aim_ms": latencyObjective.Milliseconds(), "hard_limit_ms": requestTimeout.Milliseconds(), "worth": 1},
				map[string]any{"name": "once", "semantics": "single_shot", "aim_ms": latencyObjective.Milliseconds(), "hard_limit_ms": requestTimeout.Milliseconds(), "worth": 1},
			},
		},
	})
	if err != nil {
		return err
	}
	f.clients[name] = loadgen.NewClient(f.httpAddrs[name], maxSockets/4)
	return f.addProcess(name, Sidecar, ".json", text)
}

// viewURL is where a process tells whom it sees.
func (f *fleet) viewURL(name string) string {
	switch name[0] {
	case 'r':
		return "http://" + f.httpAddrs[name] + registry.APIPath + membership.ViewPath
	case 'k':
		return "http://" + f.httpAddrs[name] + "/" + membership.ViewPath
	}
	return "http://" + f.httpAddrs[name] + "/health/" + membership.ViewPath
}

// processNames are the names of processNames processes.
func (f *fleet) processNames() (names []string) {
	for _, m := range f.replicas {
		names = append(names, m.ID)
	}
	return slices.Concat(names, f.controllers, f.sidecars)
}

// close ends whatever runs.
func (f *fleet) close() {
	for _, p := range f.Processes {
		p.Kill()
	}
	for _, c := range f.clients {
		c.Close()
	}
	f.Network.Close()
}
