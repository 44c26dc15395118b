package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"barleywick/internal/addressmap"
	"barleywick/internal/registry"
)

const (
	// callTimeout limits a call to one replica. It is long enough for an election.
	callTimeout = 5 * time.Second
	dialTimeout = time.Second
	// minBackoff and maxBackoff bound the pause between two rounds over all replicas.
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = time.Second
	maxResponseBytes = 16 << 20
	maxMessageBytes  = 200 // kept of an error response that is not in the registry's format
	maxRedirects     = 3   // of one call, from replica to replica
)

// Client makes calls to the replicas of a registry: to the leader, and to the others while
// the leader cannot be reached. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	addrs   []string
	timeout time.Duration // of a call, including all replicas; 0: limited by the context only

	mu        sync.Mutex
	rng       *rand.Rand
	preferred string // the replica that responded last
}

// New returns a client of a registry whose replicas have these addresses. The seed spreads
// clients over the replicas, and their calls in time.
func New(addrs []string, seed uint64) (*Client, error) {
	if len(addrs) == 0 {
		return nil, errors.New("no registry address given")
	}
	for _, addr := range addrs {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("registry address %q: %w", addr, err)
		}
	}
	c := &Client{addrs: addrs, rng: rand.New(rand.NewPCG(seed, 3))}
	c.http = &http.Client{
		Transport: &http.Transport{
			DialContext:        addressmap.Map(nil).Dialer(dialTimeout),
			MaxConnsPerHost:    8,
			IdleConnTimeout:    10 * time.Second,
			DisableCompression: true,
		},
		// The client follows redirects itself, to find out which replica is the leader.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// WithAddressMap redirects connections to the mapped addresses. It must be called before
// the client is used, and returns the client.
func (c *Client) WithAddressMap(routes addressmap.Map) *Client {
	c.http.Transport.(*http.Transport).DialContext = routes.Dialer(dialTimeout)
	return c
}

// WithTimeout limits the duration of every call, including its attempts at all replicas. It
// must be called before the client is used, and returns the client.
func (c *Client) WithTimeout(timeout time.Duration) *Client {
	c.timeout = timeout
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// apiCall is one call, as sent to each replica that is tried.
type apiCall struct {
	method   string
	path     string // below registry.APIPath
	body     []byte
	response any // target of the decoded response; nil: the response is discarded
}

// request makes a call and returns its decoded response.
func request[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var response T
	err := c.call(ctx, method, path, body, &response)
	return response, err
}

// call tries one replica after another until one executes the call or rejects it with a
// final error. It repeats this, with a growing backoff, until ctx ends.
func (c *Client) call(ctx context.Context, method, path string, body, response any) error {
	call := apiCall{method: method, path: path, response: response}
	if body != nil {
		var err error
		if call.body, err = json.Marshal(body); err != nil {
			return fmt.Errorf("registry: write request: %w", err)
		}
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("registry: not asked: %w", err) // ErrUnreachable would be misleading: no replica was tried
	}
	if c.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	var lastErr error
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		var freshest *staleResponse
		for _, addr := range c.replicaOrder() {
			responder, err := c.callReplica(ctx, addr, call)
			var stale *staleResponse
			if errors.As(err, &stale) {
				freshest = stale.fresher(freshest)
				continue // another replica may have a more recent state
			}
			var rejection *Error
			if err == nil || errors.As(err, &rejection) {
				c.prefer(responder)
				return err
			}
			if ctx.Err() == nil || lastErr == nil { // an error after the end of ctx does not explain the failure
				lastErr = err
			}
		}
		c.prefer("")
		if freshest != nil {
			return call.decode(freshest.addr, freshest.text)
		}
		select {
		case <-time.After(c.jitter(backoff)):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrUnreachable, lastErr)
		}
	}
}

// replicaOrder returns the order in which replicas are tried: the one that responded last,
// then the others in random order, so that clients spread over them.
func (c *Client) replicaOrder() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var order []string
	if c.preferred != "" {
		order = append(order, c.preferred)
	}
	for _, i := range c.rng.Perm(len(c.addrs)) {
		if c.addrs[i] != c.preferred {
			order = append(order, c.addrs[i])
		}
	}
	return order
}

// prefer sets the replica that is tried first; empty: none is preferred.
func (c *Client) prefer(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = addr
}

func (c *Client) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return jitter(c.rng, d)
}

// callReplica makes a call to one replica, or to the one that it redirects to, and returns
// the address of the replica that was called last.
func (c *Client) callReplica(ctx context.Context, addr string, call apiCall) (responder string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for range maxRedirects {
		resp, text, err := c.send(ctx, addr, call)
		switch {
		case err != nil:
			return addr, err
		case resp.StatusCode == http.StatusOK && isStale(resp):
			return addr, &staleResponse{addr, text, staleAge(resp)}
		case resp.StatusCode == http.StatusOK:
			return addr, call.decode(addr, text)
		case resp.StatusCode != http.StatusTemporaryRedirect:
			return addr, responseError(addr, resp.StatusCode, text)
		}
		leader, err := url.Parse(resp.Header.Get("Location"))
		if err != nil || leader.Host == "" {
			return addr, fmt.Errorf("%s: a redirect without an address", addr)
		}
		addr = leader.Host
	}
	return addr, fmt.Errorf("%s: more than %d redirects", addr, maxRedirects)
}

// staleResponse is a successful response that the replica declared stale. It implements
// error, so that the call tries other replicas first.
type staleResponse struct {
	addr string
	text []byte
	age  time.Duration // how old the state may be
}

// fresher returns the response with the lower age; the other may be nil.
func (a *staleResponse) fresher(other *staleResponse) *staleResponse {
	if other != nil && other.age <= a.age {
		return other
	}
	return a
}

// unknownAge is the age of a stale response from a replica that has never caught up.
const unknownAge = time.Duration(math.MaxInt64)

// staleAge returns the age that a stale response declares.
func staleAge(resp *http.Response) time.Duration {
	_, text, _ := strings.Cut(resp.Header.Get(registry.ReadHeader), "age_ms=")
	ageMS, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ageMS <= 0 {
		return unknownAge
	}
	return time.Duration(ageMS) * time.Millisecond
}

// Error returns a text that names the replica.
func (a *staleResponse) Error() string { return a.addr + ": the response is stale" }

// isStale reports whether a response declares itself stale.
func isStale(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get(registry.ReadHeader), registry.ReadStale)
}

// send sends one request and reads the whole response body.
func (c *Client) send(ctx context.Context, addr string, call apiCall) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, call.method, "http://"+addr+registry.APIPath+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, nil, &Error{Status: http.StatusBadRequest, Message: err.Error()}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, err
	}
	return resp, text, nil
}

func (call apiCall) decode(addr string, text []byte) error {
	if call.response == nil {
		return nil
	}
	if err := json.Unmarshal(text, call.response); err != nil {
		return fmt.Errorf("%s: answer: %w", addr, err)
	}
	return nil
}

// responseError returns the error for a response: an *Error if the registry's rejection is
// final, another error if a retry may succeed.
func responseError(addr string, status int, text []byte) error {
	var w registry.WriteResponse
	if json.Unmarshal(text, &w) != nil || w.Error == "" {
		w.Error = strings.TrimSpace(string(text[:min(len(text), maxMessageBytes)]))
	}
	if status >= http.StatusInternalServerError && status != http.StatusInsufficientStorage {
		return fmt.Errorf("%s: %d: %s", addr, status, w.Error)
	}
	return &Error{Status: status, Message: w.Error}
}
