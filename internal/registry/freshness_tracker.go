package registry

import (
	"sync"
	"time"
)

// FreshnessTracker holds the evidence for how old a replica's reads may be. Evidence is a
// moment at which the replica asked the leader for its commit index, once it has applied
// the log up to that index: all that was acknowledged before that moment is in its state.
// That a leader was heard of is no evidence, since heartbeats carry no entries.
//
// The zero value has no evidence. The methods may be called concurrently.
type FreshnessTracker struct {
	mu          sync.Mutex
	confirmedAt time.Time
}

// Confirm records that all that was acknowledged before asked is in the replica's state.
// It reports whether this is the first evidence.
func (t *FreshnessTracker) Confirm(asked time.Time) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first = t.confirmedAt.IsZero()
	if asked.After(t.confirmedAt) {
		t.confirmedAt = asked
	}
	return first
}

// At returns how fresh a read at a time is: ReadCurrent if the evidence is not older than
// maxAge, and ReadStale otherwise; and the age of the evidence, 0 if there is none.
func (t *FreshnessTracker) At(now time.Time, maxAge time.Duration) (freshness string, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmedAt.IsZero() {
		return ReadStale, 0
	}
	age = max(0, now.Sub(t.confirmedAt)) // evidence may have come since now was read
	if age > maxAge {
		return ReadStale, age
	}
	return ReadCurrent, age
}
