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

// memberRig is a rig whose processes are all members of one fleet.
type memberRig struct {
	*rig
	viewURLs     map[string]string // URL of the membership view, by process
	names        []string
	sidecarAddrs map[string]string // addresses of the sidecars
}

// startMembers starts three replicas, controllers with additional configuration, and sidecars, and waits
// until all have the same view.
func startMembers(t *testing.T, seed uint64, controllers, sidecars int, extraConfig string) *memberRig {
	t.Helper()
	m := &memberRig{rig: &rig{t: t}, viewURLs: make(map[string]string), sidecarAddrs: make(map[string]string), names: []string{"r0", "r1", "r2"}}
	for i := range controllers {
		m.names = append(m.names, fmt.Sprint("k", i))
	}
	for i := range sidecars {
		m.names = append(m.names, fmt.Sprint("s", i))
	}
	m.prepare(seed, m.names...)
	for _, r := range m.members {
		m.viewURLs[r.ID] = "http://" + r.HTTP + registry.APIPath + membership.ViewPath
	}
	for i := range controllers {
		name := fmt.Sprint("k", i)
		m.addController(name, "keeper", extraConfig)
		m.viewURLs[name] = "http://" + m.controllerAddrs[name] + "/" + membership.ViewPath
	}
	for i := range sidecars {
		name := fmt.Sprint("s", i)
		m.sidecarAddrs[name] = freeAddr(t)
		m.viewURLs[name] = "http://" + m.sidecarAddrs[name] + "/health/" + membership.ViewPath
		m.addProcess(name, "sidecar", "ROUTER_CONFIG="+writeFile(t, name+".json", map[string]any{
			"name": name, "listen": m.sidecarAddrs[name], "discovery": m.members[i%3].HTTP, "seed": fmt.Sprintf("%x", i+1),
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
	m.awaitSameView(m.names...)
	return m
}

// view returns the membership view of a process.
func (m *memberRig) view(name string) (membership.ViewResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return membership.FetchView(ctx, http.DefaultClient, m.viewURLs[name])
}

// awaitSameView waits until the named processes have the same view with only these as members, and returns how
// long that took.
func (m *memberRig) awaitSameView(names ...string) time.Duration {
	m.t.Helper()
	began := time.Now()
	eventually(m.t, "all have the same view of "+strings.Join(names, " "), func() bool {
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

func (m *memberRig) namesWithout(names ...string) (others []string) {
	for _, name := range m.names {
		if !strings.Contains(" "+strings.Join(names, " ")+" ", " "+name+" ") {
			others = append(others, name)
		}
	}
	return others
}

// statusOf returns a member as another process sees it.
func (m *memberRig) statusOf(observer, name string) membership.MemberView {
	v, err := m.view(observer)
	if err != nil {
		return membership.MemberView{}
	}
	for _, a := range v.Members {
		if a.Name == name || a.Name == "test-"+name {
			return a
		}
	}
	return membership.MemberView{}
}

// Faults of single processes in a fleet of sixteen: an ended process is distinguished from a silent
// one, a process that is cut off reports that it has lost the majority, and afterwards all have the
// same complete view again.
func TestMembershipUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	m := startMembers(t, 1, 4, 9, "")
	began := time.Now()

	// Killed: members on the same machine detect the end of the process long before its probes time out.
	if err := m.Processes["s8"].Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the end of s8 is detected", func() bool { return m.statusOf("r0", "s8").Status == membership.StatusEnded })
	t.Logf("the end of a killed process was detected after %v", time.Since(began).Round(time.Millisecond))
	m.awaitSameView(m.namesWithout("s8")...)
	m.Processes["s8"].Kill()
	if err := m.Processes["s8"].Start(); err != nil {
		t.Fatal(err)
	}
	m.awaitSameView(m.names...)

	// A graceful shutdown sends a leave message.
	if err := m.Processes["s7"].Terminate(eventTimeout); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the leave message has arrived", func() bool { return m.statusOf("k0", "s7").Status == membership.StatusLeft })
	if err := m.Processes["s7"].Start(); err != nil {
		t.Fatal(err)
	}
	m.awaitSameView(m.names...)

	// Cut off in both directions, then in one: unreachable for the others. With both directions blocked,
	// it finds all others unreachable, which is more than half.
	for _, kind := range []faultinjection.FaultKind{faultinjection.Partition, faultinjection.BlockOutbound} {
		end, err := m.Inject(faultinjection.Fault{Kind: kind, Target: "k1"})
		if err != nil {
			t.Fatal(err)
		}
		eventually(t, "the others see k1 as unreachable", func() bool { return m.statusOf("k0", "k1").Status == membership.StatusUnreachable })
		if kind == faultinjection.Partition {
			eventually(t, "k1 reports that more than half is unreachable", func() bool {
				v, err := m.view("k1")
				return err == nil && v.Minority && v.PartitionedMS > 0
			})
			if v, err := m.view("k0"); err != nil || v.Minority || v.Unreachable != 1 || v.PartitionedMS == 0 {
				t.Errorf("the larger part: %d unreachable, minority %v (error %v), want 1 and false", v.Unreachable, v.Minority, err)
			}
		}
		if err := end(); err != nil {
			t.Fatal(err)
		}
		t.Logf("after %s all views are complete again in %v", kind, m.awaitSameView(m.names...).Round(time.Millisecond))
		eventually(t, "k0 has counted the rounds of the repair", func() bool {
			v, err := m.view("k0")
			return err == nil && v.HealRounds > 0 && v.Unreachable == 0
		})
	}

	// Stopped until it is unreachable, then continued: it is present again, and no other member is lost.
	if err := m.Processes["k2"].Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the stopped process is unreachable", func() bool { return m.statusOf("k0", "k2").Status == membership.StatusUnreachable })
	if err := m.Processes["k2"].Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	m.awaitSameView(m.names...)
	// Under CPU starvation any member may be suspected for a moment, but none may be lost.
	eventually(t, "a process without a fault is present", func() bool { return m.statusOf("r0", "k3").Status == membership.StatusPresent })
}

// After each of many random faults all processes have the same view again within a bound, and no
// running process is missing from it.
func TestViewsAgreeAfterRandomFaults(t *testing.T) {
	if !long {
		t.Skip("takes minutes: set BARLEYWICK_LONG=1")
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
		d := m.awaitSameView(m.names...)
		if took = append(took, d); d > bound {
			t.Errorf("%v: the views agreed after %v, want at most %v", f, d, bound)
		}
		if v, err := m.view("r0"); err == nil {
			rounds = max(rounds, v.HealRounds)
		}
	}
	slices.Sort(took)
	t.Logf("%d faults %v: views agree after %v (median), %v (p90), %v (max); a partition was repaired in at most %d rounds",
		len(took), m.Injected, took[len(took)/2], took[len(took)*9/10], took[len(took)-1], rounds)
	if len(took) < faults {
		t.Errorf("%d of %d faults were injected", len(took), faults)
	}
}

// All replicas restart with new addresses, and each has only the old addresses of the others. The
// remaining members pass on the new addresses, and the group has a leader and its data again.
func TestReplicasFindEachOtherAtNewAddresses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	m := startMembers(t, 1, 1, 3, "")
	c := m.client()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	if _, err := c.Put(ctx, "before", []byte("kept"), nil); err != nil {
		t.Fatal(err)
	}
	for _, r := range m.members {
		m.Processes[r.ID].Kill()
	}
	for i, r := range m.members {
		m.moveReplica(i, registry.ReplicaInfo{ID: r.ID, HTTP: freeAddr(t), Raft: freeAddr(t)})
	}
	for _, r := range m.members {
		if err := m.Processes[r.ID].Start(); err != nil {
			t.Fatal(err)
		}
	}
	m.leader()
	rec, err := m.client().Record(ctx, "before")
	if err != nil || string(rec.Value) != "kept" {
		t.Errorf("the record after the move: got %q (error %v), want \"kept\"", rec.Value, err)
	}
}

// If a sidecar gets no responses from a booking server, a controller probes that server long before the
// next regular health check.
func TestUnresponsiveServerIsProbed(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	const hourlyChecks = "[health]\nevery_ms = 3600000\ntimeout_ms = 100\nfailures = 1\n"
	m := startMembers(t, 1, 2, 2, hourlyChecks)
	probed := make(chan struct{}, 1024)
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/health/live" {
			probed <- struct{}{}
		}
		<-q.Context().Done() // accepts requests and never responds
	}))
	t.Cleanup(silent.Close)
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	if _, err := m.client().Register(ctx, registry.RegisterRequest{Instance: registry.Instance{Host: "s", Dial: silent.Listener.Addr().String(), Site: "a", Health: registry.HealthUp, Share: 1}}); err != nil {
		t.Fatal(err)
	}
	// The shards of the health check run once an hour, and their first run may be before or after the
	// registration. So the test sends requests until a controller logs an additional probe.
	sent := 0
	eventually(t, "a controller probes the suspected server", func() bool {
		sent++
		sendRequest(http.DefaultClient, m.sidecarAddrs["s0"], fmt.Sprint("q", sent), "once", func() {})
		return strings.Contains(m.Processes["k0"].Output()+m.Processes["k1"].Output(), "controller: probing suspected server")
	})
	select {
	case <-probed:
	case <-ctx.Done():
		t.Error("the server was not probed")
	}
	t.Logf("after %d requests", sent)
}

// A holder that is unreachable only by gossip, but reaches the registry, keeps its lease: missing gossip
// ends no lease, and no other controller acts for the task at the same time.
func TestGossipAloneEndsNoLease(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	const tasks = 3
	w := startWitness(t)
	r := startRig(t, 1, 3, tasks, w.addr, "r0", "r1", "r2", "k0", "k1", "k2")
	r.awaitActs(w, tasks, 0)
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
	eventually(t, "another controller sees the holder as unreachable", func() bool {
		return strings.Contains(r.Processes[other].Output(), `msg="members: member unreachable" member=`+holder+"/")
	})
	before := w.actCount()
	eventually(t, "the controllers have acted 100 times since", func() bool { return w.actCount() > before+100 })
	if seen := w.verify(t, nil, false); seen.Acts < 100 || seen.Grants < tasks {
		t.Errorf("too little was observed for a verdict: %+v", seen)
	}
}
