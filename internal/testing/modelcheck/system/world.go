package system

import (
	"fmt"
	"math/rand/v2"
	"time"

	"barleywick/internal/registry"
)

// world is everything.
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
	settling    bool // operators begin nothing more

	plan         []Fault
	injected     []bool         // of the plan: it has begun
	stepCounts   map[string]int // how often each step was taken
	activeFaults map[int]Fault  // faults that go on, by their place in the plan
	pairs        map[Pair]int
	err          error
}

const (
	controllerCount, sidecarCount = 3, 3
	recordKeys                    = 8 // short histories each: what is checked of one grows by leaps
)

func (w *world) process(name string) process {
	return process{scheduler: w.scheduler, name: name, clockRate: 1000}
}

func newWorld(seed uint64, plan []Fault) *world {
	w := &world{
		scheduler: &scheduler{rng: rand.New(rand.NewPCG(seed, 22))}, plan: plan, injected: make([]bool, len(plan)),
		stepCounts: make(map[string]int), activeFaults: make(map[int]Fault), pairs: make(map[Pair]int),
	}
	w.checker = newChecker()
	w.raft = newRaftModel(w)
	for m := range 3 {
		for i := range 2 {
			w.servers = append(w.servers, &server{host: fmt.Sprintf("h%d-%d", m, i), machine: fmt.Sprint("m", m), zone: fmt.Sprint("z", i)})
		}
	}
	for i := range controllerCount {
		w.controllers = append(w.controllers, w.newController(i))
	}
	for i := range sidecarCount {
		w.sidecars = append(w.sidecars, w.newSidecar(i))
	}
	op := w.process("operator")
	w.operator = &op
	w.operator.onStart = func() {
		w.operator.spawn(w.proposePolicies)
		w.operator.spawn(w.drainMachines)
		w.operator.spawn(w.writeRecords)
	}
	// The group is founded, its servers are listed, and grants have begun.
	first := []registry.Command{
		{Op: registry.OpFoundGroup, Group: "g", AtMS: startTime.UnixMilli()},
		{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand)},
	}
	for _, s := range w.servers {
		first = append(first, registry.Command{Op: registry.OpRegister, Instance: &registry.Instance{Host: s.host, Dial: "127.0.0.1:1", Site: s.zone, Health: registry.HealthUp, Share: 1}, Machine: s.machine})
	}
	for _, r := range w.raft.replicas {
		r.start()
	}
	w.raft.elect()
	for _, c := range first {
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
	return w
}

// violated notes the first promise that is violated.
func (w *world) violated(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("at %v: %w", w.now.Round(time.Millisecond), fmt.Errorf(format, args...))
	}
}

// looked has the judge look at what everybody acts by.
func (w *world) looked() { w.checker.checkCommitted(w) }
