package registry

import (
	"testing"
	"time"
)

// Reads are current while the latest confirmation is recent enough, in any order
// of arrival of the confirmations.
func TestFreshnessTracker(t *testing.T) {
	const maxAge = 600 * time.Millisecond
	start := time.Unix(1000, 0)
	var tracker FreshnessTracker
	expect := func(now time.Time, wantFreshness string, wantAge time.Duration) {
		t.Helper()
		if freshness, age := tracker.At(now, maxAge); freshness != wantFreshness || age != wantAge {
			t.Errorf("at %v: got %s with age %v, want %s with %v", now.Sub(start), freshness, age, wantFreshness, wantAge)
		}
	}
	expect(start, ReadStale, 0)
	if !tracker.Confirm(start) {
		t.Error("first confirmation: got first = false, want true")
	}
	expect(start.Add(maxAge), ReadCurrent, maxAge)
	expect(start.Add(maxAge+1), ReadStale, maxAge+1)
	if tracker.Confirm(start.Add(time.Second)) {
		t.Error("second confirmation: got first = true, want false")
	}
	tracker.Confirm(start.Add(time.Millisecond)) // a delayed response
	expect(start.Add(time.Second), ReadCurrent, 0)
	expect(start.Add(time.Second-1), ReadCurrent, 0)
}
