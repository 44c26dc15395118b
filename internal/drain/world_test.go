package drain

import (
	"context"
	"errors"
	"testing"
	"time"

	"barleywick/internal/registry"
)

var errCrash = errors.New("the command crashed")

// world is a registry's real state, and a fleet on a made-up clock. A command of the
// test ends, as a crash ends it, at any of its calls: before it has an effect, or after.
type world struct {
	t     *testing.T
	state *registry.State
	now   time.Time
	floor Floor
	held  uint64         // the version that the sidecars hold; they learn of a newer one in a sleep
	work  map[string]int // sleeps until a server has no work, once the sidecars know of its mark
	stops map[string]int
	slow  bool // sidecars learn nothing
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, state: registry.NewState(), now: time.UnixMilli(1_800_000_000_000), work: make(map[string]int), stops: make(map[string]int)}
	w.floor = Floor{Zones: map[string]int{"a": 2}, Default: 1}
	w.apply(registry.Command{Op: registry.OpFoundGroup, Group: "test"})
	for _, s := range [][3]string{{"s-1", "m-1", "a"}, {"s-2", "m-1", "a"}, {"s-3", "m-2", "a"}, {"s-4", "m-2", "a"}, {"s-5", "m-3", "a"}, {"s-6", "m-4", "b"}} {
		w.register(s[0], s[1], s[2])
	}
	w.held = w.state.Seq()
	return w
}

func (w *world) register(host, machine, zone string) {
	w.work[host] = 2
	w.apply(registry.Command{Op: registry.OpRegister, Machine: machine, Instance: &registry.Instance{
		Host: host, Dial: "127.0.0.1:7070", Site: zone, Health: registry.HealthUp, Share: 1,
	}})
}

func (w *world) apply(c registry.Command) registry.Result {
	c.AtMS = w.now.UnixMilli()
	r := w.state.Apply(c)
	if ready := w.ready("a"); w.state.Len() > 1 && ready < w.floor.forZone("a") && c.Op == registry.OpMark {
		w.t.Errorf("zone a has %d ready servers, its floor is %d", ready, w.floor.forZone("a"))
	}
	return r
}

func (w *world) ready(zone string) (n int) {
	for _, e := range w.state.Registrations() {
		if e.Site == zone && e.Health == registry.HealthUp {
			n++
		}
	}
	return n
}

// operator is one run of the command.
type operator struct {
	*world
	name    string
	calls   int
	crashAt int  // at which call it ends; 0: never
	after   bool // with the call's effect
	hook    func(call int)
	dead    bool
	there   [][]string // members of the machine, look by look; none: nobody is waited for
}

func (o *operator) workflow() *Workflow {
	return &Workflow{
		Registry: o, Fleet: o, Floor: o.floor, Owner: o.name, ClaimTTL: 10 * time.Second, PollInterval: time.Second,
		Now: func() time.Time { return o.now }, Say: func(string, ...any) {},
		Sleep: func(ctx context.Context, d time.Duration) error {
			o.now = o.now.Add(d)
			if !o.slow {
				o.held = o.state.Seq()
				for _, e := range o.state.Registrations() {
					if e.Health == registry.HealthDraining && o.work[e.Host] > 0 {
						o.work[e.Host]--
					}
				}
			}
			return ctx.Err()
		},
	}
}

// call runs one call's effect, unless the command crashes there.
func (o *operator) call(effect func()) error {
	if o.dead {
		return errCrash
	}
	o.calls++
	if o.hook != nil {
		o.hook(o.calls)
	}
	crash := o.calls == o.crashAt
	if !crash || o.after {
		effect()
	}
	if crash {
		o.dead = true
		return errCrash
	}
	return nil
}

func (o *operator) Registrations(context.Context) (a registry.RegistrationsResponse, err error) {
	err = o.call(func() {
		a = registry.RegistrationsResponse{Seq: o.state.Seq(), Registrations: o.state.Registrations(), Marks: o.state.Marks()}
	})
	return a, err
}

func (o *operator) Record(_ context.Context, key string) (r registry.Record, err error) {
	ok := false
	if err = o.call(func() { r, ok = o.state.Record(key) }); err == nil && !ok {
		err = registry.ErrNotFound
	}
	return r, err
}

func (o *operator) Put(_ context.Context, key string, value []byte, ifVersion *uint64) (uint64, error) {
	var r registry.Result
	if err := o.call(func() {
		r = o.apply(registry.Command{Op: registry.OpPutRecord, Key: key, Value: value, IfVersion: ifVersion})
	}); err != nil {
		return 0, err
	}
	return r.Version, r.Err
}

func (o *operator) Mark(_ context.Context, m registry.MarkRequest) (registry.WriteResponse, error) {
	var r registry.Result
	if err := o.call(func() {
		r = o.apply(registry.Command{Op: registry.OpMark, Hosts: m.Hosts, MarkedBy: m.MarkedBy, Draining: m.Draining, IfRecord: m.IfRecord, IfRecordVersion: m.IfRecordVersion})
	}); err != nil {
		return registry.WriteResponse{}, err
	}
	return registry.WriteResponse{Version: r.Version, Seq: r.Seq}, r.Err
}

func (o *operator) Notified(_ context.Context, seq uint64, _ time.Time) (told bool, err error) {
	err = o.call(func() { told = o.held >= seq })
	return told, err
}

func (o *operator) Idle(_ context.Context, server registry.Registration, _ time.Time) (idle bool, err error) {
	err = o.call(func() { idle = o.work[server.Host] == 0 })
	return idle, err
}

func (o *operator) RemainingMembers(context.Context, string) (there []string, waits bool, err error) {
	if len(o.there) == 0 {
		return nil, false, nil
	}
	there, o.there = o.there[0], o.there[1:]
	return there, true, nil
}

func (o *operator) Stop(_ context.Context, _, host string) error {
	return o.call(func() {
		e, _ := o.state.Registration(host)
		if e.Health != registry.HealthDraining || o.work[host] > 0 || o.held < e.Version {
			o.t.Errorf("%s is stopped: %s, with %d to do, and sidecars hold %d of %d", host, e.Health, o.work[host], o.held, e.Version)
		}
		o.stops[host]++
	})
}

func (w *world) operator(name string) *operator { return &operator{world: w, name: name} }

// drained checks that a machine is wholly out, or (in) wholly in service.
func (w *world) check(what string, machine string, out bool) {
	w.t.Helper()
	for _, e := range w.state.Registrations() {
		if e.Machine != machine {
			continue
		}
		marked := w.state.Marks()[e.Host] != ""
		if marked != out || (e.Health == registry.HealthDraining) != out || (out && w.stops[e.Host] == 0) {
			w.t.Errorf("%s: %s is %s, marked %v, stopped %d times; want out of service: %v", what, e.Host, e.Health, marked, w.stops[e.Host], out)
		}
	}
	all, err := w.operator("reader").workflow().Status(context.Background())
	if err != nil {
		w.t.Fatal(err)
	}
	step := Step("")
	for _, d := range all {
		if d.Machine == machine {
			step = d.Step
		}
	}
	if want := map[bool]Step{true: Done, false: ""}[out]; step != want {
		w.t.Errorf("%s: its drain is at %q, want %q", what, step, want)
	}
}
