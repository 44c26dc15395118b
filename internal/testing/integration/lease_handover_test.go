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

// Measures how long a task is without a holder after its holder has shut down gracefully, or was
// killed, cut off or stopped: until another controller acts for it. Each time is within the bound.
func TestLeaseHandoverTimes(t *testing.T) {
	if !long {
		t.Skip("takes minutes: set BARLEYWICK_LONG=1")
	}
	const tasks, samples = 16, 100
	ttl := leaseMS * time.Millisecond
	members := []string{"r0", "r1", "r2", "k0", "k1", "k2", "k3"}
	for _, x := range []struct {
		name    string
		bound   time.Duration // the lease, detection of its end one tick late, a write, and the first act
		fault   func(r *rig, holder string) (end func() error)
		members []string
	}{
		{"planned", ttl, func(r *rig, holder string) func() error {
			if err := r.Processes[holder].Terminate(eventTimeout); err != nil {
				r.t.Errorf("%s did not shut down gracefully: %v", holder, err)
			}
			return r.Processes[holder].Start
		}, nil},
		{"killed", 2 * ttl, nil, nil},
		// The members on the same machine detect that the process has ended. Its lease then ends
		// early, after the time for writes that the process had already sent.
		{"killed, with members", ttl, nil, members},
		{"cut off", 2 * ttl, nil, nil},
		{"cut off, with members", 2 * ttl, nil, members},
		{"stopped", 2 * ttl, nil, nil},
	} {
		t.Run(x.name, func(t *testing.T) {
			w := startWitness(t)
			r := startRig(t, 1, 4, tasks, w.addr, x.members...)
			r.awaitActs(w, tasks, 0)
			c := r.client()
			cause, _, _ := strings.Cut(x.name, ",")
			kind := map[string]faultinjection.FaultKind{"killed": faultinjection.Crash, "cut off": faultinjection.Partition, "stopped": faultinjection.Pause}[cause]
			var took []time.Duration
			for turn := 0; len(took) < samples; turn++ {
				holder := r.controllers[turn%len(r.controllers)]
				var heldTasks []string
				for name, l := range r.leases(c) {
					if l.Grant != nil && l.Grant.Name == holder && name != "keeper:"+holder {
						heldTasks = append(heldTasks, name)
					}
				}
				began := w.now()
				var end func() error
				if x.fault != nil {
					end = x.fault(r, holder)
				} else {
					var err error
					if end, err = r.Inject(faultinjection.Fault{Kind: kind, Target: holder}); err != nil {
						t.Fatal(err)
					}
				}
				for _, task := range heldTasks {
					var first time.Duration
					eventually(t, "another controller acts for "+task, func() bool {
						first = w.firstAct(task, holder, began)
						return first > 0
					})
					took = append(took, first-began)
				}
				if err := end(); err != nil {
					t.Fatal(err)
				}
				eventually(t, holder+" acts again", func() bool {
					g := r.leases(c)["keeper:"+holder].Grant
					return g != nil && g.Incarnation > 0 && r.actedRecently(w, holder)
				})
			}
			slices.Sort(took)
			quantile := func(part float64) string {
				return fmt.Sprintf("%.2f", float64(took[int(part*float64(len(took)-1))])/float64(ttl))
			}
			t.Logf("%s: %d hand-overs, in lease durations: median %s, p90 %s, max %s", x.name, len(took), quantile(0.5), quantile(0.9), quantile(1))
			if longest := took[len(took)-1]; longest > x.bound {
				t.Errorf("the longest hand-over took %v, want at most %v", longest, x.bound)
			}
		})
	}
}

// Half of the controllers are killed at once, with 200 tasks on all of them: each task has a holder
// again within the bound, and no two controllers act for a task at the same time.
func TestHandoverOfManyLeases(t *testing.T) {
	if !long {
		t.Skip("takes minutes: set BARLEYWICK_LONG=1")
	}
	const tasks = 200
	t.Setenv(everyVariable, "200ms")
	w := startWitness(t)
	r := startRig(t, 1, 4, tasks, w.addr)
	r.awaitActs(w, tasks, 0)
	for turn := range 3 {
		began := w.now()
		killed := []string{r.controllers[turn], r.controllers[turn+1]}
		for _, k := range killed {
			r.Processes[k].Kill()
		}
		longest := time.Duration(0)
		for i := range tasks {
			task := fmt.Sprint("task-", i)
			eventually(t, "a controller acts for "+task, func() bool { return w.lastAct(task).begin > began+50*time.Millisecond })
			w.mu.Lock()
			first := time.Hour
			for _, a := range w.acts {
				if a.task == task && a.begin > began+50*time.Millisecond {
					first = min(first, a.begin)
				}
			}
			w.mu.Unlock()
			longest = max(longest, first-began)
		}
		t.Logf("%d tasks, half of the controllers killed: the last task has a holder after %.2f lease durations", tasks, float64(longest)/float64(leaseMS*time.Millisecond))
		if longest > 3*leaseMS*time.Millisecond { // the bound for one task, plus the time of some hundred writes
			t.Errorf("one task was without a holder for %v, want at most three lease durations", longest)
		}
		for _, k := range killed {
			if err := r.Processes[k].Start(); err != nil {
				t.Fatal(err)
			}
		}
		r.awaitActs(w, tasks, w.now()+3*leaseMS*time.Millisecond)
	}
	if seen := w.verify(t, nil, false); seen.Acts < 10*tasks || seen.Grants < tasks {
		t.Errorf("too little was observed for a verdict: %+v", seen)
	}
}

// firstAct returns when a controller other than the given one first acted for a task after a time.
func (w *witness) firstAct(task, except string, after time.Duration) (first time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.acts {
		if a.task == task && a.begin > after && a.actor[:len(except)] != except && (first == 0 || a.begin < first) {
			first = a.begin
		}
	}
	return first
}

// actedRecently reports whether a controller is running and has acted within the last second.
func (r *rig) actedRecently(w *witness, name string) bool {
	if !r.Processes[name].Running() {
		return false
	}
	return w.lastActBy(name) > w.now()-time.Second
}

func (w *witness) lastActBy(name string) (last time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.acts {
		if a.actor[:len(name)] == name {
			last = max(last, a.begin)
		}
	}
	return last
}

// Measures the cost of holding and renewing a number of leases: writes, bytes on disk, and CPU time
// of the registry's leader.
func TestLeaseCost(t *testing.T) {
	if !long {
		t.Skip("takes minutes: set BARLEYWICK_LONG=1")
	}
	for _, n := range []int{0, 10, 100, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := startWitness(t)
			r := startRig(t, 1, 0, 0, w.addr)
			c := r.client()
			eventually(t, "the registry grants leases", func() bool {
				ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
				defer cancel()
				all, err := c.Leases(ctx, 0, 0)
				return err == nil && !all.GrantsClosed
			})
			holders := startHolders(t, r, n)
			eventually(t, "all leases are held", func() bool { return holders() == n })
			m := r.leader()
			pid := r.Processes[m.ID].PID()
			cpu, writes, disk := cpuOf(t, pid), r.counter(m, "registry_writes_total"), r.diskBytes(m)
			const during = 10 * time.Second
			time.Sleep(during)
			renewals := r.counter(m, "registry_lease_renewals_total")
			t.Logf("%d leases of a second: %.1f writes a second, %d bytes on disk a second, %.2f %% of a core at the leader; %d renewals so far",
				n, float64(r.counter(m, "registry_writes_total")-writes)/during.Seconds(), int64(float64(r.diskBytes(m)-disk)/during.Seconds()), 100*(cpuOf(t, pid)-cpu).Seconds()/during.Seconds(), renewals)
			if holders() != n {
				t.Errorf("%d leases are held at the end, want %d", holders(), n)
			}
		})
	}
}

// startHolders runs lease managers that together hold n leases, 100 each. held returns the number of
// leases that are held now.
func startHolders(t *testing.T, r *rig, n int) (held func() int) {
	const each = 100
	var count atomic.Int64
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
					count.Add(1)
					defer count.Add(-1)
					<-ctx.Done()
					return ctx.Err()
				})
			})
		}
	}
	return func() int { return int(count.Load()) }
}

// counter returns the value of one of a replica's metrics, or -1.
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

// diskBytes returns how many bytes a replica's process has written to disk.
func (r *rig) diskBytes(m registry.ReplicaInfo) (bytes int64) {
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

// cpuOf returns the CPU time that a process has used.
func cpuOf(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndex(string(text), ")")+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond // the kernel reports these values in hundredths of a second
}
