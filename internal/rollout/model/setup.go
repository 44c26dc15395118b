package model

// Setup is the size of a world and the limits of the faults in it.
type Setup struct {
	Sidecars int
	Leaders  int // processes that believe that they lead the change
	Canaries int // the number of proposals out of two that have canaries

	MaxInFlight    int // messages in flight at once
	MaxProposals   int // proposals that all sidecars support
	MaxUnsupported int // proposals that one sidecar does not support
	MaxLosses      int // messages that are lost
	MaxRestarts    int // crashes of sidecars
	MaxLeaves      int // sidecars that leave the roster and end
	MaxAborts      int // aborts by an operator
	MaxEvictions   int // evictions of sidecars that are down
	MaxTicks       int // ticks of time; a change times out after two
	MaxRestores    int // restores of an old backup
}
