package server

import (
	"sync"
	"time"
)

// diskCalls knows for how long the writes to a replica's disk that are under way have been
// running. A disk may hang without an error, and Raft's own goroutine hangs with it.
type diskCalls struct {
	mu      sync.Mutex
	next    uint64
	started map[uint64]time.Time
}

// begin notes the start of a write. The caller calls end when it has returned.
func (c *diskCalls) begin() (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started == nil {
		c.started = make(map[uint64]time.Time)
	}
	id := c.next
	c.next++
	c.started[id] = time.Now()
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.started, id)
	}
}

// longest returns for how long the oldest write under way has been running; 0 if there is
// none.
func (c *diskCalls) longest(now time.Time) (longest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, started := range c.started {
		longest = max(longest, now.Sub(started))
	}
	return longest
}
