package drain

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"barleywick/internal/registry"
)

func TestDrainAndUndrain(t *testing.T) {
	w := newWorld(t)
	o := w.operator("ops-a").workflow()
	if err := o.Drain(t.Context(), "m-1"); err != nil {
		t.Fatal(err)
	}
	w.check("drained", "m-1", true)
	if err := o.Drain(t.Context(), "m-1"); !errors.Is(err, ErrRefused) {
		t.Errorf("drained again: got %v, want %v", err, ErrRefused)
	}
	if err := o.Undrain(t.Context(), "m-1"); err != nil {
		t.Fatal(err)
	}
	w.check("undrained", "m-1", false)
	if err := o.Undrain(t.Context(), "m-1"); !errors.Is(err, ErrRefused) {
		t.Errorf("undrained again: got %v, want %v", err, ErrRefused)
	}
}

// The command crashes at each of its calls, before the call takes effect or after. No other
// operator can act until the claim expires; then another operator resumes the drain or undoes it.
// The world checks that servers are stopped only when the sidecars are notified and the servers idle.
func TestCrashAtEveryCall(t *testing.T) {
	ctx := context.Background()
	for _, undo := range []bool{false, true} {
		for _, after := range []bool{false, true} {
			for at := 1; ; at++ {
				w := newWorld(t)
				name := fmt.Sprintf("crash at call %d, effect %v, undo %v", at, after, undo)
				first := w.operator("ops-a")
				first.crashAt, first.afterEffect = at, after
				if err := first.workflow().Drain(ctx, "m-1"); err == nil {
					if at < 20 {
						t.Fatalf("got %d calls, want at least 19", at-1)
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
					for what, run := range map[string]func(context.Context, string) error{
						"drain": w.operator("ops-b").workflow().Drain, "undrain": w.operator("ops-b").workflow().Undrain,
					} {
						if err := run(ctx, "m-1"); !errors.Is(err, ErrRefused) || !strings.Contains(err.Error(), "claimed by ops-a") {
							t.Errorf("%s: %s during the claim: got %v, want %v", name, what, err, ErrRefused)
						}
					}
					if len(w.state.Marks()) != marks || w.state.Seq() != seq {
						t.Errorf("%s: a refused call has changed marks or list", name)
					}
				}
				w.now = w.now.Add(time.Minute) // the claim has expired
				second := w.operator("ops-b").workflow()
				if undo {
					if err := second.Undrain(ctx, "m-1"); (err == nil) != claimed {
						t.Errorf("%s: undo: got %v, want success: %v", name, err, claimed)
					}
					w.check(name, "m-1", false)
					continue
				}
				if err := second.Drain(ctx, "m-1"); (err != nil) != ended {
					t.Errorf("%s: resume: got %v, want success: %v", name, err, !ended)
				}
				w.check(name, "m-1", true)
			}
		}
	}
}

// An undo that crashes is completed by another operator.
func TestCrashDuringUndo(t *testing.T) {
	ctx := context.Background()
	for _, after := range []bool{false, true} {
		for at := 1; ; at++ {
			w := newWorld(t)
			if err := w.operator("ops-a").workflow().Drain(ctx, "m-1"); err != nil {
				t.Fatal(err)
			}
			first := w.operator("ops-a")
			first.crashAt, first.afterEffect = at, after
			if first.workflow().Undrain(ctx, "m-1") == nil {
				break
			}
			w.now = w.now.Add(time.Minute)
			if err := w.operator("ops-b").workflow().Undrain(ctx, "m-1"); err != nil && !errors.Is(err, ErrRefused) {
				t.Errorf("crash at call %d, effect %v: got %v, want success or %v", at, after, err, ErrRefused)
			}
			w.check(fmt.Sprint("crash of the undo at call ", at), "m-1", false)
		}
	}
}

// A second drain runs before each call of the first one in turn. One of the two has to be refused, so
// that together they never violate the floor.
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
			t.Errorf("the second at call %d: got errors %v and %v, want one drain refused", at, err, other)
		}
		if left := w.ready("a"); left != 3 {
			t.Errorf("the second at call %d: got %d remaining ready servers, want 3", at, left)
		}
	}
	w := newWorld(t)
	if err := w.operator("ops-a").workflow().Drain(ctx, "m-1"); err != nil {
		t.Fatal(err)
	}
	if err := w.operator("ops-b").workflow().Drain(ctx, "m-3"); err != nil {
		t.Errorf("another drain that the floor allows: got %v, want success", err)
	}
	if err := w.operator("ops-b").workflow().Drain(ctx, "m-2"); !errors.Is(err, ErrRefused) {
		t.Errorf("another drain that the floor does not allow: got %v, want %v", err, ErrRefused)
	}
}

// Operators drain and undrain random machines, and crash at random calls while the clock advances.
// The world checks that the floor always holds; at the end, one operator undoes every drain.
func TestRandomOperators(t *testing.T) {
	ctx := context.Background()
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 0))
		w := newWorld(t)
		for i := range 12 {
			o := w.operator(fmt.Sprint("operator ", i))
			if rng.IntN(3) > 0 {
				o.crashAt, o.afterEffect = 1+rng.IntN(25), rng.IntN(2) == 0
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
				t.Errorf("seed %d: %s: got %v, want success or %v", seed, machine, err, ErrRefused)
			}
			w.check(fmt.Sprint("seed ", seed), machine, false)
		}
		if left := w.state.Marks(); len(left) > 0 {
			t.Errorf("seed %d: got marks %v, want none", seed, left)
		}
	}
}

// A drain is done when the machine's members have ended, and reports the members that it waits for.
func TestDrainWaitsForMembers(t *testing.T) {
	o := newWorld(t).operator("ops-a")
	o.members = [][]string{{"k1", "s7"}, {"s7"}, {"s7"}, {}}
	var lines []string
	w := o.workflow()
	w.OnEvent = func(e Event) { lines = append(lines, e.String()) }
	if err := w.Drain(t.Context(), "m-1"); err != nil {
		t.Fatal(err)
	}
	text := strings.Join(lines, "\n")
	if len(o.members) != 0 || strings.Count(text, "waits for s7 to end") != 1 || !strings.Contains(text, "waits for k1, s7") || !strings.HasSuffix(text, "done") {
		t.Errorf("%d checks of the members were not made, want 0; the drain reported:\n%s", len(o.members), text)
	}
}

// A drain whose deadline has passed is undone.
func TestDrainIsUndoneAfterTimeout(t *testing.T) {
	w := newWorld(t)
	w.watchStuck = true
	o := w.operator("ops-a")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	o.hook = func(call int) {
		if call > 30 {
			cancel()
		}
	}
	if err := o.workflow().Drain(ctx, "m-1"); !errors.Is(err, ErrTimeout) || !strings.Contains(err.Error(), "undone") {
		t.Errorf("got %v, want %v and the drain undone", err, ErrTimeout)
	}
	w.check("out of time", "m-1", false)
}

// An operator that does not renew its claim before it expires loses it to another one.
func TestClaimIsLost(t *testing.T) {
	w := newWorld(t)
	w.watchStuck = true
	first := w.operator("ops-a")
	first.hook = func(call int) {
		if call == 12 {
			w.now = w.now.Add(time.Minute)
			w.watchStuck = false
			if err := w.operator("ops-b").workflow().Drain(context.Background(), "m-1"); err != nil {
				t.Errorf("ops-b: got %v, want success", err)
			}
		}
	}
	if err := first.workflow().Drain(t.Context(), "m-1"); !errors.Is(err, ErrClaimLost) {
		t.Errorf("ops-a: got %v, want %v", err, ErrClaimLost)
	}
	w.check("taken over", "m-1", true)
}

// A command that stalls at one of its calls, while another operator undoes the drain, changes
// nothing more when it continues.
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
			t.Errorf("stalled at call %d: got success, want an error", at)
		}
		if err != nil && (len(w.state.Marks()) > 0 || w.ready("a") != 5) {
			t.Errorf("stalled at call %d: got marks %v that no drain owns, want none", at, w.state.Marks())
		}
	}
}

// Servers that are registered on the machine while it drains are drained, too.
func TestServerRegisteredDuringDrain(t *testing.T) {
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

// Each refusal is one line with the reason, and changes nothing.
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
			t.Errorf("%s: got %v, want one line with %q", name, err, x.want)
		}
		if fmt.Sprint(w.state.Marks(), len(w.state.RecordKeys())) != marks || w.state.Seq() != seq {
			t.Errorf("%s: a refused call has changed marks, records or list", name)
		}
	}
	w := newWorld(t)
	p, err := w.operator("ops-a").workflow().Plan(t.Context(), "m-1")
	if err != nil || len(p.Hosts) != 2 || len(p.Zones) != 1 || p.Zones[0] != (ZoneReadiness{"a", 5, 3, 2}) || len(w.state.RecordKeys()) > 0 {
		t.Errorf("plan: got %+v, %v, want two hosts, and zone a with 5 ready, 3 remaining and a floor of 2", p, err)
	}
}
