// Package chaostest runs a whole fleet of real processes under load (replicas of the
// registry, keepers with all their tasks, sidecars) and breaks it for as long as is
// wanted: faults of processes and between them, up to three at once, while operators
// change policies, drain machines and hand tasks over. What was promised is checked on the
// way and at the end, by what shares no code with what it checks.
package chaostest

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

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

func (f *fleet) registryAddrs() (all []string) {
	for _, m := range f.replicas {
		all = append(all, m.HTTP)
	}
	return all
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
