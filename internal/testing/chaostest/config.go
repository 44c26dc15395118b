package chaostest

import (
	"barleywick/internal/addressmap"
	"barleywick/internal/registry"
	"barleywick/internal/testing/faultinjection"
	"barleywick/internal/testing/loadgen"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

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
