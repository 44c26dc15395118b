package faultinjection

import (
	"fmt"
	"testing"
	"time"

	"barleywick/internal/testing/fixture"
)

// The schedules in testdata/396a775 were drawn and written by that version. The current version has to
// draw the same schedule from a plan and a seed, and to parse the text as the same faults.
func TestSchedulesOfEarlierVersion(t *testing.T) {
	for name, plan := range map[string]Plan{
		"all": {
			Targets: []string{"r0", "r1", "r2", "k0", "k1"}, Count: 40, MeanInterval: time.Second, MinDuration: time.Second, MaxDuration: 5 * time.Second,
			MaxConcurrent: 3, QuorumGroup: []string{"r0", "r1", "r2"}, MaxQuorumFaults: 1,
		},
		"some": {
			Targets: []string{"r0", "k0", "n0"}, Kinds: []FaultKind{Partition, DelayThenPartition, DiskFull, Crash}, Count: 20,
			MeanInterval: 300 * time.Millisecond, MinDuration: 200 * time.Millisecond, MaxDuration: time.Second, MaxConcurrent: 2,
		},
	} {
		for _, seed := range []uint64{7, 8} {
			text := fixture.ReadString(t, fmt.Sprintf("schedule_%s_%d.txt", name, seed))
			if got := plan.Draw(seed).String(); got != text {
				t.Errorf("plan %s, seed %d: got %s, want %s", name, seed, got, text)
			}
			if got, err := ParseSchedule(text); err != nil || got.String() != text {
				t.Errorf("plan %s, seed %d: read as %v (%v), want %s", name, seed, got, err, text)
			}
		}
	}
}
