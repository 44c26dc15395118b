package upstream

import (
	"container/heap"
	"time"

	"barleywick/internal/sidecar/socket"
)

// A server may send a second response to a request some milliseconds after the first, and nothing in
// it tells that it does not answer the connection's next request. Therefore a connection is quarantined
// after each response: if something arrives meanwhile, it is a surplus response, and the connection is
// closed. A duplicate that arrives later is found by duplicateDetector, once that is conclusive. Until
// then, and after a surplus response from the same server, quarantines are longer. A long quarantine
// costs handshakes: each request that finds all connections quarantined needs one more.

const (
	// minQuarantine is the shortest quarantine.
	minQuarantine = 10 * time.Millisecond
	// MaxQuarantine covers a second response that is some milliseconds late, and a process or a network
	// that is stalled for 0.15 s.
	MaxQuarantine = 200 * time.Millisecond
	// A long quarantine is shortened when more than shortenFrom of a limit on connections is used, and
	// shortened to minQuarantine from shortenFull on.
	shortenFrom, shortenFull = 0.5, 0.9
	// surplusSuspicion is how long quarantines are long for a server after a surplus response.
	surplusSuspicion = 30 * time.Second
)

// quarantineHeap is a heap of the quarantined connections, the one to be released first on top. A
// connection's heapIndex is its index plus one.
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

// quarantineLocked begins the quarantine of a connection.
func (p *Pool) quarantineLocked(c *Conn) {
	c.releaseAt = c.idleSince.Add(p.quarantineTime(c))
	heap.Push(&p.quarantined, c)
	c.server.quarantined.PushBack(&c.inServer)
	if p.quarantined[0] == c {
		p.quarantineTimer.Reset(time.Until(c.releaseAt))
	}
}

// quarantineTime returns how long a connection is quarantined.
func (p *Pool) quarantineTime(c *Conn) time.Duration {
	if p.duplicates.conclusive() && c.idleSince.Sub(c.server.surplusAt) >= surplusSuspicion {
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

// releasedSoon returns how many of a server's connections leave quarantine within minQuarantine: to
// wait for one costs less than a handshake, which takes as long and is work for the server.
func (s *Server) releasedSoon(now time.Time) (soon int) {
	limit := now.Add(minQuarantine)
	for n := s.quarantined.Front(); n != nil; n = n.Next() {
		if !n.Value.releaseAt.After(limit) {
			soon++
		}
	}
	return soon
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

// endQuarantineLocked offers a quarantined connection for use, or closes it if it proves unusable.
func (p *Pool) endQuarantineLocked(c *Conn) {
	p.quarantined.remove(c)
	c.inServer.Remove()
	switch socket.Probe(c.Conn) {
	case socket.Readable:
		p.noteSurplusLocked(c)
		p.closeLocked(c)
	case socket.Closed:
		p.count.Stale++
		p.closeLocked(c)
	default:
		p.offerLocked(c)
	}
	p.startDialsLocked(c.server)
}

// noteSurplus records that bytes arrived on a connection that belong to no request.
func (p *Pool) noteSurplus(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteSurplusLocked(c)
}

func (p *Pool) noteSurplusLocked(c *Conn) {
	p.count.SurplusResponses++
	c.server.surplusAt = time.Now()
}
