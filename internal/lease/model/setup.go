package model

import "time"

// Setup is the size of a world.
type Setup struct {
	Holders       int
	Leases        int
	TTL           time.Duration
	Tick          time.Duration // of true time
	MaxInFlight   int           // under way at once
	MaxDuplicates int           // messages that may come twice, and calls for a lease made again
	MaxLosses     int           // messages that may be lost
	MaxElections  int           // changes of leader
	MaxRestores   int
	MaxRestarts   int
	EndTime       time.Duration // no tick after this
	// SharedName gives the first two holders one name: the second started later.
	SharedName bool
	// ClockRates is how fast each process's clock runs, the leader's last, in thousandths;
	// none: all run true.
	ClockRates []int64
}
