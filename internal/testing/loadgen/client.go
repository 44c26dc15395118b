// Package loadgen is the client's side of the protocol: it sends requests to sidecars,
// one at a time or as an open-loop load whose latencies count from when each
// request was due, not from when there was time to send it.
package loadgen

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Idempotency says what repeating a request may do; it determines the HTTP method.
type Idempotency string

// Kinds of idempotency.
const (
	Idempotent      Idempotency = "safe"
	IdempotentByKey Idempotency = "keyed"
	NonIdempotent   Idempotency = "unsafe"
)

// Request is one attempt of a client.
type Request struct {
	ID          string
	Class       string
	Idempotency Idempotency
	Tenant      string        // empty: none
	AffinityKey string        // empty: none
	Timeout     time.Duration // how long the client waits
	WorkHint    time.Duration // estimate of its work; 0: none
	Body        []byte
}

// Outcome is the outcome of an attempt.
type Outcome int

// Outcomes.
const (
	Served Outcome = iota
	Refused
	Failed
	Lost // no complete response
)

func (o Outcome) String() string { return [...]string{"served", "refused", "failed", "lost"}[o] }

// Response is the outcome of an attempt with the response's contents.
type Response struct {
	Outcome    Outcome
	Status     int
	RetryAfter time.Duration // Retry-After
	Body       []byte
	Err        error // why the response was lost
}

const (
	// maxBody is the protocol's limit.
	maxBody = 64 << 10
	// idleTimeout is shorter than a sidecar keeps an idle connection, so that
	// closes rarely cross a request.
	idleTimeout = 1500 * time.Millisecond
	// connectTimeout bounds the handshake.
	connectTimeout = 2 * time.Second
)

// Client sends requests to one sidecar. It may be used concurrently; connections are reused and
// more are opened when all are busy, up to the limit.
type Client struct {
	url       string
	transport *http.Transport
}

// NewClient makes a client of the sidecar at an address with a limit of connections.
func NewClient(addr string, limit int) *Client {
	return &Client{
		url: "http://" + addr + "/api",
		transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: connectTimeout, KeepAlive: -1}).DialContext,
			MaxConnsPerHost:    limit,
			MaxIdleConns:       limit,
			DisableCompression: true, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: limit,
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends a request and waits for its response until ctx ends. A request on a reused connection
// that turns out to be closed is sent once more on a new one, as the protocol says.
// written is called at least once when the request may have been written completely; it may be nil.
func (c *Client) Do(ctx context.Context, a Request, written func()) Response {
	out, again := c.attempt(ctx, a, written)
	if again && ctx.Err() == nil {
		c.transport.CloseIdleConnections()
		out, _ = c.attempt(ctx, a, written)
	}
	return out
}

// attempt sends a request once and reports whether it may be sent once more.
func (c *Client) attempt(ctx context.Context, a Request, written func()) (out Response, again bool) {
	var reused, answered atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(i httptrace.GotConnInfo) { reused.Store(i.Reused) },
		GotFirstResponseByte: func() { answered.Store(true) },
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if written != nil {
				written()
			}
		},
	})
	q, err := a.httpRequest(ctx, c.url)
	if err != nil {
		return Response{Outcome: Lost, Err: err}, false
	}
	resp, err := c.transport.RoundTrip(q)
	if err != nil {
		return Response{Outcome: Lost, Err: err}, reused.Load() && !answered.Load()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	switch {
	case err != nil:
		return Response{Outcome: Lost, Status: resp.StatusCode, Err: fmt.Errorf("read answer: %w", err)}, false
	case len(body) > maxBody:
		return Response{Outcome: Lost, Status: resp.StatusCode, Err: errors.New("the answer is longer than the protocol allows")}, false
	}
	out = Response{Status: resp.StatusCode, Body: body}
	switch resp.StatusCode {
	case http.StatusOK:
		out.Outcome = Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		out.Outcome, out.RetryAfter = Refused, parseRetryAfter(resp.Header.Get("Retry-After"))
	default:
		out.Outcome = Failed
	}
	return out, false
}

// httpRequest encodes a request as the protocol defines it.
func (a Request) httpRequest(ctx context.Context, url string) (*http.Request, error) {
	method := http.MethodPost
	if a.Idempotency == Idempotent {
		method = http.MethodGet
	}
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader(a.Body)
	}
	q, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, fmt.Errorf("request %s: %w", a.ID, err)
	}
	q.Header = http.Header{
		"Request-Id": {a.ID}, "Request-Class": {a.Class}, "Request-Timeout": {strconv.FormatFloat(a.Timeout.Seconds(), 'f', 3, 64)},
	}
	for name, value := range map[string]string{"Tenant": a.Tenant, "Affinity-Key": a.AffinityKey} {
		if value != "" {
			q.Header.Set(name, value)
		}
	}
	if a.Idempotency == IdempotentByKey {
		q.Header.Set("Idempotency-Key", a.ID)
	}
	if a.WorkHint > 0 {
		q.Header.Set("Work-Hint", strconv.FormatInt(a.WorkHint.Microseconds(), 10))
	}
	return q, nil
}

// maxRetryAfter bounds the Retry-After that is accepted.
const maxRetryAfter = time.Hour

// parseRetryAfter reads a Retry-After in seconds; 0 where it is missing or malformed.
func parseRetryAfter(text string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
