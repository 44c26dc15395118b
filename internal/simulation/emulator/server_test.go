package emulator

import (
	"math/rand/v2"
	"testing"
	"time"
)

// newTestServer returns a warm server with one core of speed 2 and a queue of two, after change.
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

// runToEnd advances a server until all requests have ended, and returns them with the times of their ends.
func runToEnd(sv *Server) (ends []time.Duration, jobs []*Job) {
	for at := sv.NextAdvance(); at != Never; at = sv.NextAdvance() {
		for _, j := range sv.Advance(at) {
			ends, jobs = append(ends, at), append(jobs, j)
		}
	}
	return ends, jobs
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// almostEqual reports whether two times are equal except for rounding.
func almostEqual(a, b time.Duration) bool { return max(a-b, b-a) <= 2*time.Microsecond }

func TestServiceTimes(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Server)
		want   []float64 // ends of three requests of one second of work each
	}{
		"unchanged":       {nil, []float64{0.5, 1, 1.5}},
		"slow":            {func(sv *Server) { sv.Slowdown = 4 }, []float64{2, 4, 6}},
		"neighbour":       {func(sv *Server) { sv.NeighbourShare = 0.5 }, []float64{1, 2, 3}},
		"two cores":       {func(sv *Server) { sv.Kind.Cores = 2 }, []float64{0.5, 0.5, 1}},
		"two slots":       {func(sv *Server) { sv.Kind.Slots = 2 }, []float64{1, 1, 1.5}},
		"crowded":         {func(sv *Server) { sv.Kind.CrowdedAt, sv.Kind.Crowding = 2, 1 }, []float64{1, 1.5, 2}},
		"connections":     {func(sv *Server) { sv.Kind.ConnectionCost, sv.OpenConnections = 0.5, 3 }, []float64{1, 2, 3}},
		"after handshake": {func(sv *Server) { sv.Connect(time.Second) }, []float64{1, 1.5, 2}},
	} {
		sv := newTestServer(c.change)
		sv.Advance(0)
		for range 3 {
			if v := sv.Arrive(0, &Job{Work: 1}); v != Accepted {
				t.Errorf("%s: got verdict %v, want Accepted", name, v)
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
		t.Errorf("draining server: got verdict %v, want Rejected", v)
	}
	for i, want := range []bool{true, true, true, false} {
		if got := sv.Connect(0); got != want {
			t.Errorf("connection %d: got accepted %v, want %v", i, got, want)
		}
	}
	sv.Draining = false
	sv.Arrive(seconds(10), &Job{Work: 1})
	if unfinished := sv.Kill(seconds(10)); len(unfinished) != 1 || sv.Connect(0) || sv.Arrive(seconds(11), &Job{}) != NotRunning {
		t.Errorf("killed: got %d unfinished requests, want 1, and no connection or request accepted", len(unfinished))
	}
}

// In slow start the capacity of a server increases with time, and faster with work.
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
		t.Errorf("after 2 s of work: capacity %v, want more than 1.5", sv.Capacity(seconds(3)))
	}
	if ends, _ := runToEnd(sv); len(ends) != 1 || ends[0] >= seconds(5) || ends[0] <= seconds(3) {
		t.Errorf("4 s of work ended at %v, want one end after more than 2 s and less than 4 s", ends)
	}
}

// During slow start a server tolerates a multiple of its capacity; more work than that overloads it. A warm
// server is not overloaded this way. Rejected requests count as well.
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
			t.Errorf("%s: got overloaded %v, want the opposite", name, sv.Overloaded)
		}
	}
	sv := newTestServer(nil)
	sv.Start(1)
	sv.Draining = true
	for range 10 {
		sv.Arrive(1, &Job{Work: 1})
	}
	if !sv.Overloaded {
		t.Error("rejected requests did not overload the server")
	}
}

func TestKeysAndRepeatsCostLess(t *testing.T) {
	sv := newTestServer(func(sv *Server) { sv.Kind.QueueCapacity = 100 })
	sv.Advance(0)
	for _, j := range []*Job{
		{Work: 1, Key: 7}, {Work: 1, Key: 7}, // the second one is a cache hit
		{Work: 1, Key: 8}, {Work: 1, Key: 9}, {Work: 1, Key: 7}, // evicted: the cache holds two keys
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
		t.Errorf("got %d requests, ended at %v; want 2 with the second dropped at 0.5 s", len(jobs), ends)
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
		t.Errorf("got report %+v, want one queued, all cores busy, one served in 60 ms", r)
	}
}
