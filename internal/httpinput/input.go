// Package httpinput passes the requests of HTTP connections on to net/http one by one, each once it is complete,
// within limits on the memory that partial requests take and on the rate of answers that cost their clients
// nothing. The limits hold for all connections of a server together: see Memory.
package httpinput

import (
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"barleywick/internal/admission"
	"barleywick/internal/socket"
)

const (
	// MaxHead is the longest head of a request, in bytes.
	MaxHead = 16 << 10
	// MaxBody is the longest body that is awaited before the request is passed on, in bytes.
	MaxBody = 64 << 10
	// MaxUnreservedBody is the length up to which a body's memory counts as that of a head, in bytes.
	MaxUnreservedBody = 4 << 10

	// readSize is how many bytes are read at a time while the end of a head is looked for.
	readSize         = 2 << 10
	headBufferSize   = MaxHead + readSize
	maxKeptStorage   = 1 << 10 // bytes of storage that a connection keeps between two requests
	maxChunkOverhead = 4 << 10 // bytes of a chunked body's framing that are kept with it
)

var (
	// ErrRefused is returned for reads from a connection whose request was refused before it was complete.
	ErrRefused = errors.New("a request was refused before it was complete")
	// ErrNoRoom is returned for a request for whose body there is no memory at the moment.
	ErrNoRoom = errors.New("no memory for a request body at the moment")
)

// phase is the progress of a connection's current request.
type phase int

const (
	headArrives phase = iota
	bodyArrives
	passing // it is passed on to net/http
	passed  // the next request stays unread until this one is answered
	refused // the connection is to be closed
)

// Input reads the requests of a client connection and passes them on to net/http, each once it is complete:
// net/http and the handler need far more memory and processor time for a request than its bytes. A body that is
// too long, or whose client waits for a response first, is passed on as it arrives. No byte of a request is
// passed on before the previous request was answered. The connection's lock guards an Input.
type Input struct {
	memory  *Memory
	body    admission.Body      // the entry of the current request's body; guarded by memory
	pacing  admission.PacedConn // guarded by memory
	phase   phase
	framer  RequestFramer // of what was passed on
	arrived RequestFramer // of what was read
	pending []byte        // bytes that were read and not passed on; in headArrives the head so far
	storage []byte        // where pending is kept if it is short
	head    int           // bytes at the start of pending that belong to a complete head
	held    int64         // bytes of a partial request that are counted as a partial head

	checked  bool      // the head was checked while the body was awaited
	reserved bool      // memory for the body is reserved
	begunAt  time.Time // when the current request began to arrive; zero: it has not
	deadline time.Time // that was returned by Deadline last
	status   int       // with which the current request was refused; 0: it was not
}

// NewInput returns the input of a new connection. interrupt is called, by any goroutine, if others need the memory of
// a partial request: a read from the connection that is in progress must fail then, and RefuseLate be called.
func NewInput(memory *Memory, interrupt func()) *Input {
	return &Input{memory: memory, body: admission.Body{Interrupt: interrupt}, framer: RequestFramer{MaxHead: MaxHead}}
}

// headBuffers holds buffers for heads that are being read.
var headBuffers = sync.Pool{New: func() any { return new([headBufferSize]byte) }}

// Result is the result of reading from a socket without blocking.
type Result int

// The results.
const (
	Ready   Result = iota // there are bytes to pass on
	Awaited               // no bytes are available now
	Ended                 // the client has closed its side
	Failed                // the connection failed, the request was refused, or there is no memory now
)

// Await reads the current request from a socket until it may be passed on. record is called with the bytes that were
// read. The error is ErrRefused, ErrNoRoom or the socket's.
func (in *Input) Await(fd uintptr, record func(b []byte)) (Result, error) {
	switch in.phase {
	case headArrives:
		if result, err := in.readHead(fd, record); result != Ready {
			return result, err
		}
	case refused:
		return Failed, ErrRefused
	}
	if in.phase == bodyArrives {
		return in.readBody(fd, record)
	}
	return Ready, nil
}

// Read passes on bytes of the current request like Await, to b. Once the whole request was passed on it only detects that
// the client closes its side, until Next.
func (in *Input) Read(fd uintptr, b []byte, record func(b []byte)) (n int, result Result, err error) {
	if in.phase == passed {
		return in.awaitClose(fd)
	}
	if result, err := in.Await(fd, record); result != Ready {
		return 0, result, err
	}
	if in.passable() > 0 {
		return in.passOn(b), Ready, nil
	}
	return in.passFromSocket(fd, b, record)
}

// awaitClose detects that the client closes its side while a request is in progress. The next request may have begun to
// arrive; it stays unread, or pending, until the current one has been answered.
func (in *Input) awaitClose(fd uintptr) (int, Result, error) {
	if len(in.pending) == 0 {
		switch n, err := socket.Peek(fd); {
		case errors.Is(err, syscall.EAGAIN):
			return 0, Awaited, nil
		case err != nil:
			return 0, Failed, err
		case n == 0:
			return 0, Ended, nil
		}
	}
	if socket.PeerClosed(fd) {
		return 0, Ended, nil
	}
	return 0, Awaited, nil
}

// Passing reports whether the current request may be passed on.
func (in *Input) Passing() bool { return in.phase == passing }

// PendingBytes returns how many bytes were read and not passed on.
func (in *Input) PendingBytes() int { return len(in.pending) }

// ChunkedWithoutLength reports whether the current request, whose head was passed on, is chunked and has no Content-Length.
func (in *Input) ChunkedWithoutLength() bool { return in.framer.ChunkedWithoutLength() }

// Deadline returns the time by which the current request has to arrive, after Awaited. begunAt is when it began to
// arrive at the latest. changed is false if that time was returned before, or no request has begun.
func (in *Input) Deadline(begunAt time.Time, forHead, forRequest time.Duration) (deadline time.Time, changed bool) {
	if len(in.pending) == 0 || in.phase > bodyArrives {
		return time.Time{}, false
	}
	if in.begunAt.IsZero() {
		in.begunAt = begunAt
	}
	deadline = in.begunAt.Add(forHead)
	if in.phase == bodyArrives {
		deadline = in.begunAt.Add(forRequest)
	}
	changed = !deadline.Equal(in.deadline)
	in.deadline = deadline
	return deadline, changed
}

// Status returns the status with which a request was refused before it was complete, or 0.
func (in *Input) Status() int { return in.status }

// Unserved records an answer that cost the client nothing, and returns how long the connection's next request has to wait. It may be called without the connection's lock.
func (in *Input) Unserved() time.Duration { return in.memory.answered(&in.pacing) }

// readHead reads until the head is complete.
func (in *Input) readHead(fd uintptr, record func(b []byte)) (Result, error) {
	buffer := headBuffers.Get().(*[headBufferSize]byte)
	defer headBuffers.Put(buffer)
	head := append(buffer[:0], in.pending...)
	for {
		size, status := in.framer.ScanHead(head)
		switch status {
		case HeadComplete:
			in.completeHead(head, size)
			return Ready, nil
		case HeadMalformed:
			return in.fail(http.StatusBadRequest)
		case HeadTooLarge, HeadTooManyFields:
			return in.fail(http.StatusRequestHeaderFieldsTooLarge)
		}
		n, err := socket.Read(fd, buffer[len(head):min(len(head)+readSize, headBufferSize)])
		if n <= 0 {
			if errors.Is(err, syscall.EAGAIN) && len(head) > len(in.pending) {
				in.pending = append(make([]byte, 0, len(head)), head...)
			}
			return in.endRead(err)
		}
		record(buffer[len(head) : len(head)+n])
		head = buffer[:len(head)+n]
	}
}

// endRead returns the result of a read that got no bytes. While more of a request is awaited, what has arrived of it
// counts as memory of a partial request.
func (in *Input) endRead(err error) (Result, error) {
	switch {
	case err == nil:
		return Ended, nil
	case !errors.Is(err, syscall.EAGAIN):
		return Failed, err
	case in.reserved:
		return Awaited, nil
	case !in.hold(int64(len(in.pending))):
		in.memory.count(&in.memory.headsRefused)
		return in.fail(http.StatusServiceUnavailable)
	}
	return Awaited, nil
}

// completeHead keeps a complete head of size bytes with the bytes behind it, and begins the next phase.
func (in *Input) completeHead(head []byte, size int) {
	in.pending = append(in.storage[:0], head...)
	in.storage = in.pending[:0]
	in.head, in.arrived = size, in.framer
	in.arrived.Body(in.pending[size:])
	length, _ := in.framer.BodyLength()
	in.phase = bodyArrives
	if !in.framer.CanBuffer() || length > MaxBody || in.arrived.BodyComplete() {
		in.passFrom()
	}
}

// passFrom begins to pass the request on.
func (in *Input) passFrom() {
	in.hold(0)
	in.phase = passing
}

// passable returns how many of the pending bytes belong to the part of the current request that is passed on next:
// its head or its body.
func (in *Input) passable() int {
	if in.phase != passing {
		return 0
	}
	if in.head > 0 {
		return in.head
	}
	framer := in.framer // a copy, as these bytes are only looked at
	return framer.Body(in.pending)
}

// passOn copies bytes of the current request to b.
func (in *Input) passOn(b []byte) int {
	n := copy(b, in.pending[:in.passable()])
	in.pending = in.pending[n:]
	if in.head > 0 {
		in.head -= n
	} else {
		in.framer.Body(b[:n])
	}
	in.endPass()
	return n
}

// passFromSocket reads bytes of a body that was not awaited from a socket into b.
func (in *Input) passFromSocket(fd uintptr, b []byte, record func(b []byte)) (int, Result, error) {
	n, err := socket.Read(fd, b[:min(len(b), in.framer.BodyBound())])
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return 0, Awaited, nil
	case err != nil:
		return 0, Failed, err
	case n == 0:
		return 0, Ended, nil
	}
	record(b[:n])
	belongs := in.framer.Body(b[:n])
	if belongs < n { // part of the next request
		in.pending = append(in.pending, b[belongs:n]...)
	}
	in.endPass()
	return belongs, Ready, nil
}

// endPass begins the next phase if the whole request was passed on.
func (in *Input) endPass() {
	if len(in.pending) == 0 {
		in.pending = nil
		if cap(in.storage) > maxKeptStorage {
			in.storage = nil
		}
	}
	if in.head == 0 && in.framer.BodyComplete() {
		in.phase = passed
	}
}

// Next prepares for the next request, once the current one was answered, and reports whether bytes of it have been read.
func (in *Input) Next() (begun bool) {
	if in.phase == refused {
		return false
	}
	in.phase, in.head, in.reserved, in.checked = headArrives, 0, false, false
	in.begunAt, in.deadline = time.Time{}, time.Time{}
	in.framer.Reset()
	return len(in.pending) > 0
}
