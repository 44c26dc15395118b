// Package faultinjection puts faults between real processes: each directed link from one
// process to another is a relay on loopback that the first is told to call instead of
// the second, and that can be late, slow, cut (in one direction or both, saying
// nothing), reset, half open, or lose an answer whose request was delivered. Faults of
// processes are signals to them, by id. Schedules of faults are drawn from a seed,
// written as text, shrunk and played again.
package faultinjection

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkSize           = 16 << 10
	maxQueuedChunks     = 64 // pieces under way in one direction of a connection
	dialTimeout         = time.Second
	maxPeers            = 256 // of a UDP link
	maxDatagramBytes    = 64 << 10
	maxPendingDatagrams = 1024 // datagrams under way
)

// Link is a relay for what one process calls another by.
type Link struct {
	Name   string // "from>to"
	target string
	ln     net.Listener
	pc     net.PacketConn

	ctx   context.Context
	end   context.CancelFunc
	tasks sync.WaitGroup

	mu              sync.Mutex
	rule            LinkRule
	changed         chan struct{}
	conns           map[*relayedConn]bool
	responsesToDrop int // answers to lose
	rng             *rand.Rand

	Connections, Dropped, Bytes atomic.Int64
}

// Addr is where the first process is to call.
func (l *Link) Addr() string {
	if l.pc != nil {
		return l.pc.LocalAddr().String()
	}
	return l.ln.Addr().String()
}

// SetRule puts a rule in force, for what is under way too.
func (l *Link) SetRule(r LinkRule) {
	l.mu.Lock()
	l.rule = r
	close(l.changed)
	l.changed = make(chan struct{})
	var over []*relayedConn
	if r.RefuseConnections {
		over = l.openConns()
	}
	l.mu.Unlock()
	for _, c := range over {
		c.reset()
	}
}

// openConns are the connections. The lock is held.
func (l *Link) openConns() (all []*relayedConn) {
	for c := range l.conns {
		all = append(all, c)
	}
	return all
}

// Reset resets the connections that there are.
func (l *Link) Reset() {
	l.mu.Lock()
	all := l.openConns()
	l.mu.Unlock()
	for _, c := range all {
		c.reset()
	}
}

// HalfOpen closes the far side of the connections that there are: the near one goes
// on as if nothing had happened, and hears nothing.
func (l *Link) HalfOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if t, ok := c.to.(*net.TCPConn); ok {
			t.SetLinger(0)
			t.Close()
		}
	}
}

// DropResponses loses the next answers: what was asked has been delivered, and the
// connection is reset instead of the answer's first piece.
func (l *Link) DropResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responsesToDrop = n
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.end()
	if l.ln != nil {
		l.ln.Close()
	} else {
		l.pc.Close()
	}
	l.Reset()
	l.tasks.Wait()
}

func (l *Link) currentRule() (LinkRule, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rule, l.changed
}

// drawTiming is how long a piece of so many bytes takes now.
func (l *Link) drawTiming(back bool, bytes int) (late, takes time.Duration, way Impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	way = l.rule.ToTarget
	if back {
		way = l.rule.FromTarget
	}
	late = way.Delay
	if way.Jitter > 0 {
		late += time.Duration(l.rng.Int64N(int64(way.Jitter)))
	}
	if way.BytesPerSecond > 0 {
		takes = time.Duration(float64(bytes) / float64(way.BytesPerSecond) * float64(time.Second))
	}
	return late, takes, way
}
