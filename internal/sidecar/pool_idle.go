package sidecar

import (
	"time"

	"barleywick/internal/queue"
)

// evictLocked closes the connection that has been idle longest, or else one that rests.
func (p *pool) evictLocked() bool {
	var c *upstreamConn
	if n := p.idle.Front(); n != nil {
		c = n.Value
	} else if len(p.quarantined) > 0 {
		c = p.quarantined[0]
	} else {
		return false
	}
	p.count.Evicted++
	p.closeLocked(c)
	return true
}

// sweep closes the idle connections that are too old or not needed, that the peer
// has closed, or on which something came that belongs to no request.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var next *queue.Node[*upstreamConn]
	for n := p.idle.Front(); n != nil; n = next {
		next = n.Next()
		switch c := n.Value; {
		case now.Sub(c.idleSince) >= c.idleLimit:
			p.count.Expired++
			p.closeLocked(c)
		case p.isStaleLocked(c):
			p.closeLocked(c)
		case now.Sub(c.idleSince) >= 2*demandWindow && c.server.open-c.server.dialing > c.server.needed(now):
			p.count.Unneeded++
			p.closeLocked(c)
		}
	}
	p.resumeBlockedLocked()
}

// isStaleLocked looks at an idle connection once, counts one that is of no use any more, and notes an excess.
func (p *pool) isStaleLocked(c *upstreamConn) bool {
	switch probeIdle(c.Conn) {
	case socketIdle:
		return false
	case socketReadable:
		p.noteSurplusLocked(c)
	}
	p.count.Stale++
	return true
}
