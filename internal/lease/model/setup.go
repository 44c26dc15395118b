package model

import "time"

// Setup is the size of a world and what may go wrong in it.
type Setup struct {
	Holders int
	Leases  int
	TTL     time.Duration
	Tick    time.Duration // of true time
	EndTime time.Duration // no tick begins at or after it

	MaxInFlight   int // messages on their way at once
	MaxDuplicates int // messages that arrive twice, and acquire calls that are repeated
	MaxLosses     int // messages that are lost
	MaxElections  int // changes of leader
	MaxRestores   int // of an old backup
	MaxRestarts   int // of holders

	// SharedName gives the first two holders one name: the second started later.
	SharedName bool
	// ClockRates are the rates of the processes' clocks in thousandths of true time, the
	// leader's last. If it is empty, all clocks are true.
	ClockRates []int64
}
