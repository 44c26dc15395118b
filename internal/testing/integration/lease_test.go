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

// Level (c) of the proof of leases: real processes, with random faults of processes
// and between them. No two fenced acts with overlapping grants take effect, no two
// timed acts overlap, and the history of what was written is linearizable.
func TestProofByProcesses(t *testing.T) { proveByProcesses(t) }

// The same where all are members of a fleet: what they know of each other ends no lease
// that may still be acted under.
func TestProofByProcessesWithMembers(t *testing.T) {
	proveByProcesses(t, "r0", "r1", "r2", "k0", "k1", "k2", "k3", "k4")
}

func proveByProcesses(t *testing.T, members ...string) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	t.Parallel()
	const tasks = 3
	seeds, faults := 1, 14
	if len(members) > 0 {
		faults = 8 // the other proof has as many again
	}
	if long {
		seeds, faults = 10, 40
	}
	var all verdict
	done := 0
	for seed := range uint64(seeds) {
		w := startWitness(t)
		r := startRig(t, seed, 5, tasks, w.addr, members...)
		r.acted(w, tasks, 0)
		targets := append([]string{"r0", "r1", "r2"}, r.controllers...)
		if len(members) > 0 {
			// Which controller holds a task is not drawn by the seed. With few faults, most have to
			// hit whoever does, or too little changes hands to be seen.
			targets = append(targets, r.holdersAsTargets(tasks)...)
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
		ctx, cancel := context.WithTimeout(context.Background(), 10*patience)
		if err := r.Run(ctx, s); err != nil {
			t.Error(err)
		}
		cancel()
		r.acted(w, tasks, w.now())
		close(pauses)
		var stopped []paused
		for p := range pauses {
			stopped = append(stopped, p)
		}
		j := w.verify(t, stopped, false)
		for _, n := range r.Injected {
			done += n
		}
		t.Logf("seed %d: %d faults %v; seen: %+v", seed, len(s), r.Injected, j)
		if t.Failed() {
			t.Fatalf("to play it again: %s='%v' go test -run '^%s$' ./internal/testing/integration", scheduleVariable, shrunk(t, s), t.Name())
		}
		for _, p := range r.Processes {
			p.Kill()
		}
		all = verdict{all.Acts + j.Acts, all.Excused + j.Excused, all.Grants + j.Grants, all.Writes + j.Writes, all.Fenced + j.Fenced, all.Unknown + j.Unknown, all.Reads + j.Reads}
	}
	if os.Getenv(scheduleVariable) != "" {
		return // one that was shrunk may have few faults
	}
	if all.Acts < 100*seeds || all.Grants < 5*seeds || all.Writes < 100*seeds || all.Reads < 20*seeds || done < faults*seeds/2 {
		t.Errorf("too little was seen: %+v, %d faults", all, done)
	}
}

// shrunk leaves out of a schedule what its failure does not need, in as many plays as
// SYSTEMTEST_SHRINK allows. A failure that is rare may need all: each part is played once.
func shrunk(t *testing.T, s faultinjection.Schedule) faultinjection.Schedule {
	most, err := strconv.Atoi(os.Getenv(shrinkVariable))
	if err != nil {
		return s
	}
	return faultinjection.Shrink(s, most, func(part faultinjection.Schedule) bool {
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

// A majority of the registry is lost: nobody gains a lease, holders stop in time, and
// all goes on when it is back. Then all controllers are killed at once.
func TestMajorityLost(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	t.Parallel()
	const tasks = 2
	w := startWitness(t)
	r := startRig(t, 1, 3, tasks, w.addr)
	r.acted(w, tasks, 0)
	eventually(t, "they have acted for a while", func() bool { return w.count() > 40 })
	for _, id := range []string{"r0", "r1"} {
		if err := r.Processes[id].Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
	}
	lost := w.now()
	bound := leaseMS * time.Millisecond
	eventually(t, "the holders' time is up", func() bool { return w.now() > lost+3*bound })
	for i := range tasks {
		if last := w.lastAct(fmt.Sprint("task-", i)); last.begin > lost+bound {
			t.Errorf("%s acted %v after a majority was lost, with leases of %v", last.by, last.begin-lost, bound)
		}
	}
	for _, id := range []string{"r0", "r1"} {
		if err := r.Processes[id].Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
	}
	r.acted(w, tasks, w.now())
	for _, k := range r.controllers {
		r.Processes[k].Kill()
	}
	for _, k := range r.controllers {
		if err := r.Processes[k].Start(); err != nil {
			t.Fatal(err)
		}
	}
	r.acted(w, tasks, w.now())
	if j := w.verify(t, nil, false); j.Acts < 40 || j.Grants < 2*tasks {
		t.Errorf("too little was seen: %+v", j)
	}
}

// The disk of a replica is full: of one that follows, then of the leader, then of a
// majority. Leases are held and acted under all the while, or soon again; while no write
// can be done nobody else is granted one, since renewals need no disk; and with room again
// all goes on.
func TestProofOfFullDisks(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	t.Parallel()
	const tasks = 2
	w := startWitness(t)
	r := startRig(t, 1, 3, tasks, w.addr)
	r.acted(w, tasks, 0)
	c := r.client()
	full := func(of ...string) (room func()) {
		var ends []func() error
		for _, id := range of {
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
	other := func(than string) string {
		return r.members[slices.IndexFunc(r.members, func(m registry.ReplicaInfo) bool { return m.ID != than })].ID
	}
	const bound = leaseMS * time.Millisecond
	handOver := func(what string) { // the next one needs writes, while the disk is full
		holder := r.holder(c, "task-0")
		r.Processes[holder].Kill()
		since := w.now()
		r.anotherActs(w, "task-0", holder)
		eventually(t, "somebody acts after that", func() bool { return w.lastAct("task-0").begin > since })
		t.Logf("%s: %s was killed, another acts after %v", what, holder, (w.now() - since).Round(time.Millisecond))
		if err := r.Processes[holder].Start(); err != nil {
			t.Fatal(err)
		}
		r.acted(w, tasks, w.now()+bound)
	}
	room := full(other(r.leader().ID))
	handOver("a follower's disk is full")
	room()
	was := r.leader().ID
	room = full(was)
	handOver("the leader's disk is full")
	if now := r.leader().ID; now == was {
		t.Errorf("%s leads still, and can write nothing", was)
	}
	room()
	two := []string{r.leader().ID}
	two = append(two, other(two[0]))
	room = full(two...)
	grants := r.leases(c)
	before := w.now()
	eventually(t, "holders go on for a while", func() bool { return w.now() > before+3*bound })
	for name, l := range r.leases(c) {
		if g := grants[name].Grant; l.Grant != nil && (g == nil || g.Token != l.Grant.Token) {
			t.Errorf("%s was granted %+v, while a majority's disks are full", name, l.Grant)
		}
	}
	room()
	handOver("with room again")
	if j := w.verify(t, nil, false); j.Acts < 40 || j.Grants < 2*tasks || r.Injected[faultinjection.DiskFull] != 4 {
		t.Errorf("too little was seen: %+v", j)
	}
}

// Two processes with one name: the second waits until the first has gone, and no two act.
func TestProofOfNamesakes(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	t.Parallel()
	const tasks = 3
	w := startWitness(t)
	r := startRig(t, 1, 2, tasks, w.addr)
	r.acted(w, tasks, 0)
	r.process("k0b", "actor", r.env["k0"]...)
	if err := r.Processes["k0b"].Start(); err != nil {
		t.Fatal(err)
	}
	c := r.client()
	eventually(t, "the second waits for the first", func() bool { return len(r.leases(c)["keeper:k0"].Queue) > 0 })
	before, since := w.count(), w.now()
	eventually(t, "they go on for a while", func() bool { return w.count() > before+400 && w.now() > since+5*leaseMS*time.Millisecond })
	r.Processes["k0"].Kill()
	eventually(t, "the second has the place of the first", func() bool {
		g := r.leases(c)["keeper:k0"].Grant
		return g != nil && len(r.leases(c)["keeper:k0"].Queue) == 0
	})
	before = w.count()
	eventually(t, "they go on for a while", func() bool { return w.count() > before+100 })
	if j := w.verify(t, nil, false); j.Acts < 250 || j.Grants < tasks {
		t.Errorf("too little was seen: %+v", j)
	}
}

// An older backup is restored while leases are held and change hands: no token is given
// twice, and who holds one goes on.
func TestProofOfRestore(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	t.Parallel()
	const tasks = 3
	w := startWitness(t)
	r := startRig(t, 1, 3, tasks, w.addr)
	c := r.client()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	backup, err := c.Backup(ctx)
	if err != nil {
		t.Fatal(err)
	}
	r.acted(w, tasks, 0)
	for i := range 3 {
		if err := c.Restore(ctx, backup); err != nil {
			t.Fatal(err)
		}
		k := r.Processes[r.controllers[i]]
		k.Kill()
		r.acted(w, tasks, w.now())
		if err := k.Start(); err != nil {
			t.Fatal(err)
		}
	}
	before := w.count()
	eventually(t, "they go on for a while", func() bool { return w.count() > before+200 })
	if j := w.verify(t, nil, true); j.Acts < 150 || j.Grants < 2*tasks {
		t.Errorf("too little was seen: %+v", j)
	}
}

// The registry's leader hands over while a holder is cut off and acts still: the new
// leader gives the lease its full time first.
func TestProofOfNewLeader(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
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
		r.acted(w, tasks, w.now())
		holder := r.holder(c, "task-0")
		heal, err := r.Inject(faultinjection.Fault{Kind: faultinjection.Partition, Target: holder})
		if err != nil {
			t.Fatal(err)
		}
		p := r.Processes[r.leader().ID]
		if err := p.Terminate(patience); err != nil { // it hands leadership over at once
			t.Error(err)
		}
		r.anotherActs(w, "task-0", holder)
		if err := heal(); err != nil {
			t.Fatal(err)
		}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		r.acted(w, tasks, w.now()+leaseMS*time.Millisecond)
	}
	if j := w.verify(t, nil, false); j.Acts < 30*rounds || j.Grants < 2*rounds {
		t.Errorf("too little was seen: %+v", j)
	}
}

// Answers to a holder come late and then it is cut off: its time counts from before it
// asked, so it is through before another begins.
func TestProofOfLateAnswers(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
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
		r.acted(w, tasks, w.now())
		holder := r.holder(c, "task-0")
		// The cut comes at another moment between two renewals each time.
		f := faultinjection.Fault{Kind: faultinjection.DelayThenPartition, Target: holder, Duration: 3*time.Second + time.Duration(round%7)*170*time.Millisecond}
		heal, err := r.Inject(f)
		if err != nil {
			t.Fatal(err)
		}
		r.anotherActs(w, "task-0", holder)
		since := w.now()
		eventually(t, "its time is over", func() bool { return w.now() > since+leaseMS*time.Millisecond/2 })
		if err := heal(); err != nil {
			t.Fatal(err)
		}
		r.acted(w, tasks, w.now()+leaseMS*time.Millisecond)
	}
	if j := w.verify(t, nil, false); j.Acts < 30*rounds || j.Grants < rounds {
		t.Errorf("too little was seen: %+v", j)
	}
}
