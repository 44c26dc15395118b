package sidecar

import (
	"bufio"
	"bytes"
	"io"
	"sync"
)

// exchangeBuffers are what a connection needs while it carries a request and not while it is idle.
type exchangeBuffers struct {
	limited io.LimitedReader // bounds what one answer may bring
	head    headRecorder     // what came first, read through limit
	reader  *bufio.Reader    // reads through heads
	request bytes.Buffer     // a request is gathered here, so that it goes out in one write
}

// maxPooledRequest is how large a request's buffer may be to be used again.
const maxPooledRequest = 8 << 10

var bufferPool = sync.Pool{New: func() any {
	b := new(exchangeBuffers)
	b.reader = bufio.NewReader(&b.limited)
	return b
}}

// borrowBuffers gives a connection buffers for one exchange.
func (c *upstreamConn) borrowBuffers() *exchangeBuffers {
	b := bufferPool.Get().(*exchangeBuffers)
	b.limited.R, b.head.source = c.Conn, &b.limited
	b.head.reset()
	b.reader.Reset(&b.head)
	b.request.Reset()
	c.buffers = b
	return b
}

// returnBuffers takes them back, and says whether all that came had been read.
func (c *upstreamConn) returnBuffers() (clean bool) {
	b := c.buffers
	c.buffers = nil
	clean = b.reader.Buffered() == 0
	b.limited.R = nil
	if b.request.Cap() <= maxPooledRequest {
		bufferPool.Put(b)
	}
	return clean
}
