package httpmessage

import (
	"bytes"
	"io"
)

// MaxRecordedHead is how much of a message HeadRecorder keeps. A longer head is not checked.
const MaxRecordedHead = 4 << 10

var contentLength = []byte("content-length")

// HeadRecorder keeps the first bytes of a message as they arrived. A message may state its length or
// be chunked; if it does both, net/http drops the length silently. Two readers may then see the end of
// the message in two places, and a request may hide between them in what one of them takes for the body.
type HeadRecorder struct {
	Source   io.Reader // what Read reads
	recorded []byte
}

// Read reads from Source and records what it reads.
func (h *HeadRecorder) Read(b []byte) (int, error) {
	n, err := h.Source.Read(b)
	h.Record(b[:n])
	return n, err
}

// Record records bytes that were read from somewhere else than Source.
func (h *HeadRecorder) Record(b []byte) {
	if free := MaxRecordedHead - len(h.recorded); free > 0 {
		h.recorded = append(h.recorded, b[:min(free, len(b))]...)
	}
}

// Reset begins with another message. A buffer that is larger than usual heads need is released.
func (h *HeadRecorder) Reset() {
	h.recorded = h.recorded[:0]
	if cap(h.recorded) > MaxRecordedHead/4 {
		h.recorded = nil
	}
}

// ChunkedWithoutLength reports whether the first heads, so many of them, were recorded whole and have
// no Content-Length.
func (h *HeadRecorder) ChunkedWithoutLength(heads int) bool {
	for line := range bytes.Lines(h.recorded) {
		if line[len(line)-1] != '\n' {
			return false // the head goes on
		}
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			if heads--; heads == 0 {
				return true
			}
			continue
		}
		name, _, _ := bytes.Cut(line, []byte{':'})
		if bytes.EqualFold(bytes.TrimSpace(name), contentLength) {
			return false
		}
	}
	return false
}

// HasPrefix reports whether the message begins with text.
func (h *HeadRecorder) HasPrefix(text string) bool { return bytes.HasPrefix(h.recorded, []byte(text)) }
