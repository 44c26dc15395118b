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

// controller is a process that holds leases with lease.Session and runs a task under each of them,
// which makes its decisions with the production code.
type controller struct {
	process
	w              *world
	holder         registry.Holder
	sessions       map[string]*lease.Session
	wakeFuncs      map[string]func() // by lease: wakes the task that waits for a renewal
	planner        *overload.Planner // nil unless the controller holds the overload lease
	plannerSession *lease.Session
}

// The names of the leases. A controller runs one task under each.
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

// leaseTask runs while a controller holds a lease.
type leaseTask func(*task, *client, *lease.Session)

// newController returns a controller that has not been started.
func (w *world) newController(i int) *controller {
	ctl := &controller{w: w, process: w.process(fmt.Sprint("k", i))}
	ctl.onStart = func() {
		ctl.holder = registry.Holder{Name: ctl.name, Incarnation: ctl.incarnation}
		ctl.sessions = make(map[string]*lease.Session)
		ctl.wakeFuncs = make(map[string]func())
		ctl.planner, ctl.plannerSession = nil, nil
		ctl.spawn(ctl.renewClaims)
		ctl.keepClaiming(policyLease, ctl.rolloutTask)
		ctl.keepClaiming(drainsLease, ctl.drainTask)
		ctl.keepClaiming(overloadLease, ctl.overloadTask)
		ctl.keepClaiming(timedLease, ctl.timedTask)
	}
	return ctl
}

// keepClaiming claims a lease repeatedly, and runs its task while the lease is held.
func (ctl *controller) keepClaiming(name string, run leaseTask) {
	ctl.spawn(func(t *task) {
		c := ctl.w.newClient(t)
		for {
			ctl.claimOnce(t, c, name, run)
			t.sleep(t.jitter(renewInterval))
		}
	})
}

// claimOnce makes one claim and keeps it until it ends, in the same way as lease.Manager.
func (ctl *controller) claimOnce(t *task, c *client, name string, run leaseTask) {
	ctl.w.claimCount++
	session := &lease.Session{LeaseName: name, ClaimID: fmt.Sprintf("claim-%06d", ctl.w.claimCount), Holder: ctl.holder, TTL: leaseTTL}
	ctl.sessions[name] = session
	claim := registry.Claim{ID: session.ClaimID, Holder: ctl.holder, TTLMS: leaseTTL.Milliseconds()}
	session.AcquireSent(ctl.monotonic())
	res, err := c.apply(registry.Command{Op: registry.OpAcquireLease, Lease: &registry.LeaseCommand{Name: name, Claim: claim, Wait: true}})
	var running *task
	defer func() {
		if running != nil {
			running.kill()
		}
	}()
	if err == nil {
		session.Acquired(registry.ClaimStatus{Lease: name, ClaimID: session.ClaimID, Token: res.Token, QueuePosition: res.QueuePosition}, ctl.monotonic())
		for !session.Ended(ctl.monotonic()) {
			if session.Held(ctl.monotonic()) && running == nil {
				ctl.w.recordStep("lease granted: " + name)
				running = ctl.startTask(session, run)
			}
			if running != nil && running.ended {
				break
			}
			t.await(func(wake func()) {
				ctl.wakeFuncs[name] = wake
				t.after(min(renewInterval, max(time.Millisecond, ctl.remaining(session))), wake)
			})
			if _, yield := session.YieldRequested(); yield {
				break
			}
		}
		if running != nil {
			running.kill()
		}
		if session.Token() != 0 {
			ctl.w.recordStep("lease given up: " + name)
		}
	}
	session.Resign()
	_, _ = c.apply(registry.Command{Op: registry.OpReleaseLease, Lease: &registry.LeaseCommand{Name: name, Claim: claim}})
}

// renewClaims renews all claims periodically, with one call each time.
func (ctl *controller) renewClaims(t *task) {
	c := ctl.w.newClient(t)
	for {
		t.sleep(t.jitter(renewInterval))
		var claims []registry.ClaimRef
		for _, name := range sortedKeys(ctl.sessions) {
			if session := ctl.sessions[name]; !session.Ended(ctl.monotonic()) {
				claims = append(claims, registry.ClaimRef{Lease: name, ClaimID: session.ClaimID})
			}
		}
		sent := ctl.monotonic()
		var statuses []registry.ClaimStatus
		if c.callReplicas(func(r *replica, reply func(error)) {
			ctl.w.raft.renewClaims(r, ctl.holder, claims, func(a []registry.ClaimStatus, err error) {
				statuses = a
				reply(err)
			})
		}) != nil {
			continue
		}
		for _, a := range statuses {
			if session := ctl.sessions[a.Lease]; session != nil && session.ClaimID == a.ClaimID {
				session.Renewed(a, sent, ctl.monotonic())
				if wake := ctl.wakeFuncs[a.Lease]; wake != nil {
					ctl.after(0, wake)
				}
			}
		}
	}
}

// remaining returns how much simulated time passes until the lease ends by this process's clock, which may
// drift. It returns an hour if the lease was not granted.
func (ctl *controller) remaining(session *lease.Session) time.Duration {
	if session.Token() == 0 {
		return time.Hour
	}
	return time.Duration(int64(session.Deadline()-ctl.monotonic()) * normalClockRate / ctl.clockRate)
}

// startTask starts a task whose context ends when the lease is no longer held.
func (ctl *controller) startTask(session *lease.Session, run leaseTask) *task {
	t := ctl.spawn(func(t *task) {
		c := ctl.w.newClient(t)
		c.fence = func() *registry.Fence { return &registry.Fence{Lease: session.LeaseName, Token: session.Token()} }
		run(t, c, session)
	})
	t.contextEnded = func() bool { return !session.Held(ctl.monotonic()) }
	return t
}

// rolloutTask advances rollouts.
func (ctl *controller) rolloutTask(t *task, c *client, session *lease.Session) {
	for {
		var st rollout.Status
		if c.readStale(func(s *registry.State) { st = s.Rollout().Status() }) == nil {
			if step, ok := rollout.Decide(st, ctl.time().UnixMilli()); ok {
				ctl.w.recordStep("policy " + string(step.Op) + " from " + string(st.Stage))
				if _, err := c.apply(registry.Command{Op: registry.OpPolicyStep, PolicyStep: &step}); errors.Is(err, registry.ErrFenced) {
					return
				}
				continue
			}
		}
		t.sleep(t.jitter(200 * time.Millisecond))
	}
}

// drainTask runs the drains that operators have handed over.
func (ctl *controller) drainTask(t *task, c *client, session *lease.Session) {
	for {
		w := ctl.w.newWorkflow(t, c, drain.OwnerControllers, session)
		drains, err := w.HandedOver(context.Background())
		if err == nil {
			for _, d := range drains {
				if err := w.Resume(context.Background(), d); errors.Is(err, registry.ErrFenced) {
					return
				}
			}
		}
		t.sleep(t.jitter(400 * time.Millisecond))
	}
}

// overloadTask publishes this controller as the source of overload advice, and gives advice while it runs.
func (ctl *controller) overloadTask(t *task, c *client, session *lease.Session) {
	ctl.planner, ctl.plannerSession = overload.NewPlanner(fleetName, session.Token()), session
	defer func() { ctl.planner, ctl.plannerSession = nil, nil }()
	var current registry.Record
	err := c.readVerified(func(s *registry.State) { current, _ = s.Record(overload.RecordKey) })
	if err == nil {
		text, _ := json.Marshal(overload.Location{Address: ctl.name, Token: session.Token()})
		_, err = c.Put(context.Background(), overload.RecordKey, text, &current.Version)
	}
	if err != nil {
		return
	}
	for {
		t.sleep(overload.ReportInterval)
	}
}

// exchangeDigest handles a load digest. It replies with advice only while the controller holds the overload lease.
func (ctl *controller) exchangeDigest(d overload.Digest, reply func(overload.Advice)) {
	if ctl.planner == nil || ctl.planner.AddDigest(ctl.monotonic(), d) != nil {
		return
	}
	advice := ctl.planner.Plan(ctl.monotonic())
	if !ctl.plannerSession.Held(ctl.monotonic()) {
		return
	}
	ctl.w.checker.checkAdvisers(ctl.w)
	reply(advice)
}

// timedTask performs timed acts. They carry no fencing token, so only the lease's remaining time protects them.
func (ctl *controller) timedTask(t *task, _ *client, session *lease.Session) {
	for {
		if session.CheckAct(ctl.monotonic(), actDuration) != nil {
			return
		}
		// The act's context ends with the lease, even while the process is paused.
		until := ctl.now + time.Duration(int64(session.Deadline()-ctl.monotonic())*normalClockRate/ctl.clockRate)
		act := ctl.w.checker.beginAct(ctl.w, ctl, session.ClaimID, until)
		t.sleep(t.jitter(actDuration))
		act.end = min(ctl.now, act.end)
		t.sleep(t.jitter(2 * actDuration))
	}
}
