// Package system model-checks the fleet's state machines together: replicas of the registry,
// controllers that hold leases and run the production code of drains, rollouts and the overload
// planner, sidecars that follow the endpoint list, the fleet policy and overload advice, and
// operators. One goroutine runs at a time, over a simulated clock, network and disks, and
// faults are injected at chosen steps. A schedule is determined by its seed and faults alone, so
// a failing one can be replayed and reduced to the faults that cause the failure.
package system

import (
	"fmt"
	"math/rand/v2"
	"time"

	"barleywick/internal/registry"
)

// world is the whole system under test, with the plan of faults and the state of their injection.
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
	settling    bool // all faults have ended, and operators start nothing new

	plan         []Fault
	injected     []bool         // by index in the plan: whether the fault's step has occurred
	stepCounts   map[string]int // how many times each step was taken
	activeFaults map[int]Fault  // faults in effect, by their index in the plan
	pairs        map[Pair]int
	err          error // the first violation
}

const (
	controllerCount, sidecarCount = 3, 3
	recordKeys                    = 8 // spreads the calls: checking one key's history takes time exponential in its length
)

// process returns a process of the world that has not been started.
func (w *world) process(name string) process {
	return process{scheduler: w.scheduler, name: name, clockRate: normalClockRate}
}

// worldStream keeps the random numbers of schedules independent of those of plans.
const worldStream = 22

const (
	machines          = 3
	serversPerMachine = 2 // in different zones
)

// newWorld starts a system whose schedule is determined by a seed and a plan of faults.
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
		for i := range serversPerMachine {
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

// startAll starts all processes. The registry group is initialized before the controllers and sidecars
// start, because they need its server list and leases.
func (w *world) startAll() {
	for _, r := range w.raft.replicas {
		r.start()
	}
	w.raft.elect()
	for _, c := range w.initialCommands() {
		if res, ok := w.raft.commit(w.raft.replicas[w.raft.leader], c); !ok || res.Err != nil {
			w.recordViolation("initializing the registry group failed: %v", res.Err)
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

// initialCommands returns the commands at the start of the registry's log.
func (w *world) initialCommands() []registry.Command {
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

// recordViolation records a violated invariant. Only the first violation is kept.
func (w *world) recordViolation(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("at %v: %w", w.now.Round(time.Millisecond), fmt.Errorf(format, args...))
	}
}
