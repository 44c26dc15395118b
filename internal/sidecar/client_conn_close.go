package sidecar

import (
	"io"
	"log/slog"
	"syscall"
	"time"

	"barleywick/policy"
)

// mayClose asks whether the connection may be closed.
func (c *clientConn) mayClose(closing policy.CloseFacts) bool {
	if c.gate == nil {
		return closing.Decide() == policy.Allowed
	}
	return c.gate.mayClose(closing) == policy.Allowed
}

// Close ends the connection. What was read of a request has its answer before that, if only a
// refusal. Behind an answer that closes the connection there may be something unread, or on its
// way, such as the next request: a close over that is a reset, which can take the answer with it. So
// sending ends first, and what comes then is read for a moment, or until the client ends its side.
func (c *clientConn) Close() error {
	c.mu.Lock()
	told, taken := c.refusalSent, c.state == connBusy
	closing := policy.CloseFacts{RequestRead: c.responseOwed && c.state != connClosed, Answered: c.responseWritten.Load()}
	c.mu.Unlock()
	if told != nil {
		<-told // whoever dismissed it has answered, and closes it
		return nil
	}
	if closing.Decide() != policy.Allowed {
		text := refusedResponse
		if taken {
			text = failedResponse // it may have run
		}
		err := c.writeFinal(text)
		slog.Debug("answered as its connection ends", "client", c.RemoteAddr(), "taken", taken, "err", err)
		closing.Answered = err == nil || c.closedByClient() // nobody is owed anything who has gone
	}
	if c.gate != nil {
		c.gate.checkClosed(closing, c.RemoteAddr().String())
	}
	if c.responseWritten.Load() {
		c.lingeringClose()
	}
	return c.TCPConn.Close()
}

// Answers that are written past the HTTP server, to a connection that ends with them.
const (
	refusedResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	failedResponse  = "HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// writeFinal writes the one writeFinal that a request gets as its connection ends.
func (c *clientConn) writeFinal(text string) error {
	c.TCPConn.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, err := io.WriteString(c, text)
	return err
}

// lingeringClose ends sending, and reads what comes for a moment or until the client ends its side.
func (c *clientConn) lingeringClose() {
	if c.CloseWrite() == nil {
		c.TCPConn.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, c.TCPConn, maxBody)
	}
}

// closeIdle closes the connection unless a request of it has been taken or, where half
// a request is no reason to, something of the next one has been read. Where something was read it
// is not closed yet: the caller has to call dismiss, which answers first.
func (c *clientConn) closeIdle(half bool) (state connState, owed bool) {
	c.mu.Lock()
	closing := c.state != connClosed && c.mayClose(policy.CloseFacts{InProgress: c.state == connBusy, RequestRead: c.partialRead, Answered: half})
	if closing {
		c.state = connClosed
		if owed = c.responseOwed; owed {
			c.refusalSent = make(chan struct{})
		}
	}
	state = c.state
	c.mu.Unlock()
	if closing && !owed {
		c.TCPConn.Close() // at once, and without the lock: it waits for who reads
	}
	return state, owed
}

// refusePartial refuses what was read on a connection that closeIdle has marked, and closes it; in
// haste, without waiting for what is still on its way.
func (c *clientConn) refusePartial(haste bool) {
	defer close(c.refusalSent)
	slog.Debug("half a request refused", "client", c.RemoteAddr(), "after", time.Since(c.acceptedAt))
	if c.writeFinal(refusedResponse) == nil && !haste {
		c.lingeringClose()
	} else {
		c.discardUnread()
	}
	c.TCPConn.Close()
}

// maxDiscard bounds what is read of a request that is refused unread.
const maxDiscard = 16 << 10

// discardUnread reads what has come so far, without waiting for more: a connection
// that is closed with bytes unread is reset, and its client may lose the answer.
func (c *clientConn) discardUnread() {
	c.raw.Control(func(fd uintptr) {
		b := make([]byte, maxDiscard)
		syscall.Recvfrom(int(fd), b, syscall.MSG_DONTWAIT)
	})
}
