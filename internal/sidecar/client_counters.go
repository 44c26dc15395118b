package sidecar

import (
	"log/slog"
	"runtime/metrics"
	"time"

	"barleywick/internal/httpinput"
	"barleywick/internal/sidecar/counters"
	"barleywick/internal/sidecar/upstream"
)

// clientCounters counts events of client connections. The tags are the names in the log and in metrics;
// docs/CONNECTIONS.md explains them.
type clientCounters struct {
	Accepted          uint64 `json:"Accepted"`      // accepted from the kernel's backlog
	Admitted          uint64 `json:"Admitted"`      // admitted by the limits
	Waited            uint64 `json:"Waited"`        // admitted after a wait
	Refused           uint64 `json:"Refused"`       // answered 503 and closed without admission
	EvictedIdle       uint64 `json:"GivenUpIdle"`   // evicted while idle
	EvictedUnfinished uint64 `json:"GivenUpSilent"` // evicted because no complete request arrived in the grace period
	IdleOverLimit     uint64 `json:"OverIdle"`      // closed to stay within the limit on idle connections
	HeaderTimeouts    uint64 `json:"Silent"`        // closed without a byte within the header timeout
	ClosedByClient    uint64 `json:"Vanished"`      // closed by the client before its first byte
	Drained           uint64 `json:"Drained"`       // closed by a graceful shutdown without a request in progress
	PartialRefused    uint64 `json:"Dismissed"`     // closed by the sidecar after refusing a partial request
}

// listenerState counts the current connections by state. Its tags are the names in the log and in metrics, too.
type listenerState struct {
	Open     int `json:"Open"`
	HalfOpen int `json:"HalfOpen"`
	Idle     int `json:"Idle"`
	Waiting  int `json:"Waiting"`
}

// String formats the counters for the log.
func (c clientCounters) String() string { return counters.Format(c) }

// String formats the state for the log.
func (s listenerState) String() string { return counters.Format(s) }

// counters returns the event counters and the current number of connections by state.
func (l *limitedListener) counters() (clientCounters, listenerState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count, listenerState{l.table.Open(), l.table.HalfOpen(), l.table.Idle(), len(l.waiting)}
}

// LogCounters logs the event counters and the current number of connections by state.
func (l *limitedListener) LogCounters() {
	count, now := l.counters()
	slog.Info("client: connections", "now", now, "counters", count)
}

// openConns returns the number of connections that were accepted and have not ended.
func (l *limitedListener) openConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.alive
}

// possiblyActive returns the number of open connections on which a request is in progress or may still
// arrive: all but those without a first byte after their grace period.
func (l *limitedListener) possiblyActive() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.alive - l.table.OverdueWithoutByte(time.Now())
}

// requestCounters counts events of the memory of requests and responses. The tags are the names in the log.
type requestCounters struct {
	HeadsRefused     uint64 `json:"HeadsRefused"`     // partial heads that were refused for lack of memory
	BodiesRefused    uint64 `json:"BodiesRefused"`    // bodies that were refused for lack of memory
	BodiesEvicted    uint64 `json:"BodiesEvicted"`    // partial bodies that were refused to make room for other requests
	Delayed          uint64 `json:"Delayed"`          // requests that had to wait, as their connection's answers came too fast
	ResponsesWaited  uint64 `json:"ResponsesWaited"`  // responses whose reading waited for memory
	ResponsesRefused uint64 `json:"ResponsesRefused"` // responses over the protocol's length that were not read
}

// String formats the counters for the log.
func (c requestCounters) String() string { return counters.Format(c) }

// requestState is what requests hold now, and the process. Its tags are the names in the log.
type requestState struct {
	HeadBytes    int64  `json:"HeadBytes"`
	BodyBytes    int64  `json:"BodyBytes"`
	RuntimeBytes uint64 `json:"RuntimeBytes"` // memory that the Go runtime holds
	Goroutines   uint64 `json:"Goroutines"`
}

// String formats the state for the log.
func (s requestState) String() string { return counters.Format(s) }

// memoryLogger logs the limits on the memory of requests and responses.
type memoryLogger struct {
	requests  *httpinput.Memory
	responses *upstream.ResponseMemory
}

// counters returns the event counters and what is held now.
func (m memoryLogger) counters() (requestCounters, requestState) {
	requests := m.requests.Counters()
	count := requestCounters{
		HeadsRefused: requests.HeadsRefused, BodiesRefused: requests.BodiesRefused, BodiesEvicted: requests.BodiesEvicted,
		Delayed: requests.Delayed, ResponsesWaited: m.responses.Waited.Load(), ResponsesRefused: m.responses.Refused.Load(),
	}
	var state requestState
	state.HeadBytes, state.BodyBytes = m.requests.Held()
	state.RuntimeBytes, state.Goroutines = runtimeUse()
	return count, state
}

// runtimeUse returns the memory that the Go runtime holds, in bytes, and the number of goroutines.
func runtimeUse() (held, goroutines uint64) {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}, {Name: "/sched/goroutines:goroutines"},
	}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64(), samples[2].Value.Uint64()
}

// LogCounters logs the event counters and what requests hold now.
func (m memoryLogger) LogCounters() {
	count, now := m.counters()
	slog.Info("client: request memory", "now", now, "counters", count)
}

// logShortage logs that a limit on the memory or the rate of requests was met.
func (m memoryLogger) logShortage() {
	count, now := m.counters()
	slog.Warn("client: limit on requests met", "now", now, "counters", count)
}
