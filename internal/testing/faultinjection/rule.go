package faultinjection

import "time"

// Impairment describes how one direction of a link impairs bytes or datagrams.
type Impairment struct {
	// Blocked lets nothing through, and neither side notices it. Bytes of a connection arrive once the
	// direction is unblocked; datagrams are lost.
	Blocked        bool
	Delay          time.Duration // of each chunk or datagram
	Jitter         time.Duration // bound of the random addition to the delay
	BytesPerSecond int           // 0: no limit

	// The rates are fractions of the datagrams. They do not apply to TCP connections.
	LossRate      float64
	DuplicateRate float64
	ReorderRate   float64 // of datagrams that are delayed so that later ones overtake them
}

// LinkRule has the impairments of both directions of a link.
type LinkRule struct {
	ToTarget, FromTarget Impairment
	RefuseConnections    bool // open connections are reset, new ones when they are accepted
}

// direction is one of the two directions of a link.
type direction int

const (
	toTarget direction = iota
	fromTarget
)

func (r LinkRule) impairment(d direction) Impairment {
	if d == fromTarget {
		return r.FromTarget
	}
	return r.ToTarget
}
