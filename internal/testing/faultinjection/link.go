package faultinjection

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Link is a relay, for TCP connections or for UDP datagrams, by which one process reaches another.
type Link struct {
	Name     string // "from>to", optionally with a colon and a suffix
	target   string
	listener net.Listener   // of a TCP link
	socket   net.PacketConn // of a UDP link

	ctx    context.Context // cancelled by Close
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu              sync.Mutex
	rule            LinkRule
	ruleChanged     chan struct{} // closed when the rule changes
	conns           map[*relayedConn]bool
	responsesToDrop int
	rng             *rand.Rand

	// Dropped is the number of responses and datagrams that were dropped.
	Dropped atomic.Int64
}

// Addr returns the address that the first process has to use in place of the target's.
func (l *Link) Addr() string {
	if l.socket != nil {
		return l.socket.LocalAddr().String()
	}
	return l.listener.Addr().String()
}

// SetRule sets the rule of the link. It also applies to data in transit.
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

// currentRule returns the rule and a channel that is closed when it changes.
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

// HalfOpen resets the target's side of the open connections. The caller's side stays open and does
// not notice it.
func (l *Link) HalfOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		resetConn(c.target)
	}
}

// DropResponses drops the next count responses, whose requests are delivered. Over TCP the connection is
// reset in place of the response's first chunk; over UDP the response's datagram is lost.
func (l *Link) DropResponses(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responsesToDrop = count
}

// consumeResponseDrop reports whether to drop a response, and decrements the number of responses to
// drop. The lock must be held.
func (l *Link) consumeResponseDrop() bool {
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

// waitUnblocked waits until a direction is not blocked. It returns false when the link is closed.
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

// timing is by how much the arrival of a chunk or a datagram is delayed.
type timing struct {
	delay        time.Duration
	transmission time.Duration // from the limit of bytes per second
}

// drawTiming draws the timing of size bytes and returns it with the impairment of the direction.
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
