package simwire

import (
	"barleywick/internal/settings"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

// Batch is one frame of events.
type Batch struct {
	Number  uint32
	Records uint32
	Clock   time.Duration
	Body    []byte // valid until the next ReadBatch
}

// Reader reads batches from a stream.
type Reader struct {
	r    io.Reader
	head [batchHeaderSize]byte
	buf  []byte
}

// NewReader returns a Reader of r, which should be buffered.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// ReadBatch reads the next frame. It returns io.EOF at a clean end of input.
func (r *Reader) ReadBatch() (Batch, error) {
	if _, err := io.ReadFull(r.r, r.head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("read batch header: %w", err)
	}
	le := binary.LittleEndian
	b := Batch{Number: le.Uint32(r.head[0:]), Records: le.Uint32(r.head[4:])}
	size := le.Uint32(r.head[8:])
	clock := math.Float64frombits(le.Uint64(r.head[12:]))
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return Batch{}, fmt.Errorf("batch %d: clock is not a number", b.Number)
	}
	b.Clock = settings.DurationFromMillis(clock)
	if size > maxFrameSize {
		return Batch{}, fmt.Errorf("batch %d: %d bytes claimed, at most %d are taken", b.Number, size, maxFrameSize)
	}
	if uint64(b.Records)*recordHeaderSize > uint64(size) {
		return Batch{}, fmt.Errorf("batch %d: %d records cannot fit into %d bytes", b.Number, b.Records, size)
	}
	body, err := r.body(int(size))
	if err != nil {
		return Batch{}, fmt.Errorf("batch %d: %w", b.Number, err)
	}
	b.Body = body
	return b, nil
}

// body reads the rest of a frame. The buffer grows with what really arrives, so that
// a wrong length in a short stream does not make a large allocation.
func (r *Reader) body(size int) ([]byte, error) {
	r.buf = r.buf[:0]
	for left := size; left > 0; {
		n := min(left, max(readChunk, cap(r.buf)-len(r.buf)))
		at := len(r.buf)
		if cap(r.buf)-at < n {
			r.buf = append(r.buf, make([]byte, n)...)
		} else {
			r.buf = r.buf[:at+n]
		}
		if _, err := io.ReadFull(r.r, r.buf[at:at+n]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, fmt.Errorf("read body: %w", err)
		}
		left -= n
	}
	return r.buf, nil
}

// Reply is one frame of actions.
type Reply struct {
	Number  uint32
	Records uint32
	Body    []byte // valid until the next ReadAnswer
}

// ReadReply reads the next frame of actions.
func (r *Reader) ReadReply() (Reply, error) {
	head := r.head[:replyHeaderSize]
	if _, err := io.ReadFull(r.r, head); err != nil {
		if errors.Is(err, io.EOF) {
			return Reply{}, io.EOF
		}
		return Reply{}, fmt.Errorf("read reply header: %w", err)
	}
	le := binary.LittleEndian
	a := Reply{Number: le.Uint32(head), Records: le.Uint32(head[8:])}
	size := le.Uint32(head[4:])
	if size > maxFrameSize || uint64(a.Records)*recordHeaderSize > uint64(size) {
		return Reply{}, fmt.Errorf("reply %d: %d records in %d bytes cannot be", a.Number, a.Records, size)
	}
	body, err := r.body(int(size))
	if err != nil {
		return Reply{}, fmt.Errorf("reply %d: %w", a.Number, err)
	}
	a.Body = body
	return a, nil
}
