package faultinjection

import "time"

// Impairment is what happens to the bytes or datagrams that go over a link in one direction.
type Impairment struct {
	// Blocked lets nothing through, without any sign of it. Bytes of a connection arrive
	// when it ends; datagrams are lost.
	Blocked        bool
	Delay          time.Duration // of each chunk or datagram
	Jitter         time.Duration // up to as much is added to the delay
	BytesPerSecond int           // 0: no limit

	// The rates are fractions of the datagrams. They do not apply to connections.
	LossRate      float64
	DuplicateRate float64
	ReorderRate   float64 // of those that others overtake
}

// LinkRule is what happens on a link.
type LinkRule struct {
	ToTarget, FromTarget Impairment
	RefuseConnections    bool // connections are reset, new ones as they are accepted
}

// direction is one of the two of a link.
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
