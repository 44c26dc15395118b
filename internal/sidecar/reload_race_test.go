package sidecar

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"barleywick/internal/registry/client"
	"barleywick/internal/rollout"
	"barleywick/internal/sidecar/gate"
	"barleywick/internal/sidecar/sidecartest"
	"barleywick/internal/sidecar/upstream"
)

// A reload while a fleet policy is applied must not cause a data race, or mix the connection limits of the
// old and the new configuration. The service writes the configured limits at the reload, and the policy
// follower's goroutine reads them when it applies a document: both must hold the lock.
func TestReloadWhileThePolicyIsEnforced(t *testing.T) {
	const rounds = 50
	c := testConfig(t, options{}, "127.0.0.1:1")
	c.Path = filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"discovery":"127.0.0.1:1","seed":"1","connections":{"clients":{"idle":1}},"settings":%s}`, fmt.Sprintf(testSettings, false, 500, "push"))
	if err := os.WriteFile(c.Path, []byte(validJSON(t, text)), 0o600); err != nil {
		t.Fatal(err)
	}
	loop, err := newEventLoop(c, testTransport(4, gate.New()), gate.New())
	if err != nil {
		t.Fatal(err)
	}
	loop.endLifetime() // the loop does not run: only the connection limits are applied
	ln := sidecartest.ListenLoopback(t)
	listener := newLimitedListener(ln, c.Connections.Clients)
	defer listener.Close()
	pool := upstream.NewPool(c.DialTimeout, c.UpstreamIdleTimeout, c.Connections.Servers, c.Seed)
	defer pool.Close()
	s := &service{config: c, enforcer: newPolicyEnforcer(c, loop, listener, pool), reloaded: make(chan reloadResult, 1)}
	s.watcher = client.NewWatcher(client.WatcherOptions{Addrs: c.DiscoveryAddrs(), Deliver: func(client.ListUpdate) {}})
	var enforcing sync.WaitGroup
	enforcing.Go(func() {
		for range rounds {
			_ = s.enforcer.EnforcePolicy(context.Background(), &rollout.Document{MaxClientConnections: 10}) // the loop has ended
		}
	})
	for range rounds {
		s.beginReload()
		s.finishReload(<-s.reloaded)
	}
	enforcing.Wait()
}
