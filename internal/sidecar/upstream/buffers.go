package upstream

import (
	"bufio"
	"bytes"
	"io"
	"sync"

	"barleywick/internal/sidecar/httpmessage"
)

// maxPooledRequest is the largest capacity of a request buffer that is returned to bufferPool.
const maxPooledRequest = 8 << 10

// exchangeBuffers holds the buffers that a connection needs only while it carries a request.
type exchangeBuffers struct {
	limited io.LimitedReader         // limits the size of one response
	head    httpmessage.HeadRecorder // reads from limited
	reader  *bufio.Reader            // reads from head
	request bytes.Buffer             // the request, which is written in one write
}

var bufferPool = sync.Pool{New: func() any {
	b := new(exchangeBuffers)
	b.reader = bufio.NewReader(&b.limited)
	return b
}}

// borrowBuffers takes buffers for one exchange from the pool.
func (c *Conn) borrowBuffers() *exchangeBuffers {
	b := bufferPool.Get().(*exchangeBuffers)
	b.limited.R, b.head.Source = c.Conn, &b.limited
	b.head.Reset()
	b.reader.Reset(&b.head)
	b.request.Reset()
	c.buffers = b
	return b
}

// returnBuffers returns the buffers to the pool. It reports whether all buffered input had been read.
func (c *Conn) returnBuffers() (allRead bool) {
	b := c.buffers
	c.buffers = nil
	allRead = b.reader.Buffered() == 0
	b.limited.R = nil
	if b.request.Cap() <= maxPooledRequest {
		bufferPool.Put(b)
	}
	return allRead
}
