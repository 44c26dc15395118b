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
	// callTimeout is for a call to one replica, the length of an election included.
	callTimeout = 5 * time.Second
	dialTimeout = time.Second
	// minBackoff and maxBackoff bound the pause between two rounds over all replicas.
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = time.Second
	maxResponseBytes = 16 << 20
	maxMessageBytes  = 200 // of a response that is not the registry's
	maxRedirects     = 3   // from a replica to the one that leads
)

// Client makes calls to all replicas of a registry: to the one that leads, and to others
// while that one cannot be reached. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	addrs   []string
	timeout time.Duration // of a call over all replicas; 0: as long as its context lasts

	mu        sync.Mutex
	rng       *rand.Rand
	preferred string // the replica that answered last
}

// New makes a client of a registry whose replicas have these addresses. The seed spreads
// clients over replicas and in time.
func New(addrs []string, seed uint64) (*Client, error) {
	if len(addrs) == 0 {
		return nil, errors.New("no address of a registry")
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
		// The client follows redirects itself: it has to learn which replica leads.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// WithAddressMap makes calls go to other addresses instead. It must be called before the
// client is used, and returns the client.
func (c *Client) WithAddressMap(routes addressmap.Map) *Client {
	c.http.Transport.(*http.Transport).DialContext = routes.Dialer(dialTimeout)
	return c
}

// WithTimeout bounds every call, its attempts at all replicas included. It must be called
// before the client is used, and returns the client.
func (c *Client) WithTimeout(timeout time.Duration) *Client {
	c.timeout = timeout
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// apiCall is one call, as it is made at every replica that is tried.
type apiCall struct {
	method   string
	path     string // below registry.APIPath
	body     []byte
	response any // where the response is decoded to; nil: it is not needed
}

// request makes a call and returns its response.
func request[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var response T
	err := c.call(ctx, method, path, body, &response)
	return response, err
}

// call makes a call at one replica after the other until one carries it out or refuses it
// for good, and again until ctx ends.
func (c *Client) call(ctx context.Context, method, path string, body, response any) error {
	call := apiCall{method: method, path: path, response: response}
	if body != nil {
		var err error
		if call.body, err = json.Marshal(body); err != nil {
			return fmt.Errorf("registry: write request: %w", err)
		}
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("registry: not asked: %w", err) // that no replica answers would mislead
	}
	if c.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	var lastErr error
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		var kept *staleAnswer
		for _, addr := range c.replicaOrder() {
			answered, err := c.callReplica(ctx, addr, call)
			var stale *staleAnswer
			if errors.As(err, &stale) {
				kept = stale.fresher(kept)
				continue // another replica may know more
			}
			var refusal *Error
			if err == nil || errors.As(err, &refusal) {
				c.prefer(answered)
				return err
			}
			if ctx.Err() == nil || lastErr == nil { // what comes after ctx has ended tells nothing
				lastErr = err
			}
		}
		c.prefer("")
		if kept != nil {
			return call.decode(kept.addr, kept.text)
		}
		select {
		case <-time.After(c.jitter(backoff)):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrUnreachable, lastErr)
		}
	}
}

// replicaOrder returns the order in which replicas are tried: the one that answered last,
// then the others at random, so that clients spread over them.
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

// prefer makes a replica the first that is tried; empty: none is.
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

// callReplica makes a call at one replica, or at the one that it redirects to, and returns
// which one answered.
func (c *Client) callReplica(ctx context.Context, addr string, call apiCall) (answered string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for range maxRedirects {
		resp, text, err := c.send(ctx, addr, call)
		switch {
		case err != nil:
			return addr, err
		case resp.StatusCode == http.StatusOK && isStale(resp):
			return addr, &staleAnswer{addr, text, staleAge(resp)}
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

// staleAnswer is a good answer of a replica that says it may be of any age.
type staleAnswer struct {
	addr string
	text []byte
	age  time.Duration // how old it may be
}

// fresher returns the less stale of two answers; the other may be nil.
func (a *staleAnswer) fresher(other *staleAnswer) *staleAnswer {
	if other != nil && other.age <= a.age {
		return other
	}
	return a
}

// unknownAge is the age of a stale answer from a replica that has never caught up.
const unknownAge = time.Duration(math.MaxInt64)

// staleAge returns how old a stale response says that it may be.
func staleAge(resp *http.Response) time.Duration {
	_, text, _ := strings.Cut(resp.Header.Get(registry.ReadHeader), "age_ms=")
	ageMS, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ageMS <= 0 {
		return unknownAge
	}
	return time.Duration(ageMS) * time.Millisecond
}

// Error says which replica's answer it is.
func (a *staleAnswer) Error() string { return a.addr + ": the answer is stale" }

// isStale reports whether a response says that it may be of any age.
func isStale(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get(registry.ReadHeader), registry.ReadStale)
}

// send sends one request and reads its response whole.
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

// responseError returns the error that a response stands for: an *Error if the registry
// refuses the call for good, another error if a repetition may help.
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
