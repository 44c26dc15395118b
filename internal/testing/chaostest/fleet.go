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

// replicaCount is how many replicas the registry has.
const replicaCount = 3

// fleet is the processes of a run and the links between them. A process's name begins with r
// (a replica of the registry), k (a controller) or n (a sidecar).
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
	addressMaps   map[string]addressmap.Map  // by process: the link to use instead of an address
	clients       map[string]*loadgen.Client // by sidecar
}

// numberedNames returns n names that begin with a prefix.
func numberedNames(prefix string, n int) (names []string) {
	for i := range n {
		names = append(names, prefix+strconv.Itoa(i))
	}
	return names
}

// newFleet makes a fleet whose files are in a directory. None of its processes runs yet.
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

// assignAddresses gives each process the addresses that it listens on.
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

// addLinks makes a link from each process to each address of another that it uses.
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

// addLink makes a link from a process to an address of another, which is named PROCESS:USE.
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

// addProcesses writes the configurations and makes the processes.
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

// isReplica reports whether a process is a replica of the registry, by its name.
func isReplica(name string) bool { return strings.HasPrefix(name, "r") }

// registryAddrs returns the addresses that the replicas serve HTTP on.
func (f *fleet) registryAddrs() (addrs []string) {
	for _, m := range f.replicas {
		addrs = append(addrs, m.HTTP)
	}
	return addrs
}

// viewURL returns the URL of a process's view of the membership.
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

// close kills all processes and closes the links.
func (f *fleet) close() {
	for _, p := range f.Processes {
		p.Kill()
	}
	for _, c := range f.clients {
		c.Close()
	}
	f.Network.Close()
}
