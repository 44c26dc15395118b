package model

import "time"

// Setup is the size of a world and the limits of the faults in it.
type Setup struct {
	Holders int
	Leases  int
	TTL     time.Duration
	Tick    time.Duration // of true time
	EndTime time.Duration // no tick begins at or after it

	MaxInFlight   int // messages in flight at once
	MaxDuplicates int // duplicated messages and repeated acquire calls
	MaxLosses     int // messages that are lost
	MaxElections  int // changes of leader
	MaxRestores   int // of an old backup
	MaxRestarts   int // of holders

	// SharedName gives the first two holders the same name; the second has the later incarnation.
	SharedName bool
	// ClockRates are the rates of the processes' clocks in thousandths of true time, the
	// leader's last. If it is empty, all clocks run at the rate of true time.
	ClockRates []int64
}
