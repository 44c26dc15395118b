package drain

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
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

func TestDrainAndUndrain(t *testing.T) {
	w := newWorld(t)
	o := w.operator("ops-a").workflow()
	if err := o.Drain(t.Context(), "m-1"); err != nil {
		t.Fatal(err)
	}
	w.check("drained", "m-1", true)
	if err := o.Drain(t.Context(), "m-1"); !errors.Is(err, ErrRefused) {
		t.Errorf("again: %v", err)
	}
	if err := o.Undrain(t.Context(), "m-1"); err != nil {
		t.Fatal(err)
	}
	w.check("undrained", "m-1", false)
	if err := o.Undrain(t.Context(), "m-1"); !errors.Is(err, ErrRefused) {
		t.Errorf("undrained again: %v", err)
	}
}

// Whatever call the command crashes at, before its effect or after, nobody else can
// meddle while its claim lasts; then another resumes the drain, or undoes it, to a
// clean end. Every stop comes after the sidecars know and the work has ended.
func TestCrashAtEveryCall(t *testing.T) {
	ctx := context.Background()
	for _, undo := range []bool{false, true} {
		for _, after := range []bool{false, true} {
			for at := 1; ; at++ {
				w := newWorld(t)
				name := fmt.Sprintf("crash at call %d, effect %v, undo %v", at, after, undo)
				first := w.operator("ops-a")
				first.crashAt, first.after = at, after
				if err := first.workflow().Drain(ctx, "m-1"); err == nil {
					if at < 20 {
						t.Fatalf("only %d calls were explored", at-1)
					}
					break
				} else if !errors.Is(err, errCrash) {
					t.Fatalf("%s: %v", name, err)
				}
				status, err := w.operator("reader").workflow().Status(ctx)
				if err != nil {
					t.Fatal(err)
				}
				claimed, ended := len(status) > 0, len(status) > 0 && status[0].Step == Done
				marks, seq := len(w.state.Marks()), w.state.Seq()
				if claimed && !ended {
					for what, do := range map[string]func(context.Context, string) error{
						"drain": w.operator("ops-b").workflow().Drain, "undrain": w.operator("ops-b").workflow().Undrain,
					} {
						if err := do(ctx, "m-1"); !errors.Is(err, ErrRefused) || !strings.Contains(err.Error(), "claimed by ops-a") {
							t.Errorf("%s: %s during the claim: %v", name, what, err)
						}
					}
					if len(w.state.Marks()) != marks || w.state.Seq() != seq {
						t.Errorf("%s: a refused call has changed something", name)
					}
				}
				w.now = w.now.Add(time.Minute) // the claim has run out
				second := w.operator("ops-b").workflow()
				if undo {
					if err := second.Undrain(ctx, "m-1"); (err == nil) != claimed {
						t.Errorf("%s: undo: %v", name, err)
					}
					w.check(name, "m-1", false)
					continue
				}
				if err := second.Drain(ctx, "m-1"); (err != nil) != ended {
					t.Errorf("%s: resume: %v", name, err)
				}
				w.check(name, "m-1", true)
			}
		}
	}
}

// An undo that crashes is ended by another, and meanwhile nobody drains.
func TestCrashOfTheUndo(t *testing.T) {
	ctx := context.Background()
	for _, after := range []bool{false, true} {
		for at := 1; ; at++ {
			w := newWorld(t)
			if err := w.operator("ops-a").workflow().Drain(ctx, "m-1"); err != nil {
				t.Fatal(err)
			}
			first := w.operator("ops-a")
			first.crashAt, first.after = at, after
			if first.workflow().Undrain(ctx, "m-1") == nil {
				break
			}
			w.now = w.now.Add(time.Minute)
			if err := w.operator("ops-b").workflow().Undrain(ctx, "m-1"); err != nil && !errors.Is(err, ErrRefused) {
				t.Errorf("crash at call %d, effect %v: %v", at, after, err)
			}
			w.check(fmt.Sprint("crash of the undo at call ", at), "m-1", false)
		}
	}
}

// Two drains at once never break the floor together, wherever the second comes in
// between the first one's calls: one of them is refused, or waits.
func TestTwoDrainsKeepTheFloor(t *testing.T) {
	ctx := context.Background()
	for at := 1; at < 25; at++ {
		w := newWorld(t) // zone a: 2 on m-1, 2 on m-2, 1 on m-3, and the floor is 2
		second := w.operator("ops-b")
		var other error
		first := w.operator("ops-a")
		first.hook = func(call int) {
			if call == at {
				other = second.workflow().Drain(ctx, "m-2")
			}
		}
		err := first.workflow().Drain(ctx, "m-1")
		if (err == nil) == (other == nil) {
			t.Errorf("the second at call %d: %v and %v, want one refused", at, err, other)
		}
		if left := w.ready("a"); left != 3 {
			t.Errorf("the second at call %d: %d ready servers are left, want 3", at, left)
		}
	}
	w := newWorld(t)
	if err := w.operator("ops-a").workflow().Drain(ctx, "m-1"); err != nil {
		t.Fatal(err)
	}
	if err := w.operator("ops-b").workflow().Drain(ctx, "m-3"); err != nil {
		t.Errorf("one that the floor allows beside it: %v", err)
	}
	if err := w.operator("ops-b").workflow().Drain(ctx, "m-2"); !errors.Is(err, ErrRefused) {
		t.Errorf("one that it does not: %v", err)
	}
}

// Random crashes, clocks and operators: at the end somebody brings everything to a
// clean end, and the floor holds all the while (the world checks).
func TestRandomOperators(t *testing.T) {
	ctx := context.Background()
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 0))
		w := newWorld(t)
		for i := range 12 {
			o := w.operator(fmt.Sprint("operator ", i))
			if rng.IntN(3) > 0 {
				o.crashAt, o.after = 1+rng.IntN(25), rng.IntN(2) == 0
			}
			machine := fmt.Sprint("m-", 1+rng.IntN(4))
			if rng.IntN(3) == 0 {
				o.workflow().Undrain(ctx, machine)
			} else {
				o.workflow().Drain(ctx, machine)
			}
			w.now = w.now.Add(time.Duration(rng.IntN(20)) * time.Second)
			if rng.IntN(4) == 0 {
				w.register(fmt.Sprint("late-", i), machine, "a")
			}
		}
		w.now = w.now.Add(time.Minute)
		for m := 1; m <= 4; m++ {
			machine := fmt.Sprint("m-", m)
			if err := w.operator("last").workflow().Undrain(ctx, machine); err != nil && !errors.Is(err, ErrRefused) {
				t.Errorf("seed %d: %s: %v", seed, machine, err)
			}
			w.check(fmt.Sprint("seed ", seed), machine, false)
		}
		if left := w.state.Marks(); len(left) > 0 {
			t.Errorf("seed %d: marks are left: %v", seed, left)
		}
	}
}

// A drain whose time is up is undone; one whose processes are being stopped is not.
// A drain is over when the machine's members have ended, and tells for whom it waits.
func TestDrainWaitsForMembers(t *testing.T) {
	o := newWorld(t).operator("ops-a")
	o.there = [][]string{{"k1", "s7"}, {"s7"}, {"s7"}, {}}
	var said []string
	w := o.workflow()
	w.Say = func(format string, args ...any) { said = append(said, fmt.Sprintf(format, args...)) }
	if err := w.Drain(t.Context(), "m-1"); err != nil {
		t.Fatal(err)
	}
	text := strings.Join(said, "\n")
	if len(o.there) != 0 || strings.Count(text, "waits for s7 to end") != 1 || !strings.Contains(text, "waits for k1, s7") || !strings.HasSuffix(text, "done") {
		t.Errorf("%d looks were left; it said:\n%s", len(o.there), text)
	}
}

func TestOutOfTime(t *testing.T) {
	w := newWorld(t)
	w.slow = true
	o := w.operator("ops-a")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	o.hook = func(call int) {
		if call > 30 {
			cancel()
		}
	}
	if err := o.workflow().Drain(ctx, "m-1"); !errors.Is(err, ErrTimeout) || !strings.Contains(err.Error(), "undone") {
		t.Errorf("%v, want it undone", err)
	}
	w.check("out of time", "m-1", false)
}

// The claim is lost to another who had reason to think that it had run out.
func TestLostClaim(t *testing.T) {
	w := newWorld(t)
	w.slow = true
	first := w.operator("ops-a")
	first.hook = func(call int) {
		if call == 12 {
			w.now = w.now.Add(time.Minute)
			w.slow = false
			if err := w.operator("ops-b").workflow().Drain(context.Background(), "m-1"); err != nil {
				t.Errorf("ops-b: %v", err)
			}
		}
	}
	if err := first.workflow().Drain(t.Context(), "m-1"); !errors.Is(err, ErrClaimLost) {
		t.Errorf("ops-a: %v, want the claim lost", err)
	}
	w.check("taken over", "m-1", true)
}

// An operator whose command stood still, wherever that was, does nothing more to a
// machine that another has brought back meanwhile.
func TestStalledOperatorChangesNothing(t *testing.T) {
	for at := 2; at < 25; at++ {
		w := newWorld(t)
		o := w.operator("ops-a")
		undone := false
		o.hook = func(call int) {
			if call == at {
				w.now = w.now.Add(time.Minute)
				undone = w.operator("ops-b").workflow().Undrain(context.Background(), "m-1") == nil
			}
		}
		err := o.workflow().Drain(t.Context(), "m-1")
		if !undone {
			continue // before its claim, or after its end
		}
		if err == nil && w.ready("a") == 5 {
			t.Errorf("stalled at call %d: it ended without an error", at)
		}
		if err != nil && (len(w.state.Marks()) > 0 || w.ready("a") != 5) {
			t.Errorf("stalled at call %d: marks are left that nobody owns: %v", at, w.state.Marks())
		}
	}
}

// Servers that come to the machine while it drains are drained too.
func TestServerThatComesMeanwhile(t *testing.T) {
	w := newWorld(t)
	o := w.operator("ops-a")
	o.hook = func(call int) {
		if call == 10 {
			w.register("s-9", "m-1", "a")
		}
	}
	if err := o.workflow().Drain(t.Context(), "m-1"); err != nil {
		t.Fatal(err)
	}
	w.check("drained", "m-1", true)
}

// Each refusal is one line that says what and what to do, and changes nothing.
func TestRefusals(t *testing.T) {
	for name, x := range map[string]struct {
		machine, want string
		prepare       func(w *world)
	}{
		"an unknown machine": {"m-9", "has no servers in the list; it has those of m-1, m-2", nil},
		"the floor":          {"m-4", "zone b would have 0 ready servers, its floor is 1", nil},
		"marked by hand": {"m-1", "is marked by ops-a", func(w *world) {
			w.apply(registry.Command{Op: registry.OpMark, Host: "s-1", MarkedBy: "ops-a", Draining: true})
		}},
		"an unreadable record": {"m-1", "cannot be read", func(w *world) {
			w.apply(registry.Command{Op: registry.OpPutRecord, Key: RecordKey, Value: []byte("{")})
		}},
	} {
		w := newWorld(t)
		if x.prepare != nil {
			x.prepare(w)
		}
		marks, seq := fmt.Sprint(w.state.Marks(), len(w.state.RecordKeys())), w.state.Seq()
		err := w.operator("ops-b").workflow().Drain(t.Context(), x.machine)
		if err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line with %q", name, err, x.want)
		}
		if fmt.Sprint(w.state.Marks(), len(w.state.RecordKeys())) != marks || w.state.Seq() != seq {
			t.Errorf("%s: something was changed", name)
		}
	}
	w := newWorld(t)
	p, err := w.operator("ops-a").workflow().Plan(t.Context(), "m-1")
	if err != nil || len(p.Hosts) != 2 || len(p.Zones) != 1 || p.Zones[0] != (ZoneReadiness{"a", 5, 3, 2}) || len(w.state.RecordKeys()) > 0 {
		t.Errorf("a plan: %+v, %v", p, err)
	}
}

func TestSite(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	var got []registry.StatusResponse
	all, now := true, begin
	s := &LiveFleet{
		Statuses: func(context.Context) ([]registry.StatusResponse, bool) { return got, all },
		Sidecars: 3, MaxRequestTime: 6 * time.Second, Now: func() time.Time { return now },
	}
	told := func() bool { ok, err := s.Notified(t.Context(), 10, begin); return ok && err == nil }
	got = []registry.StatusResponse{{Watches: 2, WatchSeq: 10}, {Watches: 1, WatchSeq: 12}}
	if !told() {
		t.Error("all hold it")
	}
	if got[0].WatchSeq = 9; told() {
		t.Error("one watch holds an older version")
	}
	if got[0].WatchSeq, got[0].Watches = 10, 1; told() {
		t.Error("one sidecar does not watch")
	}
	if now = begin.Add(notificationDeadline); !told() {
		t.Error("by the protocol it is told by then")
	}

	report, status := "", http.StatusOK
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, report)
	})}
	go server.Serve(ln)
	e := registry.Registration{Instance: registry.Instance{Dial: ln.Addr().String()}}
	idle := func() bool { ok, err := s.Idle(t.Context(), e, begin); return ok && err == nil }
	for text, want := range map[string]bool{
		"TEXT inflight=0, queue=0, util=0": true, "inflight=1, queue=0": false, "queue=0, util=0.5, qps=3": false,
		"queue=0, util=0, qps=9": true, "queue=0": false, "": false, "inflight=x": false,
	} {
		if report = text; idle() != want {
			t.Errorf("report %q: idle %v", text, !want)
		}
	}
	report = "no report"
	if now = begin.Add(notificationDeadline + s.MaxRequestTime); !idle() {
		t.Error("nobody can wait for an answer any longer")
	}
	now, status, report = begin, http.StatusNotFound, "inflight=0"
	if idle() {
		t.Error("an error was taken for a report")
	}
	server.Close()
	if !idle() {
		t.Error("a server that has gone has no work")
	}
	if err := s.Stop(t.Context(), "m", "h"); err != nil {
		t.Errorf("no command: %v", err)
	}
	out := filepath.Join(t.TempDir(), "stopped")
	s.StopCommand = []string{"sh", "-c", "echo {machine} {host} > " + out}
	if err := s.Stop(t.Context(), "m-1", "s-1"); err != nil {
		t.Error(err)
	}
	if text, _ := os.ReadFile(out); string(text) != "m-1 s-1\n" {
		t.Errorf("the command got %q", text)
	}
	s.StopCommand = []string{"sh", "-c", "echo no such unit >&2; exit 5"}
	if err := s.Stop(t.Context(), "m-1", "s-1"); err == nil || !strings.Contains(err.Error(), "no such unit") {
		t.Errorf("a command that fails: %v", err)
	}
}

func TestConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ctl.json")
	load := func(text string) error {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadConfig(path)
		return err
	}
	const good = `{"registry":["127.0.0.1:1"],"floor":{"zones":{"a":2},"others":1},"longest_ms":6000}`
	if err := load(good); err != nil {
		t.Error(err)
	}
	for name, change := range map[string][2]string{
		"unreadable":    {`{`, `(`},
		"unknown key":   {`"floor"`, `"flor"`},
		"no registry":   {`"127.0.0.1:1"`, ``},
		"no floor":      {`,"others":1`, ``},
		"no longest":    {`,"longest_ms":6000`, ``},
		"a bad floor":   {`"a":2`, `"a":-2`},
		"a short lease": {`"longest_ms"`, `"lease_ms":1,"longest_ms"`},
	} {
		if err := load(strings.Replace(good, change[0], change[1], 1)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line", name, err)
		}
	}
	var d map[string]Drain
	if err := json.Unmarshal([]byte(`{"m":{"step":"claimed"}}`), &d); err != nil || d["m"].Step != Claimed {
		t.Error(err)
	}
}
