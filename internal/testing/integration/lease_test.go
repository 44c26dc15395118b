package integration

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/testing/faultinjection"
)

// Checks leases with real processes under random faults of processes and links (level (c) of the
// verification of leases, after the model checks). No two fenced acts with overlapping grants take
// effect, no two timed acts overlap, and the history of the writes is linearizable.
func TestLeasesUnderRandomFaults(t *testing.T) { testLeasesUnderRandomFaults(t) }

// The same with all processes as members of a fleet: membership information must not end a lease
// while its holder may still act under it.
func TestLeasesUnderRandomFaultsWithMembers(t *testing.T) {
	testLeasesUnderRandomFaults(t, "r0", "r1", "r2", "k0", "k1", "k2", "k3", "k4")
}

func testLeasesUnderRandomFaults(t *testing.T, members ...string) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	const tasks = 3
	seeds, faults := 1, 14
	if len(members) > 0 {
		faults = 8 // fewer, since TestLeasesUnderRandomFaults adds its own
	}
	if long {
		seeds, faults = 10, 40
	}
	var all verdict
	injected := 0
	for seed := range uint64(seeds) {
		w := startWitness(t)
		r := startRig(t, seed, 5, tasks, w.addr, members...)
		r.awaitActs(w, tasks, 0)
		targets := append([]string{"r0", "r1", "r2"}, r.controllers...)
		if len(members) > 0 {
			// The seed does not determine which controller holds a task. With few faults, most have
			// to hit the current holder, or there are too few hand-overs to check.
			targets = append(targets, r.holderTargets(tasks)...)
		}
		plan := faultinjection.Plan{
			Targets: targets, Count: faults, MeanInterval: 700 * time.Millisecond,
			MinDuration: 400 * time.Millisecond, MaxDuration: 3 * time.Second, MaxConcurrent: 3, QuorumGroup: []string{"r0", "r1", "r2"}, MaxQuorumFaults: 1,
		}
		s := plan.Draw(seed + 1)
		if text := os.Getenv(scheduleVariable); text != "" {
			var err error
			if s, err = faultinjection.ParseSchedule(text); err != nil {
				t.Fatal(err)
			}
		}
		pauses := make(chan paused, len(s))
		r.OnPause = func(of string, begin, end time.Time) {
			pauses <- paused{of, begin.Sub(w.began), end.Sub(w.began)}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*eventTimeout)
		if err := r.Run(ctx, s); err != nil {
			t.Error(err)
		}
		cancel()
		r.awaitActs(w, tasks, w.now())
		close(pauses)
		var stopped []paused
		for p := range pauses {
			stopped = append(stopped, p)
		}
		seen := w.verify(t, stopped, false)
		for _, n := range r.Injected {
			injected += n
		}
		t.Logf("seed %d: %d faults %v; observed: %+v", seed, len(s), r.Injected, seen)
		if t.Failed() {
			t.Fatalf("to reproduce: %s='%v' go test -run '^%s$' ./internal/testing/integration", scheduleVariable, shrink(t, s), t.Name())
		}
		for _, p := range r.Processes {
			p.Kill()
		}
		all = verdict{all.Acts + seen.Acts, all.Excused + seen.Excused, all.Grants + seen.Grants, all.Writes + seen.Writes, all.Fenced + seen.Fenced, all.Unknown + seen.Unknown, all.Reads + seen.Reads}
	}
	if os.Getenv(scheduleVariable) != "" {
		return // a shrunk schedule may have few faults
	}
	if all.Acts < 100*seeds || all.Grants < 5*seeds || all.Writes < 100*seeds || all.Reads < 20*seeds || injected < faults*seeds/2 {
		t.Errorf("too little was observed for a verdict: %+v, %d faults", all, injected)
	}
}

// shrink removes the faults that a failure does not need from a schedule, with at most
// SYSTEMTEST_SHRINK runs. A rare failure may keep all faults, since each candidate runs only once.
func shrink(t *testing.T, s faultinjection.Schedule) faultinjection.Schedule {
	maxRuns, err := strconv.Atoi(os.Getenv(shrinkVariable))
	if err != nil {
		return s
	}
	return faultinjection.Shrink(s, maxRuns, func(part faultinjection.Schedule) bool {
		if len(part) == 0 {
			return false
		}
		cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
		cmd.Env = append(os.Environ(), scheduleVariable+"="+part.String(), shrinkVariable+"=", "BARLEYWICK_LONG=")
		failed := cmd.Run() != nil
		t.Logf("%d faults: failed %v", len(part), failed)
		return failed
	})
}

// A majority of the registry is stopped: no lease is granted, holders stop before their leases end, and
// tasks continue when the majority is back. Then all controllers are killed at once.
func TestLeasesWithoutRegistryMajority(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	const tasks = 2
	w := startWitness(t)
	r := startRig(t, 1, 3, tasks, w.addr)
	r.awaitActs(w, tasks, 0)
	eventually(t, "the controllers have acted 40 times", func() bool { return w.actCount() > 40 })
	for _, id := range []string{"r0", "r1"} {
		if err := r.Processes[id].Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
	}
	lost := w.now()
	bound := leaseMS * time.Millisecond
	eventually(t, "the holders' leases have ended", func() bool { return w.now() > lost+3*bound })
	for i := range tasks {
		if last := w.lastAct(fmt.Sprint("task-", i)); last.begin > lost+bound {
			t.Errorf("%s acted %v after a majority was lost, want at most the lease duration of %v", last.actor, last.begin-lost, bound)
		}
	}
	for _, id := range []string{"r0", "r1"} {
		if err := r.Processes[id].Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
	}
	r.awaitActs(w, tasks, w.now())
	for _, k := range r.controllers {
		r.Processes[k].Kill()
	}
	for _, k := range r.controllers {
		if err := r.Processes[k].Start(); err != nil {
			t.Fatal(err)
		}
	}
	r.awaitActs(w, tasks, w.now())
	if seen := w.verify(t, nil, false); seen.Acts < 40 || seen.Grants < 2*tasks {
		t.Errorf("too little was observed for a verdict: %+v", seen)
	}
}

// The disk of a follower is full, then that of the leader, then those of a majority. Tasks continue or
// resume soon. While no write is possible, no lease passes to another holder, since renewals need no
// disk. When there is space again, hand-overs work again.
func TestLeasesWithFullDisks(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	const tasks = 2
	w := startWitness(t)
	r := startRig(t, 1, 3, tasks, w.addr)
	r.awaitActs(w, tasks, 0)
	c := r.client()
	fillDisks := func(replicas ...string) (freeDisks func()) {
		var ends []func() error
		for _, id := range replicas {
			end, err := r.Inject(faultinjection.Fault{Kind: faultinjection.DiskFull, Target: id})
			if err != nil {
				t.Fatal(err)
			}
			ends = append(ends, end)
		}
		return func() {
			for _, end := range ends {
				if err := end(); err != nil {
					t.Error(err)
				}
			}
		}
	}
	other := func(except string) string {
		return r.members[slices.IndexFunc(r.members, func(m registry.ReplicaInfo) bool { return m.ID != except })].ID
	}
	const bound = leaseMS * time.Millisecond
	handOver := func(what string) { // the next grant needs writes while the disk is full
		holder := r.holder(c, "task-0")
		r.Processes[holder].Kill()
		since := w.now()
		r.awaitOtherActor(w, "task-0", holder)
		eventually(t, "a controller acts after that", func() bool { return w.lastAct("task-0").begin > since })
		t.Logf("%s: %s was killed, another controller acts after %v", what, holder, (w.now() - since).Round(time.Millisecond))
		if err := r.Processes[holder].Start(); err != nil {
			t.Fatal(err)
		}
		r.awaitActs(w, tasks, w.now()+bound)
	}
	freeDisks := fillDisks(other(r.leader().ID))
	handOver("a follower's disk is full")
	freeDisks()
	formerLeader := r.leader().ID
	freeDisks = fillDisks(formerLeader)
	handOver("the leader's disk is full")
	if leader := r.leader().ID; leader == formerLeader {
		t.Errorf("%s still leads although its disk is full", formerLeader)
	}
	freeDisks()
	majority := []string{r.leader().ID}
	majority = append(majority, other(majority[0]))
	freeDisks = fillDisks(majority...)
	grants := r.leases(c)
	before := w.now()
	eventually(t, "three lease durations have passed", func() bool { return w.now() > before+3*bound })
	for name, l := range r.leases(c) {
		if g := grants[name].Grant; l.Grant != nil && (g == nil || g.Token != l.Grant.Token) {
			t.Errorf("%s: got the new grant %+v while the disks of a majority are full, want none", name, l.Grant)
		}
	}
	freeDisks()
	handOver("the disks have space again")
	if seen := w.verify(t, nil, false); seen.Acts < 40 || seen.Grants < 2*tasks || r.Injected[faultinjection.DiskFull] != 4 {
		t.Errorf("too little was observed for a verdict: %+v", seen)
	}
}

// Two processes have the same name: the second waits until the first has ended, and the two never act
// at the same time.
func TestLeasesOfProcessesWithOneName(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	const tasks = 3
	w := startWitness(t)
	r := startRig(t, 1, 2, tasks, w.addr)
	r.awaitActs(w, tasks, 0)
	r.addProcess("k0b", "actor", r.env["k0"]...)
	if err := r.Processes["k0b"].Start(); err != nil {
		t.Fatal(err)
	}
	c := r.client()
	eventually(t, "the second waits for the first", func() bool { return len(r.leases(c)["keeper:k0"].Queue) > 0 })
	before, since := w.actCount(), w.now()
	eventually(t, "the controllers act for a while", func() bool { return w.actCount() > before+400 && w.now() > since+5*leaseMS*time.Millisecond })
	r.Processes["k0"].Kill()
	eventually(t, "the second holds the lease of the first", func() bool {
		g := r.leases(c)["keeper:k0"].Grant
		return g != nil && len(r.leases(c)["keeper:k0"].Queue) == 0
	})
	before = w.actCount()
	eventually(t, "the controllers act for a while", func() bool { return w.actCount() > before+100 })
	if seen := w.verify(t, nil, false); seen.Acts < 250 || seen.Grants < tasks {
		t.Errorf("too little was observed for a verdict: %+v", seen)
	}
}

// An older backup is restored while leases are held and handed over: no token is granted twice, and
// holders continue.
func TestLeasesAfterRestore(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	const tasks = 3
	w := startWitness(t)
	r := startRig(t, 1, 3, tasks, w.addr)
	c := r.client()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	backup, err := c.Backup(ctx)
	if err != nil {
		t.Fatal(err)
	}
	r.awaitActs(w, tasks, 0)
	for i := range 3 {
		if err := c.Restore(ctx, backup); err != nil {
			t.Fatal(err)
		}
		k := r.Processes[r.controllers[i]]
		k.Kill()
		r.awaitActs(w, tasks, w.now())
		if err := k.Start(); err != nil {
			t.Fatal(err)
		}
	}
	before := w.actCount()
	eventually(t, "the controllers act for a while", func() bool { return w.actCount() > before+200 })
	if seen := w.verify(t, nil, true); seen.Acts < 150 || seen.Grants < 2*tasks {
		t.Errorf("too little was observed for a verdict: %+v", seen)
	}
}

// The registry's leader hands over its leadership while a holder is cut off and still acts: the new
// leader first waits for the full lease duration.
func TestLeasesWithNewRegistryLeader(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	const tasks = 2
	rounds := 3
	if long {
		rounds = 30
	}
	w := startWitness(t)
	r := startRig(t, 1, 3, tasks, w.addr)
	c := r.client()
	for range rounds {
		r.awaitActs(w, tasks, w.now())
		holder := r.holder(c, "task-0")
		heal, err := r.Inject(faultinjection.Fault{Kind: faultinjection.Partition, Target: holder})
		if err != nil {
			t.Fatal(err)
		}
		p := r.Processes[r.leader().ID]
		if err := p.Terminate(eventTimeout); err != nil { // the replica transfers its leadership at once
			t.Error(err)
		}
		r.awaitOtherActor(w, "task-0", holder)
		if err := heal(); err != nil {
			t.Fatal(err)
		}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		r.awaitActs(w, tasks, w.now()+leaseMS*time.Millisecond)
	}
	if seen := w.verify(t, nil, false); seen.Acts < 30*rounds || seen.Grants < 2*rounds {
		t.Errorf("too little was observed for a verdict: %+v", seen)
	}
}

// Responses to a holder are delayed, then the holder is cut off. Its lease counts from before it sent
// the renewal, so it stops before another controller begins.
func TestLeasesWithDelayedResponses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	const tasks = 2
	rounds := 2
	if long {
		rounds = 20
	}
	w := startWitness(t)
	r := startRig(t, 1, 3, tasks, w.addr)
	c := r.client()
	for round := range rounds {
		r.awaitActs(w, tasks, w.now())
		holder := r.holder(c, "task-0")
		// The partition starts at a different moment between two renewals in each round.
		f := faultinjection.Fault{Kind: faultinjection.DelayThenPartition, Target: holder, Duration: 3*time.Second + time.Duration(round%7)*170*time.Millisecond}
		heal, err := r.Inject(f)
		if err != nil {
			t.Fatal(err)
		}
		r.awaitOtherActor(w, "task-0", holder)
		since := w.now()
		eventually(t, "half a lease duration has passed", func() bool { return w.now() > since+leaseMS*time.Millisecond/2 })
		if err := heal(); err != nil {
			t.Fatal(err)
		}
		r.awaitActs(w, tasks, w.now()+leaseMS*time.Millisecond)
	}
	if seen := w.verify(t, nil, false); seen.Acts < 30*rounds || seen.Grants < rounds {
		t.Errorf("too little was observed for a verdict: %+v", seen)
	}
}
