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

// hangLeader has the leader's disk hang in a write of its log. The channel receives the status of the
// answer to the write that was sent to it, 0 if there is none.
func (g *gatedGroup) hangLeader() (leader registry.ReplicaInfo, since time.Time, answered <-chan int) {
	g.t.Helper()
	leader, _ = g.pickTarget(true)
	if !g.write(leader, "before", patience) {
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
			answers <- 0 // the replica has ended
			return
		}
		response.Body.Close()
		answers <- response.StatusCode
	}()
	return leader, g.replicas[leader.ID].awaitHeld().At, answers
}

// A leader whose log write hangs gives way: the others elect one that can write within a few
// election timeouts. Meanwhile it does not pass for the leader of a linearizable read, and calls no
// read current that lacks what was acknowledged before the read's age.
func TestLeaderWhoseDiskHangsGivesWay(t *testing.T) {
	t.Parallel()
	g := startGatedGroup(t)
	hung, since, _ := g.hangLeader()
	next := g.leaderAmong(g.others(hung.ID))
	if took := time.Since(since); took > electionBound {
		t.Errorf("another replica leads %v after the disk hung, want %v at most", took, electionBound)
	} else {
		t.Logf("another replica leads %v after the disk hung", took.Round(time.Millisecond))
	}
	if !g.write(next, "after", electionBound) {
		t.Error("the next leader takes no write")
	}
	g.checkHungReads(hung, since, time.Now())
	_, _, text := get(t, "http://"+hung.HTTP+registry.APIPath+"status")
	t.Logf("its status %v after the disk hung: %s", time.Since(since).Round(time.Millisecond), text)
	if status, _, text := get(t, "http://"+hung.HTTP+registry.APIPath+"status?linearizable=1"); status == http.StatusOK {
		t.Errorf("a linearizable read: got %d %s", status, text)
	}
	g.replicas[hung.ID].Release()
	g.checkListed(hung, []string{"before", "after"})
}

// A write that a leader has taken as its disk began to hang is answered within the time of a write:
// a caller that waits for ever cannot try another replica.
func TestHungLeaderAnswersWrites(t *testing.T) {
	t.Parallel()
	g := startGatedGroup(t)
	_, since, answered := g.hangLeader()
	select {
	case status := <-answered:
		if status == http.StatusOK {
			t.Error("the hung leader acknowledged a write")
		}
		t.Logf("answered with %d after %v", status, time.Since(since).Round(time.Millisecond))
	case <-time.After(time.Until(since.Add(writeTimeout + time.Second))):
		t.Errorf("a write is not answered %v after the disk hung, want %v at most", time.Since(since).Round(time.Millisecond), writeTimeout)
	}
}

// A client whose call was sent on to a leader whose disk hangs tries the others in time.
func TestWritesGoOnWhileTheLeadersDiskHangs(t *testing.T) {
	t.Parallel()
	g := startGatedGroup(t)
	hung, since, _ := g.hangLeader()
	g.register(g.others(hung.ID), "after", electionBound)
	t.Logf("the call ended %v after the disk hung", time.Since(since).Round(time.Millisecond))
}

// checkHungReads reads the list of a replica whose disk hangs for a time after another replica has
// acknowledged a write, and checks that no read is called current that lacks it.
func (g *gatedGroup) checkHungReads(hung registry.ReplicaInfo, hangsSince, acknowledged time.Time) {
	g.t.Helper()
	var lastCurrent time.Time
	for time.Since(acknowledged) < 3*time.Second {
		asked := time.Now()
		_, header, text := get(g.t, "http://"+hung.HTTP+registry.ListPath)
		kind, age, _ := strings.Cut(header.Get(registry.ReadHeader), "; age_ms=")
		if kind != registry.ReadCurrent {
			continue
		}
		lastCurrent = asked
		ms, err := strconv.Atoi(age)
		if err != nil {
			g.t.Fatalf("header %q: %v", header.Get(registry.ReadHeader), err)
		}
		covered := asked.Add(-time.Duration(ms+1) * time.Millisecond)
		if covered.After(acknowledged) && !strings.Contains(text, `"after"`) {
			g.t.Errorf("a read of age %v that is called current lacks a write acknowledged %v before it", age, asked.Sub(acknowledged))
			return
		}
	}
	if !lastCurrent.IsZero() {
		g.t.Logf("the last read called current: %v after the disk hung", lastCurrent.Sub(hangsSince).Round(time.Millisecond))
	}
}
