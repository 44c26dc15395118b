package model

// Setup is the size of a world and what may go wrong in it.
type Setup struct {
	Sidecars int
	Leaders  int // processes that believe that they lead the change
	Canaries int // of two proposals, how many have canaries

	MaxInFlight    int // messages on their way at once
	MaxProposals   int // that all sidecars support
	MaxUnsupported int // proposals that one sidecar does not support
	MaxLosses      int // messages that are lost
	MaxRestarts    int // crashes of sidecars
	MaxLeaves      int // sidecars that leave the roster and end
	MaxAborts      int // by an operator
	MaxEvictions   int // of sidecars that are down
	MaxTicks       int // of time, of which a change has two
	MaxRestores    int // of an old backup
}
