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
	"strconv"
	"time"

	"barleywick/internal/settings"
	"barleywick/policy"
)

// maxBody is what a request may hold.
const maxBody = 64 << 10

// What is read for one answer is bounded. Upstreams send bodies of several times
// what the protocol names; 1 MiB of them can be held for as many as are out.
const (
	maxAnswerHead = 128 << 10 // interim answers included
	maxAnswerBody = 1 << 20
	maxAnswerWire = 2 * maxAnswerBody // chunks take room too
)

// trusted is how much is set aside for a body on the word of its length alone.
const trusted = 8 << 10

// maxReport bounds the body of a probe's answer that is looked at.
const maxReport = 4 << 10

// attempt is one try of a request at one upstream. The event loop makes it; a
// goroutine of its own carries it out and reports its end once.
type attempt struct {
	req    *request
	number int
	to     *peer
	host   *host           // the loop's; nil where it was never sent
	ctx    context.Context // ends when the attempt is given up
	cancel context.CancelFunc
	begin  context.Context // ends, with ctx or before it, when nothing may be written any more
	drop   context.CancelFunc
	began  time.Time
	start  time.Time // it is a repeat that begins before this; zero: no bound
}

// newAttempt makes the next attempt of a request, given up at until. Its request is written
// before start, where that is not zero, or not at all.
func newAttempt(life context.Context, r *request, until, start time.Time) *attempt {
	a := &attempt{req: r, number: len(r.attempts), began: time.Now(), start: start}
	a.ctx, a.cancel = context.WithDeadline(life, until)
	if start.IsZero() {
		a.begin, a.drop = context.WithCancel(a.ctx)
	} else {
		a.begin, a.drop = context.WithDeadline(a.ctx, start)
	}
	return a
}

// permission is what a request's write depends on in the moment of the write.
type permission struct {
	name  string
	begin context.Context // ends when nothing may be written any more
	until time.Time       // the client waits until then; zero: there is none
	start time.Time       // what may have run may be repeated until then; zero: nothing has run
	left  func() bool     // whether the client has left; nil: there is none
}

func (a *attempt) permission() permission {
	return permission{name: a.req.name, begin: a.begin, until: a.req.answerBy(), start: a.start, left: a.req.left}
}

// sending is what is known of a write now.
func (p permission) sending(g *gate, server policy.EndpointState) policy.SendFacts {
	s := policy.SendFacts{
		ClientDeadline: g.at(p.until), ShutdownDeadline: policy.NoLimit, RepeatDeadline: g.at(p.start), ServerState: server,
		MayHaveRun: !p.start.IsZero(), Repeatable: true,
	}
	s.Answered = p.begin.Err() != nil
	if until, ok := p.begin.Deadline(); ok { // the timer that ends the context may be late, the clock is not
		s.ClientDeadline = min(s.ClientDeadline, g.at(until))
	}
	s.ClientGone = p.left != nil && p.left()
	return s
}

// denied is the error for a write that may not be.
func denied(why policy.Denial, server policy.EndpointState) error {
	switch {
	case why != policy.DeniedServerNotReady:
		return fmt.Errorf("%w: %v", errLate, why)
	case server == policy.Removed:
		return errGone
	}
	return errDrains
}

// answer is what a client gets.
type answer struct {
	status int
	header http.Header
	body   []byte
	pause  time.Duration // refused: how long to stay away
}

// upstreams carries out attempts and probes over one pool of connections.
type upstreams struct {
	pool       *pool
	gate       *gate
	loadFields settings.LoadColumns
	statsPath  string
}

func newUpstreams(p *pool) *upstreams {
	return &upstreams{pool: p, gate: newGate(), statsPath: "/health/live"}
}

// try carries an attempt out. What it returns follows the protocol's table: as
// long as the request's last byte has not been written, it never ran.
func (u *upstreams) try(a *attempt) (policy.Ending, *answer) {
	defer a.cancel()
	defer a.drop()
	var resp *http.Response
	var body []byte
	var written time.Time
	c, err := u.pool.get(a.begin, a.to)
	if err == nil {
		resp, body, written, err = u.exchange(a.ctx, a.permission(), c, a.req.outgoing(a.ctx))
	}
	switch wrote := !written.IsZero(); {
	case err != nil && !wrote && unsent(a.begin, err):
		return policy.NotSent, nil
	case err != nil && !wrote:
		return policy.NoConnection, nil
	case err != nil && errors.Is(a.ctx.Err(), context.Canceled):
		return policy.Cancelled, nil
	case err != nil && errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		u.pool.fellSilent(a.to, written)
		return policy.TimedOut, nil
	case err != nil:
		return policy.Broken, nil
	case resp.StatusCode == http.StatusOK:
		return policy.Served, &answer{status: http.StatusOK, header: resp.Header, body: body}
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("Not-Started") == "1":
		return policy.Rejected, nil
	}
	return policy.Errored, nil
}

// unsent says whether an attempt that got no connection is no word against the
// upstream: nobody waited for it any more, the upstream drains or has left the
// list, or the limits here had no connection to give.
func unsent(begin context.Context, err error) bool {
	return errors.Is(begin.Err(), context.Canceled) || errors.Is(err, errLate) || errors.Is(err, errBounded) ||
		errors.Is(err, errGone) || errors.Is(err, errDrains)
}

// exchange writes one request and reads the whole answer. It takes the
// connection over: back to the pool where it can be used again, closed where
// not, and closed at once when ctx ends; nothing is written without permission.
// written is when the request's last byte was to be written, or zero if it was not;
// else no upstream can have begun it.
func (u *upstreams) exchange(ctx context.Context, may permission, c *conn, req *http.Request) (
	resp *http.Response, body []byte, written time.Time, err error,
) {
	b := c.lend()
	b.limit.N = maxAnswerHead
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer func() {
		clean := c.giveBack()
		if err == nil {
			u.pool.answered(c.peer)
			if !clean {
				u.pool.sawExcess(c)
			}
		}
		// If stop comes too late the connection is closed, or about to be.
		if stop() && err == nil && !resp.Close && clean {
			u.pool.put(c)
		} else {
			u.pool.drop(c)
		}
	}()
	if err := req.Write(&b.out); err != nil {
		return nil, nil, written, fmt.Errorf("build request: %w", err)
	}
	if written, err = u.write(may, c, b.out.Bytes()); err != nil {
		return nil, nil, time.Time{}, err
	}
	for {
		if resp, body, err = b.readAnswer(req); err != nil {
			return nil, nil, written, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode != http.StatusOK || !u.pool.isRepeated(c, body) {
			return resp, body, written, nil
		}
		b.restart() // it was the last request's: this one's is still to come
	}
}

// promptWrite is what always fits the send buffer of a connection that is idle.
const promptWrite = 4 << 10

// write writes a request if the gate lets it, in one write, and returns when it began. One that
// takes long ends, half written, when its permission does: what is not whole never runs.
func (u *upstreams) write(may permission, c *conn, text []byte) (begun time.Time, err error) {
	server := u.pool.stateOf(c.peer)
	sending := may.sending(u.gate, server)
	begun = time.Now()
	if why := u.gate.maySend(sending, begun); why != policy.Allowed {
		slog.Debug("attempt not sent", "request", may.name, "upstream", c.peer.addr, "why", why)
		return begun, denied(why, server)
	}
	long := len(text) > promptWrite
	if long {
		defer context.AfterFunc(may.begin, func() { c.Close() })()
	}
	n, err := c.Write(text)
	if n < len(text) {
		if may.begin.Err() != nil {
			err = errors.Join(errLate, err)
		}
		return begun, fmt.Errorf("write request: %w", err)
	}
	if long {
		c.awaitSent(may.begin)
	}
	u.gate.sent(sending, time.Now(), may.name)
	return begun, nil
}

// maxInformational is how many interim answers are passed over.
const maxInformational = 5

// readAnswer reads one whole answer.
func (b *buffers) readAnswer(req *http.Request) (resp *http.Response, body []byte, err error) {
	informational := 0
	for ; ; informational++ {
		if resp, err = http.ReadResponse(b.r, req); err != nil {
			return nil, nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			break
		}
		if informational == maxInformational || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, nil, fmt.Errorf("unexpected status %d", resp.StatusCode)
		}
	}
	if len(resp.TransferEncoding) > 0 && !b.heads.chunksAlone(informational+1) {
		return nil, nil, errors.New("chunks, and it may name a length")
	}
	b.limit.N = maxAnswerWire
	// The body is not closed: that would read on in one that is too large. What
	// is not read to its end ends with its connection.
	body, err = readBody(resp)
	return resp, body, err
}

// restart begins with another answer on the same connection.
func (b *buffers) restart() {
	b.limit.N = maxAnswerHead
	b.heads.restart()
}

var errTooLarge = errors.New("body too large")

// readBody reads an answer's body if the answer proves to be whole: by its length, by
// its last chunk, or, where it has neither, by its connection's orderly end. A reset is
// no end, and neither is the bound on what is read.
func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxAnswerBody {
		return nil, errTooLarge
	}
	if resp.ContentLength >= 0 {
		return readExactly(resp.Body, resp.ContentLength)
	}
	return readToEnd(resp.Body, maxAnswerBody)
}

// readToEnd reads what says itself where it ends, if that is most bytes or less.
func readToEnd(r io.Reader, most int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, most+1))
	if err == nil && int64(len(b)) > most {
		err = errTooLarge
	}
	return b, err
}

// readExactly reads n bytes. A length that somebody claims takes little memory
// before bytes have come, and their rest is set aside at once: growing step by
// step would copy a large body over and over.
func readExactly(r io.Reader, n int64) ([]byte, error) {
	b := make([]byte, min(n, trusted))
	if _, err := io.ReadFull(r, b); err != nil || n <= trusted {
		return b, err
	}
	b = append(make([]byte, 0, n), b...)[:n]
	_, err := io.ReadFull(r, b[trusted:])
	return b, err
}

// toldMargin is what a server is told less than there is left: the request was read a moment after
// its client had sent it, and this process may be held up before the write.
const toldMargin = 50 * time.Millisecond

// outgoing is the client's request as it goes to an upstream: unchanged, but for
// how long the sidecar will wait.
func (r *request) outgoing(ctx context.Context) *http.Request {
	out := &http.Request{
		Method: r.method, URL: r.url, Host: r.host, Header: maps.Clone(r.header),
		ContentLength: int64(len(r.body)),
	}
	if len(r.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.body))
	}
	if until, ok := ctx.Deadline(); ok {
		left := time.Until(until)
		left = max(left-min(toldMargin, left/4), time.Millisecond)
		out.Header["Request-Timeout"] = []string{seconds(left)}
	}
	return out
}

// seconds writes a duration as seconds with decimals.
func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// probe asks an upstream for a sign of life and its load. Without any answer in
// the time that a connection may take to come up, it has failed.
func (u *upstreams) probe(ctx context.Context, to *peer) (ok bool, load policy.LoadReport) {
	load = policy.UnknownLoad
	ctx, cancel := context.WithTimeout(ctx, u.pool.dialTimeout)
	defer cancel()
	if u.gate.mayStart(u.pool.dialTimeout) != policy.Allowed {
		return false, load
	}
	c, err := u.pool.get(ctx, to)
	if err != nil {
		return false, load
	}
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: u.statsPath}, Host: to.addr,
		Header: http.Header{"User-Agent": {""}},
	}
	resp, body, written, err := u.exchange(ctx, permission{name: "probe", begin: ctx}, c, req)
	if ctx.Err() != nil && !written.IsZero() {
		u.pool.fellSilent(to, written)
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		return false, load
	}
	report := resp.Header.Get("Server-Load")
	if report == "" {
		report = string(body[:min(len(body), maxReport)])
	}
	return true, u.load(report)
}

// load reads a report of the form 'TEXT name=value, name=value'. What it lacks, and
// what is no number, is unknown.
func (u *upstreams) load(report string) policy.LoadReport {
	values := settings.ParseLoadReport(report, u.loadFields...)
	return u.loadFields.LoadReport(func(column int) (float64, bool) {
		v, ok := values[u.loadFields[column]]
		return v, ok
	})
}
