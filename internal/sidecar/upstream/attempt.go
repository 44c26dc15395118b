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

// timeoutMargin is by how much a server's Request-Timeout is shorter than the time left: the request
// was read a moment after its client had sent it, and this process may be stalled before the write.
const timeoutMargin = 50 * time.Millisecond

// Request is a client's request as it goes to a server. It must not change while attempts use it.
type Request struct {
	ID     string // the client's Request-Id
	Method string
	URL    *url.URL
	Host   string
	Header http.Header
	Body   []byte
}

// outgoing returns the request as it is written: unchanged except for Request-Timeout, which follows
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

// ClientConn is the client connection on which a request came.
type ClientConn interface {
	// ClosedByClient reports whether the client has closed it.
	ClosedByClient() bool
}

// Attempt is one attempt of a request at one server. Begin comes first, then Do.
type Attempt struct {
	Request        *Request
	Client         ClientConn // nil: there is none
	Server         *Server
	Deadline       time.Time // until then the client waits; zero: no limit
	RepeatDeadline time.Time // what may have run may be repeated until then; zero: nothing has run

	ctx         context.Context // ends when the attempt is given up
	cancel      context.CancelFunc
	writeCtx    context.Context // derived from ctx; ends when nothing may be written any more
	cancelWrite context.CancelFunc
}

// Begin starts the attempt's time: it is given up when ctx ends, and at giveUpAt.
func (a *Attempt) Begin(ctx context.Context, giveUpAt time.Time) {
	a.ctx, a.cancel = context.WithDeadline(ctx, giveUpAt)
	if a.RepeatDeadline.IsZero() {
		a.writeCtx, a.cancelWrite = context.WithCancel(a.ctx)
	} else {
		a.writeCtx, a.cancelWrite = context.WithDeadline(a.ctx, a.RepeatDeadline)
	}
}

// Cancel gives the attempt up, which closes its connection.
func (a *Attempt) Cancel() { a.cancel() }

// CancelWrite ends the permission to write: an attempt that has not been written whole is not sent.
func (a *Attempt) CancelWrite() { a.cancelWrite() }

func (a *Attempt) permit() sendPermit {
	return sendPermit{requestID: a.Request.ID, writeCtx: a.writeCtx, deadline: a.Deadline, repeatDeadline: a.RepeatDeadline, client: a.Client}
}

// sendPermit holds what decides whether a request may be written.
type sendPermit struct {
	requestID      string
	writeCtx       context.Context // ends when nothing may be written any more
	deadline       time.Time       // see Attempt
	repeatDeadline time.Time
	client         ClientConn
}

// facts returns what is known now of a write to a server in the state given.
func (p sendPermit) facts(gate Gate, state policy.EndpointState) policy.SendFacts {
	f := policy.SendFacts{
		ClientDeadline: gate.SinceStart(p.deadline), ShutdownDeadline: policy.NoLimit, RepeatDeadline: gate.SinceStart(p.repeatDeadline),
		Answered:    p.writeCtx.Err() != nil,
		ServerState: state,
		MayHaveRun:  !p.repeatDeadline.IsZero(), Repeatable: true,
	}
	if deadline, ok := p.writeCtx.Deadline(); ok { // the timer that ends the context may be late, the clock is not
		f.ClientDeadline = min(f.ClientDeadline, gate.SinceStart(deadline))
	}
	f.ClientGone = p.client != nil && p.client.ClosedByClient() && !mutation.IgnoreClientEnd
	return f
}

// denialError returns the error for a write that the gate denied.
func denialError(denial policy.Denial, state policy.EndpointState) error {
	switch {
	case denial != policy.DeniedServerNotReady:
		return fmt.Errorf("%w: %v", errCallerTimeout, denial)
	case state == policy.Removed:
		return errServerRemoved
	}
	return errServerDraining
}
