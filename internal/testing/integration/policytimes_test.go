package integration

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
	"barleywick/internal/rollout"
	"barleywick/internal/testing/faultinjection"
)

// light is a member of the roster without a sidecar around it.
type light struct {
	client *client.Client
	calls  *atomic.Int64
	follow rollout.Follower
	down   atomic.Bool
}

func (l *light) run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.down.Load() {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		step, any := l.follow.NextCommand()
		in, cancel := context.WithTimeout(ctx, 10*time.Second)
		var v rollout.View
		var err error
		l.calls.Add(1)
		if any {
			v, err = l.client.ApplyPolicyStep(in, step, nil)
		} else {
			v, err = l.client.PolicyView(in, l.follow.Self, l.follow.Version(), 4*time.Second)
		}
		cancel()
		switch {
		case err == nil:
			l.follow.HandleResult(step, nil)
			l.follow.HandleView(v)
		case errors.Is(err, registry.ErrNotFound):
			l.follow.HandleResult(step, rollout.ErrNotFound)
		case ctx.Err() == nil:
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// How long a change takes, from its proposal to its settling, and how many calls: with
// 30, 100 and 300 members, without faults, with a tenth of them down for a while, and
// with the leader of the change killed.
func TestPolicyTimes(t *testing.T) {
	if !long {
		t.Skip("it takes minutes: BARLEYWICK_LONG=1")
	}
	for _, x := range []struct {
		members, changes int
		fault            string
	}{{30, 100, "none"}, {30, 100, "a tenth down for 300 ms"}, {30, 100, "leader killed"}, {100, 30, "none"}, {300, 20, "none"}} {
		t.Run(fmt.Sprintf("%d members, %s", x.members, x.fault), func(t *testing.T) {
			r := &rig{t: t}
			r.begin(1)
			for i := range 3 {
				r.addController(fmt.Sprint("k", i), "keeper", "[policy]\n")
			}
			for _, p := range r.Processes {
				if err := p.Start(); err != nil {
					t.Fatal(err)
				}
			}
			g := &policyFleet{rig: r}
			c := r.client()
			ctx, end := context.WithCancel(context.Background())
			var running sync.WaitGroup
			defer running.Wait()
			defer end()
			var calls atomic.Int64
			var all []*light
			for i := range x.members {
				l := &light{client: r.client(), calls: &calls}
				l.follow = rollout.Follower{Self: rollout.Member{Name: fmt.Sprint("m", i), Incarnation: 1}, Supports: (*rollout.Document).Check}
				all = append(all, l)
				running.Go(func() { l.run(ctx) })
			}
			eventually(t, "all have a seat", func() bool {
				st, err := c.PolicyStatus(ctx, 0, 0)
				return err == nil && len(st.Roster) == x.members
			})
			var took []time.Duration
			began := calls.Load()
			for i := range x.changes {
				var after func()
				switch x.fault {
				case "leader killed":
					holder := r.leases(c)["policy"].Grant
					if holder == nil {
						eventually(t, "somebody leads", func() bool { holder = r.leases(c)["policy"].Grant; return holder != nil })
					}
					finish, err := r.Inject(faultinjection.Fault{Kind: faultinjection.Crash, Target: holder.Name})
					if err != nil {
						t.Fatal(err)
					}
					after = func() { finish() }
				case "a tenth down for 300 ms":
					for j := range x.members / 10 {
						all[(i+j*7)%x.members].down.Store(true)
					}
					time.AfterFunc(300*time.Millisecond, func() {
						for _, l := range all {
							l.down.Store(false)
						}
					})
				}
				start := time.Now()
				outcome, number := g.change(c, doc(2+i%5, rollout.ModeCarry), patience)
				if outcome != "committed" {
					t.Fatalf("change %d: %s", number, outcome)
				}
				for {
					st, err := c.PolicyStatus(ctx, 0, 0)
					if err == nil && st.Stage == rollout.StageSettled {
						break
					}
					time.Sleep(5 * time.Millisecond)
				}
				took = append(took, time.Since(start))
				if after != nil {
					after()
				}
			}
			slices.Sort(took)
			t.Logf("%d changes: median %v, 90 of 100 %v, most %v; %.1f calls for each member and change",
				len(took), took[len(took)/2].Round(time.Millisecond), took[len(took)*9/10].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond),
				float64(calls.Load()-began)/float64(x.members*x.changes))
		})
	}
}

// How long a change takes with one of twelve sidecars cut off under refuse, from before
// it is proposed until it has settled: no longer than the lease of the one that is cut off.
func TestPolicyTimesCutOff(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	t.Parallel()
	sidecars, changes := 4, 2
	if long {
		sidecars, changes = 12, 100
	}
	g := startPolicyFleet(t, 4, sidecars, false, "")
	c := g.rig.client()
	outcome, epoch := g.change(c, doc(6, rollout.ModeRefuse), patience)
	if outcome != "committed" {
		t.Fatal(outcome)
	}
	var took []time.Duration
	for i := range changes {
		g.everywhere(epoch)
		g.allServe()
		heal, err := g.Inject(faultinjection.Fault{Kind: faultinjection.Partition, Target: g.names[i%sidecars]})
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if outcome, epoch = g.change(c, doc(2+i%5, rollout.ModeRefuse), patience); outcome != "committed" {
			t.Fatalf("change %d: %s", i, outcome)
		}
		eventually(t, "it has settled", func() bool {
			st, err := c.PolicyStatus(context.Background(), 0, 0)
			return err == nil && st.Stage == rollout.StageSettled
		})
		took = append(took, time.Since(start))
		if g.serves(g.names[i%sidecars]) {
			t.Errorf("change %d has settled without %s, which serves still", i, g.names[i%sidecars])
		}
		if err := heal(); err != nil {
			t.Fatal(err)
		}
	}
	slices.Sort(took)
	t.Logf("%d changes, %d sidecars, leases of %d ms: median %v, 90 of 100 %v, most %v", len(took), sidecars, leaseMS,
		took[len(took)/2].Round(time.Millisecond), took[len(took)*9/10].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond))
}

// What changes cost under load: windows with one change after the other, each paired
// with one without, in turn.
func TestPolicyCost(t *testing.T) {
	if !long {
		t.Skip("it takes minutes: BARLEYWICK_LONG=1")
	}
	g := startPolicyFleet(t, 5, 6, false, "")
	c := g.rig.client()
	if outcome, _ := g.change(c, doc(8, rollout.ModeCarry), patience); outcome != "committed" {
		t.Fatal(outcome)
	}
	g.load(6) // under the walls: a change that matters to them would refuse some
	const pairs, window = 10, 5 * time.Second
	measure := func(changes bool) (served int, p99 time.Duration, made int) {
		g.mu.Lock()
		g.times = nil
		g.mu.Unlock()
		for until := time.Now().Add(window); time.Now().Before(until); {
			if !changes {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			if outcome, _ := g.change(c, doc(8+made%2, rollout.ModeCarry), patience); outcome != "committed" {
				t.Fatal(outcome)
			}
			made++
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		slices.Sort(g.times)
		return len(g.times), g.times[len(g.times)*99/100], made
	}
	var goodput, tail []float64
	changes := 0
	for range pairs {
		a, p, _ := measure(false)
		b, q, made := measure(true)
		goodput, tail, changes = append(goodput, float64(b)/float64(a)), append(tail, float64(q)/float64(p)), changes+made
	}
	slices.Sort(goodput)
	slices.Sort(tail)
	t.Logf("%d pairs of %v, %d changes: with changes to without, goodput median %.3f (%.3f to %.3f), p99 %.3f (%.3f to %.3f); %d lost",
		pairs, window, changes, goodput[pairs/2], goodput[0], goodput[pairs-1], tail[pairs/2], tail[0], tail[pairs-1], g.lost.Load())
}
