// Package sidecartest holds what the tests of the sidecar's packages share.
package sidecartest

import (
	"net"
	"runtime"
	"testing"
	"time"
)

// Patience is how long a test waits for an event; it never has to in a good run.
const Patience = 10 * time.Second

// Await returns the next value of a channel, and fails the test if none comes.
func Await[T any](t testing.TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Patience):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// Eventually waits until a condition holds that no event tells of.
func Eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(Patience); !holds(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

// ListenLoopback opens a listener that ends with the test.
func ListenLoopback(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}
