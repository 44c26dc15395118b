package sidecar

import (
	"bytes"
	"io"
)

// maxRecordedHead limits what headRecorder keeps. A longer head is not checked.
const maxRecordedHead = 4 << 10

var contentLength = []byte("content-length")

// headRecorder keeps the first bytes of a message as they arrived. A message may state its length or
// be chunked; if it does both, net/http drops the length silently. Two readers may then see the end of
// the message in two places, and a request may hide between them in what one of them takes for the body.
type headRecorder struct {
	source   io.Reader // of Read
	recorded []byte
}

// Read reads from source and records what it reads.
func (h *headRecorder) Read(b []byte) (int, error) {
	n, err := h.source.Read(b)
	h.record(b[:n])
	return n, err
}

func (h *headRecorder) record(b []byte) {
	if free := maxRecordedHead - len(h.recorded); free > 0 {
		h.recorded = append(h.recorded, b[:min(free, len(b))]...)
	}
}

// reset begins with another message. A buffer that is larger than usual heads need is released.
func (h *headRecorder) reset() {
	h.recorded = h.recorded[:0]
	if cap(h.recorded) > maxRecordedHead/4 {
		h.recorded = nil
	}
}

// chunkedWithoutLength reports whether the first heads, so many of them, were recorded whole and have
// no Content-Length.
func (h *headRecorder) chunkedWithoutLength(heads int) bool {
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

// hasPrefix reports whether the message begins with text.
func (h *headRecorder) hasPrefix(text string) bool { return bytes.HasPrefix(h.recorded, []byte(text)) }
