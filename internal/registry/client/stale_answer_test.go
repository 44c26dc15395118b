package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"barleywick/internal/registry"
)

// What happens: a controller, a sidecar's policy follower or fleetctl reads leases and the
// fleet policy as they were hours ago. Why: the client goes on asking the replica that
// answered last, and takes an answer that says stale like any other. It has to ask the
// other replicas first, and take the stale answer only if none has a better one, and then the
// least stale: a replica whose disk was full until a moment ago lacks more than the others. What
// showed it: TestProofOfFullDisks beside load read grants of 3 s before, while a majority's disks
// were full and all replicas said stale.
func TestStaleResponseIsUsedOnlyAsLastResort(t *testing.T) {
	serve := func(read string, version int) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(registry.ReadHeader, read)
			fmt.Fprintf(w, `{"version":%d,"leases":[]}`, version)
		}))
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	stale, current := serve(registry.ReadStale+"; age_ms=9000", 7), serve(registry.ReadCurrent+"; age_ms=1", 9)
	fresher, unknown := serve(registry.ReadStale+"; age_ms=8000", 8), serve(registry.ReadStale+"; age_ms=0", 6)
	const unreachable = "127.0.0.1:1"
	for name, x := range map[string]struct {
		addrs []string
		want  uint64
	}{
		"one is current":        {[]string{stale, current}, 9},
		"the only one":          {[]string{stale}, 7},
		"stale or out of reach": {[]string{stale, unreachable}, 7},
		"the least stale":       {[]string{stale, fresher, unknown}, 8},
		"of no known age":       {[]string{unknown, unreachable}, 6},
	} {
		for seed := range uint64(4) { // each begins at another address
			c, err := New(x.addrs, seed)
			if err != nil {
				t.Fatal(err)
			}
			for range 3 {
				got, err := c.Leases(t.Context(), 0, 0)
				if err != nil || got.Version != x.want {
					t.Errorf("%s, seed %d: got version %d, error %v; want %d", name, seed, got.Version, err, x.want)
				}
			}
			c.Close()
		}
	}
}

// What happens: a log says `no replica of the registry answers`, and they all do. Why: the
// caller's time was over before the call, so that nobody was asked; the error named the
// replicas all the same.
func TestCallWithEndedContextReturnsContextError(t *testing.T) {
	asked := make(chan struct{}, 10)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked <- struct{}{} }))
	defer server.Close()
	c, err := New([]string{server.Listener.Addr().String()}, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Leases(ctx, 0, 0)
	if !errors.Is(err, context.Canceled) || errors.Is(err, ErrUnreachable) || len(asked) > 0 {
		t.Errorf("got %v after %d calls, want that the context was cancelled, and no call", err, len(asked))
	}
}
