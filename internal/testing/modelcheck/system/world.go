package system

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/rollout"
)

// server is a booking server: it works on what it was sent, and is stopped by a drain.
type server struct {
	host, machine, zone string
	running             int
	stopped             bool
}

func (s *server) load() int { return s.running }

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
	for _, k := range w.controllers {
		k.start()
	}
	for _, x := range w.sidecars {
		x.start()
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

func (w *world) serverByHost(host string) *server {
	for _, s := range w.servers {
		if s.host == host {
			return s
		}
	}
	return &server{}
}

// sendRequest is one that a sidecar sends to a server.
func (w *world) sendRequest(x *sidecar, s *server) {
	if s.stopped || x.outboundBlocked {
		return // it cannot be reached
	}
	s.running++
	x.requests[s.host]++
	w.checker.requests++
	w.after(w.jitter(200*time.Millisecond), x.whileAlive(func() {
		s.running--
		x.requests[s.host]--
	}))
}

// stopServer is the end of a server's processes.
func (w *world) stopServer(host string) {
	s := w.serverByHost(host)
	if s.stopped {
		return
	}
	s.stopped = true
	w.checker.checkServerStop(w, s)
}

// proposePolicies is an operator who proposes changes of policy, and aborts some.
func (w *world) proposePolicies(t *task) {
	c := w.newClient(t)
	for {
		t.sleep(t.jitter(2 * time.Second))
		if w.settling {
			continue
		}
		var st rollout.Status
		if c.readStale(func(s *registry.State) { st = s.Rollout().Status() }) != nil {
			continue
		}
		w.proposals++
		slots := 1 + w.proposals%maxFirstSlots
		if w.rng.IntN(6) == 0 {
			slots += maxFirstSlots
		}
		step := rollout.Command{
			Op: rollout.OpPropose, BaseEpoch: st.Epoch, By: "operator", Reason: fmt.Sprint(w.proposals), WithinMS: 3000,
			Document: &rollout.Document{FormatVersion: 1, Mode: rollout.ModeCarry, Tenants: []rollout.Tenant{{Name: "t", Slots: slots, QueuePlaces: 1}}},
		}
		if st.Change != nil && w.rng.IntN(3) == 0 {
			step = rollout.Command{Op: rollout.OpAbort, ChangeNumber: st.Change.Number, By: "operator", Reason: "an operator's word"}
		}
		w.recordStep("operator: " + string(step.Op))
		_, _ = c.apply(registry.Command{Op: registry.OpPolicyStep, PolicyStep: &step})
	}
}

// drainMachines is an operator who hands drains over, and takes drainMachines back into service.
func (w *world) drainMachines(t *task) {
	c := w.newClient(t)
	for {
		t.sleep(t.jitter(1500 * time.Millisecond))
		if w.settling {
			continue
		}
		flow := w.newWorkflow(t, c, "operator", nil)
		machine := fmt.Sprint("m", w.rng.IntN(3))
		if w.rng.IntN(3) > 0 {
			w.recordStep("operator: drain")
			_ = flow.HandOver(context.Background(), machine, t.time().Add(20*time.Second))
			continue
		}
		w.recordStep("operator: undrain")
		if flow.Undrain(context.Background(), machine) == nil {
			w.startServers(machine)
		}
	}
}

// startServers starts what a drain has stopped.
func (w *world) startServers(machine string) {
	for _, s := range w.servers {
		if s.machine == machine {
			s.stopped = false
		}
	}
}

// writeRecords is a user who keeps records and reads them.
func (w *world) writeRecords(t *task) {
	c := w.newClient(t)
	for n := 1; ; n++ {
		t.sleep(t.jitter(300 * time.Millisecond))
		if w.settling {
			continue
		}
		key := fmt.Sprint("record-", w.rng.IntN(recordKeys))
		if w.rng.IntN(3) == 0 {
			op := w.checker.beginCall(w, key, "")
			var got registry.Record
			if c.readVerified(func(s *registry.State) { got, _ = s.Record(key) }) == nil {
				op.complete(w, string(got.Value), true)
			}
			continue
		}
		// Each names the version that it replaces: one that comes twice does nothing then.
		var was registry.Record
		if c.readVerified(func(s *registry.State) { was, _ = s.Record(key) }) != nil {
			continue
		}
		value := fmt.Sprint(n)
		op := w.checker.beginCall(w, key, value)
		v, err := c.Put(context.Background(), key, []byte(value), &was.Version)
		op.complete(w, "", err == nil)
		if err == nil {
			w.checker.recordAcknowledged(key, value, v)
		}
	}
}
