package sidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
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
}

// newAttempt makes the next attempt of a request, given up at until. Its request is written
// before start, where that is not zero, or not at all.
func newAttempt(life context.Context, r *request, until, start time.Time) *attempt {
	a := &attempt{req: r, number: len(r.attempts), began: time.Now()}
	a.ctx, a.cancel = context.WithDeadline(life, until)
	if start.IsZero() {
		a.begin, a.drop = context.WithCancel(a.ctx)
	} else {
		a.begin, a.drop = context.WithDeadline(a.ctx, start)
	}
	return a
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
	loadFields settings.Columns
	statsPath  string
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
		resp, body, written, err = u.exchange(a.ctx, a.begin, c, a.req.outgoing(a.ctx))
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
		return policy.TurnedAway, nil
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
// not, and closed at once when ctx ends; nothing is written once begin has ended.
// written is when the request's last byte was to be written, or zero if it was not;
// else no upstream can have begun it.
func (u *upstreams) exchange(ctx, begin context.Context, c *conn, req *http.Request) (
	resp *http.Response, body []byte, written time.Time, err error,
) {
	b := c.lend()
	b.limit.N = maxAnswerHead
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer func() {
		clean := c.giveBack()
		if err == nil {
			u.pool.answered(c.peer)
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
	// An attempt that was called off by now must write nothing, nor may one whose time to
	// begin is over: the timer that ends the context may be late, the clock is not.
	if until, ok := begin.Deadline(); begin.Err() != nil || ok && !time.Now().Before(until) {
		return nil, nil, written, errLate
	}
	// Nor may one to an upstream that was told to drain since it was chosen.
	if err := u.pool.mayWrite(c.peer); err != nil {
		return nil, nil, written, err
	}
	begun := time.Now()
	if n, err := c.Write(b.out.Bytes()); n < b.out.Len() {
		return nil, nil, written, fmt.Errorf("write request: %w", err)
	}
	written = begun
	informational := 0
	for ; ; informational++ {
		if resp, err = http.ReadResponse(b.r, req); err != nil {
			return nil, nil, written, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode >= 200 {
			break
		}
		if informational == 5 || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, nil, written, fmt.Errorf("read answer: unexpected status %d", resp.StatusCode)
		}
	}
	if len(resp.TransferEncoding) > 0 && !b.heads.chunksAlone(informational+1) {
		return nil, nil, written, errors.New("read answer: chunks, and it may name a length")
	}
	b.limit.N = maxAnswerWire
	// The body is not closed: that would read on in one that is too large. What
	// is not read to its end ends with its connection.
	if body, err = readBody(resp); err != nil {
		return nil, nil, written, fmt.Errorf("read answer: %w", err)
	}
	return resp, body, written, nil
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
		left := max(time.Until(until), time.Millisecond)
		out.Header["Request-Timeout"] = []string{seconds(left)}
	}
	return out
}

// seconds writes a duration as seconds with decimals.
func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// probe asks an upstream for a sign of life and its load. Without any answer in
// the time that a connection may take to come up, it has failed.
func (u *upstreams) probe(ctx context.Context, to *peer) (ok bool, load policy.Load) {
	load = policy.NoLoad
	ctx, cancel := context.WithTimeout(ctx, u.pool.dialTimeout)
	defer cancel()
	c, err := u.pool.get(ctx, to)
	if err != nil {
		return false, load
	}
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: u.statsPath}, Host: to.addr,
		Header: http.Header{"User-Agent": {""}},
	}
	resp, body, written, err := u.exchange(ctx, ctx, c, req)
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
func (u *upstreams) load(report string) policy.Load {
	values := settings.Report(report, u.loadFields...)
	return u.loadFields.Load(func(column int) (float64, bool) {
		v, ok := values[u.loadFields[column]]
		return v, ok
	})
}
