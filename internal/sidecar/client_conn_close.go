package sidecar

import (
	"io"
	"log/slog"
	"syscall"
	"time"

	"barleywick/internal/mutation"
	"barleywick/policy"
)

// Responses that are written without the HTTP server, to a connection that is closed behind them.
const (
	refusedResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	failedResponse  = "HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// maxDiscard limits what is discarded of an unread request.
const maxDiscard = 16 << 10

// mayClose asks the gate.
func (c *clientConn) mayClose(facts policy.CloseFacts) bool {
	if c.gate == nil {
		return facts.Decide() == policy.Allowed
	}
	return c.gate.MayClose(facts) == policy.Allowed
}

// Close answers what was read of a request, if it has no response yet, and closes the connection.
// After a response the close lingers: the next request may be unread or on its way, and a close over
// it would reset the connection, which can destroy the response.
func (c *clientConn) Close() error {
	c.mu.Lock()
	refusalSent, busy := c.refusalSent, c.state == connBusy
	facts := policy.CloseFacts{RequestRead: c.responseOwed && c.state != connClosed, Answered: c.responseWritten.Load()}
	c.mu.Unlock()
	if refusalSent != nil {
		<-refusalSent // refusePartial closes it
		return nil
	}
	if facts.Decide() != policy.Allowed && !mutation.CloseWithoutAnswer {
		response := refusedResponse
		if busy {
			response = failedResponse // it may have run
		}
		err := c.writeFinal(response)
		slog.Debug("client: request answered at connection close", "client", c.RemoteAddr(), "in_progress", busy, "err", err)
		facts.Answered = err == nil || c.ClosedByClient() // a client that has gone is owed nothing
	}
	if c.gate != nil {
		c.gate.CheckClosed(facts, c.RemoteAddr().String())
	}
	if c.responseWritten.Load() {
		c.lingerBeforeClose()
	}
	return c.TCPConn.Close()
}

// writeFinal writes the connection's last response.
func (c *clientConn) writeFinal(response string) error {
	c.TCPConn.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, err := io.WriteString(c, response)
	return err
}

// lingerBeforeClose closes the sending side, and reads until the client closes its own, for a while. The
// caller closes the connection.
func (c *clientConn) lingerBeforeClose() {
	if c.CloseWrite() == nil {
		c.TCPConn.SetReadDeadline(time.Now().Add(lingerTimeout))
		discard(c.TCPConn, maxBody)
	}
}

// discard reads up to limit bytes and drops them.
func discard(r io.Reader, limit int64) { io.CopyN(io.Discard, r, limit) }

// closeIdle closes the connection unless a request is in progress or, without evenPartial, a part of
// the next one has been read. It returns the state that the connection has then. If refusalOwed, the
// connection is marked as closed, and the caller has to call refusePartial, which closes it.
func (c *clientConn) closeIdle(evenPartial bool) (state connState, refusalOwed bool) {
	c.mu.Lock()
	facts := policy.CloseFacts{InProgress: c.state == connBusy, RequestRead: c.partialRead, Answered: evenPartial}
	closing := c.state != connClosed && c.mayClose(facts)
	if closing {
		c.state = connClosed
		if refusalOwed = c.responseOwed; refusalOwed {
			c.refusalSent = make(chan struct{})
		}
	}
	state = c.state
	c.mu.Unlock()
	if closing && !refusalOwed {
		c.TCPConn.Close() // without the lock: it waits for a read in progress
	}
	return state, refusalOwed
}

// refusePartial refuses the partial request on a connection that closeIdle has marked as closed, and
// closes it: after lingering, or at once if immediately is set.
func (c *clientConn) refusePartial(immediately bool) {
	defer close(c.refusalSent)
	slog.Debug("client: partial request refused", "client", c.RemoteAddr(), "after", time.Since(c.acceptedAt))
	if c.writeFinal(refusedResponse) == nil && !immediately {
		c.lingerBeforeClose()
	} else {
		c.discardUnread()
	}
	c.TCPConn.Close()
}

// discardUnread drops what has arrived, without waiting for more: a close over unread bytes resets the
// connection, which can destroy a response on its way.
func (c *clientConn) discardUnread() {
	c.raw.Control(func(fd uintptr) {
		syscall.Recvfrom(int(fd), make([]byte, maxDiscard), syscall.MSG_DONTWAIT)
	})
}
