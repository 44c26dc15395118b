package httpmessage

import (
	"bytes"
	"io"
)

// MaxRecordedHead is how many bytes of a message HeadRecorder keeps. For a longer head,
// ChunkedWithoutLength returns false.
const MaxRecordedHead = 4 << 10

var contentLength = []byte("content-length")

// HeadRecorder keeps the first bytes of a message as they arrived. If a message has both a Content-Length
// and chunked encoding, net/http drops the length silently. Two parsers may then disagree on where the
// message ends, which allows request smuggling.
type HeadRecorder struct {
	Source   io.Reader // Read reads from it
	recorded []byte
}

// Read reads from Source and records what it reads.
func (h *HeadRecorder) Read(b []byte) (int, error) {
	n, err := h.Source.Read(b)
	h.Record(b[:n])
	return n, err
}

// Record records bytes that were not read through Read.
func (h *HeadRecorder) Record(b []byte) {
	if free := MaxRecordedHead - len(h.recorded); free > 0 {
		h.recorded = append(h.recorded, b[:min(free, len(b))]...)
	}
}

// Reset prepares for another message. It releases a buffer that is larger than usual heads need.
func (h *HeadRecorder) Reset() {
	h.recorded = h.recorded[:0]
	if cap(h.recorded) > MaxRecordedHead/4 {
		h.recorded = nil
	}
}

// ChunkedWithoutLength reports whether the first heads were recorded completely and have no
// Content-Length. heads is their number: informational responses have a head each.
func (h *HeadRecorder) ChunkedWithoutLength(heads int) bool {
	for line := range bytes.Lines(h.recorded) {
		if line[len(line)-1] != '\n' {
			return false // the recording ends within the head
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

// HasPrefix reports whether the recorded bytes begin with text.
func (h *HeadRecorder) HasPrefix(text string) bool { return bytes.HasPrefix(h.recorded, []byte(text)) }
