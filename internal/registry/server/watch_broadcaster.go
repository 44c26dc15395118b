package server

import (
	"sync"
	"sync/atomic"
)

// maxWatchBacklog is the maximum number of events by which a watch may lag. A watcher that
// reads lags by few events; one that does not read is disconnected by its write
// deadline.
const maxWatchBacklog = 1024

// watchBroadcaster sends each change of the list to all watches. A change is encoded once,
// and its bytes are shared: each watch keeps its own position in one linked list of events,
// and an event that all watches have passed is garbage collected. Since the lag of a watch
// is bounded, so is the length of the list.
type watchBroadcaster struct {
	mu        sync.Mutex
	pending   *watchEvent // the next to be published
	published uint64      // number of events published so far
	closed    bool

	eventCount, eventBytes, cutWatches atomic.Uint64
}

// watchEvent is one change of the list, or the end of the watches. The other fields are
// valid once published is closed.
type watchEvent struct {
	published chan struct{}
	number    uint64
	line      []byte // including its newline
	seq       uint64 // the list's version after the change
	resync    bool   // the line does not contain the whole change: watches have to read the state
	final     bool   // ends the watches that reach this event
	next      *watchEvent
}

func newWatchEvent() *watchEvent { return &watchEvent{published: make(chan struct{})} }

func newWatchBroadcaster() *watchBroadcaster { return &watchBroadcaster{pending: newWatchEvent()} }

// publish sends one event to all watches.
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

// endWatches ends the open watches; new ones may start.
func (b *watchBroadcaster) endWatches() { b.publish(watchEvent{final: true}) }

// close ends the open watches. A watch that starts later ends immediately.
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

// tooFarBehind reports whether a watch that has only now reached an event lags by more than
// maxWatchBacklog events.
func (b *watchBroadcaster) tooFarBehind(event *watchEvent) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.published > event.number+maxWatchBacklog
}
