package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"barleywick/internal/addressmap"
	"barleywick/internal/registry"
)

const (
	// callTimeout is for one call to one replica, an election's length included.
	callTimeout = 5 * time.Second
	// The pause between two rounds over all replicas, jittered.
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = time.Second
	maxResponseBytes = 16 << 20
	maxRedirects     = 3 // from one replica to the one that it says leads
)

// Client reads and writes over all replicas of a registry: it goes to the one that
// leads, and on to others while that is not to be had. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	addrs   []string
	timeout time.Duration // for one call over all replicas; 0: as long as its context lasts

	mu        sync.Mutex
	rng       *rand.Rand
	preferred string // the replica that answered last
}

// New makes a Client for a registry at these addresses.
func New(addrs []string, seed uint64) (*Client, error) {
	if len(addrs) == 0 {
		return nil, errors.New("no address of a registry")
	}
	for _, a := range addrs {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return nil, fmt.Errorf("registry address %q: %w", a, err)
		}
	}
	c := &Client{addrs: addrs, rng: rand.New(rand.NewPCG(seed, 3))}
	c.http = &http.Client{
		Transport: &http.Transport{
			DialContext:     addressmap.Table(nil).Dial(time.Second),
			MaxConnsPerHost: 8, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
		},
		// Redirects are followed here: the client has to learn who leads.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// Close lets go of idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// WithAddressMap sends calls over other addresses. It is to be called before the Client is used.
func (c *Client) WithAddressMap(routes addressmap.Table) *Client {
	c.http.Transport.(*http.Transport).DialContext = routes.Dial(time.Second)
	return c
}

// WithTimeout bounds every call by a time, its tries at all replicas included. It is to
// be called before the Client is used.
func (c *Client) WithTimeout(most time.Duration) *Client {
	c.timeout = most
	return c
}

// replicaOrder is in which replicaOrder replicas are asked: the last that answered, then the
// others from a random one on, so that callers spread over them.
func (c *Client) replicaOrder() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []string
	if c.preferred != "" {
		all = append(all, c.preferred)
	}
	for _, i := range c.rng.Perm(len(c.addrs)) {
		if c.addrs[i] != c.preferred {
			all = append(all, c.addrs[i])
		}
	}
	return all
}

func (c *Client) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return jitter(c.rng, d)
}

// call makes one call, at one replica after the other until one does it or refuses
// it for good, and round again until ctx ends.
func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return fmt.Errorf("registry: write request: %w", err)
		}
	}
	if c.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	var last error
	for pause := minBackoff; ; pause = min(2*pause, maxBackoff) {
		for _, addr := range c.replicaOrder() {
			at, err := c.callReplica(ctx, addr, method, path, text, into)
			var refused *Error
			if err == nil || errors.As(err, &refused) {
				c.mu.Lock()
				c.preferred = at
				c.mu.Unlock()
				return err
			}
			if ctx.Err() == nil || last == nil {
				last = err
			}
		}
		c.mu.Lock()
		c.preferred = ""
		c.mu.Unlock()
		select {
		case <-time.After(c.jitter(pause)):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrUnreachable, last)
		}
	}
}

// callReplica makes a call at one replica, or at the one it points to, and says which answered.
func (c *Client) callReplica(ctx context.Context, addr, method, path string, text []byte, into any) (at string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for range maxRedirects {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+registry.APIPath+path, bytes.NewReader(text))
		if err != nil {
			return addr, &Error{Status: http.StatusBadRequest, Message: err.Error()}
		}
		resp, err := c.http.Do(req)
		if err != nil {
			return addr, err
		}
		answer, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		resp.Body.Close()
		if err != nil {
			return addr, err
		}
		switch {
		case resp.StatusCode == http.StatusOK:
			if into == nil {
				return addr, nil
			}
			if err := json.Unmarshal(answer, into); err != nil {
				return addr, fmt.Errorf("%s: answer: %w", addr, err)
			}
			return addr, nil
		case resp.StatusCode == http.StatusTemporaryRedirect:
			to, err := url.Parse(resp.Header.Get("Location"))
			if err != nil || to.Host == "" {
				return addr, fmt.Errorf("%s points nowhere", addr)
			}
			addr = to.Host
			continue
		}
		var a registry.WriteResponse
		if json.Unmarshal(answer, &a) != nil || a.Error == "" {
			a.Error = strings.TrimSpace(string(answer[:min(len(answer), 200)]))
		}
		if resp.StatusCode >= 500 && resp.StatusCode != http.StatusInsufficientStorage {
			return addr, fmt.Errorf("%s: %d: %s", addr, resp.StatusCode, a.Error)
		}
		return addr, &Error{Status: resp.StatusCode, Message: a.Error, Version: a.Version}
	}
	return addr, fmt.Errorf("%s: sent from one replica to the other", addr)
}
