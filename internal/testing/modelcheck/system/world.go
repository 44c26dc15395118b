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

func (s *server) work() int { return s.running }

// world is everything.
type world struct {
	*clock
	group    *group
	keepers  []*keeper
	sidecars []*sidecar
	servers  []*server
	operator *process
	judge    *judge
	claims   int
	records  int
	quiet    bool // operators begin nothing more

	plan   []Fault
	fell   []bool         // of the plan: it has begun
	nth    map[string]int // how often each step was taken
	active map[int]Fault  // faults that go on, by their place in the plan
	pairs  map[Pair]int
	err    error
}

const (
	keepers, sidecars = 3, 3
	recordKeys        = 8 // short histories each: what is checked of one grows by leaps
)

func (w *world) process(name string) process {
	return process{clock: w.clock, name: name, rate: 1000}
}

func newWorld(seed uint64, plan []Fault) *world {
	w := &world{
		clock: &clock{rng: rand.New(rand.NewPCG(seed, 22))}, plan: plan, fell: make([]bool, len(plan)),
		nth: make(map[string]int), active: make(map[int]Fault), pairs: make(map[Pair]int),
	}
	w.judge = newJudge()
	w.group = newGroup(w)
	for m := range 3 {
		for i := range 2 {
			w.servers = append(w.servers, &server{host: fmt.Sprintf("h%d-%d", m, i), machine: fmt.Sprint("m", m), zone: fmt.Sprint("z", i)})
		}
	}
	for i := range keepers {
		w.keepers = append(w.keepers, w.addKeeper(i))
	}
	for i := range sidecars {
		w.sidecars = append(w.sidecars, w.addSidecar(i))
	}
	op := w.process("operator")
	w.operator = &op
	w.operator.boot = func() {
		w.operator.spawn(w.policies)
		w.operator.spawn(w.machines)
		w.operator.spawn(w.writes)
	}
	// The group is founded, its servers are listed, and grants have begun.
	first := []registry.Command{
		{Op: registry.OpFoundGroup, Group: "g", AtMS: begin.UnixMilli()},
		{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand)},
	}
	for _, s := range w.servers {
		first = append(first, registry.Command{Op: registry.OpRegister, Instance: &registry.Instance{Host: s.host, Dial: "127.0.0.1:1", Site: s.zone, Health: registry.HealthUp, Share: 1}, Machine: s.machine})
	}
	for _, r := range w.group.replicas {
		r.start()
	}
	w.group.elect()
	for _, c := range first {
		if res, ok := w.group.commit(w.group.replicas[w.group.leader], c); !ok || res.Err != nil {
			w.broken("the group cannot be founded: %v", res.Err)
		}
	}
	w.group.tick()
	for _, k := range w.keepers {
		k.start()
	}
	for _, x := range w.sidecars {
		x.start()
	}
	w.operator.start()
	return w
}

// broken notes the first promise that is broken.
func (w *world) broken(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("at %v: %w", w.now.Round(time.Millisecond), fmt.Errorf(format, args...))
	}
}

// looked has the judge look at what everybody acts by.
func (w *world) looked() { w.judge.committed(w) }

func (w *world) server(host string) *server {
	for _, s := range w.servers {
		if s.host == host {
			return s
		}
	}
	return &server{}
}

// request is one that a sidecar sends to a server.
func (w *world) request(x *sidecar, s *server) {
	if s.stopped || x.mute {
		return // it cannot be reached
	}
	s.running++
	x.seen[s.host]++
	w.judge.requests++
	w.after(w.spread(200*time.Millisecond), x.alive(func() {
		s.running--
		x.seen[s.host]--
	}))
}

// stopServer is the end of a server's processes.
func (w *world) stopServer(host string) {
	s := w.server(host)
	if s.stopped {
		return
	}
	s.stopped = true
	w.judge.stopped(w, s)
}

// policies is an operator who proposes changes of policy, and aborts some.
func (w *world) policies(t *task) {
	c := w.client(t)
	for {
		t.sleep(t.spread(2 * time.Second))
		if w.quiet {
			continue
		}
		var st rollout.Status
		if c.peek(func(s *registry.State) { st = s.Rollout().Status() }) != nil {
			continue
		}
		w.records++
		slots := 1 + w.records%tooMuch
		if w.rng.IntN(6) == 0 {
			slots += tooMuch
		}
		step := rollout.Command{
			Op: rollout.OpPropose, BaseEpoch: st.Epoch, By: "operator", Reason: fmt.Sprint(w.records), WithinMS: 3000,
			Document: &rollout.Document{FormatVersion: 1, Mode: rollout.ModeCarry, Tenants: []rollout.Tenant{{Name: "t", Slots: slots, QueuePlaces: 1}}},
		}
		if st.Change != nil && w.rng.IntN(3) == 0 {
			step = rollout.Command{Op: rollout.OpAbort, ChangeNumber: st.Change.Number, By: "operator", Reason: "an operator's word"}
		}
		w.step("operator: " + string(step.Op))
		_, _ = c.apply(registry.Command{Op: registry.OpPolicyStep, PolicyStep: &step})
	}
}

// machines is an operator who hands drains over, and takes machines back into service.
func (w *world) machines(t *task) {
	c := w.client(t)
	for {
		t.sleep(t.spread(1500 * time.Millisecond))
		if w.quiet {
			continue
		}
		flow := w.workflow(t, c, "operator", nil)
		machine := fmt.Sprint("m", w.rng.IntN(3))
		if w.rng.IntN(3) > 0 {
			w.step("operator: drain")
			_ = flow.HandOver(context.Background(), machine, t.time().Add(20*time.Second))
			continue
		}
		w.step("operator: undrain")
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

// writes is a user who keeps records and reads them.
func (w *world) writes(t *task) {
	c := w.client(t)
	for n := 1; ; n++ {
		t.sleep(t.spread(300 * time.Millisecond))
		if w.quiet {
			continue
		}
		key := fmt.Sprint("record-", w.rng.IntN(recordKeys))
		if w.rng.IntN(3) == 0 {
			op := w.judge.call(w, key, "")
			var got registry.Record
			if c.read(func(s *registry.State) { got, _ = s.Record(key) }) == nil {
				op.returned(w, string(got.Value), true)
			}
			continue
		}
		// Each names the version that it replaces: one that comes twice does nothing then.
		var was registry.Record
		if c.read(func(s *registry.State) { was, _ = s.Record(key) }) != nil {
			continue
		}
		value := fmt.Sprint(n)
		op := w.judge.call(w, key, value)
		v, err := c.Put(context.Background(), key, []byte(value), &was.Version)
		op.returned(w, "", err == nil)
		if err == nil {
			w.judge.acknowledged(key, value, v)
		}
	}
}
