package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"barleywick/internal/settings"
)

const (
	// maxFrameSize bounds the body size in a frame's header. Real batches have a few megabytes; a larger
	// size indicates a corrupt stream.
	maxFrameSize = 1 << 28
	// readChunk bounds the memory that is allocated ahead of the data that has arrived.
	readChunk = 1 << 20
)

// Batch is a frame of events, with the simulator's clock.
type Batch struct {
	Number  uint32
	Records uint32
	Clock   time.Duration
	Body    []byte // valid until the next ReadBatch
}

// Reply is a frame of actions, the answer to a batch.
type Reply struct {
	Number  uint32 // number of the batch that it replies to
	Records uint32
	Body    []byte // valid until the next ReadReply
}

// Reader reads frames from a stream.
type Reader struct {
	r    io.Reader
	head [batchHeaderSize]byte // the batch header is the larger one
	buf  []byte
}

// NewReader returns a Reader of r, which should be buffered.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// ReadBatch reads the next batch. It returns io.EOF at the end of the input.
func (r *Reader) ReadBatch() (Batch, error) {
	head, err := r.header(batchHeaderSize, "batch")
	if err != nil {
		return Batch{}, err
	}
	b := Batch{Number: binary.LittleEndian.Uint32(head), Records: binary.LittleEndian.Uint32(head[4:])}
	size := binary.LittleEndian.Uint32(head[8:])
	clock := math.Float64frombits(binary.LittleEndian.Uint64(head[12:]))
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return Batch{}, fmt.Errorf("batch %d: clock is not a finite number", b.Number)
	}
	b.Clock = settings.DurationFromMillis(clock)
	if size > maxFrameSize {
		return Batch{}, fmt.Errorf("batch %d: body size is %d bytes, want at most %d", b.Number, size, maxFrameSize)
	}
	if !fits(b.Records, size) {
		return Batch{}, fmt.Errorf("batch %d: %d records cannot fit into %d bytes", b.Number, b.Records, size)
	}
	if b.Body, err = r.body(int(size)); err != nil {
		return Batch{}, fmt.Errorf("batch %d: %w", b.Number, err)
	}
	return b, nil
}

// ReadReply reads the next reply. It returns io.EOF at the end of the input.
func (r *Reader) ReadReply() (Reply, error) {
	head, err := r.header(replyHeaderSize, "reply")
	if err != nil {
		return Reply{}, err
	}
	p := Reply{Number: binary.LittleEndian.Uint32(head), Records: binary.LittleEndian.Uint32(head[8:])}
	size := binary.LittleEndian.Uint32(head[4:])
	if size > maxFrameSize || !fits(p.Records, size) {
		return Reply{}, fmt.Errorf("reply %d: invalid header: %d records in %d bytes", p.Number, p.Records, size)
	}
	if p.Body, err = r.body(int(size)); err != nil {
		return Reply{}, fmt.Errorf("reply %d: %w", p.Number, err)
	}
	return p, nil
}

// header reads a frame's header.
func (r *Reader) header(size int, frame string) ([]byte, error) {
	head := r.head[:size]
	if _, err := io.ReadFull(r.r, head); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("read %s header: %w", frame, err)
	}
	return head, nil
}

// fits reports whether a body of size bytes can hold that many records.
func fits(records, size uint32) bool { return uint64(records)*recordHeaderSize <= uint64(size) }

// body reads a frame's body. The buffer grows as data arrives, so that a wrong size in a short stream
// does not cause a large allocation.
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
