package sidecar

import (
	"errors"
	"io"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"barleywick/internal/httpinput"
	"barleywick/internal/mutation"
	"barleywick/internal/socket"
	"barleywick/policy"
)

// Responses that are written directly to a connection, without the HTTP server; the connection is closed
// after them.
const (
	refusedResponse = httpinput.UnavailableResponse
	failedResponse  = "HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// maxDiscard is the maximum number of bytes that discardUnread drops.
const maxDiscard = 16 << 10

// mayClose reports whether the gate permits closing the connection.
func (c *clientConn) mayClose(facts policy.CloseFacts) bool {
	if c.gate == nil {
		return facts.Decide() == policy.Allowed
	}
	return c.gate.MayClose(facts) == policy.Allowed
}

// Close closes the connection. If a request was read, at least in part, and has no response yet, Close
// answers it first. After a response it does a lingering close: the next request may be unread or in
// transit, and closing a socket with unread bytes resets the connection, so that the client may lose the
// response.
func (c *clientConn) Close() error {
	c.mu.Lock()
	refusalSent, busy := c.refusalSent, c.state == connBusy
	facts := policy.CloseFacts{RequestRead: c.responsePending && c.state != connClosed, Answered: c.responseWritten.Load()}
	c.mu.Unlock()
	if refusalSent != nil {
		<-refusalSent // refusePartial closes the connection
		return nil
	}
	if facts.Decide() != policy.Allowed && !mutation.CloseWithoutAnswer {
		response := c.refusal()
		if busy {
			response = failedResponse // the request may have run
		}
		err := c.writeFinal(response)
		slog.Debug("client: request answered at connection close", "client", c.RemoteAddr(), "in_progress", busy, "err", err)
		facts.Answered = err == nil || c.ClosedByClient() // a disconnected client needs no response
	}
	if c.gate != nil {
		c.gate.CheckClosed(facts, c.RemoteAddr().String())
	}
	if c.responseWritten.Load() {
		c.lingerBeforeClose()
	}
	return c.TCPConn.Close()
}

// refusal returns the response to a request that was read in part.
func (c *clientConn) refusal() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.input == nil {
		return refusedResponse
	}
	return c.input.Refusal()
}

// releaseInput releases the memory of a request that was read in part, when the connection has ended.
func (c *clientConn) releaseInput() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.input != nil {
		c.input.Release()
	}
}

// writeFinal writes the last response on the connection.
func (c *clientConn) writeFinal(response string) error {
	c.TCPConn.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, err := io.WriteString(c, response)
	return err
}

// lingerBeforeClose closes the sending side, then reads until the client closes its side or lingerTimeout
// has passed. The caller closes the connection.
func (c *clientConn) lingerBeforeClose() {
	if c.CloseWrite() == nil {
		c.TCPConn.SetReadDeadline(time.Now().Add(lingerTimeout))
		c.discard(maxBody)
	}
}

// discardBuffers holds buffers for bytes that are dropped.
var discardBuffers = sync.Pool{New: func() any { return new([4 << 10]byte) }}

// discard reads and drops limit bytes, or fewer if the client closes its side or the read deadline passes. It
// holds no memory while it waits.
func (c *clientConn) discard(limit int) {
	_ = c.raw.Read(func(fd uintptr) (done bool) { // the connection is closed next, in any case
		buffer := discardBuffers.Get().(*[4 << 10]byte)
		defer discardBuffers.Put(buffer)
		for limit > 0 {
			n, err := socket.Read(fd, buffer[:])
			if errors.Is(err, syscall.EAGAIN) {
				return false
			}
			if err != nil || n == 0 {
				return true
			}
			limit -= n
		}
		return true
	})
}

// closeIdle closes the connection unless a request is in progress. If part of the next request has been
// read, it closes the connection only if includePartial is set. It returns the resulting state. If
// refusalPending is true, the connection is only marked as closed, and the caller must call
// refusePartial, which closes it.
func (c *clientConn) closeIdle(includePartial bool) (state connState, refusalPending bool) {
	c.mu.Lock()
	facts := policy.CloseFacts{InProgress: c.state == connBusy, RequestRead: c.partialRead, Answered: includePartial}
	closing := c.state != connClosed && c.mayClose(facts)
	if closing {
		c.state = connClosed
		if refusalPending = c.responsePending; refusalPending {
			c.refusalSent = make(chan struct{})
		}
	}
	state = c.state
	c.mu.Unlock()
	if closing && !refusalPending {
		c.TCPConn.Close() // without the lock: Close waits for a read in progress
	}
	return state, refusalPending
}

// refusePartial refuses the partial request on a connection that closeIdle has marked as closed, and
// closes the connection: with a lingering close, or at once if immediately is set.
func (c *clientConn) refusePartial(immediately bool) {
	defer close(c.refusalSent)
	slog.Debug("client: partial request refused", "client", c.RemoteAddr(), "after", time.Since(c.acceptedAt))
	if c.writeFinal(c.refusal()) == nil && !immediately {
		c.lingerBeforeClose()
	} else {
		c.discardUnread()
	}
	c.TCPConn.Close()
}

// discardUnread drops the bytes that have arrived, without waiting for more. Closing a socket with unread
// bytes resets the connection, so that the client may lose a response in transit.
func (c *clientConn) discardUnread() {
	c.raw.Control(func(fd uintptr) {
		syscall.Recvfrom(int(fd), make([]byte, maxDiscard), syscall.MSG_DONTWAIT)
	})
}
