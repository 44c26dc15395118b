package sidecar

import (
	"log/slog"
	"time"
)

// clientCounters count what became of client connections, each decision apart.
type clientCounters struct {
	Accepted      uint64 `json:"Accepted"`      // taken off the kernel's queue
	Admitted      uint64 `json:"Admitted"`      // given a place
	Waited        uint64 `json:"Waited"`        // of those, after a wait
	Refused       uint64 `json:"Refused"`       // answered 503 for want of a place
	GivenUpIdle   uint64 `json:"GivenUpIdle"`   // idle, closed for another's sake
	GivenUpSilent uint64 `json:"GivenUpSilent"` // without a whole request in its grace, closed for another's sake
	OverIdle      uint64 `json:"OverIdle"`      // idle beyond the limit on idle ones
	Silent        uint64 `json:"Silent"`        // never said a thing in its time
	Vanished      uint64 `json:"Vanished"`      // ended by the client before its first byte
	Drained       uint64 `json:"Drained"`       // idle, closed by a planned restart
	Dismissed     uint64 `json:"Dismissed"`     // of those closed, the ones that were refused half a request before
}

// listenerState is what is open at a moment.
type listenerState struct {
	Open     int `json:"Open"`
	HalfOpen int `json:"HalfOpen"`
	Idle     int `json:"Idle"`
	Waiting  int `json:"Waiting"`
}

// counters returns what was counted so far, and what is open now.
func (l *limitedListener) counters() (clientCounters, listenerState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count, listenerState{l.table.Open(), l.table.HalfOpen(), l.table.Idle(), len(l.waiting)}
}

// logCounters logs them.
func (l *limitedListener) logCounters() {
	count, now := l.counters()
	slog.Info("client connections", "now", now, "counters", count)
}

// openConns returns how many connections have not ended, wherever they are.
func (l *limitedListener) openConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.alive
}

// possiblyActive returns how many of them may bring a request or have brought one: those that
// said nothing in their grace are not counted.
func (l *limitedListener) possiblyActive() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.alive - l.table.SilentOverdue(time.Now())
}
