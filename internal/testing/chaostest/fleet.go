package chaostest

import (
	"slices"
	"strconv"
	"strings"

	"barleywick/internal/addressmap"
	"barleywick/internal/membership"
	"barleywick/internal/registry"
	"barleywick/internal/testing/faultinjection"
	"barleywick/internal/testing/loadgen"
	"barleywick/internal/testing/loopback"
)

// replicaCount is the number of registry replicas.
const replicaCount = 3

// fleet holds the processes of a run and the links between them. The first letter of a process's
// name is its role: r (registry replica), k (controller) or n (sidecar).
type fleet struct {
	*faultinjection.Injector
	options       Options
	dir           string
	replicas      []registry.ReplicaInfo
	controllers   []string
	sidecars      []string
	gossipAddrs   map[string]string          // by process
	httpAddrs     map[string]string          // by process
	overloadAddrs map[string]string          // by controller
	addressMaps   map[string]addressmap.Map  // by process: maps an address to that of the link to use instead
	clients       map[string]*loadgen.Client // by sidecar
}

// numberedNames returns n names: a prefix and a number from 0.
func numberedNames(prefix string, n int) (names []string) {
	for i := range n {
		names = append(names, prefix+strconv.Itoa(i))
	}
	return names
}

// newFleet returns a fleet that keeps its files in a directory. It does not start the processes.
func newFleet(o Options, dir string) (*fleet, error) {
	f := &fleet{
		Injector:      &faultinjection.Injector{Network: faultinjection.NewNetwork(o.Seed), Processes: make(map[string]*faultinjection.Process)},
		options:       o,
		dir:           dir,
		controllers:   numberedNames("k", o.Controllers),
		sidecars:      numberedNames("n", o.Sidecars),
		gossipAddrs:   make(map[string]string),
		httpAddrs:     make(map[string]string),
		overloadAddrs: make(map[string]string),
		addressMaps:   make(map[string]addressmap.Map),
		clients:       make(map[string]*loadgen.Client),
	}
	for _, step := range []func() error{f.assignAddresses, f.addLinks, f.addProcesses} {
		if err := step(); err != nil {
			f.Network.Close()
			return nil, err
		}
	}
	return f, nil
}

// assignAddresses picks the addresses that each process listens on.
func (f *fleet) assignAddresses() (err error) {
	addr := func() (a string) {
		if err == nil {
			a, err = loopback.FreeAddr()
		}
		return a
	}
	for _, id := range numberedNames("r", replicaCount) {
		f.replicas = append(f.replicas, registry.ReplicaInfo{ID: id, HTTP: addr(), Raft: addr()})
	}
	for _, m := range f.replicas {
		f.httpAddrs[m.ID] = m.HTTP
	}
	for _, name := range slices.Concat(f.controllers, f.sidecars) {
		f.httpAddrs[name] = addr()
	}
	for _, name := range f.controllers {
		f.overloadAddrs[name] = addr()
	}
	for _, name := range f.processNames() {
		f.gossipAddrs[name] = addr()
	}
	return err
}

// addLinks adds a link from each process to each address of another process that it connects to.
func (f *fleet) addLinks() error {
	for _, from := range f.processNames() {
		f.addressMaps[from] = make(addressmap.Map)
		for _, to := range f.processNames() {
			if from == to {
				continue
			}
			l, _, err := f.Network.AddTCPAndUDP(from+">"+to+":gossip", f.gossipAddrs[to])
			if err != nil {
				return err
			}
			f.addressMaps[from][f.gossipAddrs[to]] = l.Addr()
		}
		for _, m := range f.replicas {
			if err := f.addLink(from, m.ID+":http", m.HTTP); err != nil {
				return err
			}
			if isReplica(from) {
				if err := f.addLink(from, m.ID+":raft", m.Raft); err != nil {
					return err
				}
			}
		}
		for _, name := range f.controllers {
			if err := f.addLink(from, name+":overload", f.overloadAddrs[name]); err != nil {
				return err
			}
		}
	}
	return nil
}

// addLink adds a link from a process to an address of another one. The parameter to has the form
// PROCESS:USE. A process gets no link to itself.
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

// addProcesses writes the configuration files and adds the processes.
func (f *fleet) addProcesses() error {
	for _, m := range f.replicas {
		if err := f.addReplica(m); err != nil {
			return err
		}
	}
	for _, name := range f.controllers {
		if err := f.addController(name); err != nil {
			return err
		}
	}
	for i, name := range f.sidecars {
		if err := f.addSidecar(name, i); err != nil {
			return err
		}
	}
	return nil
}

// isReplica reports whether a name is that of a registry replica.
func isReplica(name string) bool { return strings.HasPrefix(name, "r") }

// registryAddrs returns the HTTP addresses of the replicas.
func (f *fleet) registryAddrs() (addrs []string) {
	for _, m := range f.replicas {
		addrs = append(addrs, m.HTTP)
	}
	return addrs
}

// viewURL returns the URL of a process's membership view.
func (f *fleet) viewURL(name string) string {
	switch name[0] {
	case 'r':
		return "http://" + f.httpAddrs[name] + registry.APIPath + membership.ViewPath
	case 'k':
		return "http://" + f.httpAddrs[name] + "/" + membership.ViewPath
	}
	return "http://" + f.httpAddrs[name] + "/health/" + membership.ViewPath
}

// processNames returns the names of all processes.
func (f *fleet) processNames() []string {
	return slices.Concat(f.replicaIDs(), f.controllers, f.sidecars)
}

// replicaIDs returns the names of the replicas.
func (f *fleet) replicaIDs() (ids []string) {
	for _, m := range f.replicas {
		ids = append(ids, m.ID)
	}
	return ids
}

// close kills all processes, and closes the clients and the links.
func (f *fleet) close() {
	for _, p := range f.Processes {
		p.Kill()
	}
	for _, c := range f.clients {
		c.Close()
	}
	f.Network.Close()
}
