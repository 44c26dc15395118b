package server

import (
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// slowDiskCall is how long a call of the disk takes at least to be logged as slow.
const slowDiskCall = time.Second

// errWritesRefused refuses a write to the disk of a replica that ends.
var errWritesRefused = errors.New("the replica ends and begins no more writes to its disk")

// diskCall is a call of the disk that is under way.
type diskCall struct {
	name    string
	log     bool // it is a write to the log's file, for which Raft's own goroutine waits
	started time.Time
}

// diskCalls knows the calls of a replica's disk that are under way, and for how long they
// have been running. A disk may hang without an error, and Raft's own goroutine hangs with
// it.
type diskCalls struct {
	writing  sync.Mutex  // BoltDB takes one write at a time
	refusing atomic.Bool // no write may begin any more

	mu      sync.Mutex
	next    uint64
	running map[uint64]diskCall
}

// write runs a write to the log's file once those before it have returned, unless the
// replica ends meanwhile.
func (c *diskCalls) write(name string, call func() error) error {
	defer c.note(diskCall{name: name, log: true})()
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.refusing.Load() {
		return errWritesRefused
	}
	return call()
}

// begin notes the start of a call that is no write to the log's file. The caller calls end
// when it has returned.
func (c *diskCalls) begin(name string) (end func()) { return c.note(diskCall{name: name}) }

func (c *diskCalls) note(call diskCall) (end func()) {
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
		if took := time.Since(call.started); took >= slowDiskCall {
			slog.Warn("registry: slow disk", "call", call.name, "took", took.Round(time.Millisecond))
		}
	}
}

// refuseWrites refuses writes that have not begun.
func (c *diskCalls) refuseWrites() { c.refusing.Store(true) }

// oldest returns the call under way that began first, if there is any.
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

// longest returns for how long the oldest write to the log's file that is under way has been
// running; 0 if there is none.
func (c *diskCalls) longest(now time.Time) (longest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.running {
		if call.log {
			longest = max(longest, now.Sub(call.started))
		}
	}
	return longest
}
