package membership

import (
	"barleywick/internal/mutation"
	"time"
)

// PartitionState is the part of the fleet that this process sees, where it does not see all.
type PartitionState struct {
	Present       int           // members here, this one among them
	Unreachable   int           // members that fell silent and said no goodbye
	Since         time.Duration // when the first of these was lost
	HealingSince  time.Duration // when the first of them came back; 0: none has
	HealingRounds int           // looks since then
}

// Partitioned says whether somebody is missing.
func (s PartitionState) Partitioned() bool { return s.Unreachable > 0 && !mutation.SilentPartition }

// Minority says that more than half of the fleet was lost: whatever rests on numbers is
// not to be relied on here.
func (s PartitionState) Minority() bool {
	return s.Partitioned() && 2*s.Unreachable > s.Unreachable+s.Present
}
