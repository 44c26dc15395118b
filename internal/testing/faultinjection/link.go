package faultinjection

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Link is a relay by which one process calls another: for connections or for datagrams.
type Link struct {
	Name     string // "from>to", and after a colon what tells it from others between the two
	target   string
	listener net.Listener   // of a link for connections
	socket   net.PacketConn // of a link for datagrams

	ctx    context.Context // until Close
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu              sync.Mutex
	rule            LinkRule
	ruleChanged     chan struct{} // closed when the rule changes
	conns           map[*relayedConn]bool
	responsesToDrop int
	rng             *rand.Rand

	// Dropped counts responses and datagrams that were dropped.
	Dropped atomic.Int64
}

// Addr returns the address that the first process has to call.
func (l *Link) Addr() string {
	if l.socket != nil {
		return l.socket.LocalAddr().String()
	}
	return l.listener.Addr().String()
}

// SetRule sets what happens on the link, also to what is on its way.
func (l *Link) SetRule(rule LinkRule) {
	l.mu.Lock()
	l.rule = rule
	close(l.ruleChanged)
	l.ruleChanged = make(chan struct{})
	l.mu.Unlock()
	if rule.RefuseConnections {
		l.Reset()
	}
}

// currentRule returns the rule, and a channel that is closed when it changes.
func (l *Link) currentRule() (LinkRule, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rule, l.ruleChanged
}

// Reset resets the open connections.
func (l *Link) Reset() {
	for _, c := range l.openConns() {
		c.reset()
	}
}

func (l *Link) openConns() (conns []*relayedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// HalfOpen resets the target's side of the open connections. The caller's side stays open,
// without any sign of it.
func (l *Link) HalfOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		resetConn(c.target)
	}
}

// DropResponses has the next responses dropped: the request was delivered, and the
// connection is reset in place of the response's first chunk.
func (l *Link) DropResponses(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responsesToDrop = count
}

// takeDroppedResponse reports whether a response is to be dropped, and counts it. The lock
// is held.
func (l *Link) takeDroppedResponse() bool {
	if l.responsesToDrop == 0 {
		return false
	}
	l.responsesToDrop--
	return true
}

// Close closes the link and its connections.
func (l *Link) Close() {
	l.cancel()
	if l.listener != nil {
		l.listener.Close()
	} else {
		l.socket.Close()
	}
	l.Reset()
	l.tasks.Wait()
}

// waitUnblocked waits until a direction is not blocked. It is false when the link is closed.
func (l *Link) waitUnblocked(d direction) bool {
	for {
		rule, changed := l.currentRule()
		if !rule.impairment(d).Blocked {
			return l.ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-l.ctx.Done():
			return false
		}
	}
}

// timing is when a chunk or a datagram arrives.
type timing struct {
	delay        time.Duration
	transmission time.Duration // by the limit of bytes a second
}

// drawTiming draws the timing of so many bytes, and returns the impairment that it is by.
func (l *Link) drawTiming(d direction, size int) (timing, Impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	impairment := l.rule.impairment(d)
	t := timing{delay: impairment.Delay}
	if impairment.Jitter > 0 {
		t.delay += time.Duration(l.rng.Int64N(int64(impairment.Jitter)))
	}
	if impairment.BytesPerSecond > 0 {
		t.transmission = time.Duration(float64(size) / float64(impairment.BytesPerSecond) * float64(time.Second))
	}
	return t, impairment
}
