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

// Guards against a controller, a sidecar's policy follower or fleetctl reading leases and the
// fleet policy in a state of hours ago. The client prefers the replica that responded last, and
// used to accept a stale response from it. It has to try the other replicas first, accept a stale
// response only if there is no better one, and then the one with the lowest age: a replica whose
// disk was full until a moment ago lags behind the others. Symptom in TestLeasesWithFullDisks
// under load: grants are read that are 3 s old while the disks of a majority are full and all
// replicas are stale.
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
		for seed := range uint64(4) { // each starts at another address
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

// Guards against the error `no replica of the registry answers` while all replicas do respond:
// it was also returned if the caller's context had ended before the call, so that no replica was
// tried.
func TestCallWithEndedContextReturnsContextError(t *testing.T) {
	calls := make(chan struct{}, 10)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls <- struct{}{} }))
	defer server.Close()
	c, err := New([]string{server.Listener.Addr().String()}, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Leases(ctx, 0, 0)
	if !errors.Is(err, context.Canceled) || errors.Is(err, ErrUnreachable) || len(calls) > 0 {
		t.Errorf("got %v after %d calls, want context.Canceled and no call", err, len(calls))
	}
}
