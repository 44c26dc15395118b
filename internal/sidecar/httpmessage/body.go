// Package httpmessage helps to read HTTP messages whose end must be unambiguous.
package httpmessage

import (
	"errors"
	"io"
	"strconv"
	"time"
)

// maxInitialAlloc is how many bytes are allocated for a body on the strength of its Content-Length alone,
// before any of it has arrived.
const maxInitialAlloc = 8 << 10

// ErrTooLarge is returned for a body that exceeds its limit.
var ErrTooLarge = errors.New("body too large")

// ReadToEnd reads a body of unknown length and at most limit bytes.
func ReadToEnd(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(b)) > limit {
		err = ErrTooLarge
	}
	return b, err
}

// ReadExactly reads a body of n bytes. It allocates little memory before bytes have arrived. Then it
// allocates the rest at once, as growing step by step would copy a large body repeatedly.
func ReadExactly(r io.Reader, n int64) ([]byte, error) {
	b := make([]byte, min(n, maxInitialAlloc))
	if _, err := io.ReadFull(r, b); err != nil || n <= maxInitialAlloc {
		return b, err
	}
	b = append(make([]byte, 0, n), b...)[:n]
	_, err := io.ReadFull(r, b[maxInitialAlloc:])
	return b, err
}

// FormatSeconds formats a duration for a header, in seconds with three decimals.
func FormatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
