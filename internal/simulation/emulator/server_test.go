package emulator

import (
	"math/rand/v2"
	"testing"
	"time"
)

// bench is a warm server of one core at speed 2 whose queue holds two.
func newTestServer(change func(*Server)) *Server {
	keys := Keys{WarmSaving: 0.5, WarmWindow: milliseconds(1000), PerCore: 2, CellSize: 1}
	sv := &Server{
		Kind:  MachineKind{Cores: 1, Speed: 2, Slots: 1, QueueCapacity: 2, CrowdedAt: 100, SlowStartFloor: 0.5, SlowStartWindow: milliseconds(4000), ReportInterval: milliseconds(10)},
		Speed: 2, Slowdown: 1, Alive: true, connectionsPerCore: 3, rules: DefaultScenario().Rules,
		Cell: newCell(0, newDedupCache(), keys, 1), rng: rand.New(rand.NewPCG(1, 1)),
	}
	if change != nil {
		change(sv)
	}
	return sv
}

// drain lets a server finish and returns when each request ended, in order.
func runToEnd(sv *Server) (ends []time.Duration, jobs []*Job) {
	for at := sv.Next(); at != Never; at = sv.Next() {
		for _, j := range sv.Advance(at) {
			ends, jobs = append(ends, at), append(jobs, j)
		}
	}
	return ends, jobs
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// near reports whether two times are equal but for rounding.
func almostEqual(a, b time.Duration) bool { return max(a-b, b-a) <= 2*time.Microsecond }

func TestServiceTimes(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Server)
		want   []float64 // ends of three requests of a second's work
	}{
		"as it is":        {nil, []float64{0.5, 1, 1.5}},
		"slow":            {func(sv *Server) { sv.Slowdown = 4 }, []float64{2, 4, 6}},
		"shared":          {func(sv *Server) { sv.NeighbourShare = 0.5 }, []float64{1, 2, 3}},
		"two cores":       {func(sv *Server) { sv.Kind.Cores = 2 }, []float64{0.5, 0.5, 1}},
		"two slots":       {func(sv *Server) { sv.Kind.Slots = 2 }, []float64{1, 1, 1.5}},
		"crowded":         {func(sv *Server) { sv.Kind.CrowdedAt, sv.Kind.Crowding = 2, 1 }, []float64{1, 1.5, 2}},
		"full of callers": {func(sv *Server) { sv.Kind.ConnectionCost, sv.OpenConnections = 0.5, 3 }, []float64{1, 2, 3}},
		"after handshake": {func(sv *Server) { sv.Connect(time.Second) }, []float64{1, 1.5, 2}},
	} {
		sv := newTestServer(c.change)
		sv.Advance(0)
		for range 3 {
			if v := sv.Arrive(0, &Job{Work: 1}); v != Accepted {
				t.Errorf("%s: verdict %v", name, v)
			}
		}
		ends, _ := runToEnd(sv)
		for i, want := range c.want {
			if len(ends) != 3 || !almostEqual(ends[i], seconds(want)) {
				t.Errorf("%s: ended at %v, want %v", name, ends, c.want)
				break
			}
		}
	}
}

func TestFullServerRejects(t *testing.T) {
	sv := newTestServer(nil)
	sv.Advance(0)
	for i, want := range []Verdict{Accepted, Accepted, Accepted, Rejected} {
		if got := sv.Arrive(0, &Job{Work: 1}); got != want {
			t.Errorf("request %d: verdict %v, want %v", i, got, want)
		}
	}
	sv.Draining = true
	sv.Advance(seconds(10))
	if v := sv.Arrive(seconds(10), &Job{Work: 1}); v != Rejected {
		t.Errorf("draining: verdict %v", v)
	}
	for i, want := range []bool{true, true, true, false} {
		if got := sv.Connect(0); got != want {
			t.Errorf("connection %d: %v, want %v", i, got, want)
		}
	}
	sv.Draining = false
	sv.Arrive(seconds(10), &Job{Work: 1})
	if held := sv.Kill(seconds(10)); len(held) != 1 || sv.Connect(0) || sv.Arrive(seconds(11), &Job{}) != NotRunning {
		t.Errorf("killed: gives %d back and goes on", len(held))
	}
}

// A cold server starts with a fraction of its capacity and warms up with time, or sooner with work.
func TestServerWarmsUp(t *testing.T) {
	sv := newTestServer(nil)
	sv.Start(seconds(1))
	for at, want := range map[float64]float64{1: 1, 3: 1.5, 5: 2, 9: 2} {
		if got := sv.Capacity(seconds(at)); got < want-1e-9 || got > want+1e-9 {
			t.Errorf("idle, %v s: capacity %v, want %v", at, got, want)
		}
	}
	sv.Arrive(seconds(1), &Job{Work: 4})
	if sv.Advance(seconds(3)); sv.Capacity(seconds(3)) <= 1.5 {
		t.Errorf("work has not warmed it: %v", sv.Capacity(seconds(3)))
	}
	if ends, _ := runToEnd(sv); len(ends) != 1 || ends[0] >= seconds(5) || ends[0] <= seconds(3) {
		t.Errorf("4 s of work ended at %v, which should take more than 2 s and less than 4", ends)
	}
}

// A cold server bears a multiple of its capacity and is overloaded above that, permanently and only while cold.
func TestColdServerOverload(t *testing.T) {
	budget := 3 * 1.0 * 2 * overloadSlack // multiple x capacity x seconds
	for name, c := range map[string]struct {
		work       float64
		warm       bool
		overloaded bool
	}{"within": {budget / 10 * 0.99, false, false}, "above": {budget / 10 * 1.02, false, true}, "warm": {100, true, false}} {
		sv := newTestServer(func(sv *Server) { sv.Kind.QueueCapacity = 100 })
		if !c.warm {
			sv.Start(1)
		}
		for range 10 {
			sv.Arrive(1, &Job{Work: c.work})
		}
		if sv.Overloaded != c.overloaded {
			t.Errorf("%s: overloaded %v", name, sv.Overloaded)
		}
	}
	sv := newTestServer(nil) // what is rejected presses too
	sv.Start(1)
	sv.Draining = true
	for range 10 {
		sv.Arrive(1, &Job{Work: 1})
	}
	if !sv.Overloaded {
		t.Error("rejected work does not count")
	}
}

func TestKeysAndRepeatsCostLess(t *testing.T) {
	sv := newTestServer(func(sv *Server) { sv.Kind.QueueCapacity = 100 })
	sv.Advance(0)
	for _, j := range []*Job{
		{Work: 1, Key: 7}, {Work: 1, Key: 7}, // known at the second time
		{Work: 1, Key: 8}, {Work: 1, Key: 9}, {Work: 1, Key: 7}, // forgotten: it remembers two
		{Work: 1, Repeat: 5, Window: time.Minute}, {Work: 1, Repeat: 5, Window: time.Minute},
	} {
		sv.Arrive(0, j)
	}
	_, jobs := runToEnd(sv)
	var spent []float64
	for _, j := range jobs {
		spent = append(spent, j.work)
	}
	want := []float64{1, 0.5, 1, 1, 1, 1, repeatWork}
	for i := range want {
		if len(spent) != len(want) || spent[i] != want[i] {
			t.Fatalf("spent %v, want %v", spent, want)
		}
	}
}

func TestServerDropsExpiredRequests(t *testing.T) {
	sv := newTestServer(func(sv *Server) { sv.Kind.DropsLate = true })
	sv.Advance(0)
	sv.Arrive(0, &Job{Work: 1, Deadline: time.Hour})
	sv.Arrive(0, &Job{Work: 1, Deadline: seconds(0.2)})
	ends, jobs := runToEnd(sv)
	if len(jobs) != 2 || jobs[0].Dropped || !jobs[1].Dropped || !almostEqual(ends[1], seconds(0.5)) {
		t.Errorf("%d ended at %v", len(jobs), ends)
	}
}

func TestProbeReportsLoad(t *testing.T) {
	sv := newTestServer(nil)
	sv.Advance(0)
	for range 3 {
		sv.Arrive(0, &Job{Work: 0.1})
	}
	sv.Advance(seconds(0.06))
	if r := sv.Probe(seconds(0.06)); r.Queue != 1 || r.Busy != 1 || r.Rate < 16 || r.Rate > 17 {
		t.Errorf("%+v; want one waiting, all cores busy, one served in 60 ms", r)
	}
}
