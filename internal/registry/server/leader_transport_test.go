package server

import (
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// A replica tells others that it leads only in the term in which it does, and only while
// its disk takes writes: else the others have to be free to elect another.
func TestLeadershipClaim(t *testing.T) {
	const maxDiskCall = 600 * time.Millisecond
	for name, x := range map[string]struct {
		claim leadershipClaim
		want  error
	}{
		"a leader":                       {leadershipClaim{state: raft.Leader, term: 7}, nil},
		"a leader in a write":            {leadershipClaim{state: raft.Leader, term: 7, diskCall: maxDiskCall}, nil},
		"a leader whose disk hangs":      {leadershipClaim{state: raft.Leader, term: 7, diskCall: maxDiskCall + 1}, errDiskHangs},
		"a leader whose term waits":      {leadershipClaim{state: raft.Leader, term: 7, termWaits: true}, errTermWaits},
		"a leader of a later term":       {leadershipClaim{state: raft.Leader, term: 8}, errLeadsNoLonger},
		"a leader that has given way":    {leadershipClaim{state: raft.Follower, term: 7}, errLeadsNoLonger},
		"a leader that has been stopped": {leadershipClaim{state: raft.Shutdown, term: 7}, errLeadsNoLonger},
	} {
		if got := x.claim.check(7, maxDiskCall); !errors.Is(got, x.want) {
			t.Errorf("%s: got %v want %v", name, got, x.want)
		}
	}
}

// The oldest write under way counts, until it has returned.
func TestDiskCalls(t *testing.T) {
	var calls diskCalls
	if got := calls.longest(time.Now()); got != 0 {
		t.Errorf("without a write: got %v want 0", got)
	}
	before := time.Now()
	endOld := calls.note(diskCall{name: "old", log: true})
	endNew := calls.note(diskCall{name: "new", log: true})
	endNew()
	if got := calls.longest(before.Add(time.Hour)); got > time.Hour || got < time.Hour-time.Minute {
		t.Errorf("a write of an hour: got %v", got)
	}
	endOld()
	if got := calls.longest(before.Add(time.Hour)); got != 0 {
		t.Errorf("after the writes: got %v want 0", got)
	}
}
