package upstream

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"barleywick/internal/mutation"
	"barleywick/internal/settings"
	"barleywick/policy"
)

// maxPromptWrite is how many bytes always fit the send buffer of an idle connection.
const maxPromptWrite = 4 << 10

// Gate decides in the moment of the act whether it may be done, and checks it afterwards.
type Gate interface {
	SinceStart(t time.Time) time.Duration
	MaySend(facts policy.SendFacts, now time.Time) policy.Denial
	CheckSent(facts policy.SendFacts, now time.Time, requestID string)
	MayStart(maxDuration time.Duration) policy.Denial
}

// Transport carries out attempts and probes over the connections of a pool.
type Transport struct {
	pool       *Pool
	gate       Gate
	probePath  string
	loadFields settings.LoadColumns
}

// NewTransport returns a transport that probes servers at probePath and reads the fields given of
// their load reports.
func NewTransport(p *Pool, gate Gate, probePath string, loadFields settings.LoadColumns) *Transport {
	return &Transport{pool: p, gate: gate, probePath: probePath, loadFields: loadFields}
}

// Pool returns the pool of the transport's connections.
func (t *Transport) Pool() *Pool { return t.pool }

// Response is a server's response to a request that was served.
type Response struct {
	Header http.Header
	Body   []byte
}

// Do carries out an attempt that has begun. The ending follows the protocol's table; a request whose
// last byte was not written has never run. The response is nil unless the ending is Served.
func (t *Transport) Do(a *Attempt) (policy.Ending, *Response) {
	defer a.cancel()
	defer a.cancelWrite()
	var x exchange
	c, err := t.pool.Acquire(a.writeCtx, a.Server)
	if err == nil {
		x, err = t.exchange(a.ctx, a.permit(), c, a.Request.outgoing(a.ctx))
	}
	if err != nil {
		return t.failure(a, x, err), nil
	}
	ending := endingOf(x.resp)
	if ending != policy.Served {
		return ending, nil
	}
	return ending, &Response{Header: x.resp.Header, Body: x.body}
}

// failure returns how an attempt ended that got no complete response.
func (t *Transport) failure(a *Attempt, x exchange, err error) policy.Ending {
	switch written := x.written(); {
	case !written && isNotSent(a.writeCtx, err):
		return policy.NotSent
	case !written:
		return policy.NoConnection
	case errors.Is(a.ctx.Err(), context.Canceled):
		return policy.Cancelled
	case errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		t.pool.noteUnresponsive(a.Server, x.writtenAt)
		return policy.TimedOut
	}
	return policy.Broken
}

// isNotSent reports whether the failure to write an attempt says nothing about the server: the attempt
// was given up, the server gets nothing new, or the limits here allowed no connection.
func isNotSent(writeCtx context.Context, err error) bool {
	return errors.Is(writeCtx.Err(), context.Canceled) || errors.Is(err, errCallerTimeout) || errors.Is(err, errLimitReached) ||
		errors.Is(err, errServerRemoved) || errors.Is(err, errServerDraining)
}

// endingOf returns how an attempt ended that got a complete response.
func endingOf(resp *http.Response) policy.Ending {
	switch resp.StatusCode {
	case http.StatusOK:
		return policy.Served
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("Not-Started") == "1" {
			return policy.Rejected
		}
	}
	return policy.Errored
}

// exchange is a request's way over a connection: as far as it came.
type exchange struct {
	writtenAt time.Time // when the write began; zero: the request was not written whole, and never ran
	resp      *http.Response
	body      []byte
}

func (x exchange) written() bool { return !x.writtenAt.IsZero() }

// exchange writes a request, if the permit allows it, and reads the complete response. It takes over
// the connection, gives it back to the pool, and closes it at once when ctx ends.
func (t *Transport) exchange(ctx context.Context, permit sendPermit, c *Conn, req *http.Request) (x exchange, err error) {
	b := c.borrowBuffers()
	b.limited.N = maxResponseHead
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer func() {
		allRead := c.returnBuffers()
		if err == nil {
			t.pool.noteResponse(c.server)
			if !allRead {
				t.pool.noteSurplus(c)
			}
		}
		// If stop is too late the connection has been closed, or is about to be.
		if stop() && err == nil && !x.resp.Close && allRead {
			t.pool.Release(c)
		} else {
			t.pool.Discard(c)
		}
	}()
	if err := req.Write(&b.request); err != nil {
		return x, fmt.Errorf("build request: %w", err)
	}
	writtenAt, err := t.writeRequest(permit, c, b.request.Bytes())
	if err != nil {
		return x, err
	}
	x.writtenAt = writtenAt
	for {
		if x.resp, x.body, err = b.readResponse(req); err != nil {
			return x, fmt.Errorf("read response: %w", err)
		}
		if x.resp.StatusCode != http.StatusOK || mutation.AcceptDuplicateResponses || !t.pool.isDuplicate(c, x.body) {
			return x, nil
		}
		b.nextResponse() // it was an earlier request's: this one's is still to come
	}
}

// writeRequest writes a request in one write, if the gate allows it, and returns when that began. A
// long write is cut off when the permission ends: a request that is not written whole never runs.
func (t *Transport) writeRequest(permit sendPermit, c *Conn, text []byte) (startedAt time.Time, err error) {
	state := t.pool.ServerState(c.server)
	facts := permit.facts(t.gate, state)
	startedAt = time.Now()
	if denial := t.gate.MaySend(facts, startedAt); denial != policy.Allowed {
		slog.Debug("gate: attempt not sent", "request", permit.requestID, "upstream", c.server.addr, "why", denial)
		return startedAt, denialError(denial, state)
	}
	long := len(text) > maxPromptWrite
	if long {
		defer context.AfterFunc(permit.writeCtx, func() { c.Close() })()
	}
	n, err := c.Write(text)
	if n < len(text) {
		if permit.writeCtx.Err() != nil {
			err = errors.Join(errCallerTimeout, err)
		}
		return startedAt, fmt.Errorf("write request: %w", err)
	}
	if long {
		c.awaitSent(permit.writeCtx)
	}
	t.gate.CheckSent(facts, time.Now(), permit.requestID)
	return startedAt, nil
}
