package gossip

// Stats are what a member has done and seen since its start.
type Stats struct {
	PacketsSent, BytesSent, Streams, RefusedStreams               uint64 // sent; connections that found no place
	Suspicions, Unreachable, Notes, MalformedMessages, HealRounds uint64
	Watched                                                       int
}

// Stats tells them.
func (n *Node) Stats() Stats {
	c := Stats{
		PacketsSent: n.traffic.packets.Load(), BytesSent: n.traffic.bytes.Load(), Streams: n.traffic.streams.Load(), RefusedStreams: n.traffic.refused.Load(),
		Suspicions: n.suspicions.Load(), Unreachable: n.unreachableSeen.Load(), Notes: n.notes.Load(), MalformedMessages: n.malformed.Load(), HealRounds: n.healRounds.Load(),
	}
	if n.processes != nil {
		c.Watched = n.processes.watched()
	}
	return c
}
