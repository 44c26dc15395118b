package server

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"barleywick/internal/registry"
)

// hangLeader makes the leader's disk hang during a write to its log. The channel receives the status of
// the response to the API write that caused it, or 0 if there is no response.
func (g *gatedGroup) hangLeader() (leader registry.ReplicaInfo, since time.Time, answered <-chan int) {
	g.t.Helper()
	leader, _ = g.pickTarget(true)
	if !g.write(leader, "before", eventTimeout) {
		g.t.Fatal("a write failed before the disk hangs")
	}
	body, err := json.Marshal(registry.RegisterRequest{Instance: instance("hung", 1)})
	if err != nil {
		g.t.Fatal(err)
	}
	put, err := http.NewRequest(http.MethodPut, "http://"+leader.HTTP+registry.APIPath+"instances/hung", bytes.NewReader(body))
	if err != nil {
		g.t.Fatal(err)
	}
	g.replicas[leader.ID].Hold(isSync)
	answers := make(chan int, 1)
	go func() {
		response, err := http.DefaultTransport.RoundTrip(put)
		if err != nil {
			answers <- 0 // the replica has exited
			return
		}
		response.Body.Close()
		answers <- response.StatusCode
	}()
	return leader, g.replicas[leader.ID].awaitHeld().At, answers
}

// If a leader's log write hangs, the other replicas elect a leader that can write within a few
// election timeouts. Meanwhile the hung replica serves no linearizable read, and reports no read as
// current that lacks a write acknowledged longer ago than the read's age.
func TestLeaderWithHungDiskIsReplaced(t *testing.T) {
	t.Parallel()
	g := startGatedGroup(t)
	hung, since, _ := g.hangLeader()
	next := g.leaderAmong(g.others(hung.ID))
	if took := time.Since(since); took > electionBound {
		t.Errorf("another replica became leader %v after the disk hung, want %v at most", took, electionBound)
	} else {
		t.Logf("another replica became leader %v after the disk hung", took.Round(time.Millisecond))
	}
	if !g.write(next, "after", electionBound) {
		t.Error("the next leader accepts no write")
	}
	g.checkReadsDuringHang(hung, since, time.Now())
	_, _, text := get(t, "http://"+hung.HTTP+registry.APIPath+"status")
	t.Logf("status of the hung replica %v after the disk hung: %s", time.Since(since).Round(time.Millisecond), text)
	if status, _, text := get(t, "http://"+hung.HTTP+registry.APIPath+"status?linearizable=1"); status == http.StatusOK {
		t.Errorf("a linearizable read: got %d %s, want an error", status, text)
	}
	g.replicas[hung.ID].Release()
	g.checkListed(hung, []string{"before", "after"})
}

// A write that a leader receives when its disk begins to hang gets a response within the write timeout:
// a caller that waits forever cannot try another replica.
func TestLeaderWithHungDiskRespondsToWrites(t *testing.T) {
	t.Parallel()
	g := startGatedGroup(t)
	_, since, answered := g.hangLeader()
	select {
	case status := <-answered:
		if status == http.StatusOK {
			t.Error("the hung leader acknowledged a write")
		}
		t.Logf("got status %d after %v", status, time.Since(since).Round(time.Millisecond))
	case <-time.After(time.Until(since.Add(writeTimeout + time.Second))):
		t.Errorf("a write got no response %v after the disk hung, want one after %v at most", time.Since(since).Round(time.Millisecond), writeTimeout)
	}
}

// A client whose call was redirected to a leader with a hung disk tries the other replicas before its deadline.
func TestWritesSucceedWhileLeaderDiskHangs(t *testing.T) {
	t.Parallel()
	g := startGatedGroup(t)
	hung, since, _ := g.hangLeader()
	g.register(g.others(hung.ID), "after", electionBound)
	t.Logf("the call ended %v after the disk hung", time.Since(since).Round(time.Millisecond))
}

// checkReadsDuringHang reads the list of a replica with a hung disk for 3 s after another replica has
// acknowledged a write, and checks that each read reported as current contains the write unless its age
// allows it to be missing.
func (g *gatedGroup) checkReadsDuringHang(hung registry.ReplicaInfo, hangsSince, acknowledged time.Time) {
	g.t.Helper()
	var lastCurrent time.Time
	for time.Since(acknowledged) < 3*time.Second {
		requestedAt := time.Now()
		_, header, text := get(g.t, "http://"+hung.HTTP+registry.ListPath)
		kind, age, _ := strings.Cut(header.Get(registry.ReadHeader), "; age_ms=")
		if kind != registry.ReadCurrent {
			continue
		}
		lastCurrent = requestedAt
		ms, err := strconv.Atoi(age)
		if err != nil {
			g.t.Fatalf("header %q: %v", header.Get(registry.ReadHeader), err)
		}
		covered := requestedAt.Add(-time.Duration(ms+1) * time.Millisecond)
		if covered.After(acknowledged) && !strings.Contains(text, `"after"`) {
			g.t.Errorf("a read of age %v that is reported as current lacks a write acknowledged %v before it", age, requestedAt.Sub(acknowledged))
			return
		}
	}
	if !lastCurrent.IsZero() {
		g.t.Logf("the last read reported as current: %v after the disk hung", lastCurrent.Sub(hangsSince).Round(time.Millisecond))
	}
}
