package registry

import (
	"sync"
	"time"
)

// FreshnessTracker bounds the age of a replica's reads. The bound is the time at which the
// replica last requested the leader's commit index, counted once the log is applied up to
// that index: every write acknowledged before the request is then in the replica's state.
// Raft heartbeats from a leader confirm nothing, since they carry no entries.
//
// The zero value has no confirmation. The methods may be called concurrently.
type FreshnessTracker struct {
	mu          sync.Mutex
	confirmedAt time.Time
}

// Confirm records that every write acknowledged before askedAt is in the replica's state.
// It reports whether this is the first confirmation.
func (t *FreshnessTracker) Confirm(askedAt time.Time) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first = t.confirmedAt.IsZero()
	if askedAt.After(t.confirmedAt) {
		t.confirmedAt = askedAt
	}
	return first
}

// At returns the freshness of a read at a time, which is ReadCurrent if the last
// confirmation is not older than maxAge and ReadStale otherwise, and the confirmation's
// age, 0 if there is none.
func (t *FreshnessTracker) At(now time.Time, maxAge time.Duration) (freshness string, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmedAt.IsZero() {
		return ReadStale, 0
	}
	age = max(0, now.Sub(t.confirmedAt)) // a confirmation may have arrived since now was read
	if age > maxAge {
		return ReadStale, age
	}
	return ReadCurrent, age
}
