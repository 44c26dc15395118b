package upstream

import (
	"errors"
	"io"

	"barleywick/internal/httpinput"
)

// errTooManyFields is returned for a response with more header fields than allowed.
var errTooManyFields = errors.New("response has too many header fields")

// headLimiter passes on the bytes of responses and limits the number of lines in a head: a field takes far more
// memory once it is parsed than its bytes.
type headLimiter struct {
	source io.Reader
	inHead bool
	lines  int // lines of the head so far
	length int // bytes of the current line, without its end
}

// expectHead begins a head.
func (l *headLimiter) expectHead() { l.inHead, l.lines, l.length = true, 0, 0 }

// Read reads from the source.
func (l *headLimiter) Read(b []byte) (int, error) {
	n, err := l.source.Read(b)
	for _, char := range b[:n] {
		if !l.inHead {
			break
		}
		if l.step(char); l.lines > httpinput.MaxHeadFields {
			return 0, errTooManyFields
		}
	}
	return n, err
}

// step takes one byte of a head.
func (l *headLimiter) step(char byte) {
	switch char {
	case '\n':
		l.inHead = l.length > 0
		l.lines++
		l.length = 0
	case '\r':
	default:
		l.length++
	}
}
