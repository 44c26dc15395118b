package drain

import (
	"context"
	"errors"
	"testing"
	"time"

	"barleywick/internal/registry"
)

var errCrash = errors.New("the command crashed")

// world is the registry's real state machine, and a fleet on a fake clock. An operator's command
// can crash at any of its calls, before the call takes effect or after.
type world struct {
	t          *testing.T
	state      *registry.State
	now        time.Time
	floor      Floor
	sidecarSeq uint64         // the version that the sidecars have; each sleep updates it
	work       map[string]int // the number of sleeps until a server is idle, once it is marked
	stops      map[string]int // how often a server was stopped
	watchStuck bool           // sidecars get no new version, and servers do not become idle
}

func newWorld(t *testing.T) *world {
	w := &world{
		t: t, state: registry.NewState(), now: time.UnixMilli(1_800_000_000_000),
		floor: Floor{Zones: map[string]int{"a": 2}, Default: 1},
		work:  make(map[string]int), stops: make(map[string]int),
	}
	w.apply(registry.Command{Op: registry.OpFoundGroup, Group: "test"})
	for _, s := range []struct{ host, machine, zone string }{
		{"s-1", "m-1", "a"}, {"s-2", "m-1", "a"},
		{"s-3", "m-2", "a"}, {"s-4", "m-2", "a"},
		{"s-5", "m-3", "a"},
		{"s-6", "m-4", "b"},
	} {
		w.register(s.host, s.machine, s.zone)
	}
	w.sidecarSeq = w.state.Seq()
	return w
}

func (w *world) register(host, machine, zone string) {
	w.work[host] = 2
	w.apply(registry.Command{Op: registry.OpRegister, Machine: machine, Instance: &registry.Instance{
		Host: host, Dial: "127.0.0.1:7070", Site: zone, Health: registry.HealthUp, Share: 1,
	}})
}

// apply applies a command to the registry, and checks that the floor holds after a mark.
func (w *world) apply(c registry.Command) registry.Result {
	c.AtMS = w.now.UnixMilli()
	r := w.state.Apply(c)
	if ready := w.ready("a"); w.state.Len() > 1 && ready < w.floor.forZone("a") && c.Op == registry.OpMark {
		w.t.Errorf("zone a: got %d ready servers, want at least the floor of %d", ready, w.floor.forZone("a"))
	}
	return r
}

func (w *world) ready(zone string) (n int) {
	for _, server := range w.state.Registrations() {
		if server.Site == zone && server.Health == registry.HealthUp {
			n++
		}
	}
	return n
}

// check checks that a machine is entirely out of service, or entirely in service.
func (w *world) check(what string, machine string, wantOut bool) {
	w.t.Helper()
	for _, server := range w.state.Registrations() {
		if server.Machine != machine {
			continue
		}
		marked := w.state.Marks()[server.Host] != ""
		draining := server.Health == registry.HealthDraining
		if marked != wantOut || draining != wantOut || wantOut && w.stops[server.Host] == 0 {
			w.t.Errorf("%s: %s is %s, marked %v, stopped %d times; want out of service: %v",
				what, server.Host, server.Health, marked, w.stops[server.Host], wantOut)
		}
	}
	drains, err := w.operator("reader").workflow().Status(context.Background())
	if err != nil {
		w.t.Fatal(err)
	}
	got, want := Step(""), Step("")
	for _, d := range drains {
		if d.Machine == machine {
			got = d.Step
		}
	}
	if wantOut {
		want = Done
	}
	if got != want {
		w.t.Errorf("%s: its drain: got step %q, want %q", what, got, want)
	}
}

func (w *world) operator(name string) *operator { return &operator{world: w, name: name} }

// operator is one run of the command. It is the Registry and the Fleet of its workflow.
type operator struct {
	*world
	name        string
	calls       int
	crashAt     int            // the call at which it crashes; 0: never
	afterEffect bool           // the call at which it crashes takes effect
	hook        func(call int) // called before each call
	crashed     bool
	members     [][]string // the members that remain at each check; empty: the drain does not wait for members
}

func (o *operator) workflow() *Workflow {
	return &Workflow{
		Registry: o, Fleet: o, Floor: o.floor, Owner: o.name, ClaimTTL: 10 * time.Second, PollInterval: time.Second,
		Now: func() time.Time { return o.now }, Sleep: o.sleep, OnEvent: func(Event) {},
	}
}

func (o *operator) sleep(ctx context.Context, d time.Duration) error {
	o.now = o.now.Add(d)
	if !o.watchStuck {
		o.sidecarSeq = o.state.Seq()
		for _, server := range o.state.Registrations() {
			if server.Health == registry.HealthDraining && o.work[server.Host] > 0 {
				o.work[server.Host]--
			}
		}
	}
	return ctx.Err()
}

// call runs a call's effect, unless the command crashes at this call.
func (o *operator) call(effect func()) error {
	if o.crashed {
		return errCrash
	}
	o.calls++
	if o.hook != nil {
		o.hook(o.calls)
	}
	crashes := o.calls == o.crashAt
	if !crashes || o.afterEffect {
		effect()
	}
	if crashes {
		o.crashed = true
		return errCrash
	}
	return nil
}

func (o *operator) Registrations(context.Context) (resp registry.RegistrationsResponse, err error) {
	err = o.call(func() {
		resp = registry.RegistrationsResponse{Seq: o.state.Seq(), Registrations: o.state.Registrations(), Marks: o.state.Marks()}
	})
	return resp, err
}

func (o *operator) Record(_ context.Context, key string) (r registry.Record, err error) {
	exists := false
	if err = o.call(func() { r, exists = o.state.Record(key) }); err == nil && !exists {
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

func (o *operator) Notified(_ context.Context, seq uint64, _ time.Time) (notified bool, err error) {
	err = o.call(func() { notified = o.sidecarSeq >= seq })
	return notified, err
}

func (o *operator) Idle(_ context.Context, server registry.Registration, _ time.Time) (idle bool, err error) {
	err = o.call(func() { idle = o.work[server.Host] == 0 })
	return idle, err
}

func (o *operator) RemainingMembers(context.Context, string) (names []string, wait bool, err error) {
	if len(o.members) == 0 {
		return nil, false, nil
	}
	names, o.members = o.members[0], o.members[1:]
	return names, true, nil
}

// Stop checks that the server is not in use.
func (o *operator) Stop(_ context.Context, _, host string) error {
	return o.call(func() {
		server, _ := o.state.Registration(host)
		if server.Health != registry.HealthDraining || o.work[host] > 0 || o.sidecarSeq < server.Version {
			o.t.Errorf("%s is stopped while %s, with %d sleeps of work left, and sidecars at version %d, want at least %d",
				host, server.Health, o.work[host], o.sidecarSeq, server.Version)
		}
		o.stops[host]++
	})
}
