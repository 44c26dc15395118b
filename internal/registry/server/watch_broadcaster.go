package server

import (
	"sync"
	"sync/atomic"
)

// watchBroadcaster hands each change to all watches. A change is encoded once, and its bytes
// are shared: watches stand at their own places in one chain of frames, and a frame
// that all have passed is garbage. How far a watch may fall behind is bounded, and
// so is the chain.
type watchBroadcaster struct {
	mu        sync.Mutex
	pending   *watchEvent // the one to come
	published uint64      // frames so far
	closed    bool

	eventCount, eventBytes, cutWatches atomic.Uint64
}

// watchEvent is one change, or the end. Until ready is closed it is still to come.
type watchEvent struct {
	published chan struct{}
	number    uint64
	line      []byte // with its line break
	seq       uint64 // the list's version after it
	resync    bool   // more has changed than a line tells: watches have to look at the state
	final     bool   // it ends the watches that come to it
	next      *watchEvent
}

// maxWatchBacklog is how many frames a watch may be behind. One that takes its lines is
// behind by those of a moment; one that takes none is cut by its write's deadline.
const maxWatchBacklog = 1024

func newWatchEvent() *watchEvent { return &watchEvent{published: make(chan struct{})} }

func newWatchBroadcaster() *watchBroadcaster { return &watchBroadcaster{pending: newWatchEvent()} }

// publish passes one frame on.
func (h *watchBroadcaster) publish(f watchEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.published++
	t := h.pending
	t.number, t.line, t.seq, t.resync, t.final, t.next = h.published, f.line, f.seq, f.resync, f.final, newWatchEvent()
	h.pending = t.next
	h.eventCount.Add(1)
	h.eventBytes.Add(uint64(len(f.line)))
	close(t.published)
}

// endWatches ends the watches that are open; others may begin.
func (h *watchBroadcaster) endWatches() { h.publish(watchEvent{final: true}) }

// close ends all watches, and those that begin later at once.
func (h *watchBroadcaster) close() {
	h.endWatches()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.closed, h.pending.final = true, true
		close(h.pending.published)
	}
}

// nextEvent is the frame to come.
func (h *watchBroadcaster) nextEvent() *watchEvent {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pending
}

// tooFarBehind says whether a watch at a frame has fallen too far tooFarBehind.
func (h *watchBroadcaster) tooFarBehind(f *watchEvent) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.published > f.number+maxWatchBacklog
}
