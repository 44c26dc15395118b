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

// sidecar follows the list, the policy and the fleet's word by the real code, and sends
// requests to the servers that its list has as up.
type sidecar struct {
	process
	w        *world
	member   rollout.Member
	follower *rollout.Follower
	active   rollout.ActivePolicy
	acting   bool

	listVersion uint64 // of the list that it holds; 0: none
	list        map[string]registry.Instance

	adviceFilter overload.AdviceFilter
	adviceToken  uint64         // of the word that it took last
	requests     map[string]int // requests of its own at each server
}

func (w *world) newSidecar(i int) *sidecar {
	x := &sidecar{w: w, process: w.process(fmt.Sprint("s", i))}
	x.onStart = func() {
		x.member = rollout.Member{Name: x.name, Incarnation: x.incarnation}
		x.follower = &rollout.Follower{Self: x.member, Supports: func(d *rollout.Document) error {
			if d.Tenants[0].Slots > maxFirstSlots && x.name == "s0" {
				return errTooManySlots
			}
			return nil
		}}
		x.acting, x.active, x.listVersion, x.list = false, rollout.ActivePolicy{}, 0, make(map[string]registry.Instance)
		x.adviceFilter, x.adviceToken, x.requests = overload.AdviceFilter{Fleet: fleetName}, 0, make(map[string]int)
		x.spawn(x.followPolicy)
		x.spawn(x.watchList)
		x.spawn(x.sendRequests)
		x.spawn(x.reportOverload)
	}
	x.onEnd = func() {
		x.acting = false
		for host, n := range x.requests { // its requests end with it
			w.serverByHost(host).running -= n
		}
		x.requests = nil
	}
	return x
}

// maxFirstSlots is more slots than the first sidecar can act by.
const maxFirstSlots = 100

var errTooManySlots = errors.New("tenants[0].slots is more than this process bears")

// applyPolicy puts in force what is to be acted by.
func (x *sidecar) applyPolicy() {
	acts, acting := x.follower.Active()
	if !acting && x.acting || acting && !x.acting {
		x.w.recordStep("sidecar acts or stops")
	}
	same := acts.Epoch == x.active.Epoch && acts.JointChange == x.active.JointChange && acting == x.acting
	if x.active, x.acting = acts, acting; !same {
		x.w.checker.checkActivePolicies(x.w)
	}
}

// followPolicy keeps to the fleet's followPolicy, as the sidecar's governor does.
func (x *sidecar) followPolicy(t *task) {
	c := x.w.newClient(t)
	for {
		x.applyPolicy()
		if x.follower.Fatal() != nil { // it cannot act by what is in force: it ends
			_, _ = c.apply(registry.Command{Op: registry.OpPolicyStep, PolicyStep: &rollout.Command{Op: rollout.OpLeave, Member: x.member}})
			x.w.after(time.Second, x.whileAlive(func() { x.kill(); x.w.after(3*time.Second, x.start) }))
			t.sleep(time.Hour)
		}
		step, any := x.follower.NextCommand()
		var view rollout.View
		look := func(s *registry.State) { view = s.Rollout().View(x.member) }
		var err error
		if any {
			x.w.recordStep("sidecar says " + string(step.Op))
			err = c.callReplicas(func(r *replica, reply func(error)) {
				x.w.raft.write(r, registry.Command{Op: registry.OpPolicyStep, PolicyStep: &step}, func(_ registry.Result, err error) {
					look(r.state)
					reply(err)
				})
			})
		} else {
			t.sleep(t.jitter(watchInterval))
			err = c.readStale(look)
		}
		switch {
		case err == nil:
			x.follower.HandleResult(step, nil)
			x.follower.HandleView(view)
		case errors.Is(err, registry.ErrNotFound):
			x.follower.HandleResult(step, rollout.ErrNotFound)
		case errors.Is(err, registry.ErrConflict) && step.Op == rollout.OpJoin:
			x.follower.LostMembership()
			t.sleep(t.jitter(time.Second))
		case errors.Is(err, registry.ErrConflict): // what it has is out of date
			if c.readStale(look) == nil {
				x.follower.HandleView(view)
			}
		default:
			t.sleep(t.jitter(200 * time.Millisecond))
		}
	}
}

// watchList follows the list: what changed after the version that it holds.
func (x *sidecar) watchList(t *task) {
	c := x.w.newClient(t)
	for {
		var news registry.ListUpdate
		from := x.listVersion
		if c.readStale(func(s *registry.State) {
			if news = s.FullList(); from != 0 {
				news = s.ChangesSince(from)
			}
		}) == nil && (news.Seq > x.listVersion || news.Full && news.Seq >= x.listVersion) {
			if news.Full {
				clear(x.list)
			}
			for _, i := range news.Instances {
				if x.list[i.Host] = i; i.Health == registry.HealthRemoved {
					delete(x.list, i.Host)
				}
			}
			x.listVersion = news.Seq
			x.w.checker.checkList(x.w, x)
		}
		t.sleep(t.jitter(watchInterval))
	}
}

// sendRequests sends requests to servers that the list has as up.
func (x *sidecar) sendRequests(t *task) {
	for {
		t.sleep(t.jitter(300 * time.Millisecond))
		for _, s := range x.w.servers {
			if i, ok := x.list[s.host]; ok && i.Health == registry.HealthUp && x.w.rng.IntN(3) == 0 {
				x.w.sendRequest(x, s)
			}
		}
	}
}

// reportOverload exchanges a digest for the fleet's word, once a second.
func (x *sidecar) reportOverload(t *task) {
	c := x.w.newClient(t)
	var d overload.Digest
	for seq := uint64(1); ; seq++ {
		t.sleep(t.jitter(overload.ReportInterval))
		var at overload.Location
		found := false
		if c.readStale(func(s *registry.State) {
			rec, ok := s.Record(overload.RecordKey)
			found = ok && json.Unmarshal(rec.Value, &at) == nil
		}) != nil || !found {
			continue
		}
		d = overload.Digest{Fleet: fleetName, Name: x.name, Incarnation: x.incarnation, Seq: seq, PeriodMS: 1000, Congestion: 0.5, Tenants: []overload.TenantCounts{{Tenant: "t", Quota: 1, Requests: 100, InTime: 50}, {Tenant: "u", Quota: 1, Requests: 10, InTime: 10}}}
		for _, k := range x.w.controllers {
			if k.name != at.Address {
				continue
			}
			var word overload.Advice
			if t.call(&k.process, callTimeout, func(reply func(take func())) {
				k.exchangeDigest(d, func(a overload.Advice) { reply(func() { word = a }) })
			}) && x.adviceFilter.Accept(word) == nil {
				x.w.recordStep("sidecar takes a word")
				x.w.checker.checkAdviceToken(x.w, x, word.Token)
			}
		}
	}
}
