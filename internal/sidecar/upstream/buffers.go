package upstream

import (
	"bufio"
	"bytes"
	"io"
	"sync"

	"barleywick/internal/sidecar/httpmessage"
)

// maxPooledRequest is the largest capacity of a request buffer that is kept while the response is awaited.
const maxPooledRequest = 8 << 10

// exchangeBuffers holds the buffers that a connection needs only while it carries a request.
type exchangeBuffers struct {
	limited io.LimitedReader         // limits the size of one response
	head    httpmessage.HeadRecorder // reads from limited
	lines   headLimiter              // reads from head
	reader  *bufio.Reader            // reads from lines
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
	b.limited.R, b.head.Source, b.lines.source = c.Conn, &b.limited, &b.head
	b.head.Reset()
	b.reader.Reset(&b.lines)
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
	b.dropLongRequest()
	bufferPool.Put(b)
	return allRead
}

// dropLongRequest releases the memory of a long request, which is not needed once the request was written.
func (b *exchangeBuffers) dropLongRequest() {
	if b.request.Cap() > maxPooledRequest {
		b.request = bytes.Buffer{}
	}
}
