package sidecar

import (
	"log/slog"
	"time"

	"barleywick/internal/sidecar/counters"
)

// clientCounters count what became of client connections. The tags are the names in the log and in
// metrics; docs/CONNECTIONS.md explains them.
type clientCounters struct {
	Accepted          uint64 `json:"Accepted"`      // accepted from the kernel's backlog
	Admitted          uint64 `json:"Admitted"`      // admitted by the limits
	Waited            uint64 `json:"Waited"`        // of the admitted: after a wait
	Refused           uint64 `json:"Refused"`       // answered 503 and closed without admission
	EvictedIdle       uint64 `json:"GivenUpIdle"`   // evicted while idle
	EvictedUnfinished uint64 `json:"GivenUpSilent"` // evicted without a whole request in the grace period
	IdleOverLimit     uint64 `json:"OverIdle"`      // closed because of the limit on idle connections
	HeaderTimeouts    uint64 `json:"Silent"`        // closed without a byte within the header timeout
	ClosedByClient    uint64 `json:"Vanished"`      // closed by the client before its first byte
	Drained           uint64 `json:"Drained"`       // closed by a graceful shutdown while idle
	PartialRefused    uint64 `json:"Dismissed"`     // of those closed here: over a partial request, refused before
}

// listenerState counts the connections at one moment, under the same rule for the tags.
type listenerState struct {
	Open     int `json:"Open"`
	HalfOpen int `json:"HalfOpen"`
	Idle     int `json:"Idle"`
	Waiting  int `json:"Waiting"`
}

// String returns the text of a log line.
func (c clientCounters) String() string { return counters.Format(c) }

// String returns the text of a log line.
func (s listenerState) String() string { return counters.Format(s) }

// counters returns what was counted so far, and the connections now.
func (l *limitedListener) counters() (clientCounters, listenerState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count, listenerState{l.table.Open(), l.table.HalfOpen(), l.table.Idle(), len(l.waiting)}
}

// LogCounters logs what counters returns.
func (l *limitedListener) LogCounters() {
	count, now := l.counters()
	slog.Info("client: connections", "now", now, "counters", count)
}

// openConns returns how many connections have been accepted and have not ended.
func (l *limitedListener) openConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.alive
}

// possiblyActive returns how many of them may still bring a request or have one in progress: all but
// those that have been silent for longer than their grace period.
func (l *limitedListener) possiblyActive() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.alive - l.table.OverdueWithoutByte(time.Now())
}
