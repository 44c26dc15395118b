package gossip

import "sync/atomic"

// counters count a node's events since its start.
type counters struct {
	suspicions, unreachable, malformed atomic.Uint64
	healRounds                         atomic.Uint64 // of the last partition that has healed
}

// Stats are counts since a node's start.
type Stats struct {
	PacketsSent       uint64
	BytesSent         uint64
	RefusedStreams    uint64 // connections beyond the limit
	Suspicions        uint64 // probes that were not answered
	Unreachable       uint64 // members that became unreachable
	MalformedMessages uint64
	HealRounds        uint64 // rounds that the last partition took to heal; 0: none has healed
}

// Stats returns the counts since the node's start.
func (n *Node) Stats() Stats {
	return Stats{
		PacketsSent:       n.traffic.packets.Load(),
		BytesSent:         n.traffic.bytes.Load(),
		RefusedStreams:    n.traffic.refused.Load(),
		Suspicions:        n.counters.suspicions.Load(),
		Unreachable:       n.counters.unreachable.Load(),
		MalformedMessages: n.counters.malformed.Load(),
		HealRounds:        n.counters.healRounds.Load(),
	}
}
