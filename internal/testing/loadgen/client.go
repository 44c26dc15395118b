// Package loadgen is the client's side: it sends requests to sidecars as the protocol
// has it, one at a time or as an open-loop load whose latencies count from when each
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

// Effect is what repeating a request may do; it fixes the method.
type Effect string

// The effects of a class.
const (
	Safe   Effect = "safe"
	Keyed  Effect = "keyed"
	Unsafe Effect = "unsafe"
)

// Ask is one try of a client.
type Ask struct {
	ID      string
	Class   string
	Effect  Effect
	Tenant  string        // empty: none
	Key     string        // what it concerns; empty: nothing
	Timeout time.Duration // the client waits so long
	Hint    time.Duration // of its work; 0: none
	Body    []byte
}

// Outcome is what became of a try.
type Outcome int

// Outcomes.
const (
	Served Outcome = iota
	Refused
	Failed
	Lost // no answer, or none that is whole
)

func (o Outcome) String() string { return [...]string{"served", "refused", "failed", "lost"}[o] }

// Answer is a try's outcome with what came of it.
type Answer struct {
	Outcome Outcome
	Status  int
	Pause   time.Duration // Retry-After
	Body    []byte
	Err     error // why it was lost
}

const (
	// maxBody is the protocol's.
	maxBody = 64 << 10
	// keptFor is shorter than a sidecar keeps a connection with no request, so that
	// few closes cross a request.
	keptFor = 1500 * time.Millisecond
	// connectIn is ample on one machine.
	connectIn = 2 * time.Second
)

// Client asks one sidecar. It may be used concurrently; connections are kept and
// more are opened when all are busy, at most Limit of them.
type Client struct {
	url       string
	transport *http.Transport
}

// NewClient makes a client of the sidecar at an address.
func NewClient(addr string, limit int) *Client {
	return &Client{
		url: "http://" + addr + "/api",
		transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: connectIn, KeepAlive: -1}).DialContext,
			MaxConnsPerHost:    limit,
			MaxIdleConns:       limit,
			DisableCompression: true, IdleConnTimeout: keptFor, MaxIdleConnsPerHost: limit,
		},
	}
}

// Close closes the connections that are kept.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends a try and waits for its answer until ctx ends. A try on a kept connection
// that proves to be closed is sent once more on a new one, as the protocol says.
// written is called when it may have been written whole, once at least; it may be nil.
func (c *Client) Do(ctx context.Context, a Ask, written func()) Answer {
	out, again := c.try(ctx, a, written)
	if again && ctx.Err() == nil {
		c.transport.CloseIdleConnections()
		out, _ = c.try(ctx, a, written)
	}
	return out
}

// try sends a try once, and says whether it may be sent once more.
func (c *Client) try(ctx context.Context, a Ask, written func()) (out Answer, again bool) {
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
	q, err := a.request(ctx, c.url)
	if err != nil {
		return Answer{Outcome: Lost, Err: err}, false
	}
	resp, err := c.transport.RoundTrip(q)
	if err != nil {
		return Answer{Outcome: Lost, Err: err}, reused.Load() && !answered.Load()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	switch {
	case err != nil:
		return Answer{Outcome: Lost, Status: resp.StatusCode, Err: fmt.Errorf("read answer: %w", err)}, false
	case len(body) > maxBody:
		return Answer{Outcome: Lost, Status: resp.StatusCode, Err: errors.New("the answer is longer than the protocol allows")}, false
	}
	out = Answer{Status: resp.StatusCode, Body: body}
	switch resp.StatusCode {
	case http.StatusOK:
		out.Outcome = Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		out.Outcome, out.Pause = Refused, pause(resp.Header.Get("Retry-After"))
	default:
		out.Outcome = Failed
	}
	return out, false
}

// request puts a try into the protocol's form.
func (a Ask) request(ctx context.Context, url string) (*http.Request, error) {
	method := http.MethodPost
	if a.Effect == Safe {
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
	for name, value := range map[string]string{"Tenant": a.Tenant, "Affinity-Key": a.Key} {
		if value != "" {
			q.Header.Set(name, value)
		}
	}
	if a.Effect == Keyed {
		q.Header.Set("Idempotency-Key", a.ID)
	}
	if a.Hint > 0 {
		q.Header.Set("Work-Hint", strconv.FormatInt(a.Hint.Microseconds(), 10))
	}
	return q, nil
}

// maxPause bounds a Retry-After that is no sensible one.
const maxPause = time.Hour

// pause reads a Retry-After in seconds; 0 where there is none that can be read.
func pause(text string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(min(s, maxPause.Seconds()) * float64(time.Second))
}
