package httpinput

import (
	"sync"
	"sync/atomic"
	"time"

	"barleywick/internal/admission"
)

const (
	// partialBodyGrace is how long a partial request body is kept while others need its memory.
	partialBodyGrace = 50 * time.Millisecond
	// bodyRetryInterval is the time between two attempts to get memory for a body.
	bodyRetryInterval = partialBodyGrace
	maxBodyRetries    = 5
	// maxWaitingBodies is how many requests may wait for memory. Each holds a connection.
	maxWaitingBodies = 128
	// reportInterval is the minimum time between two calls of Memory.OnLimit.
	reportInterval = 5 * time.Second
)

// Limits on answers that cost their clients nothing, for a process with a whole core.
const (
	unservedInterval      = 5 * time.Millisecond
	unservedBurst         = 100 * time.Millisecond
	totalUnservedInterval = 500 * time.Microsecond
	totalUnservedBurst    = 250 * time.Millisecond
	maxUnservedDelay      = 200 * time.Millisecond
)

// Pacing returns the limits on answers that cost their clients nothing, for a number of cores; 0: it is not limited.
func Pacing(cores float64) admission.PacingLimits {
	limits := admission.PacingLimits{
		Interval: unservedInterval, Burst: unservedBurst,
		TotalInterval: totalUnservedInterval, TotalBurst: totalUnservedBurst, UselessInterval: totalUnservedInterval, MaxDelay: maxUnservedDelay,
	}
	if cores > 0 {
		limits.TotalInterval = time.Duration(float64(totalUnservedInterval) / cores)
		limits.UselessInterval = limits.TotalInterval
	}
	return limits
}

// Memory owns what the connections of a server together may take of the process's memory and of its processor
// time for requests that are not complete, and for answers that cost nothing.
type Memory struct {
	// Rejects reports whether a request with this head will be rejected whatever its body is; nil: none will. It is
	// set before the first connection is accepted.
	Rejects func(head []byte) bool
	// OnLimit is called, in a goroutine of its own and at most every 5 s, when a limit is met; nil: it is not. A
	// process that is killed for its memory has no time to log its counters.
	OnLimit func()

	mu    sync.Mutex
	bytes *admission.ByteTable
	pacer *admission.Pacer

	reportedAt    atomic.Int64 // when OnLimit was called last, in Unix nanoseconds
	waitingBodies atomic.Int64 // requests that wait for memory
	headsRefused  atomic.Uint64
	bodiesRefused atomic.Uint64
	bodiesEvicted atomic.Uint64
	delayed       atomic.Uint64
}

// NewMemory returns the owner of the memory of one server's requests.
func NewMemory(bytes admission.ByteLimits, pacing admission.PacingLimits) *Memory {
	return &Memory{bytes: admission.NewByteTable(bytes, partialBodyGrace), pacer: admission.NewPacer(pacing)}
}

// Counters counts events of a Memory.
type Counters struct {
	HeadsRefused  uint64 // partial heads that were refused for lack of memory
	BodiesRefused uint64 // bodies that were refused for lack of memory
	BodiesEvicted uint64 // partial bodies that were refused to make room for other requests
	Delayed       uint64 // requests that had to wait, as their connection's answers came too fast
}

// Counters returns the event counters.
func (m *Memory) Counters() Counters {
	return Counters{m.headsRefused.Load(), m.bodiesRefused.Load(), m.bodiesEvicted.Load(), m.delayed.Load()}
}

// Held returns the bytes that partial heads and bodies hold.
func (m *Memory) Held() (heads, bodies int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes.Held()
}

// AcceptDelay returns how long the next connection should not be accepted, as connections without a use come too fast.
func (m *Memory) AcceptDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pacer.AcceptDelay(time.Now())
}

// ConnectionUseless records a connection that ended after its client had sent something, and without a request that was
// accepted.
func (m *Memory) ConnectionUseless() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pacer.ConnectionUseless(time.Now())
}

// AwaitRoom waits after ErrNoRoom before another attempt to read a request. It returns false if there must be no other:
// the request has waited for too long, or too many wait.
func (m *Memory) AwaitRoom(attempt int) bool {
	waiting := m.waitingBodies.Add(1)
	defer m.waitingBodies.Add(-1)
	if attempt >= maxBodyRetries || waiting > maxWaitingBodies {
		m.count(&m.bodiesRefused)
		return false
	}
	time.Sleep(bodyRetryInterval)
	return true
}

// count counts an event of a limit that was met.
func (m *Memory) count(event *atomic.Uint64) {
	event.Add(1)
	if m.OnLimit == nil {
		return
	}
	now, last := time.Now().UnixNano(), m.reportedAt.Load()
	if time.Duration(now-last) >= reportInterval && m.reportedAt.CompareAndSwap(last, now) {
		go m.OnLimit() // the caller holds a connection's lock
	}
}

// resizeHead changes the bytes that an incomplete head holds, and reports whether the limits allow that.
func (m *Memory) resizeHead(from, to int64) bool {
	if from == to {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes.ResizeHead(from, to)
}

// addBody reserves memory for a request's body, and reports whether the limits allow that. complete means
// that the body has arrived completely. The caller must call release in any case.
func (m *Memory) addBody(b *admission.Body, size int64, complete bool) bool {
	m.mu.Lock()
	evicted, ok := m.bytes.AddBody(b, size, complete, time.Now())
	m.mu.Unlock()
	if evicted != nil {
		m.count(&m.bodiesEvicted)
		evicted.Interrupt()
	}
	return ok
}

// everFits reports whether there can be memory for a body of size bytes.
func (m *Memory) everFits(size int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes.EverFits(size)
}

// completeBody records that no more of a body will arrive. It returns false if the body was evicted.
func (m *Memory) completeBody(b *admission.Body) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes.Complete(b)
}

// release releases the memory of a body.
func (m *Memory) release(b *admission.Body) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytes.Remove(b)
}

// answered records an answer that cost its client nothing, and returns how long the connection's next request has to wait.
func (m *Memory) answered(c *admission.PacedConn) time.Duration {
	m.mu.Lock()
	delay := m.pacer.Answered(c, time.Now())
	m.mu.Unlock()
	if delay > 0 {
		m.count(&m.delayed)
	}
	return delay
}
