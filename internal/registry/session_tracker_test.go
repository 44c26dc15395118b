package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestSessionTracker(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	entries := func(n int) []Registration {
		var all []Registration
		for i := range n {
			all = append(all, Registration{Instance: *newInstance(fmt.Sprint(i)), Session: "x", TTLMS: 1000})
		}
		return append(all, Registration{Instance: *newInstance("for ever")})
	}
	const floor = 0.6
	s := NewSessionTracker(floor, time.Minute)
	s.Sync(entries(10), begin)
	renew := func(from, to int, at time.Time) {
		for i := from; i < to; i++ {
			if !s.Renew(fmt.Sprint(i), "x", at) {
				t.Errorf("session %d is not tracked", i)
			}
		}
	}
	if s.Renew("0", "another", begin) || s.Renew("for ever", "", begin) || s.Renew("nobody", "x", begin) {
		t.Error("unknown session: got a renewal, want none")
	}
	at := begin.Add(900 * time.Millisecond)
	renew(3, 10, at)
	if ended, held, _ := s.Expired(at); len(ended) != 0 || held {
		t.Errorf("before the time to live is over: got %v, held %v, want none", ended, held)
	}
	at = begin.Add(time.Second)
	ended, held, _ := s.Expired(at)
	if !slices.Equal(ended, []SessionRef{{"0", "x"}, {"1", "x"}, {"2", "x"}}) || held {
		t.Errorf("got %v, held %v, want the three that were not renewed", ended, held)
	}
	s.Sync(entries(10)[3:], at) // the expired ones are removed
	// Two more at once would leave 5 of 10 sessions, which is below the floor.
	renew(3, 8, at.Add(500*time.Millisecond))
	at = begin.Add(1900 * time.Millisecond)
	if ended, held, changed := s.Expired(at); len(ended) != 0 || !held || !changed {
		t.Errorf("below the floor: got %v, held %v, changed %v, want expiry held", ended, held, changed)
	}
	if _, held, changed := s.Expired(at); !held || changed {
		t.Errorf("still below the floor: got held %v, changed %v, want held, unchanged", held, changed)
	}
	renew(8, 9, at)
	if ended, held, changed := s.Expired(at); len(ended) != 1 || held || !changed {
		t.Errorf("one was renewed: got %v, held %v, changed %v, want one expired", ended, held, changed)
	}
	// Peaks outside the window do not count, but a long time in which no session is renewed
	// does not end the hold.
	later := at.Add(2 * time.Minute)
	if ended, held, _ := s.Expired(later); len(ended) != 0 || !held {
		t.Errorf("none renewed: got %v, held %v, want expiry held", ended, held)
	}
	renew(3, 9, later)
	if ended, held, _ := s.Expired(later); len(ended) != 1 || held {
		t.Errorf("all but one renewed: got %v, held %v, want that one", ended, held)
	}
	// A new leader's tracker gives each session its full time to live.
	fresh := NewSessionTracker(floor, time.Minute)
	fresh.Sync(entries(10), later)
	if ended, _, _ := fresh.Expired(later.Add(999 * time.Millisecond)); len(ended) != 0 {
		t.Errorf("new leader: got %v before their time was over, want none", ended)
	}
}
