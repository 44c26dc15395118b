package upstream

import (
	"time"

	"barleywick/internal/queue"
	"barleywick/internal/socket"
)

// evictLocked closes the connection that has been idle longest or, if none is idle, the one whose
// quarantine ends first. It reports whether there was one.
func (p *Pool) evictLocked() bool {
	var c *Conn
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

// Sweep closes the idle connections that have reached their idle limit, exceed their server's recent
// demand, were closed by the server, or have received surplus bytes.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var next *queue.Node[*Conn]
	for n := p.idle.Front(); n != nil; n = next {
		next = n.Next()
		switch c := n.Value; {
		case now.Sub(c.idleSince) >= c.idleLimit:
			p.count.Expired++
			p.closeLocked(c)
		case p.isStaleLocked(c):
			p.closeLocked(c)
		case now.Sub(c.idleSince) >= 2*demandWindow && c.server.open-c.server.dialing > c.server.neededConns(now):
			p.count.Unneeded++
			p.closeLocked(c)
		}
	}
	p.resumeBlockedLocked()
}

// isStaleLocked probes an idle connection, and counts it if it is unusable.
func (p *Pool) isStaleLocked(c *Conn) bool {
	switch socket.Probe(c.Conn) {
	case socket.Idle:
		return false
	case socket.Readable:
		p.recordSurplusLocked(c)
	}
	p.count.Stale++
	return true
}
