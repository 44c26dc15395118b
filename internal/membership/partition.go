package membership

import (
	"time"

	"barleywick/internal/mutation"
)

// PartitionState is how much of the fleet a process reaches.
type PartitionState struct {
	Present       int           // members that count as running, this one among them
	Unreachable   int           // members that no longer answer and did not announce their end
	Since         time.Duration // when the first of these became unreachable
	HealingSince  time.Duration // when the first of them came back; 0: none has
	HealingRounds int           // rounds since then
}

// Partitioned reports whether a member is unreachable.
func (p PartitionState) Partitioned() bool { return p.Unreachable > 0 && !mutation.HidePartition }

// Minority reports whether more than half of the fleet is unreachable: what depends on the
// number of members must not be relied on here.
func (p PartitionState) Minority() bool {
	return p.Partitioned() && 2*p.Unreachable > p.Unreachable+p.Present
}

// startHealing records that an unreachable member has come back.
func (p *PartitionState) startHealing(now time.Duration) {
	if p.HealingSince == 0 {
		p.HealingSince, p.HealingRounds = now, 0
	}
}
