// Package loadgen implements the client side of the protocol. It sends single requests to sidecars, or
// generates an open-loop load, whose latencies are measured from the time at which each request was due,
// not from the time at which it was sent.
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

// Idempotency is whether a request may be repeated. It determines the HTTP method.
type Idempotency string

// Kinds of idempotency.
const (
	Idempotent      Idempotency = "safe"
	IdempotentByKey Idempotency = "keyed"
	NonIdempotent   Idempotency = "unsafe"
)

// Request is one request of a client.
type Request struct {
	ID          string
	Class       string
	Idempotency Idempotency
	Tenant      string        // empty: none
	AffinityKey string        // empty: none
	Timeout     time.Duration // how long the client waits
	WorkHint    time.Duration // estimated work of the request; 0: none
	Body        []byte
}

// Outcome is the outcome of a request.
type Outcome int

// Outcomes.
const (
	Served Outcome = iota
	Refused
	Failed
	Lost // no complete response
)

func (o Outcome) String() string { return [...]string{"served", "refused", "failed", "lost"}[o] }

// Response is the outcome of a request with the contents of the response.
type Response struct {
	Outcome    Outcome
	Status     int
	RetryAfter time.Duration // from the header Retry-After
	Body       []byte
	Err        error // why there is no complete response
}

const (
	// maxBody is the protocol's limit.
	maxBody = 64 << 10
	// idleTimeout is shorter than a sidecar's timeout for idle connections, so that a close by the sidecar
	// rarely crosses a request.
	idleTimeout = 1500 * time.Millisecond
	// connectTimeout bounds the opening of a connection.
	connectTimeout = 2 * time.Second
)

// Client sends requests to one sidecar. It may be used concurrently. It reuses connections and opens
// more when all are busy, up to its limit.
type Client struct {
	url       string
	transport *http.Transport
}

// NewClient returns a client of the sidecar at addr, with a limit on its connections.
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

// Do sends a request and waits for its response until ctx ends. If a reused connection turns out to be
// closed, the request is resent once on a new one, as the protocol requires. written is called, maybe
// more than once, when the request may have been written completely; it may be nil.
func (c *Client) Do(ctx context.Context, a Request, written func()) Response {
	out, resend := c.attempt(ctx, a, written)
	if resend && ctx.Err() == nil {
		c.transport.CloseIdleConnections()
		out, _ = c.attempt(ctx, a, written)
	}
	return out
}

// attempt sends a request once and reports whether it may be resent.
func (c *Client) attempt(ctx context.Context, a Request, written func()) (out Response, resend bool) {
	var reused, responded atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(i httptrace.GotConnInfo) { reused.Store(i.Reused) },
		GotFirstResponseByte: func() { responded.Store(true) },
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
		return Response{Outcome: Lost, Err: err}, reused.Load() && !responded.Load()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	switch {
	case err != nil:
		return Response{Outcome: Lost, Status: resp.StatusCode, Err: fmt.Errorf("read response body: %w", err)}, false
	case len(body) > maxBody:
		return Response{Outcome: Lost, Status: resp.StatusCode, Err: errors.New("the response body is longer than the protocol allows")}, false
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

// parseRetryAfter parses a Retry-After in seconds. It returns 0 if the value is missing or malformed.
func parseRetryAfter(text string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
