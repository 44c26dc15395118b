package sidecar

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"barleywick/internal/registry/registrytest"
	"barleywick/internal/sidecar/sidecartest"
)

// SIGHUP applies new limits. A file with impossible limits changes nothing, whatever else it says.
func TestReloadChangesLimits(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("ok")))
	c := testConfig(t, options{}, "127.0.0.1:1", registrytest.EndpointJSON("s-1", u.Addr, "up", 0))
	c.Path = filepath.Join(t.TempDir(), "config.json")
	write := func(connections string) {
		t.Helper()
		text := fmt.Sprintf(`{"discovery":"127.0.0.1:1","seed":"1","connections":%s,"settings":%s}`, connections, fmt.Sprintf(testSettings, false, 500, "push"))
		if err := os.WriteFile(c.Path, []byte(validJSON(t, text)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	reload := make(chan os.Signal)
	addr, _, _ := startReloadable(t, c, reload)
	var kept []net.Conn
	for i := range 4 {
		k := dialFrom(t, "127.0.0.1", addr)
		if got := requestOn(k, fmt.Sprint("kept", i)); got != 200 {
			t.Fatalf("got status %d, want 200", got)
		}
		kept = append(kept, k)
	}
	for _, wrong := range []string{`{"clients":{"idle":-1}}`, `{"clients":{"total":5000}}`, `{"clint":{}}`} {
		write(wrong)
		reload <- syscall.SIGHUP
	}
	for i, k := range kept {
		if got := requestOn(k, fmt.Sprint("again", i)); got != 200 {
			t.Errorf("connection %d after wrong limits: got status %d, want 200", i, got)
		}
	}
	write(`{"clients":{"idle":1}}`)
	reload <- syscall.SIGHUP
	reload <- syscall.SIGHUP // received after the first has been handled
	open := 0
	for i, k := range kept {
		if requestOn(k, fmt.Sprint("then", i)) == 200 {
			open++
		}
	}
	if open != 1 {
		t.Errorf("got %d idle connections kept, want 1", open)
	}
}
