package server

import (
	"sync"
	"sync/atomic"
)

// hub hands each change to all watches. A change is encoded once, and its bytes
// are shared: watches stand at their own places in one chain of frames, and a frame
// that all have passed is garbage. How far a watch may fall behind is bounded, and
// so is the chain.
type hub struct {
	mu    sync.Mutex
	tail  *frame // the one to come
	count uint64 // frames so far
	ended bool

	frames, bytes, cut atomic.Uint64
}

// frame is one change, or the end. Until ready is closed it is still to come.
type frame struct {
	ready  chan struct{}
	number uint64
	line   []byte // with its line break
	seq    uint64 // the list's version after it
	jump   bool   // more has changed than a line tells: watches have to look at the state
	last   bool   // it ends the watches that come to it
	next   *frame
}

// backlog is how many frames a watch may be behind. One that takes its lines is
// behind by those of a moment; one that takes none is cut by its write's deadline.
const backlog = 1024

func newFrame() *frame { return &frame{ready: make(chan struct{})} }

func newHub() *hub { return &hub{tail: newFrame()} }

// publish passes one frame on.
func (h *hub) publish(f frame) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return
	}
	h.count++
	t := h.tail
	t.number, t.line, t.seq, t.jump, t.last, t.next = h.count, f.line, f.seq, f.jump, f.last, newFrame()
	h.tail = t.next
	h.frames.Add(1)
	h.bytes.Add(uint64(len(f.line)))
	close(t.ready)
}

// endWatches ends the watches that are open; others may begin.
func (h *hub) endWatches() { h.publish(frame{last: true}) }

// close ends all watches, and those that begin later at once.
func (h *hub) close() {
	h.endWatches()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		h.ended, h.tail.last = true, true
		close(h.tail.ready)
	}
}

// next is the frame to come.
func (h *hub) next() *frame {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tail
}

// behind says whether a watch at a frame has fallen too far behind.
func (h *hub) behind(f *frame) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.count > f.number+backlog
}
