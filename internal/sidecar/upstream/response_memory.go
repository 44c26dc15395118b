package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"golang.org/x/sync/semaphore"

	"barleywick/internal/sidecar/httpmessage"
)

const (
	// maxUnreservedResponse is the length up to which the memory of a body is not reserved.
	maxUnreservedResponse = 8 << 10
	// usualResponse is the longest body by the protocol.
	usualResponse = 64 << 10
)

// errNoMemory is returned for a response that is longer than the protocol allows while others of that kind take all
// memory that there is for them.
var errNoMemory = errors.New("the memory for long responses is used up")

// ResponseMemory bounds the memory of the responses that were read and not yet written to their clients.
type ResponseMemory struct {
	all      *semaphore.Weighted
	oversize *semaphore.Weighted // of all, those over usualResponse

	Waited  atomic.Uint64 // responses whose reading had to wait
	Refused atomic.Uint64 // responses over the protocol's length that were not read
}

// NewResponseMemory returns a ResponseMemory for a number of bytes, and for how many of these responses over the
// protocol's length may take. Each is at least as large as one response.
func NewResponseMemory(all, oversize int64) *ResponseMemory {
	oversize = max(oversize, MaxResponseBody)
	return &ResponseMemory{all: semaphore.NewWeighted(max(all, oversize+usualResponse)), oversize: semaphore.NewWeighted(oversize)}
}

// responseHold is what one response holds of a ResponseMemory. The zero value holds nothing.
type responseHold struct {
	memory   *ResponseMemory
	all      int64
	oversize int64
}

// grow makes the hold cover a body of length bytes. It waits for memory until ctx ends.
func (h *responseHold) grow(ctx context.Context, length int64) error {
	if h.memory == nil || length <= maxUnreservedResponse || length <= h.all {
		return nil
	}
	if length > usualResponse && h.oversize == 0 {
		if !h.memory.oversize.TryAcquire(length) {
			h.memory.Refused.Add(1)
			return errNoMemory
		}
		h.oversize = length
	}
	more := length - h.all
	if !h.memory.all.TryAcquire(more) {
		h.memory.Waited.Add(1)
		if err := h.memory.all.Acquire(ctx, more); err != nil {
			return err
		}
	}
	h.all = length
	return nil
}

// release releases what is held.
func (h *responseHold) release() {
	if h.memory == nil {
		return
	}
	h.memory.all.Release(h.all)
	h.memory.oversize.Release(h.oversize)
	h.all, h.oversize = 0, 0
}

// readBody reads a body and returns an error unless it is complete. The end of the body is given by its length, by its
// last chunk or, without either, by an orderly close of the connection, but not by a reset or by reaching the limit.
// Its memory is held by h.
func (h *responseHold) readBody(ctx context.Context, resp *http.Response) ([]byte, error) {
	if resp.ContentLength > MaxResponseBody {
		return nil, httpmessage.ErrTooLarge
	}
	if resp.ContentLength >= 0 {
		if err := h.grow(ctx, resp.ContentLength); err != nil {
			return nil, err
		}
		return httpmessage.ReadExactly(resp.Body, resp.ContentLength)
	}
	return h.readToEnd(ctx, resp.Body)
}

// readToEnd reads a body of unknown length, whose memory it reserves in three steps.
func (h *responseHold) readToEnd(ctx context.Context, body io.Reader) ([]byte, error) {
	var text bytes.Buffer
	for _, limit := range []int64{maxUnreservedResponse, usualResponse, MaxResponseBody} {
		if err := h.grow(ctx, limit); err != nil {
			return nil, err
		}
		n, err := io.CopyN(&text, body, limit-int64(text.Len()))
		if errors.Is(err, io.EOF) {
			return text.Bytes(), nil
		}
		if err != nil || n == 0 {
			return nil, err
		}
	}
	if n, err := io.CopyN(io.Discard, body, 1); n == 0 && errors.Is(err, io.EOF) {
		return text.Bytes(), nil
	} else if err != nil {
		return nil, err
	}
	return nil, httpmessage.ErrTooLarge
}
