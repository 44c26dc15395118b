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

var discard = slog.New(slog.NewTextHandler(io.Discard, nil))

// Members find each other, and detect killed members and partitions, at several rates of
// packet loss.
func TestFleetDetectsFaults(t *testing.T) {
	for _, loss := range []float64{0, 0.1, 0.3} {
		t.Run(fmt.Sprint("loss ", loss), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := Scenario{
					Members: 12, Seed: 1, ProbeInterval: 500 * time.Millisecond, PacketLoss: loss, Delay: time.Millisecond, Baseline: 20 * time.Second,
					KillFraction: 0.25, Partitions: 3, PartitionDuration: 40 * time.Second,
				}
				r, err := s.Run(discard)
				time.Sleep(time.Minute) // the remaining goroutines end by their timeouts
				t.Logf("%+v", r)
				if err != nil {
					t.Fatal(err)
				}
				running := s.Members - r.Killed
				if r.Killed != 3 || r.ReportedPartition != running || r.ReportedMinority != running || r.HealRounds == 0 || r.BytesPerSecond == 0 {
					t.Errorf("got %+v, want all killed members and the partition detected and reported", r)
				}
				for _, present := range r.PresentByPartition {
					if want := running / s.Partitions; present != want {
						t.Errorf("got %v members present in the parts, want %d in each", r.PresentByPartition, want)
					}
				}
				if r.FalselyUnreachable > 0 {
					t.Errorf("%d running members became unreachable, want none", r.FalselyUnreachable)
				}
			})
		})
	}
}

// startFleet starts members and waits until they have joined.
func startFleet(t *testing.T, n int) *Fleet {
	network := NewNetwork(1)
	network.SetConditions(0, time.Millisecond)
	f, err := StartFleet(network, n, 200*time.Millisecond, discard)
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "all members present in all views", func() bool { return Agree(f.Members, n) })
	return f
}

func waitUntil(t *testing.T, description string, condition func() bool) time.Duration {
	t.Helper()
	took, err := WaitUntil(time.Minute, condition)
	if err != nil {
		t.Fatalf("%s: %v", description, err)
	}
	return took
}

// stop stops the fleet within a synctest bubble.
func (f *Fleet) stop() {
	f.Stop()
	time.Sleep(time.Minute) // the remaining goroutines end by their timeouts
}

// A process that starts again is another member, and is present in all views before the first process
// counts as unreachable. Of two running processes with the same name, the later one replaces the earlier
// one.
func TestLaterProcessReplacesEarlier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6)
		defer f.stop()
		old := f.Members[4]
		for index, kill := range map[int]bool{100: true, 101: false} {
			if kill {
				old.Kill()
			}
			if err := f.Add(index, old.Self().Name, 0, 200*time.Millisecond, discard); err != nil {
				t.Fatal(err)
			}
			later := f.Members[len(f.Members)-1]
			if !kill {
				old.stopped = true // it runs, but is not among those that have to agree
			}
			took := waitUntil(t, "the later process present in all views", func() bool { return Agree(f.Running(), 6) })
			if took > 5*time.Second { // most views learn of it by gossip within 0.2 s, some by a comparison of digests
				t.Errorf("the later process is present in all views after %v, want 5s at most (the other killed: %v)", took, kill)
			}
			if got, _ := f.Members[0].Get(old.Self().Key()); got.Status != membership.StatusReplaced || got.Evidence != later.Self().Key() {
				t.Errorf("the earlier process: got %s by %s, want replaced by %s", got.Status, got.Evidence, later.Self().Key())
			}
			old = later
		}
	})
}

// An update of the metadata while a member leaves does not block.
func TestUpdateWhileLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3)
		defer f.stop()
		m := f.Members[2]
		m.Leave()
		for phase := range 20 {
			m.Update(func(i *membership.Info) { i.Phase = fmt.Sprint(phase) })
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// No member considers one that has left as unreachable, even if it joins and leaves repeatedly. If
// no seed is running, the seeds are called until one is.
func TestLeavesAndDeadSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6)
		defer f.stop()
		for round := range 5 {
			if err := f.Add(50+round, "flapper", 0, 200*time.Millisecond, discard); err != nil {
				t.Fatal(err)
			}
			waitUntil(t, "the new member present in all views", func() bool { return Agree(f.Running(), 7) })
			m := f.Members[len(f.Members)-1]
			m.Leave()
			waitUntil(t, "the member that left present in no view", func() bool { return Agree(f.Running(), 6) })
			waitUntil(t, "its status left in all views", func() bool {
				return !slices.ContainsFunc(f.Running(), func(other *Member) bool {
					left, _ := other.Get(m.Self().Key())
					return left.Status != membership.StatusLeft || other.Partition().Partitioned()
				})
			})
		}
		for _, seed := range f.Members[:seedCount] {
			seed.Kill()
		}
		if err := f.Add(60, "late", 0, 200*time.Millisecond, discard); err != nil {
			t.Fatal(err)
		}
		late := f.Members[len(f.Members)-1]
		waitUntil(t, "the seeds present in no other view", func() bool { return Agree(f.Running()[:3], 3) })
		if late.Size() != 1 {
			t.Fatalf("got %d members present without a running seed, want 1", late.Size())
		}
		// A seed starts again, with the same dead addresses as seeds. The others, which consider it
		// unreachable, call it.
		if err := f.Add(0, "m0", 0, 200*time.Millisecond, discard); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "all running members present in all views", func() bool { return Agree(f.Running(), 5) })
	})
}
