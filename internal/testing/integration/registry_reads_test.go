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
	// readBound is what docs/REGISTRY.md allows a response that says current to be behind:
	// three election timeouts of the rig's replicas.
	readBound = 3 * 200 * time.Millisecond
	// watchBound is the time after which watchers give up a watch on which nothing arrives
	// (watchTimeout of internal/registry/client). A watch that goes on must not be further behind.
	watchBound = 3 * time.Second
	// writeTimeout is how long the test waits for one write: a replica that is stopped
	// answers none.
	writeTimeout = 500 * time.Millisecond
	// toldBound is when every change counts as told to the sidecars by the protocol.
	toldBound = 6 * time.Second
)

// What happens: a replica's disk is full, and it cannot store what the leader sends. It
// goes on answering "Registry-Read: current; age_ms=4" with the list as it was before a
// drain mark, and its open watches get heartbeats and no mark, so that their sidecars send
// to a server that drains. Why: a replica called its reads current by its last contact with
// the leader. Heartbeats of Raft are contact, and carry no entries: they arrive while
// appends fail, wait in the leader's backoff, are late, or while the replica's own answers
// are lost. A leader that was stopped called its reads current by its own belief that it
// leads, without asking anybody. What showed it: the replica logged `failed to append to
// logs` once, and 6 s later its reads had an age of 4 ms with the version before the mark.
//
// So every response is held to its own words. Whatever was acknowledged before the call was
// sent, less the age that the response states, has to be in it, unless it says stale; and
// no response may say current with an age above the bound.
func TestReadsAreAsFreshAsTheySay(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
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

// startReplicas runs the rig's three replicas alone, and waits until all are ready.
func startReplicas(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t}
	r.begin(1)
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

// acknowledgedWrite is a write that was acknowledged to its caller.
type acknowledgedWrite struct {
	seq uint64
	at  time.Time
}

// writeLog holds the acknowledged writes, in their order.
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

// newestBefore returns the version that was acknowledged last before a time.
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

// checkReadsDuring sets and clears a drain mark over and over while a replica has a fault,
// and holds what the replica answers meanwhile and afterwards to its own words.
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
			call, done := context.WithTimeout(ctx, writeTimeout)
			marked, err := c.Mark(call, registry.MarkRequest{Hosts: []string{"s-1"}, MarkedBy: "ops", Draining: draining})
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
		if !recovered && time.Since(ended) > toldBound {
			t.Fatalf("%v after the fault no response of %s is current", time.Since(ended), target.ID)
		}
	}
	t.Logf("current again after %v, %d writes", time.Since(ended).Round(time.Millisecond), log.count())
	if n := log.count(); n < 20 {
		t.Errorf("too little was seen: %d writes, 20 at least are wanted", n)
	}
	reads.Wait()
}

// checkRead reads the list from a replica once and holds the response to its own words. It
// reports whether the response is called current.
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
		t.Errorf("%s: the age cannot be read: %v", header, err)
	case freshness == registry.ReadStale:
		return false
	case age > readBound:
		t.Errorf("%s: called current with an age over %v", header, readBound)
	}
	if want := log.newestBefore(sent.Add(-age)); list.Seq < want {
		t.Errorf("%s: the list is at %d, and %d was acknowledged before that age (the call took %v)", header, list.Seq, want, time.Since(sent))
	}
	return true
}

// followWatch watches the list at a replica, again whenever the watch ends.
func followWatch(ctx context.Context, t *testing.T, target registry.ReplicaInfo, log *writeLog) {
	for ctx.Err() == nil {
		checkWatch(ctx, t, target, log)
		time.Sleep(10 * time.Millisecond)
	}
}

// checkWatch watches the list at a replica until the watch ends or nothing arrives any
// more. Each line says that the watch is alive, so all that was acknowledged watchBound ago
// has to have come.
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
			t.Errorf("the watch goes on at %d, and %d was acknowledged over %v before", seq, want, watchBound)
			return
		}
	}
}
