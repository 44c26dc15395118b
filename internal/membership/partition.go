package membership

import (
	"time"

	"barleywick/internal/mutation"
)

// PartitionState describes which part of the fleet a process can reach.
type PartitionState struct {
	Present       int           // members that count as running, including this one
	Unreachable   int           // members that no longer answer and have not announced that they leave
	Since         time.Duration // when the first of these became unreachable
	HealingSince  time.Duration // when the first of them returned; 0: none has
	HealingRounds int           // rounds since then
}

// Partitioned reports whether any member is unreachable.
func (p PartitionState) Partitioned() bool { return p.Unreachable > 0 && !mutation.HidePartition }

// Minority reports whether more than half of the fleet is unreachable. This process must then not
// rely on anything that depends on the number of members.
func (p PartitionState) Minority() bool {
	return p.Partitioned() && 2*p.Unreachable > p.Unreachable+p.Present
}

// startHealing records that an unreachable member has returned.
func (p *PartitionState) startHealing(now time.Duration) {
	if p.HealingSince == 0 {
		p.HealingSince, p.HealingRounds = now, 0
	}
}
