package sidecar

import (
	"time"

	"barleywick/internal/queue"
	"barleywick/policy"
)

// noteResponse takes that a whole answer came from the upstream, whether its
// connection can be used again or not.
func (p *pool) noteResponse(to *upstreamServer) {
	p.mu.Lock()
	to.heardAt = time.Now()
	p.mu.Unlock()
}

// noteUnresponsive takes that nothing came on a connection to an upstream on which a
// request was written at that time.
func (p *pool) noteUnresponsive(to *upstreamServer, written time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeUnresponsiveLocked(to, written)
	p.startDialsLocked(to)
	p.resumeBlockedLocked()
}

// closeUnresponsiveLocked closes the idle connections to an upstream from which nothing
// at all has come since then. A machine that vanished or was cut off says
// nothing: a connection to it looks as good as ever, and swallows a request that
// may never be repeated. Where another answer came meanwhile only that one
// request was slow, and the connections are worth their handshakes.
func (p *pool) closeUnresponsiveLocked(to *upstreamServer, since time.Time) {
	if to.heardAt.After(since) {
		return
	}
	for _, list := range []*queue.List[*upstreamConn]{&to.idle, &to.quarantined} {
		for n := list.Front(); n != nil; n = list.Front() {
			p.count.Distrusted++
			p.closeLocked(n.Value)
		}
	}
}

// serverState is what the list says of an upstream by now. Between its choice and the write lies a
// handshake, and meanwhile the list may have said that it drains.
func (p *pool) serverState(to *upstreamServer) policy.EndpointState {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case to.removed:
		return policy.Removed
	case to.draining:
		return policy.Draining
	}
	return policy.Ready
}

// drain closes the idle connections to an upstream that drains, and the others as
// they are given back; those that wait for one are told at once. If the drain is
// called off, resume takes it back.
func (p *pool) drain(to *upstreamServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !to.draining {
		to.draining = true
		p.closeServerLocked(to, errServerDraining, &p.count.Drained)
	}
}

// resume lets an upstream be used again that was drained.
func (p *pool) resume(to *upstreamServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to.draining = false
}

// retire closes the idle connections to a host that has gone, and from now on
// every other that is given back. Whoever is at its address next has its own.
// Those that wait for one are told at once.
func (p *pool) retire(to *upstreamServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to.removed = true
	p.closeServerLocked(to, errServerRemoved, &p.count.Retired)
}

func (p *pool) closeServerLocked(to *upstreamServer, why error, counter *uint64) {
	to.blocked.Remove()
	for _, list := range []*queue.List[*upstreamConn]{&to.idle, &to.quarantined} {
		for n := list.Front(); n != nil; n = list.Front() {
			*counter++
			p.closeLocked(n.Value)
		}
	}
	for p.grantLocked(to, grant{err: why}) {
	}
	p.resumeBlockedLocked()
}
