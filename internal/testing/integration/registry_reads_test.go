package integration

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/testing/faultinjection"
)

const (
	// readBound is the largest age that docs/REGISTRY.md permits for a response marked as current: three
	// election timeouts of the rig's replicas.
	readBound = 3 * 200 * time.Millisecond
	// watchBound is the time after which clients abandon a watch on which nothing arrives (watchTimeout of
	// internal/registry/client). A watch that continues must not lag behind by more.
	watchBound = 3 * time.Second
	// writeTimeout is how long the test waits for one write: a stopped replica does not respond.
	writeTimeout = 500 * time.Millisecond
	// notificationDeadline is the time after which the protocol considers the sidecars notified of every
	// change.
	notificationDeadline = 6 * time.Second
)

// Guards against a replica that marks stale reads as current. A replica with a full disk cannot store
// the leader's entries, but still answered "Registry-Read: current; age_ms=4" with the list from before
// a drain mark, and its watches got heartbeats without the mark, so that sidecars sent requests to a
// draining server (it logged `failed to append to logs` once; 6 s later its reads still had an age of
// 4 ms with the version before the mark). Cause: replicas judged freshness by the last contact with the
// leader, and Raft's heartbeats carry no entries. They also arrive while appends fail, wait in the
// leader's backoff or are late, or while the replica's own responses are lost. A leader that had been
// stopped marked its reads as current only because it believed that it still led.
//
// The test checks each response against what it states. Every write that was acknowledged before the
// call was sent, less the stated age, has to be in the response unless it is marked as stale; and no
// response may be marked as current with an age above the bound.
func TestReadsAreAsFreshAsStated(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	for _, fault := range []struct {
		kind     faultinjection.FaultKind
		ofLeader bool
	}{
		{faultinjection.DiskFull, false},
		{faultinjection.BlockOutbound, false},
		{faultinjection.BlockInbound, false},
		{faultinjection.Delay, false},
		{faultinjection.Pause, false},
		{faultinjection.DiskFull, true},
		{faultinjection.Partition, true},
		{faultinjection.Pause, true},
	} {
		t.Run(fmt.Sprintf("%s/leader=%v", fault.kind, fault.ofLeader), func(t *testing.T) {
			t.Parallel()
			r := startReplicas(t)
			target := r.leader()
			if !fault.ofLeader {
				target = r.followerOf(target)
			}
			checkReadsDuring(t, r, target, fault.kind)
		})
	}
}

// startReplicas starts a rig of three replicas without controllers, and waits until all are ready.
func startReplicas(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t}
	r.prepare(1)
	for _, p := range r.Processes {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range r.members {
		eventually(t, m.ID+" is ready", func() bool {
			resp, err := http.Get("http://" + m.HTTP + "/health/ready")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
	return r
}

// followerOf returns a replica that is not the leader.
func (r *rig) followerOf(leader registry.ReplicaInfo) registry.ReplicaInfo {
	for _, m := range r.members {
		if m.ID != leader.ID {
			return m
		}
	}
	return leader
}

// acknowledgedWrite is the version and time of an acknowledged write.
type acknowledgedWrite struct {
	seq uint64
	at  time.Time
}

// writeLog holds the acknowledged writes in order.
type writeLog struct {
	mu     sync.Mutex
	writes []acknowledgedWrite
}

func (l *writeLog) add(seq uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes = append(l.writes, acknowledgedWrite{seq, time.Now()})
}

// count returns how many writes were acknowledged.
func (l *writeLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.writes)
}

// newestBefore returns the highest version that was acknowledged before a time.
func (l *writeLog) newestBefore(at time.Time) (seq uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, write := range l.writes {
		if write.at.Before(at) {
			seq = max(seq, write.seq)
		}
	}
	return seq
}

// checkReadsDuring repeatedly sets and clears a drain mark while a replica has a fault, and checks the
// freshness of the replica's responses meanwhile and afterwards.
func checkReadsDuring(t *testing.T, r *rig, target registry.ReplicaInfo, kind faultinjection.FaultKind) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := r.client()
	registered, err := c.Register(ctx, registry.RegisterRequest{Instance: registry.Instance{Host: "s-1", Dial: "127.0.0.1:7070", Site: "a", Class: "m2", Health: registry.HealthUp, Share: 1}})
	if err != nil {
		t.Fatal(err)
	}
	log := new(writeLog)
	log.add(registered.Seq)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() {
		for draining := true; ctx.Err() == nil; draining = !draining {
			callCtx, done := context.WithTimeout(ctx, writeTimeout)
			marked, err := c.Mark(callCtx, registry.MarkRequest{Hosts: []string{"s-1"}, MarkedBy: "ops", Draining: draining})
			done()
			if err == nil {
				log.add(marked.Seq)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	running.Go(func() { followWatch(ctx, t, target, log) })

	end, err := r.Inject(faultinjection.Fault{Kind: kind, Target: target.ID})
	if err != nil {
		t.Fatal(err)
	}
	var reads sync.WaitGroup
	defer reads.Wait()
	answered := make(chan time.Time, 1)
	poll := func(until time.Time) {
		for time.Now().Before(until) {
			reads.Go(func() {
				if checkRead(ctx, t, target, log) {
					select {
					case answered <- time.Now():
					default:
					}
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
	}
	poll(time.Now().Add(4 * time.Second))
	if err := end(); err != nil {
		t.Fatal(err)
	}
	ended := time.Now()
	for recovered := false; !recovered; {
		poll(time.Now().Add(100 * time.Millisecond))
		select {
		case at := <-answered:
			recovered = at.After(ended)
		default:
		}
		if !recovered && time.Since(ended) > notificationDeadline {
			t.Fatalf("%v after the end of the fault, %s has sent no response marked as current", time.Since(ended), target.ID)
		}
	}
	t.Logf("reads are current again after %v, with %d writes", time.Since(ended).Round(time.Millisecond), log.count())
	if n := log.count(); n < 20 {
		t.Errorf("too little was observed for a verdict: %d writes, want at least 20", n)
	}
	reads.Wait()
}

// checkRead reads the list from a replica once and checks the freshness that the response states. It
// reports whether the response is marked as current.
func checkRead(ctx context.Context, t *testing.T, target registry.ReplicaInfo, log *writeLog) (current bool) {
	sent := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.HTTP+registry.ListPath, nil)
	if err != nil {
		t.Error(err)
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var list struct{ Seq uint64 }
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&list) != nil {
		return false
	}
	header := resp.Header.Get(registry.ReadHeader)
	freshness, ageText, _ := strings.Cut(header, "; age_ms=")
	ageMS, err := strconv.Atoi(ageText)
	age := time.Duration(ageMS) * time.Millisecond
	switch {
	case err != nil:
		t.Errorf("%s: cannot parse the age: %v", header, err)
	case freshness == registry.ReadStale:
		return false
	case age > readBound:
		t.Errorf("%s: marked as current, but the age is above %v", header, readBound)
	}
	if want := log.newestBefore(sent.Add(-age)); list.Seq < want {
		t.Errorf("%s: the list has version %d, but version %d had been acknowledged before that age (the call took %v)", header, list.Seq, want, time.Since(sent))
	}
	return true
}

// followWatch watches the list at a replica, and starts a new watch whenever one ends.
func followWatch(ctx context.Context, t *testing.T, target registry.ReplicaInfo, log *writeLog) {
	for ctx.Err() == nil {
		checkWatch(ctx, t, target, log)
		time.Sleep(10 * time.Millisecond)
	}
}

// checkWatch watches the list at a replica until the watch ends or nothing arrives for watchBound. Each
// line shows that the watch is alive, so every write acknowledged watchBound before it must have arrived.
func checkWatch(ctx context.Context, t *testing.T, target registry.ReplicaInfo, log *writeLog) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchBound, cancel)
	defer silence.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.HTTP+registry.ListPath+"?watch=1", nil)
	if err != nil {
		t.Error(err)
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || strings.HasPrefix(resp.Header.Get(registry.ReadHeader), registry.ReadStale) {
		return
	}
	var seq uint64
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		silence.Reset(watchBound)
		at := time.Now()
		var update struct{ Seq uint64 }
		if json.Unmarshal(lines.Bytes(), &update) == nil {
			seq = update.Seq
		}
		if want := log.newestBefore(at.Add(-watchBound)); seq < want {
			t.Errorf("the watch is alive at version %d, but version %d had been acknowledged more than %v before", seq, want, watchBound)
			return
		}
	}
}
