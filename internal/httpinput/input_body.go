package httpinput

import (
	"errors"
	"net/http"
	"syscall"

	"barleywick/internal/socket"
)

// readBody reads until the body is complete.
func (in *Input) readBody(fd uintptr, record func(b []byte)) (Result, error) {
	for !in.arrived.BodyComplete() {
		room, err := in.room(fd)
		if err != nil && !in.isRejected() {
			return Failed, err
		}
		if len(room) == 0 { // it is rejected, or its chunks are so short that it is passed on in parts
			break
		}
		n, err := socket.Read(fd, room)
		if n <= 0 && errors.Is(err, syscall.EAGAIN) && in.isRejected() {
			break
		}
		if n <= 0 {
			return in.endRead(err)
		}
		record(room[:n])
		in.pending = in.pending[:len(in.pending)+n]
		in.arrived.Body(room[:n])
	}
	if !in.memory.completeBody(&in.body) {
		return in.fail(http.StatusServiceUnavailable)
	}
	in.passFrom()
	return Ready, nil
}

// isRejected reports, the first time it is called for a request, whether the request will be rejected for its head:
// then its body is not awaited.
func (in *Input) isRejected() bool {
	if in.checked || in.memory.Rejects == nil {
		return false
	}
	in.checked = true
	return in.memory.Rejects(in.pending[:in.head])
}

// room returns the memory for the next bytes of the body. It returns ErrNoRoom if the limits allow none now.
func (in *Input) room(fd uintptr) ([]byte, error) {
	length, known := in.framer.BodyLength()
	capacity := in.head + MaxUnreservedBody
	if known {
		capacity = in.head + int(length)
	}
	if capacity > in.head+MaxUnreservedBody || !known && len(in.pending) >= capacity {
		if !known {
			length, capacity = MaxBody, in.head+MaxBody+maxChunkOverhead
		}
		if !in.memory.everFits(length) {
			in.refuse(http.StatusRequestEntityTooLarge)
			return nil, ErrRefused
		}
		if !in.reserve(fd, length, known) {
			return nil, ErrNoRoom
		}
	}
	if cap(in.pending) < capacity {
		in.pending = append(make([]byte, 0, capacity), in.pending...)
	}
	return in.pending[len(in.pending):capacity], nil
}

// reserve reserves memory for the body, unless that was done, and reports whether it is reserved.
func (in *Input) reserve(fd uintptr, length int64, known bool) bool {
	if !in.reserved {
		missing := int64(in.head) + length - int64(len(in.pending))
		complete := known && int64(socket.UnreadBytes(fd)) >= missing
		in.reserved = in.memory.addBody(&in.body, length, complete)
		if in.reserved {
			in.hold(0)
		}
	}
	return in.reserved
}

// ReserveBody reserves memory for a body that was not awaited, of the given length; negative: it is not known. It
// reports whether the limits allow the body.
func (in *Input) ReserveBody(length int64) bool {
	if in.reserved || in.arrived.BodyComplete() || 0 <= length && length <= MaxUnreservedBody {
		return true
	}
	if length < 0 {
		length = MaxBody
	}
	in.reserved = in.memory.addBody(&in.body, length, false)
	return in.reserved
}

// CompleteBody records that no more of the body will arrive. It returns false if its memory was given to others. It
// may be called without the connection's lock.
func (in *Input) CompleteBody() bool { return in.memory.completeBody(&in.body) }

// EndRequest releases the memory of the current request's body. It may be called without the connection's lock.
func (in *Input) EndRequest() { in.memory.release(&in.body) }

// hold changes the bytes that are counted as a partial head.
func (in *Input) hold(bytes int64) bool {
	if !in.memory.resizeHead(in.held, bytes) {
		return false
	}
	in.held = bytes
	return true
}

// Release releases the memory of the current request. It is called when the connection has ended.
func (in *Input) Release() {
	in.hold(0)
	in.memory.release(&in.body)
	in.pending, in.storage, in.reserved = nil, nil, false
}

// refuse refuses the current request with a status, and ends the input.
func (in *Input) refuse(status int) {
	in.Release()
	in.phase, in.status = refused, status
}

// fail refuses the current request, and returns the result of the read.
func (in *Input) fail(status int) (Result, error) {
	in.refuse(status)
	return Failed, ErrRefused
}

// RefuseForMemory refuses a request for whose body no memory has become free.
func (in *Input) RefuseForMemory() { in.refuse(http.StatusServiceUnavailable) }

// RefuseLate refuses a request that has not arrived in time, or whose memory others need.
func (in *Input) RefuseLate() {
	switch {
	case in.phase == bodyArrives && in.memory.completeBody(&in.body):
		in.refuse(http.StatusRequestTimeout)
	case in.phase == bodyArrives || in.phase == headArrives && len(in.pending) > 0:
		in.refuse(http.StatusServiceUnavailable)
	}
}
