package upstream

import (
	"bufio"
	"bytes"
	"io"
	"sync"

	"barleywick/internal/sidecar/httpmessage"
)

// maxPooledRequest is the largest capacity of a request buffer that bufferPool takes back.
const maxPooledRequest = 8 << 10

// exchangeBuffers are what a connection needs while it carries a request, and not while it is idle.
type exchangeBuffers struct {
	limited io.LimitedReader         // limits what one response may take
	head    httpmessage.HeadRecorder // reads from limited
	reader  *bufio.Reader            // reads from head
	request bytes.Buffer             // the request, so that it is written at once
}

var bufferPool = sync.Pool{New: func() any {
	b := new(exchangeBuffers)
	b.reader = bufio.NewReader(&b.limited)
	return b
}}

// borrowBuffers gives the connection buffers for one exchange.
func (c *Conn) borrowBuffers() *exchangeBuffers {
	b := bufferPool.Get().(*exchangeBuffers)
	b.limited.R, b.head.Source = c.Conn, &b.limited
	b.head.Reset()
	b.reader.Reset(&b.head)
	b.request.Reset()
	c.buffers = b
	return b
}

// returnBuffers ends the exchange. It reports whether everything that arrived had been read.
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
