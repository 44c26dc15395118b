package faultinjection

import "time"

// Impairment is what happens to what goes over a link in one direction.
type Impairment struct {
	Blocked        bool          // nothing comes through, and nothing is said; it comes later if the cut ends
	Delay          time.Duration // each piece comes so much later
	Jitter         time.Duration // and up to as much again
	BytesPerSecond int           // bytes a second; 0: as fast as it goes
	// Of datagrams alone: the parts that are lost, come twice, and are overtaken.
	LossRate, DuplicateRate, ReorderRate float64
}

// LinkRule is what happens on a link.
type LinkRule struct {
	ToTarget, FromTarget Impairment
	RefuseConnections    bool // connections are closed as they come
}
