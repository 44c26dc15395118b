package server

import (
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// A replica sends messages as leader only in the term in which it leads, and only while its disk
// accepts writes. Otherwise its heartbeats would keep the others from electing another leader.
func TestLeadershipClaim(t *testing.T) {
	const maxDiskCall = 600 * time.Millisecond
	for name, x := range map[string]struct {
		claim leadershipClaim
		want  error
	}{
		"a leader":                     {leadershipClaim{state: raft.Leader, term: 7}, nil},
		"a leader that is writing":     {leadershipClaim{state: raft.Leader, term: 7, diskCall: maxDiskCall}, nil},
		"a leader whose disk hangs":    {leadershipClaim{state: raft.Leader, term: 7, diskCall: maxDiskCall + 1}, errDiskHangs},
		"a leader with a pending term": {leadershipClaim{state: raft.Leader, term: 7, termPending: true}, errTermNotStored},
		"a leader of a later term":     {leadershipClaim{state: raft.Leader, term: 8}, errNotLeaderInTerm},
		"a leader that stepped down":   {leadershipClaim{state: raft.Follower, term: 7}, errNotLeaderInTerm},
		"a leader that is shut down":   {leadershipClaim{state: raft.Shutdown, term: 7}, errNotLeaderInTerm},
	} {
		if got := x.claim.check(7, maxDiskCall); !errors.Is(got, x.want) {
			t.Errorf("%s: got %v want %v", name, got, x.want)
		}
	}
}

// longestLogWrite counts the oldest write in progress until it has returned.
func TestDiskCalls(t *testing.T) {
	var calls diskCalls
	if got := calls.longestLogWrite(time.Now()); got != 0 {
		t.Errorf("without a write: got %v want 0", got)
	}
	before := time.Now()
	endOld := calls.start(diskCall{name: "old", isLogWrite: true})
	endNew := calls.start(diskCall{name: "new", isLogWrite: true})
	endNew()
	if got := calls.longestLogWrite(before.Add(time.Hour)); got > time.Hour || got < time.Hour-time.Minute {
		t.Errorf("with a write that began an hour ago: got %v, want 1h", got)
	}
	endOld()
	if got := calls.longestLogWrite(before.Add(time.Hour)); got != 0 {
		t.Errorf("after all writes have returned: got %v want 0", got)
	}
}
