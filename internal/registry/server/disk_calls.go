package server

import (
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// slowDiskCallThreshold is the duration from which a disk call is logged as slow.
const slowDiskCallThreshold = time.Second

// errWritesRefused is returned for disk writes that begin after shutdown has disabled them.
var errWritesRefused = errors.New("replica is shutting down and starts no more disk writes")

// diskCall is a disk call in progress.
type diskCall struct {
	name       string
	isLogWrite bool // a write to the log file, which blocks Raft's main goroutine
	started    time.Time
}

// diskCalls tracks a replica's disk calls in progress and how long each has been running. A disk
// may hang without returning an error, and blocks Raft's main goroutine meanwhile.
type diskCalls struct {
	writing       sync.Mutex  // held during a write: BoltDB runs one write at a time
	writesRefused atomic.Bool // no further write may begin

	mu      sync.Mutex
	next    uint64
	running map[uint64]diskCall
}

// write waits for earlier writes to the log file to return, then runs call. It returns
// errWritesRefused if writes have been disabled by then.
func (c *diskCalls) write(name string, call func() error) error {
	defer c.start(diskCall{name: name, isLogWrite: true})()
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writesRefused.Load() {
		return errWritesRefused
	}
	return call()
}

// begin records the start of a disk call other than a write to the log file. The caller calls
// end when the disk call has returned.
func (c *diskCalls) begin(name string) (end func()) { return c.start(diskCall{name: name}) }

func (c *diskCalls) start(call diskCall) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = make(map[uint64]diskCall)
	}
	id := c.next
	c.next++
	call.started = time.Now()
	c.running[id] = call
	return func() {
		c.mu.Lock()
		delete(c.running, id)
		c.mu.Unlock()
		if took := time.Since(call.started); took >= slowDiskCallThreshold {
			slog.Warn("registry: slow disk", "call", call.name, "took", took.Round(time.Millisecond))
		}
	}
}

// refuseWrites disables all writes that have not begun.
func (c *diskCalls) refuseWrites() { c.writesRefused.Store(true) }

// oldest returns the longest-running call, if any is in progress.
func (c *diskCalls) oldest() (oldest diskCall, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.running {
		if !ok || call.started.Before(oldest.started) {
			oldest, ok = call, true
		}
	}
	return oldest, ok
}

// longestLogWrite returns for how long the oldest write to the log file in progress has been
// running; 0 if there is none.
func (c *diskCalls) longestLogWrite(now time.Time) (longest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.running {
		if call.isLogWrite {
			longest = max(longest, now.Sub(call.started))
		}
	}
	return longest
}
