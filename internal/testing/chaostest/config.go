package chaostest

import (
	"encoding/json"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"

	"barleywick/internal/addressmap"
	"barleywick/internal/registry"
	"barleywick/internal/testing/faultinjection"
	"barleywick/internal/testing/loadgen"
)

const (
	fleetName     = "chaos"
	leaseMS       = 2000
	gossipProbeMS = 300
	electionMS    = 200
	maxSockets    = 256
	memoryMB      = 192
	quotaPerS     = 400

	requestTimeout   = 2 * time.Second
	latencyObjective = 500 * time.Millisecond
)

// table is a table of a configuration file.
type table = map[string]any

// addProcess writes a configuration file and adds the process that reads it.
func (f *fleet) addProcess(name string, p Program, extension string, config []byte) error {
	path := filepath.Join(f.dir, name+extension)
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return err
	}
	f.Processes[name] = &faultinjection.Process{Name: name, NewCommand: func() *exec.Cmd { return f.options.Command(p, path) }}
	return nil
}

// membershipConfig returns the table "membership" of a process's configuration.
func (f *fleet) membershipConfig(name string) table {
	routes := make(addressmap.Map)
	var seeds []string
	for other, addr := range f.gossipAddrs {
		if other == name {
			continue
		}
		routes[addr] = f.addressMaps[name][addr]
		if isReplica(other) {
			seeds = append(seeds, addr)
		}
	}
	slices.Sort(seeds)
	return table{
		"fleet": fleetName, "listen": f.gossipAddrs[name], "seeds": seeds, "probe_ms": gossipProbeMS,
		"routes": routes, "folder": filepath.Join(f.dir, name),
	}
}

// addReplica adds a registry replica.
func (f *fleet) addReplica(m registry.ReplicaInfo) error {
	dataDir := filepath.Join(f.dir, m.ID)
	if err := os.MkdirAll(dataDir, 0o700); err != nil {
		return err
	}
	config, err := json.Marshal(table{
		"group": fleetName, "id": m.ID, "data": dataDir, "replicas": f.replicas,
		"routes":     f.addressMaps[m.ID],
		"membership": f.membershipConfig(m.ID),
		"timing":     table{"election_ms": electionMS},
		"leases":     table{"most_ttl_ms": leaseMS},
	})
	if err != nil {
		return err
	}
	return f.addProcess(m.ID, Replica, ".json", config)
}

// addController adds a controller that runs all tasks.
func (f *fleet) addController(name string) error {
	drainConfig, err := f.writeDrainConfig()
	if err != nil {
		return err
	}
	routes := make(addressmap.Map)
	for _, addr := range f.registryAddrs() {
		routes[addr] = f.addressMaps[name][addr]
	}
	config, err := toml.Marshal(table{
		"name": name, "registry": f.registryAddrs(), "listen": f.httpAddrs[name], "lease_ms": leaseMS,
		"routes":     routes,
		"membership": f.membershipConfig(name),
		"drains":     table{"config": drainConfig},
		"health":     table{"every_ms": 1000, "timeout_ms": 300},
		"copies":     table{"folder": f.backupDir(), "every_ms": 2000, "keep": 5},
		"policy":     table{},
		"overload":   table{"fleet": fleetName, "listen": f.overloadAddrs[name]},
	})
	if err != nil {
		return err
	}
	return f.addProcess(name, Controller, ".toml", config)
}

// backupDir returns the directory to which controllers save backups of the registry.
func (f *fleet) backupDir() string { return filepath.Join(f.dir, "copies") }

// writeDrainConfig writes the configuration file for drains that controllers run.
func (f *fleet) writeDrainConfig() (path string, err error) {
	path = filepath.Join(f.dir, "drains.json")
	config, err := json.Marshal(table{
		"registry": f.registryAddrs(), "floor": table{"others": 1}, "sidecars": len(f.sidecars), "longest_ms": requestTimeout.Milliseconds(),
	})
	if err != nil {
		return "", err
	}
	return path, os.WriteFile(path, config, 0o600)
}

// addSidecar adds a sidecar and the client that sends requests to it.
func (f *fleet) addSidecar(name string, i int) error {
	links := f.addressMaps[name]
	var routes []string
	for _, addr := range slices.Sorted(maps.Keys(links)) {
		routes = append(routes, addr+"="+links[addr])
	}
	discovery := make([]string, len(f.replicas))
	for n, m := range f.replicas { // sidecars start with different replicas
		discovery[(n+i)%len(discovery)] = links[m.HTTP]
	}
	config, err := json.Marshal(table{
		"name": name, "listen": f.httpAddrs[name], "discovery": discovery[0], "discovery_replicas": discovery[1:],
		"seed":       strconv.FormatUint(f.options.Seed+uint64(i)+1, 16),
		"limits":     table{"cores": 1, "memory_mb": memoryMB, "sockets": maxSockets},
		"policy":     table{"registry": f.registryAddrs(), "routes": routes, "lease_ms": leaseMS},
		"overload":   table{"registry": f.registryAddrs(), "routes": routes, "fleet": fleetName},
		"membership": f.membershipConfig(name),
		"settings":   f.settings(i),
	})
	if err != nil {
		return err
	}
	f.clients[name] = loadgen.NewClient(f.httpAddrs[name], maxSockets/4)
	return f.addProcess(name, Sidecar, ".json", config)
}

// settings returns the table "settings" of a sidecar's configuration. Sidecars alternate between two zones.
func (f *fleet) settings(i int) table {
	class := func(name, semantics string) table {
		return table{"name": name, "semantics": semantics, "aim_ms": latencyObjective.Milliseconds(), "hard_limit_ms": requestTimeout.Milliseconds(), "worth": 1}
	}
	return table{
		"balancers": len(f.sidecars), "zones": []string{"a", "b"}, "zone": i % 2, "discovery": "push",
		"orgs":    []table{{"name": "t", "share": 1, "quota_per_s": quotaPerS}},
		"caps":    table{"most_tries": 3, "dial_timeout_ms": 250, "conn_idle_ms": 30000, "max_retry_after_ms": 500},
		"classes": []table{class("read", "free"), class("once", "single_shot")},
	}
}
