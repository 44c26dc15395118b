package upstream

import (
	"container/heap"
	"time"

	"barleywick/internal/socket"
)

// A server may send a second response to a request some milliseconds after the first, and it cannot be
// distinguished from the response to the connection's next request. Therefore a connection is quarantined
// after each response: data that arrives during the quarantine is a surplus response, and the connection
// is closed. A duplicate that arrives later is found by duplicateDetector, once canDetect holds. Until
// then, and after a surplus response from the same server, quarantines are longer. A long quarantine
// costs handshakes, as a request that finds all connections quarantined needs a new one.

const (
	// minQuarantine is the shortest quarantine.
	minQuarantine = 10 * time.Millisecond
	// MaxQuarantine covers a second response that is some milliseconds late, plus a stall of a process or
	// the network of 0.15 s.
	MaxQuarantine = 200 * time.Millisecond
	// Long quarantines are shortened when more than the fraction shortenFrom of a limit on connections is
	// used, down to minQuarantine at shortenFull.
	shortenFrom, shortenFull = 0.5, 0.9
	// longQuarantinePeriod is how long after a surplus response its server's quarantines are long.
	longQuarantinePeriod = 30 * time.Second
)

// quarantineHeap is a min-heap of the quarantined connections, ordered by releaseAt. A connection's
// heapIndex is its index in the heap plus one.
type quarantineHeap []*Conn

// Len implements heap.Interface.
func (h quarantineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h quarantineHeap) Less(i, j int) bool { return h[i].releaseAt.Before(h[j].releaseAt) }

// Swap implements heap.Interface.
func (h quarantineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i+1, j+1
}

// Push implements heap.Interface.
func (h *quarantineHeap) Push(x any) {
	c := x.(*Conn)
	*h = append(*h, c)
	c.heapIndex = len(*h)
}

// Pop implements heap.Interface.
func (h *quarantineHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	c.heapIndex = 0
	return c
}

// remove removes a connection if it is in the heap.
func (h *quarantineHeap) remove(c *Conn) {
	if c.heapIndex > 0 {
		heap.Remove(h, c.heapIndex-1)
	}
}

// quarantineLocked starts the quarantine of a connection.
func (p *Pool) quarantineLocked(c *Conn) {
	c.releaseAt = c.idleSince.Add(p.quarantineTime(c))
	heap.Push(&p.quarantined, c)
	c.server.quarantined.PushBack(&c.inServer)
	if p.quarantined[0] == c {
		p.quarantineTimer.Reset(time.Until(c.releaseAt))
	}
}

// quarantineTime returns the length of a connection's quarantine.
func (p *Pool) quarantineTime(c *Conn) time.Duration {
	if p.duplicates.canDetect() && c.idleSince.Sub(c.server.surplusAt) >= longQuarantinePeriod {
		return minQuarantine
	}
	usedInTotal := float64(p.open) / float64(max(1, p.limits.Total))
	usedByServer := float64(c.server.open) / float64(max(1, p.limits.PerServer))
	scarcity := min(1, (max(usedInTotal, usedByServer)-shortenFrom)/(shortenFull-shortenFrom))
	if scarcity <= 0 {
		return MaxQuarantine
	}
	p.count.ShortQuarantines++
	return MaxQuarantine - time.Duration(scarcity*float64(MaxQuarantine-minQuarantine))
}

// releasedSoon returns how many of a server's connections leave quarantine within minQuarantine. Waiting
// for one is cheaper than a handshake, which takes as long and costs the server work.
func (s *Server) releasedSoon(now time.Time) (count int) {
	limit := now.Add(minQuarantine)
	for n := s.quarantined.Front(); n != nil; n = n.Next() {
		if !n.Value.releaseAt.After(limit) {
			count++
		}
	}
	return count
}

// endQuarantines releases the connections whose quarantine has ended.
func (p *Pool) endQuarantines() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.quarantined) > 0 && !p.quarantined[0].releaseAt.After(now) {
		p.endQuarantineLocked(p.quarantined[0])
	}
	if len(p.quarantined) > 0 {
		p.quarantineTimer.Reset(time.Until(p.quarantined[0].releaseAt))
	}
	p.resumeBlockedLocked()
}

// endQuarantineLocked makes a quarantined connection available, or closes it if it is unusable.
func (p *Pool) endQuarantineLocked(c *Conn) {
	p.quarantined.remove(c)
	c.inServer.Remove()
	switch socket.Probe(c.Conn) {
	case socket.Readable:
		p.recordSurplusLocked(c)
		p.closeLocked(c)
	case socket.Closed:
		p.count.Stale++
		p.closeLocked(c)
	default:
		p.offerLocked(c)
	}
	p.startDialsLocked(c.server)
}

// recordSurplus records that bytes arrived on a connection that are not part of the response to a request.
func (p *Pool) recordSurplus(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordSurplusLocked(c)
}

func (p *Pool) recordSurplusLocked(c *Conn) {
	p.count.SurplusResponses++
	c.server.surplusAt = time.Now()
}
