package sidecar

import (
	"container/heap"
	"errors"
	"syscall"
	"time"
)

// A server may answer a request a second time, some milliseconds behind the first answer, and
// nothing on the wire tells that from the answer to the connection's next request. So a connection
// rests after each answer: what comes meanwhile belongs to nobody, and the connection is closed. What
// comes later still is told by answerMemory, once that is sure of it; until then, and where a server
// has sent an excess lately, rests are longer. A long rest costs handshakes: each request that finds
// all connections at rest opens one more.

const (
	// leastRest is how long a connection rests at least.
	leastRest = 10 * time.Millisecond
	// longRest covers a second answer that comes some milliseconds late, and a process or a network
	// that is held up for 0.15 s.
	longRest = 200 * time.Millisecond
	// Long rests are cut short from this part of a limit on connections on, and as short as may be
	// from the other on.
	scarceFrom, scarceFull = 0.5, 0.9
	// suspectFor is how long after an excess connections to its upstream take long rests.
	suspectFor = 30 * time.Second
)

// restHeap holds connections that rest, the one whose rest ends first on top. A connection's place
// is its index and one.
type restHeap []*conn

func (h restHeap) Len() int           { return len(h) }
func (h restHeap) Less(i, j int) bool { return h[i].rested.Before(h[j].rested) }
func (h restHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i+1, j+1
}

// Push is heap.Interface's.
func (h *restHeap) Push(x any) {
	c := x.(*conn)
	*h = append(*h, c)
	c.place = len(*h)
}

// Pop is heap.Interface's.
func (h *restHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	c.place = 0
	return c
}

// remove takes a connection out, if it is there.
func (h *restHeap) remove(c *conn) {
	if c.place > 0 {
		heap.Remove(h, c.place-1)
	}
}

// restLocked lets a connection rest.
func (p *pool) restLocked(c *conn) {
	c.rested = c.idle.Add(p.restOf(c))
	heap.Push(&p.resting, c)
	c.peer.resting.PushBack(&c.inPeer)
	if p.resting[0] == c {
		p.rested.Reset(time.Until(c.rested))
	}
}

// restOf is how long a connection is to rest.
func (p *pool) restOf(c *conn) time.Duration {
	if p.answers.sure() && c.idle.Sub(c.peer.excess) >= suspectFor {
		return leastRest
	}
	used := max(float64(p.open)/float64(max(1, p.limits.Total)), float64(c.peer.open)/float64(max(1, p.limits.PerServer)))
	scarce := min(1, (used-scarceFrom)/(scarceFull-scarceFrom))
	if scarce <= 0 {
		return longRest
	}
	p.count.ShortRest++
	return longRest - time.Duration(scarce*float64(longRest-leastRest))
}

// restedSoon is how many connections to an upstream have rested within a moment: waiting for one
// costs less than a handshake, which is work for the upstream and takes as long.
func (to *peer) restedSoon(now time.Time) (soon int) {
	by := now.Add(leastRest)
	for n := to.resting.Front(); n != nil; n = n.Next() {
		if !n.Value.rested.After(by) {
			soon++
		}
	}
	return soon
}

// endRests takes the connections back into use that have rested.
func (p *pool) endRests() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.resting) > 0 && !p.resting[0].rested.After(now) {
		p.endRestLocked(p.resting[0])
	}
	if len(p.resting) > 0 {
		p.rested.Reset(time.Until(p.resting[0].rested))
	}
	p.unblockLocked()
}

// endRestLocked takes one back, unless it proves to be of no use.
func (p *pool) endRestLocked(c *conn) {
	p.resting.remove(c)
	c.inPeer.Remove()
	switch look(c.Conn) {
	case socketExcess:
		p.excessLocked(c)
		p.closeLocked(c)
	case socketEnded:
		p.count.Stale++
		p.closeLocked(c)
	default:
		p.offerLocked(c)
	}
	p.openLocked(c.peer)
}

// excessLocked takes that something came on a connection that belongs to no request.
func (p *pool) excessLocked(c *conn) {
	p.count.Excess++
	c.peer.excess = time.Now()
}

// sawExcess is excessLocked for who has a connection in use.
func (p *pool) sawExcess(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.excessLocked(c)
}

// isLocal says whether a handshake failed for want of something on this machine: descriptors,
// buffers, ports. That is no word against the upstream, and the request was never sent.
func isLocal(err error) bool {
	for _, local := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN,
	} {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}
