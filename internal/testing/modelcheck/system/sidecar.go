package system

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"barleywick/internal/overload"
	"barleywick/internal/registry"
	"barleywick/internal/rollout"
)

const (
	fleetName            = "fleet"
	notificationDeadline = 6 * time.Second
	watchInterval        = 250 * time.Millisecond
)

// sidecar follows the endpoint list, the fleet policy and overload advice with the production code,
// and sends requests to the servers that its list reports as up.
type sidecar struct {
	process
	w        *world
	member   rollout.Member
	follower *rollout.Follower
	active   rollout.ActivePolicy
	acting   bool

	listVersion uint64 // 0: no list received yet
	list        map[string]registry.Instance

	adviceFilter overload.AdviceFilter
	adviceToken  uint64         // fencing token of the last accepted advice
	requests     map[string]int // by server: number of requests in flight
}

// newSidecar returns a sidecar that has not been started.
func (w *world) newSidecar(i int) *sidecar {
	sc := &sidecar{w: w, process: w.process(fmt.Sprint("s", i))}
	sc.onStart = func() {
		sc.member = rollout.Member{Name: sc.name, Incarnation: sc.incarnation}
		sc.follower = &rollout.Follower{Self: sc.member, Supports: func(d *rollout.Document) error {
			if d.Tenants[0].Slots > firstSidecarMaxSlots && sc.name == "s0" {
				return errTooManySlots
			}
			return nil
		}}
		sc.acting, sc.active, sc.listVersion, sc.list = false, rollout.ActivePolicy{}, 0, make(map[string]registry.Instance)
		sc.adviceFilter, sc.adviceToken, sc.requests = overload.AdviceFilter{Fleet: fleetName}, 0, make(map[string]int)
		sc.spawn(sc.followPolicy)
		sc.spawn(sc.watchList)
		sc.spawn(sc.sendRequests)
		sc.spawn(sc.reportOverload)
	}
	sc.onEnd = func() {
		sc.acting = false
		for host, n := range sc.requests { // the requests in flight end with the process
			w.serverByHost(host).running -= n
		}
		sc.requests = nil
	}
	return sc
}

// firstSidecarMaxSlots is the largest number of slots that the first sidecar supports.
const firstSidecarMaxSlots = 100

var errTooManySlots = errors.New("tenants[0].slots exceeds firstSidecarMaxSlots, the maximum that this process supports")

// applyPolicy makes the follower's active policy the one that the sidecar applies.
func (sc *sidecar) applyPolicy() {
	active, acting := sc.follower.Active()
	if !acting && sc.acting || acting && !sc.acting {
		sc.w.recordStep("sidecar acts or stops")
	}
	same := active.Epoch == sc.active.Epoch && active.JointChange == sc.active.JointChange && acting == sc.acting
	if sc.active, sc.acting = active, acting; !same {
		sc.w.checker.checkActivePolicies(sc.w)
	}
}

// followPolicy follows the fleet policy in the same way as the sidecar's policy follower.
func (sc *sidecar) followPolicy(t *task) {
	c := sc.w.newClient(t)
	for {
		sc.applyPolicy()
		if sc.follower.Fatal() != nil { // the policy in force is not supported: the process ends
			_, _ = c.apply(registry.Command{Op: registry.OpPolicyStep, PolicyStep: &rollout.Command{Op: rollout.OpLeave, Member: sc.member}})
			sc.w.after(time.Second, sc.whileAlive(func() { sc.kill(); sc.w.after(3*time.Second, sc.start) }))
			t.sleep(time.Hour)
		}
		step, pending := sc.follower.NextCommand()
		var view rollout.View
		readView := func(s *registry.State) { view = s.Rollout().View(sc.member) }
		var err error
		if pending {
			sc.w.recordStep("sidecar says " + string(step.Op))
			err = c.callReplicas(func(r *replica, reply func(error)) {
				sc.w.raft.write(r, registry.Command{Op: registry.OpPolicyStep, PolicyStep: &step}, func(_ registry.Result, err error) {
					readView(r.state)
					reply(err)
				})
			})
		} else {
			t.sleep(t.jitter(watchInterval))
			err = c.readStale(readView)
		}
		switch {
		case err == nil:
			sc.follower.HandleResult(step, nil)
			sc.follower.HandleView(view)
		case errors.Is(err, registry.ErrNotFound):
			sc.follower.HandleResult(step, rollout.ErrNotFound)
		case errors.Is(err, registry.ErrConflict) && step.Op == rollout.OpJoin:
			sc.follower.LostMembership()
			t.sleep(t.jitter(time.Second))
		case errors.Is(err, registry.ErrConflict): // its view is stale
			if c.readStale(readView) == nil {
				sc.follower.HandleView(view)
			}
		default:
			t.sleep(t.jitter(200 * time.Millisecond))
		}
	}
}

// watchList polls the registry for changes of the endpoint list and applies them.
func (sc *sidecar) watchList(t *task) {
	c := sc.w.newClient(t)
	for {
		var update registry.ListUpdate
		from := sc.listVersion
		if c.readStale(func(s *registry.State) {
			if update = s.FullList(); from != 0 {
				update = s.ChangesSince(from)
			}
		}) == nil && (update.Seq > sc.listVersion || update.Full && update.Seq >= sc.listVersion) {
			if update.Full {
				clear(sc.list)
			}
			for _, i := range update.Instances {
				if sc.list[i.Host] = i; i.Health == registry.HealthRemoved {
					delete(sc.list, i.Host)
				}
			}
			sc.listVersion = update.Seq
			sc.w.checker.checkList(sc.w, sc)
		}
		t.sleep(t.jitter(watchInterval))
	}
}

// sendRequests sends requests to random servers that the list reports as up.
func (sc *sidecar) sendRequests(t *task) {
	for {
		t.sleep(t.jitter(300 * time.Millisecond))
		for _, s := range sc.w.servers {
			if i, ok := sc.list[s.host]; ok && i.Health == registry.HealthUp && sc.w.rng.IntN(3) == 0 {
				sc.w.sendRequest(sc, s)
			}
		}
	}
}

// reportOverload sends load digests to the controller that gives overload advice, and accepts its advice.
func (sc *sidecar) reportOverload(t *task) {
	c := sc.w.newClient(t)
	for seq := uint64(1); ; seq++ {
		t.sleep(t.jitter(overload.ReportInterval))
		var location overload.Location
		found := false
		if c.readStale(func(s *registry.State) {
			rec, ok := s.Record(overload.RecordKey)
			found = ok && json.Unmarshal(rec.Value, &location) == nil
		}) != nil || !found {
			continue
		}
		d := sc.loadDigest(seq)
		for _, ctl := range sc.w.controllers {
			if ctl.name != location.Address {
				continue
			}
			var advice overload.Advice
			if t.call(&ctl.process, callTimeout, func(reply func(accept func())) {
				ctl.exchangeDigest(d, func(a overload.Advice) { reply(func() { advice = a }) })
			}) && sc.adviceFilter.Accept(advice) == nil {
				sc.w.recordStep("sidecar takes a word")
				sc.w.checker.checkAdviceToken(sc.w, sc, advice.Token)
			}
		}
	}
}

// loadDigest returns a digest that reports congestion: half of one tenant's requests are late.
func (sc *sidecar) loadDigest(seq uint64) overload.Digest {
	return overload.Digest{
		Fleet: fleetName, Name: sc.name, Incarnation: sc.incarnation, Seq: seq, PeriodMS: 1000, Congestion: 0.5,
		Tenants: []overload.TenantCounts{
			{Tenant: "t", Quota: 1, Requests: 100, InTime: 50},
			{Tenant: "u", Quota: 1, Requests: 10, InTime: 10},
		},
	}
}
