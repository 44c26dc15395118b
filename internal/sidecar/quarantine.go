package sidecar

import (
	"container/heap"
	"time"
)

// A server may answer a request a second time, some milliseconds behind the first answer, and
// nothing on the wire tells that from the answer to the connection's next request. So a connection
// rests after each answer: what comes meanwhile belongs to nobody, and the connection is closed. What
// comes later still is told by answerMemory, once that is sure of it; until then, and where a server
// has sent an excess lately, rests are longer. A long rest costs handshakes: each request that finds
// all connections at rest opens one more.

const (
	// minQuarantine is how long a connection rests at least.
	minQuarantine = 10 * time.Millisecond
	// maxQuarantine covers a second answer that comes some milliseconds late, and a process or a network
	// that is held up for 0.15 s.
	maxQuarantine = 200 * time.Millisecond
	// Long rests are cut short from this part of a limit on connections on, and as short as may be
	// from the other on.
	shortenFrom, shortenFull = 0.5, 0.9
	// surplusSuspicion is how long after an excess connections to its upstream take long rests.
	surplusSuspicion = 30 * time.Second
)

// quarantineHeap holds connections that rest, the one whose rest ends first on top. A connection's place
// is its index and one.
type quarantineHeap []*upstreamConn

func (h quarantineHeap) Len() int           { return len(h) }
func (h quarantineHeap) Less(i, j int) bool { return h[i].releaseAt.Before(h[j].releaseAt) }
func (h quarantineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i+1, j+1
}

// Push is heap.Interface's.
func (h *quarantineHeap) Push(x any) {
	c := x.(*upstreamConn)
	*h = append(*h, c)
	c.heapIndex = len(*h)
}

// Pop is heap.Interface's.
func (h *quarantineHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	c.heapIndex = 0
	return c
}

// remove takes a connection out, if it is there.
func (h *quarantineHeap) remove(c *upstreamConn) {
	if c.heapIndex > 0 {
		heap.Remove(h, c.heapIndex-1)
	}
}

// quarantineLocked lets a connection rest.
func (p *pool) quarantineLocked(c *upstreamConn) {
	c.releaseAt = c.idleSince.Add(p.quarantineTime(c))
	heap.Push(&p.quarantined, c)
	c.server.quarantined.PushBack(&c.inServer)
	if p.quarantined[0] == c {
		p.quarantineTimer.Reset(time.Until(c.releaseAt))
	}
}

// quarantineTime is how long a connection is to rest.
func (p *pool) quarantineTime(c *upstreamConn) time.Duration {
	if p.duplicates.conclusive() && c.idleSince.Sub(c.server.surplusAt) >= surplusSuspicion {
		return minQuarantine
	}
	used := max(float64(p.open)/float64(max(1, p.limits.Total)), float64(c.server.open)/float64(max(1, p.limits.PerServer)))
	scarce := min(1, (used-shortenFrom)/(shortenFull-shortenFrom))
	if scarce <= 0 {
		return maxQuarantine
	}
	p.count.ShortRest++
	return maxQuarantine - time.Duration(scarce*float64(maxQuarantine-minQuarantine))
}

// releasedSoon is how many connections to an upstream have rested within a moment: waiting for one
// costs less than a handshake, which is work for the upstream and takes as long.
func (to *upstreamServer) releasedSoon(now time.Time) (soon int) {
	by := now.Add(minQuarantine)
	for n := to.quarantined.Front(); n != nil; n = n.Next() {
		if !n.Value.releaseAt.After(by) {
			soon++
		}
	}
	return soon
}

// endQuarantines takes the connections back into use that have rested.
func (p *pool) endQuarantines() {
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

// endQuarantineLocked takes one back, unless it proves to be of no use.
func (p *pool) endQuarantineLocked(c *upstreamConn) {
	p.quarantined.remove(c)
	c.inServer.Remove()
	switch probeIdle(c.Conn) {
	case socketReadable:
		p.noteSurplusLocked(c)
		p.closeLocked(c)
	case socketClosed:
		p.count.Stale++
		p.closeLocked(c)
	default:
		p.offerLocked(c)
	}
	p.startDialsLocked(c.server)
}

// noteSurplusLocked takes that something came on a connection that belongs to no request.
func (p *pool) noteSurplusLocked(c *upstreamConn) {
	p.count.Excess++
	c.server.surplusAt = time.Now()
}

// noteSurplus is excessLocked for who has a connection in use.
func (p *pool) noteSurplus(c *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteSurplusLocked(c)
}
