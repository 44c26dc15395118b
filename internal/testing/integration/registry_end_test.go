package integration

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/testing/faultinjection"
)

// replicaEndBound is how long a replica may take to end, by docs/SHUTDOWN.md.
const replicaEndBound = 15 * time.Second

// What happens: a replica that is told to end hangs, in TestTorture in 1 of 10 runs, and
// nobody knew in what. Now its end has a bound under each fault, as leader and as follower,
// with writes under way, SIGHUP just before and SIGTERM twice; its log names each step with its
// time; and what it has stored is readable: it starts again.
func TestReplicaEndsUnderEachFault(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
	}
	for _, kind := range []faultinjection.FaultKind{
		faultinjection.DiskFull, faultinjection.Partition, faultinjection.BlockInbound, faultinjection.BlockOutbound,
		faultinjection.Delay, faultinjection.HalfOpen, faultinjection.RefuseConnections, faultinjection.DropResponses,
	} {
		for _, leads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/leader=%v", kind, leads), func(t *testing.T) {
				t.Parallel()
				r := startReplicas(t)
				target := r.leader()
				if !leads {
					target = r.followerOf(target)
				}
				checkReplicaEnds(t, r, target, kind)
			})
		}
	}
}

// checkReplicaEnds tells a replica with a fault to end, while writes are under way, and checks
// that it does and starts again.
func checkReplicaEnds(t *testing.T, r *rig, target registry.ReplicaInfo, kind faultinjection.FaultKind) {
	ctx, cancel := context.WithCancel(context.Background())
	var writing sync.WaitGroup
	defer writing.Wait()
	defer cancel()
	c := r.client()
	for i := range 4 {
		writing.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				call, done := context.WithTimeout(ctx, writeTimeout)
				_, _ = c.Put(call, fmt.Sprint("record-", i), fmt.Append(nil, n), nil) // it may fail: the replica ends
				done()
			}
		})
	}
	end, err := r.Inject(faultinjection.Fault{Kind: kind, Target: target.ID})
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond) // the fault shows: an election may be under way
	process := r.Processes[target.ID]
	begun := time.Now()
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		if err := process.Signal(signal); err != nil {
			t.Fatal(err)
		}
	}
	if err := process.Terminate(replicaEndBound); err != nil { // a second SIGTERM
		t.Errorf("the replica does not end as it should: %v", err)
	}
	t.Logf("ended after %v", time.Since(begun).Round(time.Millisecond))
	for _, step := range []string{"leadership", "calls", "membership", `"raft and storage"`} {
		if !strings.Contains(process.Output(), "step="+step) {
			t.Errorf("the log does not name the step %s", step)
		}
	}
	if err := end(); err != nil {
		t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the replica is ready again", func() bool {
		resp, err := http.Get("http://" + target.HTTP + "/health/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}
