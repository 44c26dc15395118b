package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"time"

	"barleywick/internal/mutation"
	"barleywick/internal/sidecar/httpmessage"
	"barleywick/policy"
)

// timeoutMargin is the difference between the time left and the Request-Timeout sent to a server. It
// covers the delay between the client's sending and the reading of the request, and a stall of this
// process before the write.
const timeoutMargin = 50 * time.Millisecond

// Request is a client's request as it is forwarded to a server. It must not change while attempts use it.
type Request struct {
	ID     string // the client's Request-Id
	Method string
	URL    *url.URL
	Host   string
	Header http.Header
	Body   []byte
}

// outgoing returns the request as it is written: unchanged except for Request-Timeout, which is computed
// from the deadline of ctx.
func (r *Request) outgoing(ctx context.Context) *http.Request {
	out := &http.Request{
		Method: r.Method, URL: r.URL, Host: r.Host, Header: maps.Clone(r.Header),
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		left = max(left-min(timeoutMargin, left/4), time.Millisecond)
		out.Header["Request-Timeout"] = []string{httpmessage.FormatSeconds(left)}
	}
	return out
}

// ClientConn is the client connection on which a request arrived.
type ClientConn interface {
	// ClosedByClient reports whether the client has closed the connection.
	ClosedByClient() bool
}

// Attempt is one attempt of a request at one server. Call Begin before Transport.Do.
type Attempt struct {
	Request        *Request
	Client         ClientConn // nil if there is none
	Server         *Server
	Deadline       time.Time // when the request must be answered; zero: no limit
	RepeatDeadline time.Time // for repeating a request that may have run; zero: it cannot have run

	ctx         context.Context // ends when the attempt is cancelled or times out
	cancel      context.CancelFunc
	writeCtx    context.Context // derived from ctx; after its end nothing may be written
	cancelWrite context.CancelFunc
}

// Begin creates the attempt's contexts: the attempt is cancelled when ctx ends, and times out at
// attemptDeadline.
func (a *Attempt) Begin(ctx context.Context, attemptDeadline time.Time) {
	a.ctx, a.cancel = context.WithDeadline(ctx, attemptDeadline)
	if a.RepeatDeadline.IsZero() {
		a.writeCtx, a.cancelWrite = context.WithCancel(a.ctx)
	} else {
		a.writeCtx, a.cancelWrite = context.WithDeadline(a.ctx, a.RepeatDeadline)
	}
}

// Cancel cancels the attempt, which closes its connection.
func (a *Attempt) Cancel() { a.cancel() }

// CancelWrite withdraws the permission to write: if the request has not been written completely, it is
// not sent.
func (a *Attempt) CancelWrite() { a.cancelWrite() }

func (a *Attempt) permit() sendPermit {
	return sendPermit{requestID: a.Request.ID, writeCtx: a.writeCtx, deadline: a.Deadline, repeatDeadline: a.RepeatDeadline, client: a.Client}
}

// sendPermit holds the conditions under which a request may be written.
type sendPermit struct {
	requestID      string
	writeCtx       context.Context // after its end nothing may be written
	deadline       time.Time       // see Attempt
	repeatDeadline time.Time
	client         ClientConn
}

// facts returns the facts for the gate's decision on a write to a server in the given state.
func (p sendPermit) facts(gate Gate, state policy.EndpointState) policy.SendFacts {
	f := policy.SendFacts{
		ClientDeadline: gate.SinceStart(p.deadline), ShutdownDeadline: policy.NoLimit, RepeatDeadline: gate.SinceStart(p.repeatDeadline),
		Answered:    p.writeCtx.Err() != nil,
		ServerState: state,
		MayHaveRun:  !p.repeatDeadline.IsZero(), Repeatable: true,
	}
	if deadline, ok := p.writeCtx.Deadline(); ok { // checked as well, since the timer may fire late
		f.ClientDeadline = min(f.ClientDeadline, gate.SinceStart(deadline))
	}
	f.ClientGone = p.client != nil && p.client.ClosedByClient() && !mutation.IgnoreClientEnd
	return f
}

// denialError returns the error for a write that the gate has denied.
func denialError(denial policy.Denial, state policy.EndpointState) error {
	switch {
	case denial != policy.DeniedServerNotReady:
		return fmt.Errorf("%w: %v", errCallerTimeout, denial)
	case state == policy.Removed:
		return errServerRemoved
	}
	return errServerDraining
}
