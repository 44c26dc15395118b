package integration

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/membership"
	"barleywick/internal/registry"
	"barleywick/internal/testing/faultinjection"
)

// memberRig is processes that are all members of one fleet.
type memberRig struct {
	*rig
	asked map[string]string // where each is asked for its view
	names []string
	addrs map[string]string // where sidecars serve
}

// startMembers starts three replicas, some controllers with more in their files, and some sidecars.
func startMembers(t *testing.T, seed uint64, controllers, sidecars int, rest string) *memberRig {
	t.Helper()
	m := &memberRig{rig: &rig{t: t}, asked: make(map[string]string), addrs: make(map[string]string), names: []string{"r0", "r1", "r2"}}
	for i := range controllers {
		m.names = append(m.names, fmt.Sprint("k", i))
	}
	for i := range sidecars {
		m.names = append(m.names, fmt.Sprint("s", i))
	}
	m.begin(seed, m.names...)
	for _, r := range m.members {
		m.asked[r.ID] = "http://" + r.HTTP + registry.APIPath + membership.ViewPath
	}
	for i := range controllers {
		name := fmt.Sprint("k", i)
		m.addController(name, "keeper", rest)
		m.asked[name] = "http://" + m.listens[name] + "/" + membership.ViewPath
	}
	for i := range sidecars {
		name := fmt.Sprint("s", i)
		m.addrs[name] = freeAddr(t)
		m.asked[name] = "http://" + m.addrs[name] + "/health/" + membership.ViewPath
		m.process(name, "sidecar", "ROUTER_CONFIG="+writeFile(t, name+".json", map[string]any{
			"name": name, "listen": m.addrs[name], "discovery": m.members[i%3].HTTP, "seed": fmt.Sprintf("%x", i+1),
			"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256}, "membership": m.membership(name),
			"settings": map[string]any{
				"balancers": sidecars, "zones": []string{"a"}, "discovery": "push",
				"caps":    map[string]any{"most_tries": 1, "dial_timeout_ms": 250, "conn_idle_ms": 30000},
				"classes": []any{map[string]any{"name": "once", "semantics": "single_shot", "aim_ms": 100, "hard_limit_ms": 300, "worth": 1}},
			},
		}))
	}
	for _, p := range m.Processes {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
	m.agree(m.names...)
	return m
}

// view is what a process sees.
func (m *memberRig) view(name string) (membership.ViewResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return membership.FetchView(ctx, http.DefaultClient, m.asked[name])
}

// agree waits until some see each other, and nobody else, and returns how long that took.
func (m *memberRig) agree(names ...string) time.Duration {
	m.t.Helper()
	began := time.Now()
	eventually(m.t, "all have one view of "+strings.Join(names, " "), func() bool {
		digest := ""
		for _, name := range names {
			v, err := m.view(name)
			if err != nil || v.Present != len(names) || digest != "" && v.Digest != digest {
				return false
			}
			digest = v.Digest
		}
		return true
	})
	return time.Since(began)
}

func (m *memberRig) without(names ...string) (rest []string) {
	for _, name := range m.names {
		if !strings.Contains(" "+strings.Join(names, " ")+" ", " "+name+" ") {
			rest = append(rest, name)
		}
	}
	return rest
}

// statusOf is how one process sees another.
func (m *memberRig) statusOf(by, of string) membership.MemberView {
	v, err := m.view(by)
	if err != nil {
		return membership.MemberView{}
	}
	for _, a := range v.Members {
		if a.Name == of || a.Name == "test-"+of {
			return a
		}
	}
	return membership.MemberView{}
}

// Sixteen real processes, broken one after the other: each end is told from silence, each
// part that is cut off says so, and afterwards all see all again.
func TestMembersOfRealProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	t.Parallel()
	m := startMembers(t, 1, 4, 9, "")
	began := time.Now()

	// Killed: those on its machine see the process end, long before its silence would tell.
	if err := m.Processes["s8"].Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the end is seen", func() bool { return m.statusOf("r0", "s8").Status == membership.StatusEnded })
	t.Logf("a killed one is gone after %v", time.Since(began).Round(time.Millisecond))
	m.agree(m.without("s8")...)
	m.Processes["s8"].Kill()
	if err := m.Processes["s8"].Start(); err != nil {
		t.Fatal(err)
	}
	m.agree(m.names...)

	// A goodbye.
	if err := m.Processes["s7"].Terminate(patience); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the goodbye is known", func() bool { return m.statusOf("k0", "s7").Status == membership.StatusLeft })
	if err := m.Processes["s7"].Start(); err != nil {
		t.Fatal(err)
	}
	m.agree(m.names...)

	// Cut off, in both directions and in one: lost for the others, and for itself all of
	// them, which is more than half.
	for _, kind := range []faultinjection.FaultKind{faultinjection.Partition, faultinjection.BlockOutbound} {
		end, err := m.Inject(faultinjection.Fault{Kind: kind, Target: "k1"})
		if err != nil {
			t.Fatal(err)
		}
		eventually(t, "the others have lost it", func() bool { return m.statusOf("k0", "k1").Status == membership.StatusUnreachable })
		if kind == faultinjection.Partition {
			eventually(t, "it says that it has lost more than half", func() bool {
				v, err := m.view("k1")
				return err == nil && v.Minority && v.PartitionedMS > 0
			})
			if v, err := m.view("k0"); err != nil || v.Minority || v.Unreachable != 1 || v.PartitionedMS == 0 {
				t.Errorf("the larger part says: %d lost, minority %v (%v)", v.Unreachable, v.Minority, err)
			}
		}
		if err := end(); err != nil {
			t.Fatal(err)
		}
		t.Logf("after %s all is whole again in %v", kind, m.agree(m.names...).Round(time.Millisecond))
		eventually(t, "the rounds are counted", func() bool {
			v, err := m.view("k0")
			return err == nil && v.HealRounds > 0 && v.Unreachable == 0
		})
	}

	// Stopped past its loss, then continued: it comes back, and takes nobody with it.
	if err := m.Processes["k2"].Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the stopped one is lost", func() bool { return m.statusOf("k0", "k2").Status == membership.StatusUnreachable })
	if err := m.Processes["k2"].Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	m.agree(m.names...)
	// A machine that is short of time may have anybody suspected for a moment, and nobody lost.
	eventually(t, "one that was touched by no fault is there", func() bool { return m.statusOf("r0", "k3").Status == membership.StatusPresent })
}

// After each of many random faults the views of all are equal again, within a bound, and
// nobody who lives is missing.
func TestViewsAfterRandomFaults(t *testing.T) {
	if !long {
		t.Skip("it takes minutes: BARLEYWICK_LONG=1")
	}
	const faults, bound = 100, 15 * time.Second
	m := startMembers(t, 1, 4, 9, "")
	s := faultinjection.Plan{Targets: m.names, Count: faults, MeanInterval: time.Second, MinDuration: 200 * time.Millisecond, MaxDuration: 5 * time.Second, MaxConcurrent: 1}.Draw(7)
	var took []time.Duration
	var rounds uint64
	for _, f := range s {
		end, err := m.Inject(f)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(f.Duration)
		if err := end(); err != nil {
			t.Fatal(err)
		}
		d := m.agree(m.names...)
		if took = append(took, d); d > bound {
			t.Errorf("%v: all see all again after %v only, the bound is %v", f, d, bound)
		}
		if v, err := m.view("r0"); err == nil {
			rounds = max(rounds, v.HealRounds)
		}
	}
	slices.Sort(took)
	t.Logf("%d faults %v: all see all again after %v (median), %v (90 of 100), %v at most; a cut was healed in %d rounds at most",
		len(took), m.Injected, took[len(took)/2], took[len(took)*9/10], took[len(took)-1], rounds)
	if len(took) < faults {
		t.Errorf("%d of %d faults were played", len(took), faults)
	}
}

// All replicas come back at other addresses, each of which knows the others' old ones:
// the members that stayed tell them of each other, and the group goes on.
func TestReplicasFindEachOtherAtNewAddresses(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	t.Parallel()
	m := startMembers(t, 1, 1, 3, "")
	c := m.client()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if _, err := c.Put(ctx, "before", []byte("kept"), nil); err != nil {
		t.Fatal(err)
	}
	for _, r := range m.members {
		m.Processes[r.ID].Kill()
	}
	for i, r := range m.members {
		m.move(i, registry.ReplicaInfo{ID: r.ID, HTTP: freeAddr(t), Raft: freeAddr(t)})
	}
	for _, r := range m.members {
		if err := m.Processes[r.ID].Start(); err != nil {
			t.Fatal(err)
		}
	}
	m.leader()
	rec, err := m.client().Record(ctx, "before")
	if err != nil || string(rec.Value) != "kept" {
		t.Errorf("afterwards the record is %q: %v", rec.Value, err)
	}
}

// A sidecar that a booking server leaves without answers gives the checker of servers a
// reason to look at it long before its turn.
func TestSilenceIsAReasonToProbe(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	t.Parallel()
	const never = "[health]\nevery_ms = 3600000\ntimeout_ms = 100\nfailures = 1\n"
	m := startMembers(t, 1, 2, 2, never)
	probed := make(chan struct{}, 1024)
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/health/live" {
			probed <- struct{}{}
		}
		<-q.Context().Done() // it takes everything and answers nothing
	}))
	t.Cleanup(silent.Close)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if _, err := m.client().Register(ctx, registry.RegisterRequest{Instance: registry.Instance{Host: "s", Dial: silent.Listener.Addr().String(), Site: "a", Health: registry.HealthUp, Share: 1}}); err != nil {
		t.Fatal(err)
	}
	// In their turn the shards look at the list once an hour; so those that do it now have
	// come to it before or after the server has.
	asked := 0
	eventually(t, "a controller looks at the server for a reason", func() bool {
		asked++
		askOnce(http.DefaultClient, m.addrs["s0"], fmt.Sprint("q", asked), "once", func() {})
		return strings.Contains(m.Processes["k0"].Output()+m.Processes["k1"].Output(), "controller: probing suspected server")
	})
	select {
	case <-probed:
	case <-ctx.Done():
		t.Error("the server was not probed")
	}
	t.Logf("after %d requests", asked)
}

// A holder that the others have lost by gossip alone, and that reaches the registry, goes
// on: silence ends no lease, and nobody acts beside it.
func TestGossipAloneEndsNoLease(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	t.Parallel()
	const tasks = 3
	w := startWitness(t)
	r := startRig(t, 1, 3, tasks, w.addr, "r0", "r1", "r2", "k0", "k1", "k2")
	r.acted(w, tasks, 0)
	holder := r.holder(r.client(), "task-0")
	for _, l := range r.Network.FindLinks(func(name string) bool {
		return strings.Contains(name, ":gossip") && (strings.HasPrefix(name, holder+">") || strings.Contains(name, ">"+holder+":"))
	}) {
		l.SetRule(faultinjection.LinkRule{ToTarget: faultinjection.Impairment{Blocked: true}, FromTarget: faultinjection.Impairment{Blocked: true}})
	}
	other := "k0"
	if holder == other {
		other = "k1"
	}
	eventually(t, "the others have lost the holder", func() bool {
		return strings.Contains(r.Processes[other].Output(), `msg="members: member unreachable" member=`+holder+"/")
	})
	seen := w.count()
	eventually(t, "they have acted for a while since", func() bool { return w.count() > seen+100 })
	if j := w.verify(t, nil, false); j.Acts < 100 || j.Grants < tasks {
		t.Errorf("too little was seen: %+v", j)
	}
}
