package server

import (
	"sync"
	"sync/atomic"
)

// maxWatchBacklog is how many events a watch may be behind. A watch whose caller reads is
// behind by those of a moment; one whose caller does not is cut by its write deadline.
const maxWatchBacklog = 1024

// watchBroadcaster hands each change of the list to all watches. A change is encoded
// once, and its bytes are shared: each watch stands at its own place in one linked list
// of events, and an event that all watches have passed is garbage. How far a watch may
// fall behind is bounded, and so is the list.
type watchBroadcaster struct {
	mu        sync.Mutex
	pending   *watchEvent // the next to be published
	published uint64      // events so far
	closed    bool

	eventCount, eventBytes, cutWatches atomic.Uint64
}

// watchEvent is one change of the list, or the end of the watches. The other fields are
// valid once published is closed.
type watchEvent struct {
	published chan struct{}
	number    uint64
	line      []byte // with its line break
	seq       uint64 // the list's version after the change
	resync    bool   // more has changed than a line tells: watches have to read the state
	final     bool   // ends the watches that come to it
	next      *watchEvent
}

func newWatchEvent() *watchEvent { return &watchEvent{published: make(chan struct{})} }

func newWatchBroadcaster() *watchBroadcaster { return &watchBroadcaster{pending: newWatchEvent()} }

// publish hands one event to all watches.
func (b *watchBroadcaster) publish(event watchEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.published++
	current := b.pending
	current.number = b.published
	current.line = event.line
	current.seq = event.seq
	current.resync = event.resync
	current.final = event.final
	current.next = newWatchEvent()
	b.pending = current.next
	b.eventCount.Add(1)
	b.eventBytes.Add(uint64(len(event.line)))
	close(current.published)
}

// endWatches ends the watches that are open; others may begin.
func (b *watchBroadcaster) endWatches() { b.publish(watchEvent{final: true}) }

// close ends all watches, and at once those that begin later.
func (b *watchBroadcaster) close() {
	b.endWatches()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.closed, b.pending.final = true, true
		close(b.pending.published)
	}
}

// nextEvent returns the next event to be published.
func (b *watchBroadcaster) nextEvent() *watchEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending
}

// tooFarBehind says whether a watch that comes to an event only now has to be cut.
func (b *watchBroadcaster) tooFarBehind(event *watchEvent) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.published > event.number+maxWatchBacklog
}
