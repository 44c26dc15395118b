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

// controller is a process that holds tasks: the real holder's count of its leases, and the
// tasks' real decisions.
type controller struct {
	process
	w              *world
	holder         registry.Holder
	sessions       map[string]*lease.Session
	wakeups        map[string]func() // who waits for news of a tenure
	planner        *overload.Planner // while it holds the task
	plannerSession *lease.Session
}

// The leases, and the task of each.
const (
	policyLease   = "policy"
	drainsLease   = "drains"
	overloadLease = overload.LeaseName
	timedLease    = "timed"
)

const (
	renewInterval = leaseTTL / 6
	actDuration   = 40 * time.Millisecond
)

func (w *world) newController(i int) *controller {
	k := &controller{w: w, process: w.process(fmt.Sprint("k", i))}
	k.onStart = func() {
		k.holder = registry.Holder{Name: k.name, Incarnation: k.incarnation}
		k.sessions = make(map[string]*lease.Session)
		k.wakeups = make(map[string]func())
		k.planner, k.plannerSession = nil, nil
		k.spawn(k.renewClaims)
		k.keepClaiming(policyLease, k.rolloutTask)
		k.keepClaiming(drainsLease, k.drainTask)
		k.keepClaiming(overloadLease, k.overloadTask)
		k.keepClaiming(timedLease, k.timedTask)
	}
	return k
}

// keepClaiming asks for a lease again and again, and runs its task while it is held.
func (k *controller) keepClaiming(name string, do func(*task, *client, *lease.Session)) {
	k.spawn(func(t *task) {
		c := k.w.newClient(t)
		for {
			k.claimOnce(t, c, name, do)
			t.sleep(t.jitter(renewInterval))
		}
	})
}

// claimOnce is one claim, from its asking to its end, as lease.Member has it.
func (k *controller) claimOnce(t *task, c *client, name string, do func(*task, *client, *lease.Session)) {
	k.w.claimCount++
	n := &lease.Session{LeaseName: name, ClaimID: fmt.Sprintf("claim-%06d", k.w.claimCount), Holder: k.holder, TTL: leaseTTL}
	k.sessions[name] = n
	claim := registry.Claim{ID: n.ClaimID, Holder: k.holder, TTLMS: leaseTTL.Milliseconds()}
	n.AcquireSent(k.monotonic())
	res, err := c.apply(registry.Command{Op: registry.OpAcquireLease, Lease: &registry.LeaseCommand{Name: name, Claim: claim, Wait: true}})
	var running *task
	defer func() {
		if running != nil {
			running.kill()
		}
	}()
	if err == nil {
		n.Acquired(registry.ClaimStatus{Lease: name, ClaimID: n.ClaimID, Token: res.Token, QueuePosition: res.QueuePosition}, k.monotonic())
		for !n.Ended(k.monotonic()) {
			if n.Held(k.monotonic()) && running == nil {
				k.w.recordStep("lease granted: " + name)
				running = k.startTask(n, do)
			}
			if running != nil && running.ended {
				break
			}
			t.await(func(wake func()) {
				k.wakeups[name] = wake
				t.after(min(renewInterval, max(time.Millisecond, k.remaining(n))), wake)
			})
			if _, leave := n.YieldRequested(); leave {
				break
			}
		}
		if running != nil {
			running.kill()
		}
		if n.Token() != 0 {
			k.w.recordStep("lease given up: " + name)
		}
	}
	n.Resign()
	_, _ = c.apply(registry.Command{Op: registry.OpReleaseLease, Lease: &registry.LeaseCommand{Name: name, Claim: claim}})
}

// renewClaims gives a sign of life for all claims, in one call.
func (k *controller) renewClaims(t *task) {
	c := k.w.newClient(t)
	for {
		t.sleep(t.jitter(renewInterval))
		var claims []registry.ClaimRef
		for _, name := range sortedKeys(k.sessions) {
			if n := k.sessions[name]; !n.Ended(k.monotonic()) {
				claims = append(claims, registry.ClaimRef{Lease: name, ClaimID: n.ClaimID})
			}
		}
		sent := k.monotonic()
		var answers []registry.ClaimStatus
		if c.callReplicas(func(r *replica, reply func(error)) {
			k.w.raft.renewClaims(r, k.holder, claims, func(a []registry.ClaimStatus, err error) {
				answers = a
				reply(err)
			})
		}) != nil {
			continue
		}
		for _, a := range answers {
			if n := k.sessions[a.Lease]; n != nil && n.ClaimID == a.ClaimID {
				n.Renewed(a, sent, k.monotonic())
				if wake := k.wakeups[a.Lease]; wake != nil {
					k.after(0, wake)
				}
			}
		}
	}
}

// remaining is how long a lease is held still by this process's clock, in the world's time.
func (k *controller) remaining(n *lease.Session) time.Duration {
	if n.Token() == 0 {
		return time.Hour
	}
	return time.Duration(int64(n.Deadline()-k.monotonic()) * 1000 / k.clockRate)
}

// startTask runs a task under a lease: it ends where the lease does.
func (k *controller) startTask(n *lease.Session, do func(*task, *client, *lease.Session)) *task {
	t := k.spawn(func(t *task) {
		c := k.w.newClient(t)
		c.fence = func() *registry.Fence { return &registry.Fence{Lease: n.LeaseName, Token: n.Token()} }
		do(t, c, n)
	})
	t.contextEnded = func() bool { return !n.Held(k.monotonic()) }
	return t
}

// rolloutTask leads changes of rolloutTask.
func (k *controller) rolloutTask(t *task, c *client, n *lease.Session) {
	for {
		var st rollout.Status
		if c.readStale(func(s *registry.State) { st = s.Rollout().Status() }) == nil {
			if step, any := rollout.Decide(st, k.time().UnixMilli()); any {
				k.w.recordStep("policy " + string(step.Op) + " from " + string(st.Stage))
				if _, err := c.apply(registry.Command{Op: registry.OpPolicyStep, PolicyStep: &step}); errors.Is(err, registry.ErrFenced) {
					return
				}
				continue
			}
		}
		t.sleep(t.jitter(200 * time.Millisecond))
	}
}

// drainTask runs those that operators handed over.
func (k *controller) drainTask(t *task, c *client, n *lease.Session) {
	for {
		w := k.w.newWorkflow(t, c, drain.OwnerControllers, n)
		handed, err := w.HandedOver(context.Background())
		if err == nil {
			for _, d := range handed {
				if err := w.Resume(context.Background(), d); errors.Is(err, registry.ErrFenced) {
					return
				}
			}
		}
		t.sleep(t.jitter(400 * time.Millisecond))
	}
}

// overloadTask gives the fleet's overloadTask on an overload to who asks.
func (k *controller) overloadTask(t *task, c *client, n *lease.Session) {
	k.planner, k.plannerSession = overload.NewPlanner(fleetName, n.Token()), n
	defer func() { k.planner, k.plannerSession = nil, nil }()
	var was registry.Record
	err := c.readVerified(func(s *registry.State) { was, _ = s.Record(overload.RecordKey) })
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

// exchangeDigest is a digest that came to this keeper, answered only while it holds the task.
func (k *controller) exchangeDigest(d overload.Digest, reply func(overload.Advice)) {
	if k.planner == nil || k.planner.AddDigest(k.monotonic(), d) != nil {
		return
	}
	word := k.planner.Plan(k.monotonic())
	if !k.plannerSession.Held(k.monotonic()) {
		return
	}
	k.w.checker.checkAdvisers(k.w)
	reply(word)
}

// timedTask acts on what knows no token.
func (k *controller) timedTask(t *task, _ *client, n *lease.Session) {
	for {
		if n.CheckAct(k.monotonic(), actDuration) != nil {
			return
		}
		// Its context ends with the lease, whatever becomes of the process.
		until := k.now + time.Duration(int64(n.Deadline()-k.monotonic())*1000/k.clockRate)
		act := k.w.checker.beginAct(k.w, k, n.ClaimID, until)
		t.sleep(t.jitter(actDuration))
		act.end = min(k.now, act.end)
		t.sleep(t.jitter(2 * actDuration))
	}
}
