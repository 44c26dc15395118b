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
	fleetName  = "fleet"
	toldWithin = 6 * time.Second
	watchEvery = 250 * time.Millisecond
)

// sidecar follows the list, the policy and the fleet's word by the real code, and sends
// requests to the servers that its list has as up.
type sidecar struct {
	process
	w      *world
	me     rollout.Member
	follow *rollout.Follower
	acts   rollout.ActivePolicy
	acting bool

	seq  uint64 // of the list that it holds; 0: none
	list map[string]registry.Instance

	taker overload.AdviceFilter
	token uint64         // of the word that it took last
	seen  map[string]int // requests of its own at each server
}

func (w *world) addSidecar(i int) *sidecar {
	x := &sidecar{w: w, process: w.process(fmt.Sprint("s", i))}
	x.boot = func() {
		x.me = rollout.Member{Name: x.name, Incarnation: x.starts}
		x.follow = &rollout.Follower{Self: x.me, Supports: func(d *rollout.Document) error {
			if d.Tenants[0].Slots > tooMuch && x.name == "s0" {
				return errTooMuch
			}
			return nil
		}}
		x.acting, x.acts, x.seq, x.list = false, rollout.ActivePolicy{}, 0, make(map[string]registry.Instance)
		x.taker, x.token, x.seen = overload.AdviceFilter{Fleet: fleetName}, 0, make(map[string]int)
		x.spawn(x.policy)
		x.spawn(x.watch)
		x.spawn(x.load)
		x.spawn(x.tell)
	}
	x.end = func() {
		x.acting = false
		for host, n := range x.seen { // its requests end with it
			w.server(host).running -= n
		}
		x.seen = nil
	}
	return x
}

// tooMuch is more slots than the first sidecar can act by.
const tooMuch = 100

var errTooMuch = errors.New("tenants[0].slots is more than this process bears")

// put puts in force what is to be acted by.
func (x *sidecar) put() {
	acts, acting := x.follow.Active()
	if !acting && x.acting || acting && !x.acting {
		x.w.step("sidecar acts or stops")
	}
	same := acts.Epoch == x.acts.Epoch && acts.JointChange == x.acts.JointChange && acting == x.acting
	if x.acts, x.acting = acts, acting; !same {
		x.w.judge.acting(x.w)
	}
}

// policy keeps to the fleet's policy, as the sidecar's governor does.
func (x *sidecar) policy(t *task) {
	c := x.w.client(t)
	for {
		x.put()
		if x.follow.Fatal() != nil { // it cannot act by what is in force: it ends
			_, _ = c.apply(registry.Command{Op: registry.OpPolicyStep, PolicyStep: &rollout.Command{Op: rollout.OpLeave, Member: x.me}})
			x.w.after(time.Second, x.alive(func() { x.kill(); x.w.after(3*time.Second, x.start) }))
			t.sleep(time.Hour)
		}
		step, any := x.follow.NextCommand()
		var view rollout.View
		look := func(s *registry.State) { view = s.Rollout().View(x.me) }
		var err error
		if any {
			x.w.step("sidecar says " + string(step.Op))
			err = c.each(func(r *replica, reply func(error)) {
				x.w.group.take(r, registry.Command{Op: registry.OpPolicyStep, PolicyStep: &step}, func(_ registry.Result, err error) {
					look(r.state)
					reply(err)
				})
			})
		} else {
			t.sleep(t.spread(watchEvery))
			err = c.peek(look)
		}
		switch {
		case err == nil:
			x.follow.HandleResult(step, nil)
			x.follow.HandleView(view)
		case errors.Is(err, registry.ErrNotFound):
			x.follow.HandleResult(step, rollout.ErrNotFound)
		case errors.Is(err, registry.ErrConflict) && step.Op == rollout.OpJoin:
			x.follow.LostMembership()
			t.sleep(t.spread(time.Second))
		case errors.Is(err, registry.ErrConflict): // what it has is out of date
			if c.peek(look) == nil {
				x.follow.HandleView(view)
			}
		default:
			t.sleep(t.spread(200 * time.Millisecond))
		}
	}
}

// watch follows the list: what changed after the version that it holds.
func (x *sidecar) watch(t *task) {
	c := x.w.client(t)
	for {
		var news registry.ListUpdate
		from := x.seq
		if c.peek(func(s *registry.State) {
			if news = s.FullList(); from != 0 {
				news = s.ChangesSince(from)
			}
		}) == nil && (news.Seq > x.seq || news.Full && news.Seq >= x.seq) {
			if news.Full {
				clear(x.list)
			}
			for _, i := range news.Instances {
				if x.list[i.Host] = i; i.Health == registry.HealthRemoved {
					delete(x.list, i.Host)
				}
			}
			x.seq = news.Seq
			x.w.judge.holds(x.w, x)
		}
		t.sleep(t.spread(watchEvery))
	}
}

// load sends requests to servers that the list has as up.
func (x *sidecar) load(t *task) {
	for {
		t.sleep(t.spread(300 * time.Millisecond))
		for _, s := range x.w.servers {
			if i, ok := x.list[s.host]; ok && i.Health == registry.HealthUp && x.w.rng.IntN(3) == 0 {
				x.w.request(x, s)
			}
		}
	}
}

// tell exchanges a digest for the fleet's word, once a second.
func (x *sidecar) tell(t *task) {
	c := x.w.client(t)
	var d overload.Digest
	for seq := uint64(1); ; seq++ {
		t.sleep(t.spread(overload.ReportInterval))
		var at overload.Location
		found := false
		if c.peek(func(s *registry.State) {
			rec, ok := s.Record(overload.RecordKey)
			found = ok && json.Unmarshal(rec.Value, &at) == nil
		}) != nil || !found {
			continue
		}
		d = overload.Digest{Fleet: fleetName, Name: x.name, Incarnation: x.starts, Seq: seq, PeriodMS: 1000, Congestion: 0.5, Tenants: []overload.TenantCounts{{Tenant: "t", Quota: 1, Requests: 100, InTime: 50}, {Tenant: "u", Quota: 1, Requests: 10, InTime: 10}}}
		for _, k := range x.w.keepers {
			if k.name != at.Address {
				continue
			}
			var word overload.Advice
			if t.call(&k.process, callIn, func(reply func(take func())) {
				k.exchange(d, func(a overload.Advice) { reply(func() { word = a }) })
			}) && x.taker.Accept(word) == nil {
				x.w.step("sidecar takes a word")
				x.w.judge.takes(x.w, x, word.Token)
			}
		}
	}
}
