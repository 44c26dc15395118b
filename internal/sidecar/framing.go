package sidecar

import (
	"bytes"
	"io"
)

// maxTapped is how much of a message is kept as it came. A longer head is not looked through.
const maxTapped = 4 << 10

// tap keeps the first bytes of a message as they came. A message may say where it ends by a
// length or by chunks; of one that says both net/http drops the length in silence. Two readers
// may see such a message end in two places, and what stands between them in one's body is the
// other's next message.
type tap struct {
	from io.Reader
	seen []byte
}

func (t *tap) Read(b []byte) (int, error) {
	n, err := t.from.Read(b)
	t.note(b[:n])
	return n, err
}

func (t *tap) note(b []byte) {
	if room := maxTapped - len(t.seen); room > 0 {
		t.seen = append(t.seen, b[:min(room, len(b))]...)
	}
}

// restart begins with another message. What takes more than a usual head is let go.
func (t *tap) restart() {
	t.seen = t.seen[:0]
	if cap(t.seen) > maxTapped/4 {
		t.seen = nil
	}
}

var contentLength = []byte("content-length")

// chunksAlone says whether the first heads seen, so many of them, surely name no length.
func (t *tap) chunksAlone(heads int) bool {
	for line := range bytes.Lines(t.seen) {
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

// begins says whether what was seen begins with a text, as a head does with its first line.
func (t *tap) begins(with string) bool { return bytes.HasPrefix(t.seen, []byte(with)) }
