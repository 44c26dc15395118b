package integration

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"barleywick/internal/lease"
	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
	"barleywick/internal/testing/faultinjection"
)

// How long a task is nobody's when its holder leaves in order, is killed, cut off or
// stopped: from then until another acts for it. The bound holds each time.
func TestHandoverTimes(t *testing.T) {
	if !long {
		t.Skip("it takes minutes: BARLEYWICK_LONG=1")
	}
	const tasks, samples = 16, 100
	ttl := leaseMS * time.Millisecond
	members := []string{"r0", "r1", "r2", "k0", "k1", "k2", "k3"}
	for _, x := range []struct {
		name    string
		bound   time.Duration // the lease, its end noticed a tick late, a write, and a first act
		do      func(r *rig, holder string) (end func() error)
		members []string
	}{
		{"planned", ttl, func(r *rig, holder string) func() error {
			if err := r.Processes[holder].Terminate(patience); err != nil {
				r.t.Errorf("%s did not end in order: %v", holder, err)
			}
			return r.Processes[holder].Start
		}, nil},
		{"killed", 2 * ttl, nil, nil},
		// The others on its machine see its end, and wait for what it had sent alone.
		{"killed, with members", ttl, nil, members},
		{"cut off", 2 * ttl, nil, nil},
		{"cut off, with members", 2 * ttl, nil, members},
		{"stopped", 2 * ttl, nil, nil},
	} {
		t.Run(x.name, func(t *testing.T) {
			w := startWitness(t)
			r := startRig(t, 1, 4, tasks, w.addr, x.members...)
			r.acted(w, tasks, 0)
			c := r.client()
			how, _, _ := strings.Cut(x.name, ",")
			kind := map[string]faultinjection.FaultKind{"killed": faultinjection.Crash, "cut off": faultinjection.Partition, "stopped": faultinjection.Pause}[how]
			var took []time.Duration
			for turn := 0; len(took) < samples; turn++ {
				holder := r.controllers[turn%len(r.controllers)]
				var its []string
				for name, l := range r.leases(c) {
					if l.Grant != nil && l.Grant.Name == holder && name != "keeper:"+holder {
						its = append(its, name)
					}
				}
				begun := w.now()
				var end func() error
				if x.do != nil {
					end = x.do(r, holder)
				} else {
					var err error
					if end, err = r.Inject(faultinjection.Fault{Kind: kind, Target: holder}); err != nil {
						t.Fatal(err)
					}
				}
				for _, task := range its {
					var first time.Duration
					eventually(t, "another acts for "+task, func() bool {
						first = w.firstAct(task, holder, begun)
						return first > 0
					})
					took = append(took, first-begun)
				}
				if err := end(); err != nil {
					t.Fatal(err)
				}
				eventually(t, holder+" is back", func() bool {
					g := r.leases(c)["keeper:"+holder].Grant
					return g != nil && g.Incarnation > 0 && r.settled(w, holder)
				})
			}
			slices.Sort(took)
			at := func(part float64) string {
				return fmt.Sprintf("%.2f", float64(took[int(part*float64(len(took)-1))])/float64(ttl))
			}
			t.Logf("%s: %d hand-overs, in lease lengths: median %s, 90 of 100 %s, most %s", x.name, len(took), at(0.5), at(0.9), at(1))
			if most := took[len(took)-1]; most > x.bound {
				t.Errorf("one took %v, the bound is %v", most, x.bound)
			}
		})
	}
}

// Half of the controllers are killed at once, with 200 tasks on all of them: each task is
// somebody's again within the bound, and no two act.
func TestHandoverOfMany(t *testing.T) {
	if !long {
		t.Skip("it takes minutes: BARLEYWICK_LONG=1")
	}
	const tasks = 200
	t.Setenv(everyVariable, "200ms")
	w := startWitness(t)
	r := startRig(t, 1, 4, tasks, w.addr)
	r.acted(w, tasks, 0)
	for turn := range 3 {
		begun := w.now()
		two := []string{r.controllers[turn], r.controllers[turn+1]}
		for _, k := range two {
			r.Processes[k].Kill()
		}
		most := time.Duration(0)
		for i := range tasks {
			task := fmt.Sprint("task-", i)
			eventually(t, "somebody acts for "+task, func() bool { return w.lastAct(task).begin > begun+50*time.Millisecond })
			w.mu.Lock()
			first := time.Hour
			for _, a := range w.acts {
				if a.task == task && a.begin > begun+50*time.Millisecond {
					first = min(first, a.begin)
				}
			}
			w.mu.Unlock()
			most = max(most, first-begun)
		}
		t.Logf("%d tasks, half of the controllers killed: the last is acted for after %.2f lease lengths", tasks, float64(most)/float64(leaseMS*time.Millisecond))
		if most > 3*leaseMS*time.Millisecond { // as for one, and some hundred writes
			t.Errorf("one task is nobody's for %v", most)
		}
		for _, k := range two {
			if err := r.Processes[k].Start(); err != nil {
				t.Fatal(err)
			}
		}
		r.acted(w, tasks, w.now()+3*leaseMS*time.Millisecond)
	}
	if j := w.verify(t, nil, false); j.Acts < 10*tasks || j.Grants < tasks {
		t.Errorf("too little was seen: %+v", j)
	}
}

// firstAct is when somebody other than a controller acted for a task first after a time.
func (w *witness) firstAct(task, than string, after time.Duration) (first time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.acts {
		if a.task == task && a.begin > after && a.by[:len(than)] != than && (first == 0 || a.begin < first) {
			first = a.begin
		}
	}
	return first
}

// settled says whether a controller that is back holds or waits for what falls to it.
func (r *rig) settled(w *witness, name string) bool {
	if !r.Processes[name].Running() {
		return false
	}
	return w.lastActBy(name) > w.now()-time.Second
}

func (w *witness) lastActBy(name string) (last time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.acts {
		if a.by[:len(name)] == name {
			last = max(last, a.begin)
		}
	}
	return last
}

// What leases cost: writes and bytes on disk, and the leader's processor time, with so
// many held and renewed for a while.
func TestLeaseCost(t *testing.T) {
	if !long {
		t.Skip("it takes minutes: BARLEYWICK_LONG=1")
	}
	for _, n := range []int{0, 10, 100, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := startWitness(t)
			r := startRig(t, 1, 0, 0, w.addr)
			c := r.client()
			eventually(t, "grants begin", func() bool {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				defer cancel()
				all, err := c.Leases(ctx, 0, 0)
				return err == nil && !all.GrantsClosed
			})
			holders := startHolders(t, r, n)
			eventually(t, "all are held", func() bool { return holders() == n })
			m := r.leader()
			pid := r.Processes[m.ID].PID()
			cpu, writes, disk := cpuOf(t, pid), r.counter(m, "registry_writes_total"), r.disk(m)
			const during = 10 * time.Second
			time.Sleep(during)
			renewals := r.counter(m, "registry_lease_renewals_total")
			t.Logf("%d leases of a second: %.1f writes a second, %d bytes on disk a second, %.2f %% of a core at the leader; %d renewals so far",
				n, float64(r.counter(m, "registry_writes_total")-writes)/during.Seconds(), int64(float64(r.disk(m)-disk)/during.Seconds()), 100*(cpuOf(t, pid)-cpu).Seconds()/during.Seconds(), renewals)
			if holders() != n {
				t.Errorf("%d of %d are still held", holders(), n)
			}
		})
	}
}

// startHolders runs members of one process each that hold so many leases between them.
func startHolders(t *testing.T, r *rig, n int) (held func() int) {
	const each = 100
	var now atomic.Int64
	var tasks sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	for first := 0; first < n; first += each {
		var addrs []string
		for _, m := range r.members {
			addrs = append(addrs, m.HTTP)
		}
		c, err := client.New(addrs, uint64(first))
		if err != nil {
			t.Fatal(err)
		}
		m := lease.NewManager(lease.Options{Registry: c, TTL: leaseMS * time.Millisecond, Holder: registry.Holder{Name: fmt.Sprint("h", first), Incarnation: 1}})
		tasks.Go(func() { m.Run(ctx) })
		for i := first; i < min(n, first+each); i++ {
			tasks.Go(func() {
				m.Hold(ctx, fmt.Sprint("l", i), func(ctx context.Context, _ *lease.Handle) error {
					now.Add(1)
					defer now.Add(-1)
					<-ctx.Done()
					return ctx.Err()
				})
			})
		}
	}
	return func() int { return int(now.Load()) }
}

// counter reads one of a replica's metrics.
func (r *rig) counter(m registry.ReplicaInfo, name string) int64 {
	resp, err := http.Get("http://" + m.HTTP + "/metrics")
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			n, _ := strconv.ParseInt(strings.TrimSpace(v), 10, 64)
			return n
		}
	}
	return -1
}

// disk is how many bytes a replica's process has had written.
func (r *rig) disk(m registry.ReplicaInfo) (bytes int64) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(r.Processes[m.ID].PID()), "io"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, "write_bytes: "); ok {
			bytes, _ = strconv.ParseInt(strings.TrimSpace(v), 10, 64)
		}
	}
	return bytes
}

// cpuOf is the processor time that a process has used.
func cpuOf(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndex(string(text), ")")+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond // the kernel counts hundredths of a second here
}
