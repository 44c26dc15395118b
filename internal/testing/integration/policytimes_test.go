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

// rosterMember is a member of the roster that runs only the policy follower, without a sidecar.
type rosterMember struct {
	client   *client.Client
	calls    *atomic.Int64
	follower rollout.Follower
	down     atomic.Bool
}

func (l *rosterMember) run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.down.Load() {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		command, hasCommand := l.follower.NextCommand()
		callCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
		var v rollout.View
		var err error
		l.calls.Add(1)
		if hasCommand {
			v, err = l.client.ApplyPolicyStep(callCtx, command, nil)
		} else {
			v, err = l.client.PolicyView(callCtx, l.follower.Self, l.follower.Version(), 4*time.Second)
		}
		cancel()
		switch {
		case err == nil:
			l.follower.HandleResult(command, nil)
			l.follower.HandleView(v)
		case errors.Is(err, registry.ErrNotFound):
			l.follower.HandleResult(command, rollout.ErrNotFound)
		case ctx.Err() == nil:
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// Measures how long a change takes from its proposal until it has settled, and how many calls it needs:
// with 30, 100 and 300 members, without faults, with a tenth of the members down for a while, and with
// the controller that leads the change killed.
func TestPolicyTimes(t *testing.T) {
	if !long {
		t.Skip("takes minutes: set BARLEYWICK_LONG=1")
	}
	for _, x := range []struct {
		members, changes int
		fault            string
	}{{30, 100, "none"}, {30, 100, "a tenth down for 300 ms"}, {30, 100, "leader killed"}, {100, 30, "none"}, {300, 20, "none"}} {
		t.Run(fmt.Sprintf("%d members, %s", x.members, x.fault), func(t *testing.T) {
			r := &rig{t: t}
			r.prepare(1)
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
			var all []*rosterMember
			for i := range x.members {
				l := &rosterMember{client: r.client(), calls: &calls}
				l.follower = rollout.Follower{Self: rollout.Member{Name: fmt.Sprint("m", i), Incarnation: 1}, Supports: (*rollout.Document).Check}
				all = append(all, l)
				running.Go(func() { l.run(ctx) })
			}
			eventually(t, "all members are in the roster", func() bool {
				st, err := c.PolicyStatus(ctx, 0, 0)
				return err == nil && len(st.Roster) == x.members
			})
			var took []time.Duration
			began := calls.Load()
			for i := range x.changes {
				var endFault func()
				switch x.fault {
				case "leader killed":
					holder := r.leases(c)["policy"].Grant
					if holder == nil {
						eventually(t, "a controller leads the changes", func() bool { holder = r.leases(c)["policy"].Grant; return holder != nil })
					}
					heal, err := r.Inject(faultinjection.Fault{Kind: faultinjection.Crash, Target: holder.Name})
					if err != nil {
						t.Fatal(err)
					}
					endFault = func() { heal() }
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
				outcome, number := g.change(c, policyDocument(2+i%5, rollout.ModeCarry), eventTimeout)
				if outcome != "committed" {
					t.Fatalf("change %d: got outcome %s, want committed", number, outcome)
				}
				for {
					st, err := c.PolicyStatus(ctx, 0, 0)
					if err == nil && st.Stage == rollout.StageSettled {
						break
					}
					time.Sleep(5 * time.Millisecond)
				}
				took = append(took, time.Since(start))
				if endFault != nil {
					endFault()
				}
			}
			slices.Sort(took)
			t.Logf("%d changes: median %v, p90 %v, max %v; %.1f calls for each member and change",
				len(took), took[len(took)/2].Round(time.Millisecond), took[len(took)*9/10].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond),
				float64(calls.Load()-began)/float64(x.members*x.changes))
		})
	}
}

// Measures how long a change in mode refuse takes with one of twelve sidecars cut off, from before its
// proposal until it has settled: expected is at most the lease duration of that sidecar.
func TestPolicyTimesWithSidecarCutOff(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	sidecars, changes := 4, 2
	if long {
		sidecars, changes = 12, 100
	}
	g := startPolicyFleet(t, 4, sidecars, false, "")
	c := g.rig.client()
	outcome, epoch := g.change(c, policyDocument(6, rollout.ModeRefuse), eventTimeout)
	if outcome != "committed" {
		t.Fatal(outcome)
	}
	var took []time.Duration
	for i := range changes {
		g.awaitEpoch(epoch)
		g.awaitServing()
		heal, err := g.Inject(faultinjection.Fault{Kind: faultinjection.Partition, Target: g.names[i%sidecars]})
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if outcome, epoch = g.change(c, policyDocument(2+i%5, rollout.ModeRefuse), eventTimeout); outcome != "committed" {
			t.Fatalf("change %d: got outcome %s, want committed", i, outcome)
		}
		eventually(t, "the change has settled", func() bool {
			st, err := c.PolicyStatus(context.Background(), 0, 0)
			return err == nil && st.Stage == rollout.StageSettled
		})
		took = append(took, time.Since(start))
		if g.serves(g.names[i%sidecars]) {
			t.Errorf("change %d has settled while %s still serves", i, g.names[i%sidecars])
		}
		if err := heal(); err != nil {
			t.Fatal(err)
		}
	}
	slices.Sort(took)
	t.Logf("%d changes, %d sidecars, leases of %d ms: median %v, p90 %v, max %v", len(took), sidecars, leaseMS,
		took[len(took)/2].Round(time.Millisecond), took[len(took)*9/10].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond))
}

// Measures the cost of changes under load: windows with one change after the other, each paired with a
// window without changes.
func TestPolicyCost(t *testing.T) {
	if !long {
		t.Skip("takes minutes: set BARLEYWICK_LONG=1")
	}
	g := startPolicyFleet(t, 5, 6, false, "")
	c := g.rig.client()
	if outcome, _ := g.change(c, policyDocument(8, rollout.ModeCarry), eventTimeout); outcome != "committed" {
		t.Fatal(outcome)
	}
	g.startClients(6) // fewer clients than slots, so that no change makes a sidecar refuse requests
	const pairs, window = 10, 5 * time.Second
	measure := func(changes bool) (served int, p99 time.Duration, made int) {
		g.mu.Lock()
		g.durations = nil
		g.mu.Unlock()
		for until := time.Now().Add(window); time.Now().Before(until); {
			if !changes {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			if outcome, _ := g.change(c, policyDocument(8+made%2, rollout.ModeCarry), eventTimeout); outcome != "committed" {
				t.Fatal(outcome)
			}
			made++
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		slices.Sort(g.durations)
		return len(g.durations), g.durations[len(g.durations)*99/100], made
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
	t.Logf("%d pairs of %v, %d changes: ratio of windows with and without changes: goodput median %.3f (%.3f to %.3f), p99 %.3f (%.3f to %.3f); %d lost",
		pairs, window, changes, goodput[pairs/2], goodput[0], goodput[pairs-1], tail[pairs/2], tail[0], tail[pairs-1], g.lost.Load())
}
