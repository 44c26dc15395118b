package sidecar

import (
	"bytes"
	"io"
)

// maxRecordedHead is how much of a message is kept as it came. A longer head is not looked through.
const maxRecordedHead = 4 << 10

// headRecorder keeps the first bytes of a message as they came. A message may say where it ends by a
// length or by chunks; of one that says both net/http drops the length in silence. Two readers
// may see such a message end in two places, and what stands between them in one's body is the
// other's next message.
type headRecorder struct {
	source   io.Reader
	recorded []byte
}

func (t *headRecorder) Read(b []byte) (int, error) {
	n, err := t.source.Read(b)
	t.record(b[:n])
	return n, err
}

func (t *headRecorder) record(b []byte) {
	if room := maxRecordedHead - len(t.recorded); room > 0 {
		t.recorded = append(t.recorded, b[:min(room, len(b))]...)
	}
}

// reset begins with another message. What takes more than a usual head is let go.
func (t *headRecorder) reset() {
	t.recorded = t.recorded[:0]
	if cap(t.recorded) > maxRecordedHead/4 {
		t.recorded = nil
	}
}

var contentLength = []byte("content-length")

// chunkedWithoutLength says whether the first heads seen, so many of them, surely name no length.
func (t *headRecorder) chunkedWithoutLength(heads int) bool {
	for line := range bytes.Lines(t.recorded) {
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

// hasPrefix says whether what was seen hasPrefix with a text, as a head does with its first line.
func (t *headRecorder) hasPrefix(with string) bool { return bytes.HasPrefix(t.recorded, []byte(with)) }
