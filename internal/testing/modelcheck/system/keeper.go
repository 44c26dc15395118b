package system

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"barleywick/internal/drain"
	"barleywick/internal/lease"
	"barleywick/internal/overload"
	"barleywick/internal/registry"
	"barleywick/internal/rollout"
)

// keeper is a process that holds tasks: the real holder's count of its leases, and the
// tasks' real decisions.
type keeper struct {
	process
	w       *world
	of      registry.Holder
	tenures map[string]*lease.Session
	woken   map[string]func() // who waits for news of a tenure
	desk    *overload.Planner // while it holds the task
	desked  *lease.Session
}

// The leases, and the task of each.
const (
	policyLease = "policy"
	drainsLease = "drains"
	wordLease   = overload.LeaseName
	timedLease  = "timed"
)

const (
	renewEvery = leaseTTL / 6
	actTakes   = 40 * time.Millisecond
)

func (w *world) addKeeper(i int) *keeper {
	k := &keeper{w: w, process: w.process(fmt.Sprint("k", i))}
	k.boot = func() {
		k.of = registry.Holder{Name: k.name, Incarnation: k.starts}
		k.tenures = make(map[string]*lease.Session)
		k.woken = make(map[string]func())
		k.desk, k.desked = nil, nil
		k.spawn(k.renews)
		k.claim(policyLease, k.policy)
		k.claim(drainsLease, k.drains)
		k.claim(wordLease, k.word)
		k.claim(timedLease, k.timed)
	}
	return k
}

// claim asks for a lease again and again, and runs its task while it is held.
func (k *keeper) claim(name string, do func(*task, *client, *lease.Session)) {
	k.spawn(func(t *task) {
		c := k.w.client(t)
		for {
			k.once(t, c, name, do)
			t.sleep(t.spread(renewEvery))
		}
	})
}

// once is one claim, from its asking to its end, as lease.Member has it.
func (k *keeper) once(t *task, c *client, name string, do func(*task, *client, *lease.Session)) {
	k.w.claims++
	n := &lease.Session{LeaseName: name, ClaimID: fmt.Sprintf("claim-%06d", k.w.claims), Holder: k.of, TTL: leaseTTL}
	k.tenures[name] = n
	claim := registry.Claim{ID: n.ClaimID, Holder: k.of, TTLMS: leaseTTL.Milliseconds()}
	n.AcquireSent(k.reads())
	res, err := c.apply(registry.Command{Op: registry.OpAcquireLease, Lease: &registry.LeaseCommand{Name: name, Claim: claim, Wait: true}})
	var running *task
	defer func() {
		if running != nil {
			running.kill()
		}
	}()
	if err == nil {
		n.Acquired(registry.ClaimStatus{Lease: name, ClaimID: n.ClaimID, Token: res.Token, QueuePosition: res.QueuePosition}, k.reads())
		for !n.Ended(k.reads()) {
			if n.Held(k.reads()) && running == nil {
				k.w.step("lease granted: " + name)
				running = k.run(n, do)
			}
			if running != nil && running.over {
				break
			}
			t.await(func(wake func()) {
				k.woken[name] = wake
				t.after(min(renewEvery, max(time.Millisecond, k.left(n))), wake)
			})
			if _, leave := n.YieldRequested(); leave {
				break
			}
		}
		if running != nil {
			running.kill()
		}
		if n.Token() != 0 {
			k.w.step("lease given up: " + name)
		}
	}
	n.Resign()
	_, _ = c.apply(registry.Command{Op: registry.OpReleaseLease, Lease: &registry.LeaseCommand{Name: name, Claim: claim}})
}

// renews gives a sign of life for all claims, in one call.
func (k *keeper) renews(t *task) {
	c := k.w.client(t)
	for {
		t.sleep(t.spread(renewEvery))
		var claims []registry.ClaimRef
		for _, name := range sortedKeys(k.tenures) {
			if n := k.tenures[name]; !n.Ended(k.reads()) {
				claims = append(claims, registry.ClaimRef{Lease: name, ClaimID: n.ClaimID})
			}
		}
		sent := k.reads()
		var answers []registry.ClaimStatus
		if c.each(func(r *replica, reply func(error)) {
			k.w.group.renew(r, k.of, claims, func(a []registry.ClaimStatus, err error) {
				answers = a
				reply(err)
			})
		}) != nil {
			continue
		}
		for _, a := range answers {
			if n := k.tenures[a.Lease]; n != nil && n.ClaimID == a.ClaimID {
				n.Renewed(a, sent, k.reads())
				if wake := k.woken[a.Lease]; wake != nil {
					k.after(0, wake)
				}
			}
		}
	}
}

// left is how long a lease is held still by this process's clock, in the world's time.
func (k *keeper) left(n *lease.Session) time.Duration {
	if n.Token() == 0 {
		return time.Hour
	}
	return time.Duration(int64(n.Deadline()-k.reads()) * 1000 / k.rate)
}

// run runs a task under a lease: it ends where the lease does.
func (k *keeper) run(n *lease.Session, do func(*task, *client, *lease.Session)) *task {
	t := k.spawn(func(t *task) {
		c := k.w.client(t)
		c.fence = func() *registry.Fence { return &registry.Fence{Lease: n.LeaseName, Token: n.Token()} }
		do(t, c, n)
	})
	t.lapsed = func() bool { return !n.Held(k.reads()) }
	return t
}

// policy leads changes of policy.
func (k *keeper) policy(t *task, c *client, n *lease.Session) {
	for {
		var st rollout.Status
		if c.peek(func(s *registry.State) { st = s.Rollout().Status() }) == nil {
			if step, any := rollout.Decide(st, k.time().UnixMilli()); any {
				k.w.step("policy " + string(step.Op) + " from " + string(st.Stage))
				if _, err := c.apply(registry.Command{Op: registry.OpPolicyStep, PolicyStep: &step}); errors.Is(err, registry.ErrFenced) {
					return
				}
				continue
			}
		}
		t.sleep(t.spread(200 * time.Millisecond))
	}
}

// site is the servers and sidecars, as a drain's workflow sees them.
type site struct {
	t *task
	w *world
	n *lease.Session
}

// Notified says whether all sidecars hold a version of the list.
func (s site) Notified(_ context.Context, seq uint64, since time.Time) (bool, error) {
	s.t.sleep(s.t.spread(hop))
	if s.t.time().Sub(since) >= toldWithin {
		return true, nil
	}
	for _, x := range s.w.sidecars {
		if !x.up || x.seq < seq {
			return false, nil
		}
	}
	return true, nil
}

// Idle asks a server for its load.
func (s site) Idle(_ context.Context, e registry.Registration, _ time.Time) (bool, error) {
	s.t.sleep(s.t.spread(hop))
	return s.w.server(e.Host).work() == 0, nil
}

// RemainingMembers are none here.
func (s site) RemainingMembers(context.Context, string) ([]string, bool, error) {
	return nil, false, nil
}

// Stop stops a server, only while the lease is held.
func (s site) Stop(_ context.Context, _, host string) error {
	if s.n != nil {
		if err := s.n.CheckAct(s.t.reads(), actTakes); err != nil {
			return err
		}
	}
	s.t.sleep(s.t.spread(hop))
	s.w.stopServer(host)
	return nil
}

// workflow is the real one, over the world.
func (w *world) workflow(t *task, c *client, owner string, n *lease.Session) *drain.Workflow {
	return &drain.Workflow{
		Registry: c, Fleet: site{t, w, n}, Floor: drain.Floor{Default: 1}, Owner: owner, ClaimTTL: 5 * time.Second, PollInterval: 100 * time.Millisecond,
		Now:   t.time,
		Sleep: func(_ context.Context, d time.Duration) error { t.sleep(t.spread(d)); return nil },
		OnEvent: func(e drain.Event) {
			if e.Kind == drain.EventUndone {
				w.step("drain undone")
				return
			}
			w.step("drain " + string(e.Step))
		},
	}
}

// drains runs those that operators handed over.
func (k *keeper) drains(t *task, c *client, n *lease.Session) {
	for {
		w := k.w.workflow(t, c, drain.OwnerControllers, n)
		handed, err := w.HandedOver(context.Background())
		if err == nil {
			for _, d := range handed {
				if err := w.Resume(context.Background(), d); errors.Is(err, registry.ErrFenced) {
					return
				}
			}
		}
		t.sleep(t.spread(400 * time.Millisecond))
	}
}

// word gives the fleet's word on an overload to who asks.
func (k *keeper) word(t *task, c *client, n *lease.Session) {
	k.desk, k.desked = overload.NewPlanner(fleetName, n.Token()), n
	defer func() { k.desk, k.desked = nil, nil }()
	var was registry.Record
	err := c.read(func(s *registry.State) { was, _ = s.Record(overload.RecordKey) })
	if err == nil {
		text, _ := json.Marshal(overload.Location{Address: k.name, Token: n.Token()})
		_, err = c.Put(context.Background(), overload.RecordKey, text, &was.Version)
	}
	if err != nil {
		return
	}
	for {
		t.sleep(overload.ReportInterval)
	}
}

// exchange is a digest that came to this keeper, answered only while it holds the task.
func (k *keeper) exchange(d overload.Digest, reply func(overload.Advice)) {
	if k.desk == nil || k.desk.AddDigest(k.reads(), d) != nil {
		return
	}
	word := k.desk.Plan(k.reads())
	if !k.desked.Held(k.reads()) {
		return
	}
	k.w.judge.word(k.w)
	reply(word)
}

// timed acts on what knows no token.
func (k *keeper) timed(t *task, _ *client, n *lease.Session) {
	for {
		if n.CheckAct(k.reads(), actTakes) != nil {
			return
		}
		// Its context ends with the lease, whatever becomes of the process.
		until := k.now + time.Duration(int64(n.Deadline()-k.reads())*1000/k.rate)
		act := k.w.judge.begin(k.w, k, n.ClaimID, until)
		t.sleep(t.spread(actTakes))
		act.end = min(k.now, act.end)
		t.sleep(t.spread(2 * actTakes))
	}
}
