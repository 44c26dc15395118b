package model

// Setup is the size of a world.
type Setup struct {
	Sidecars       int
	MaxProposals   int // proposals
	MaxInFlight    int // under way at once
	MaxLosses      int
	MaxRestarts    int // of sidecars
	MaxLeaves      int // sidecars that end in order
	MaxAborts      int // by an operator
	MaxEvictions   int // of sidecars that are down
	MaxUnsupported int // proposals that one process cannot act by
	MaxTicks       int // of time, of which a change has two
	MaxRestores    int // of an old backup
	Canaries       int // of two proposals, so many go ahead with a part
	Leaders        int // processes that believe they lead the change
}
