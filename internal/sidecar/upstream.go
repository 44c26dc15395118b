package sidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"net/url"
	"time"

	"barleywick/internal/settings"
	"barleywick/internal/sidecar/gate"
	"barleywick/internal/sidecar/httpmessage"
	"barleywick/policy"
)

// maxBody is what a request may hold.
const maxBody = 64 << 10

// What is read for one answer is bounded. Upstreams send bodies of several times
// what the protocol names; 1 MiB of them can be held for as many as are out.
const (
	maxResponseHead = 128 << 10 // interim answers included
	MaxResponseBody = 1 << 20
	maxResponseWire = 2 * MaxResponseBody // chunks take room too
)

// maxLoadReport bounds the body of a probe's answer that is looked at.
const maxLoadReport = 4 << 10

// attempt is one try of a request at one upstream. The event loop makes it; a
// goroutine of its own carries it out and reports its end once.
type attempt struct {
	req            *request
	number         int
	server         *Server
	host           *endpoint       // the loop's; nil where it was never sent
	ctx            context.Context // ends when the attempt is given up
	cancel         context.CancelFunc
	writeCtx       context.Context // ends, with ctx or before it, when nothing may be written any more
	cancelWrite    context.CancelFunc
	startedAt      time.Time
	repeatDeadline time.Time // it is a repeat that begins before this; zero: no bound
}

// newAttempt makes the next attempt of a request, given up at until. Its request is written
// before start, where that is not zero, or not at all.
func newAttempt(life context.Context, r *request, until, start time.Time) *attempt {
	a := &attempt{req: r, number: len(r.attempts), startedAt: time.Now(), repeatDeadline: start}
	a.ctx, a.cancel = context.WithDeadline(life, until)
	if start.IsZero() {
		a.writeCtx, a.cancelWrite = context.WithCancel(a.ctx)
	} else {
		a.writeCtx, a.cancelWrite = context.WithDeadline(a.ctx, start)
	}
	return a
}

// sendPermit is what a request's write depends on in the moment of the write.
type sendPermit struct {
	requestID      string
	writeCtx       context.Context // ends when nothing may be written any more
	deadline       time.Time       // the client waits until then; zero: there is none
	repeatDeadline time.Time       // what may have run may be repeated until then; zero: nothing has run
	clientGone     func() bool     // whether the client has left; nil: there is none
}

func (a *attempt) permit() sendPermit {
	return sendPermit{requestID: a.req.externalID, writeCtx: a.writeCtx, deadline: a.req.deadline(), repeatDeadline: a.repeatDeadline, clientGone: a.req.clientLeft}
}

// sending is what is known of a write now.
func (p sendPermit) sending(g *gate.Gate, server policy.EndpointState) policy.SendFacts {
	s := policy.SendFacts{
		ClientDeadline: g.SinceStart(p.deadline), ShutdownDeadline: policy.NoLimit, RepeatDeadline: g.SinceStart(p.repeatDeadline), ServerState: server,
		MayHaveRun: !p.repeatDeadline.IsZero(), Repeatable: true,
	}
	s.Answered = p.writeCtx.Err() != nil
	if until, ok := p.writeCtx.Deadline(); ok { // the timer that ends the context may be late, the clock is not
		s.ClientDeadline = min(s.ClientDeadline, g.SinceStart(until))
	}
	s.ClientGone = p.clientGone != nil && p.clientGone()
	return s
}

// deniedError is the error for a write that may not be.
func deniedError(why policy.Denial, server policy.EndpointState) error {
	switch {
	case why != policy.DeniedServerNotReady:
		return fmt.Errorf("%w: %v", errCallerTimeout, why)
	case server == policy.Removed:
		return errServerRemoved
	}
	return errServerDraining
}

// response is what a client gets.
type response struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration // refused: how long to stay away
}

// Transport carries out attempts and probes over one pool of connections.
type Transport struct {
	pool       *Pool
	gate       *gate.Gate
	loadFields settings.LoadColumns
	statsPath  string
}

func NewTransport(p *Pool) *Transport {
	return &Transport{pool: p, gate: gate.New(), statsPath: "/health/live"}
}

// Do carries an attempt out. What it returns follows the protocol's table: as
// long as the request's last byte has not been written, it never ran.
func (u *Transport) Do(a *attempt) (policy.Ending, *response) {
	defer a.cancel()
	defer a.cancelWrite()
	var resp *http.Response
	var body []byte
	var written time.Time
	c, err := u.pool.Acquire(a.writeCtx, a.server)
	if err == nil {
		resp, body, written, err = u.exchange(a.ctx, a.permit(), c, a.req.upstreamRequest(a.ctx))
	}
	switch wrote := !written.IsZero(); {
	case err != nil && !wrote && isNotSent(a.writeCtx, err):
		return policy.NotSent, nil
	case err != nil && !wrote:
		return policy.NoConnection, nil
	case err != nil && errors.Is(a.ctx.Err(), context.Canceled):
		return policy.Cancelled, nil
	case err != nil && errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		u.pool.noteUnresponsive(a.server, written)
		return policy.TimedOut, nil
	case err != nil:
		return policy.Broken, nil
	case resp.StatusCode == http.StatusOK:
		return policy.Served, &response{status: http.StatusOK, header: resp.Header, body: body}
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("Not-Started") == "1":
		return policy.Rejected, nil
	}
	return policy.Errored, nil
}

// isNotSent says whether an attempt that got no connection is no word against the
// upstream: nobody waited for it any more, the upstream drains or has left the
// list, or the limits here had no connection to give.
func isNotSent(begin context.Context, err error) bool {
	return errors.Is(begin.Err(), context.Canceled) || errors.Is(err, errCallerTimeout) || errors.Is(err, errLimitReached) ||
		errors.Is(err, errServerRemoved) || errors.Is(err, errServerDraining)
}

// exchange writes one request and reads the whole answer. It takes the
// connection over: back to the pool where it can be used again, closed where
// not, and closed at once when ctx ends; nothing is written without permission.
// written is when the request's last byte was to be written, or zero if it was not;
// else no upstream can have begun it.
func (u *Transport) exchange(ctx context.Context, may sendPermit, c *Conn, req *http.Request) (
	resp *http.Response, body []byte, written time.Time, err error,
) {
	b := c.borrowBuffers()
	b.limited.N = maxResponseHead
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer func() {
		clean := c.returnBuffers()
		if err == nil {
			u.pool.noteResponse(c.server)
			if !clean {
				u.pool.noteSurplus(c)
			}
		}
		// If stop comes too late the connection is closed, or about to be.
		if stop() && err == nil && !resp.Close && clean {
			u.pool.Release(c)
		} else {
			u.pool.Discard(c)
		}
	}()
	if err := req.Write(&b.request); err != nil {
		return nil, nil, written, fmt.Errorf("build request: %w", err)
	}
	if written, err = u.writeRequest(may, c, b.request.Bytes()); err != nil {
		return nil, nil, time.Time{}, err
	}
	for {
		if resp, body, err = b.readResponse(req); err != nil {
			return nil, nil, written, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode != http.StatusOK || !u.pool.isDuplicate(c, body) {
			return resp, body, written, nil
		}
		b.nextResponse() // it was the last request's: this one's is still to come
	}
}

// maxPromptWrite is what always fits the send buffer of a connection that is idle.
const maxPromptWrite = 4 << 10

// writeRequest writes a request if the gate lets it, in one writeRequest, and returns when it began. One that
// takes long ends, half written, when its permission does: what is not whole never runs.
func (u *Transport) writeRequest(may sendPermit, c *Conn, text []byte) (begun time.Time, err error) {
	server := u.pool.ServerState(c.server)
	sending := may.sending(u.gate, server)
	begun = time.Now()
	if why := u.gate.MaySend(sending, begun); why != policy.Allowed {
		slog.Debug("attempt not sent", "request", may.requestID, "upstream", c.server.addr, "why", why)
		return begun, deniedError(why, server)
	}
	long := len(text) > maxPromptWrite
	if long {
		defer context.AfterFunc(may.writeCtx, func() { c.Close() })()
	}
	n, err := c.Write(text)
	if n < len(text) {
		if may.writeCtx.Err() != nil {
			err = errors.Join(errCallerTimeout, err)
		}
		return begun, fmt.Errorf("write request: %w", err)
	}
	if long {
		c.awaitSent(may.writeCtx)
	}
	u.gate.CheckSent(sending, time.Now(), may.requestID)
	return begun, nil
}

// maxInformational is how many interim answers are passed over.
const maxInformational = 5

// readResponse reads one whole answer.
func (b *exchangeBuffers) readResponse(req *http.Request) (resp *http.Response, body []byte, err error) {
	informational := 0
	for ; ; informational++ {
		if resp, err = http.ReadResponse(b.reader, req); err != nil {
			return nil, nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			break
		}
		if informational == maxInformational || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, nil, fmt.Errorf("unexpected status %d", resp.StatusCode)
		}
	}
	if len(resp.TransferEncoding) > 0 && !b.head.ChunkedWithoutLength(informational+1) {
		return nil, nil, errors.New("chunks, and it may name a length")
	}
	b.limited.N = maxResponseWire
	// The body is not closed: that would read on in one that is too large. What
	// is not read to its end ends with its connection.
	body, err = readResponseBody(resp)
	return resp, body, err
}

// nextResponse begins with another answer on the same connection.
func (b *exchangeBuffers) nextResponse() {
	b.limited.N = maxResponseHead
	b.head.Reset()
}

// readResponseBody reads an answer's body if the answer proves to be whole: by its length, by
// its last chunk, or, where it has neither, by its connection's orderly end. A reset is
// no end, and neither is the bound on what is read.
func readResponseBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > MaxResponseBody {
		return nil, httpmessage.ErrTooLarge
	}
	if resp.ContentLength >= 0 {
		return httpmessage.ReadExactly(resp.Body, resp.ContentLength)
	}
	return httpmessage.ReadToEnd(resp.Body, MaxResponseBody)
}

// timeoutMargin is what a server is told less than there is left: the request was read a moment after
// its client had sent it, and this process may be held up before the write.
const timeoutMargin = 50 * time.Millisecond

// upstreamRequest is the client's request as it goes to an upstream: unchanged, but for
// how long the sidecar will wait.
func (r *request) upstreamRequest(ctx context.Context) *http.Request {
	out := &http.Request{
		Method: r.method, URL: r.url, Host: r.host, Header: maps.Clone(r.header),
		ContentLength: int64(len(r.body)),
	}
	if len(r.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.body))
	}
	if until, ok := ctx.Deadline(); ok {
		left := time.Until(until)
		left = max(left-min(timeoutMargin, left/4), time.Millisecond)
		out.Header["Request-Timeout"] = []string{httpmessage.FormatSeconds(left)}
	}
	return out
}

// Probe asks an upstream for a sign of life and its load. Without any answer in
// the time that a connection may take to come up, it has failed.
func (u *Transport) Probe(ctx context.Context, to *Server) (ok bool, load policy.LoadReport) {
	load = policy.UnknownLoad
	ctx, cancel := context.WithTimeout(ctx, u.pool.dialTimeout)
	defer cancel()
	if u.gate.MayStart(u.pool.dialTimeout) != policy.Allowed {
		return false, load
	}
	c, err := u.pool.Acquire(ctx, to)
	if err != nil {
		return false, load
	}
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: u.statsPath}, Host: to.addr,
		Header: http.Header{"User-Agent": {""}},
	}
	resp, body, written, err := u.exchange(ctx, sendPermit{requestID: "probe", writeCtx: ctx}, c, req)
	if ctx.Err() != nil && !written.IsZero() {
		u.pool.noteUnresponsive(to, written)
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		return false, load
	}
	report := resp.Header.Get("Server-Load")
	if report == "" {
		report = string(body[:min(len(body), maxLoadReport)])
	}
	return true, u.parseLoad(report)
}

// parseLoad reads a report of the form 'TEXT name=value, name=value'. What it lacks, and
// what is no number, is unknown.
func (u *Transport) parseLoad(report string) policy.LoadReport {
	values := settings.ParseLoadReport(report, u.loadFields...)
	return u.loadFields.LoadReport(func(column int) (float64, bool) {
		v, ok := values[u.loadFields[column]]
		return v, ok
	})
}
