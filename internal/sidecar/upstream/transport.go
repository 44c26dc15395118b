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

// maxBufferedWrite is how many bytes always fit into the send buffer of an idle connection.
const maxBufferedWrite = 4 << 10

// Gate decides, immediately before the operation, whether a request may be sent or a probe started, and
// checks afterwards that the rules were kept.
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
	memory     *ResponseMemory // of responses; nil: it is not limited
}

// NewTransport returns a transport that probes servers at probePath and reads loadFields from their load
// reports.
func NewTransport(p *Pool, gate Gate, probePath string, loadFields settings.LoadColumns) *Transport {
	return &Transport{pool: p, gate: gate, probePath: probePath, loadFields: loadFields}
}

// LimitMemory makes the transport's responses take their memory from m. It is called before the first attempt.
func (t *Transport) LimitMemory(m *ResponseMemory) { t.memory = m }

// Pool returns the pool of the transport's connections.
func (t *Transport) Pool() *Pool { return t.pool }

// Response is a server's response to a request that was served. Release must be called once it is not needed any more.
type Response struct {
	Header http.Header
	Body   []byte
	hold   responseHold
}

// Release releases the memory that the response holds. Only one goroutine may call it, once.
func (r *Response) Release() {
	if r != nil {
		r.hold.release()
	}
}

// Do carries out an attempt after Begin. The ending is determined by the table in the protocol. A request
// whose last byte was not written has not run. The response is nil unless the ending is Served.
func (t *Transport) Do(a *Attempt) (policy.Ending, *Response) {
	defer a.cancel()
	defer a.cancelWrite()
	var x exchange
	c, err := t.pool.Acquire(a.writeCtx, a.Server)
	if err == nil {
		x, err = t.exchange(a.ctx, a.permit(), c, a.Request.outgoing(a.ctx))
	}
	if err != nil {
		x.hold.release()
		return t.failure(a, x, err), nil
	}
	ending := endingOf(x.resp)
	if ending != policy.Served {
		x.hold.release()
		return ending, nil
	}
	return ending, &Response{Header: x.resp.Header, Body: x.body, hold: x.hold}
}

// failure returns the ending of an attempt without a complete response.
func (t *Transport) failure(a *Attempt, x exchange, err error) policy.Ending {
	switch written := x.written(); {
	case !written && isNotSent(a.writeCtx, err):
		return policy.NotSent
	case !written:
		return policy.NoConnection
	case errors.Is(a.ctx.Err(), context.Canceled):
		return policy.Cancelled
	case errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		t.pool.handleUnresponsive(a.Server, x.writtenAt)
		return policy.TimedOut
	}
	return policy.Broken
}

// isNotSent reports whether an attempt was not written for a reason other than a failure of the server:
// the attempt was cancelled, the server is draining or removed, or the pool's limits allowed no connection.
func isNotSent(writeCtx context.Context, err error) bool {
	return errors.Is(writeCtx.Err(), context.Canceled) || errors.Is(err, errCallerTimeout) || errors.Is(err, errLimitReached) ||
		errors.Is(err, errServerRemoved) || errors.Is(err, errServerDraining)
}

// endingOf returns the ending of an attempt with a complete response.
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

// exchange is the progress of a request on a connection.
type exchange struct {
	writtenAt time.Time // when the write began; zero: the request was not written completely, and did not run
	resp      *http.Response
	body      []byte
	hold      responseHold // the memory of body
}

func (x exchange) written() bool { return !x.writtenAt.IsZero() }

// exchange writes a request, if the permit allows it, and reads the complete response. Afterwards it
// releases or discards the connection. It closes the connection at once when ctx ends.
func (t *Transport) exchange(ctx context.Context, permit sendPermit, c *Conn, req *http.Request) (x exchange, err error) {
	b := c.borrowBuffers()
	b.limited.N = maxResponseHead
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer func() {
		allRead := c.returnBuffers()
		if err == nil {
			t.pool.recordResponse(c.server)
			if !allRead {
				t.pool.recordSurplus(c)
			}
		}
		// If stop returns false, the connection has been closed or is about to be.
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
	b.dropLongRequest()
	for {
		x.hold.memory = t.memory
		if x.resp, x.body, err = b.readResponse(ctx, req, &x.hold); err != nil {
			return x, fmt.Errorf("read response: %w", err)
		}
		if x.resp.StatusCode != http.StatusOK || mutation.AcceptDuplicateResponses || !t.pool.isDuplicate(c, x.body) {
			return x, nil
		}
		x.hold.release()
		b.prepareNextResponse() // a duplicate of an earlier response: the response to this request is yet to arrive
	}
}

// writeRequest writes a request in one write, if the gate allows it, and returns the time at which the
// write began. A long write is cut off when the permit ends, since a server does not run a request that
// it has not received completely.
func (t *Transport) writeRequest(permit sendPermit, c *Conn, text []byte) (startedAt time.Time, err error) {
	state := t.pool.ServerState(c.server)
	facts := permit.facts(t.gate, state)
	startedAt = time.Now()
	if denial := t.gate.MaySend(facts, startedAt); denial != policy.Allowed {
		slog.Debug("gate: attempt not sent", "request", permit.requestID, "upstream", c.server.addr, "why", denial)
		return startedAt, denialError(denial, state)
	}
	long := len(text) > maxBufferedWrite
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
