package membershiptest

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"barleywick/internal/membership"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// Members see each other, losses among them and parts of them, at several rates of loss.
func TestFleetSeesItself(t *testing.T) {
	for _, loss := range []float64{0, 0.1, 0.3} {
		t.Run(fmt.Sprint("loss ", loss), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := Scenario{Members: 12, Seed: 1, ProbeInterval: 500 * time.Millisecond, PacketLoss: loss, Delay: time.Millisecond, Baseline: 20 * time.Second, KillFraction: 0.25, Partitions: 3, PartitionDuration: 40 * time.Second}
				r, err := p.Run(quiet)
				time.Sleep(time.Minute) // what it began ends by its time-outs
				t.Logf("%+v", r)
				if err != nil {
					t.Fatal(err)
				}
				left := p.Members - r.Killed
				if r.Killed != 3 || r.ReportedPartition != left || r.ReportedMinority != left || r.HealRounds == 0 || r.BytesPerSecond == 0 {
					t.Errorf("too little was seen, or told: %+v", r)
				}
				for _, side := range r.PresentByPartition {
					if side != left/p.Partitions {
						t.Errorf("the sides of a cut in %d see %v of %d", p.Partitions, r.PresentByPartition, left)
					}
				}
				if r.FalselyUnreachable > 0 {
					t.Errorf("%d members were lost that lived", r.FalselyUnreachable)
				}
			})
		})
	}
}

// fleetOf is some members that all see each other.
func fleetOf(t *testing.T, n int) *Fleet {
	net := NewNetwork(1)
	net.SetConditions(0, time.Millisecond)
	f, err := StartFleet(net, n, 200*time.Millisecond, quiet)
	if err != nil {
		t.Fatal(err)
	}
	until(t, "all see all", func() bool { return Agree(f.Members, n) })
	return f
}

func until(t *testing.T, what string, holds func() bool) time.Duration {
	t.Helper()
	took, err := WaitUntil(time.Minute, holds)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	return took
}

func (f *Fleet) stopIn(*testing.T) {
	f.Stop()
	time.Sleep(time.Minute) // what it began ends by its time-outs
}

// A process that starts again is another member, whom all see before they have missed the
// first; and of two that live the later one counts, and the earlier one is a member no more.
func TestLaterProcessOfAName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleetOf(t, 6)
		defer f.stopIn(t)
		old := f.Members[4]
		for at, kill := range map[int]bool{100: true, 101: false} {
			if kill {
				old.Kill()
			}
			if err := f.Add(at, old.Self().Name, 0, 200*time.Millisecond, quiet); err != nil {
				t.Fatal(err)
			}
			later := f.Members[len(f.Members)-1]
			if !kill {
				old.stopped = true // it lives, and is none of those that have to agree
			}
			took := until(t, "all see the later one", func() bool { return Agree(f.Running(), 6) })
			if took > 5*time.Second { // most by gossip in a fifth of one, some by a comparison of views
				t.Errorf("all see the later one after %v only (the other killed: %v)", took, kill)
			}
			if s, _ := f.Members[0].Get(old.Self().Key()); s.Status != membership.StatusReplaced || s.By != later.Self().Key() {
				t.Errorf("the earlier one is %s by %s, want it replaced by %s", s.Status, s.By, later.Self().Key())
			}
			old = later
		}
	})
}

// Who says something new of itself while it leaves is not held up by that.
func TestUpdateWhileLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleetOf(t, 3)
		defer f.stopIn(t)
		m := f.Members[2]
		m.Leave()
		for phase := range 20 {
			m.Update(func(i *membership.Info) { i.Phase = fmt.Sprint(phase) })
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Whoever says goodbye is missed by nobody; a member that comes and goes leaves none lost;
// and a seed list of which nobody lives is searched until somebody does.
func TestGoodbyesAndDeadSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleetOf(t, 6)
		defer f.stopIn(t)
		for turn := range 5 {
			if err := f.Add(50+turn, "flapper", 0, 200*time.Millisecond, quiet); err != nil {
				t.Fatal(err)
			}
			until(t, "all see it", func() bool { return Agree(f.Running(), 7) })
			m := f.Members[len(f.Members)-1]
			m.Leave()
			until(t, "all see it leave", func() bool { return Agree(f.Running(), 6) })
			until(t, "all have its goodbye", func() bool {
				return !slices.ContainsFunc(f.Running(), func(other *Member) bool {
					s, _ := other.Get(m.Self().Key())
					return s.Status != membership.StatusLeft || other.Partition().Partitioned()
				})
			})
		}
		for _, seed := range f.Members[:seedCount] {
			seed.Kill()
		}
		if err := f.Add(60, "late", 0, 200*time.Millisecond, quiet); err != nil {
			t.Fatal(err)
		}
		late := f.Members[len(f.Members)-1]
		until(t, "the others have lost the seeds", func() bool { return Agree(f.Running()[:3], 3) })
		if late.Size() != 1 {
			t.Fatalf("without a seed that lives it sees %d members", late.Size())
		}
		// A seed starts again, knowing the same dead addresses: the others, who have lost
		// it, call it.
		if err := f.Add(0, "m0", 0, 200*time.Millisecond, quiet); err != nil {
			t.Fatal(err)
		}
		until(t, "all are found", func() bool { return Agree(f.Running(), 5) })
	})
}
