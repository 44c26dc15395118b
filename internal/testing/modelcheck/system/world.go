// Package system model-checks the fleet's state machines together: replicas of the registry,
// controllers that hold leases and run the real drains, rollouts and overload planner,
// sidecars that follow the endpoint list, the fleet policy and overload advice, and
// operators. One goroutine runs at a time, over a simulated clock, network and disks, and
// faults are injected at chosen steps. A schedule follows from its seed and faults alone, so
// it can be replayed and reduced to the faults that it needs.
package system

import (
	"fmt"
	"math/rand/v2"
	"time"

	"barleywick/internal/registry"
)

// world is the whole system under test, with the plan of faults and what has become of it.
type world struct {
	*scheduler
	raft        *raftModel
	controllers []*controller
	sidecars    []*sidecar
	servers     []*server
	operator    *process
	checker     *checker
	claimCount  int
	proposals   int
	settling    bool // faults are over, and operators begin nothing more

	plan         []Fault
	injected     []bool         // which faults of the plan have begun
	stepCounts   map[string]int // how often each step was taken
	activeFaults map[int]Fault  // faults in effect, by their index in the plan
	pairs        map[Pair]int
	err          error // the first violation
}

const (
	controllerCount, sidecarCount = 3, 3
	recordKeys                    = 8 // the check of a history takes time exponential in its length
)

// process returns a process of the world that does not run yet.
func (w *world) process(name string) process {
	return process{scheduler: w.scheduler, name: name, clockRate: normalClockRate}
}

// worldStream separates the random numbers of schedules from those of plans.
const worldStream = 22

const (
	machines        = 3
	serversAMachine = 2 // each in another zone
)

// newWorld starts a system whose schedule follows from a seed and a plan of faults.
func newWorld(seed uint64, plan []Fault) *world {
	w := &world{
		scheduler:    &scheduler{rng: rand.New(rand.NewPCG(seed, worldStream))},
		plan:         plan,
		injected:     make([]bool, len(plan)),
		stepCounts:   make(map[string]int),
		activeFaults: make(map[int]Fault),
		pairs:        make(map[Pair]int),
		checker:      newChecker(),
	}
	w.raft = newRaftModel(w)
	for m := range machines {
		for i := range serversAMachine {
			w.servers = append(w.servers, &server{host: fmt.Sprintf("h%d-%d", m, i), machine: fmt.Sprint("m", m), zone: fmt.Sprint("z", i)})
		}
	}
	for i := range controllerCount {
		w.controllers = append(w.controllers, w.newController(i))
	}
	for i := range sidecarCount {
		w.sidecars = append(w.sidecars, w.newSidecar(i))
	}
	operator := w.process("operator")
	operator.onStart = func() {
		w.operator.spawn(w.proposePolicies)
		w.operator.spawn(w.drainMachines)
		w.operator.spawn(w.writeRecords)
	}
	w.operator = &operator
	w.startAll()
	return w
}

// startAll starts all processes, on a registry that was founded, lists the servers and grants leases.
func (w *world) startAll() {
	for _, r := range w.raft.replicas {
		r.start()
	}
	w.raft.elect()
	for _, c := range w.foundingCommands() {
		if res, ok := w.raft.commit(w.raft.replicas[w.raft.leader], c); !ok || res.Err != nil {
			w.violated("the group cannot be founded: %v", res.Err)
		}
	}
	w.raft.tick()
	for _, ctl := range w.controllers {
		ctl.start()
	}
	for _, sc := range w.sidecars {
		sc.start()
	}
	w.operator.start()
}

// foundingCommands returns the first commands of the registry's log.
func (w *world) foundingCommands() []registry.Command {
	commands := []registry.Command{
		{Op: registry.OpFoundGroup, Group: "g", AtMS: startTime.UnixMilli()},
		{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand)},
	}
	for _, s := range w.servers {
		commands = append(commands, registry.Command{
			Op:       registry.OpRegister,
			Instance: &registry.Instance{Host: s.host, Dial: "127.0.0.1:1", Site: s.zone, Health: registry.HealthUp, Share: 1},
			Machine:  s.machine,
		})
	}
	return commands
}

// violated records a violation. The first one is kept.
func (w *world) violated(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("at %v: %w", w.now.Round(time.Millisecond), fmt.Errorf(format, args...))
	}
}
