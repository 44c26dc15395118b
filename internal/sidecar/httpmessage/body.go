// Package httpmessage reads HTTP messages whose end has to be certain.
package httpmessage

import (
	"errors"
	"io"
	"strconv"
	"time"
)

// trustedLength is how many bytes are allocated for a body because of its stated length alone.
const trustedLength = 8 << 10

// ErrTooLarge is the error for a body over its limit.
var ErrTooLarge = errors.New("body too large")

// ReadToEnd reads a body that has no stated length, if it has at most limit bytes.
func ReadToEnd(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(b)) > limit {
		err = ErrTooLarge
	}
	return b, err
}

// ReadExactly reads a body of n bytes. A stated length takes little memory before bytes have arrived;
// then the rest is allocated at once, as growing step by step would copy a large body again and again.
func ReadExactly(r io.Reader, n int64) ([]byte, error) {
	b := make([]byte, min(n, trustedLength))
	if _, err := io.ReadFull(r, b); err != nil || n <= trustedLength {
		return b, err
	}
	b = append(make([]byte, 0, n), b...)[:n]
	_, err := io.ReadFull(r, b[trustedLength:])
	return b, err
}

// FormatSeconds formats a duration for a header: as seconds with three decimals.
func FormatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
