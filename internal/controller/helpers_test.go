package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/registry/client"
	"barleywick/internal/registry/server"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})))
	os.Exit(m.Run())
}

const waitTimeout = 40 * time.Second

func eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting until %s", waitTimeout, description)
		}
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// startGroup runs a registry of one replica until the test ends.
func startGroup(t *testing.T, name string) (addr string, c *client.Client) {
	t.Helper()
	ln, raft := listen(t), listen(t)
	text, err := json.Marshal(map[string]any{
		"group": name, "id": "r", "data": t.TempDir(), "timing": map[string]any{"election_ms": 100}, "leases": map[string]any{"most_ttl_ms": 1000},
		"replicas": []registry.ReplicaInfo{{ID: "r", HTTP: ln.Addr().String(), Raft: raft.Addr().String()}},
	})
	if err != nil {
		t.Fatal(err)
	}
	config, err := server.ParseConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	r, err := server.Open(config, raft)
	if err != nil {
		t.Fatal(err)
	}
	s := r.HTTPServer()
	go s.Serve(ln)
	addr = ln.Addr().String()
	if c, err = client.New([]string{addr}, 1); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		s.Close()
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
	return addr, c
}

// startController runs a controller until the test ends, or until it is stopped.
func startController(t *testing.T, name, registryAddr, moreConfig string) (stop func()) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "controller.toml")
	text := fmt.Sprintf("name = %q\nregistry = [%q]\nlease_ms = 1000\n%s", name, registryAddr, moreConfig)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := LoadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	serveResult := make(chan error, 1)
	go func() { serveResult <- Serve(ctx, c) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-serveResult; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return stop
}

// holder returns the name of a lease's holder, or an empty string if there is none.
func holder(t *testing.T, c *client.Client, leaseName string) string {
	t.Helper()
	leases, err := c.Leases(t.Context(), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range leases.Leases {
		if l.Name == leaseName && l.Grant != nil {
			return l.Grant.Name
		}
	}
	return ""
}
