// Package sidecartest contains helpers that are shared by the tests of the sidecar's packages.
package sidecartest

import (
	"net"
	"runtime"
	"testing"
	"time"
)

// WaitTimeout is the longest time that a test waits for an event. A passing test does not take this long.
const WaitTimeout = 10 * time.Second

// Await returns the next value of a channel, and fails the test if none arrives within WaitTimeout.
func Await[T any](t testing.TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(WaitTimeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

// Eventually polls until a condition holds, and fails the test if it does not hold within WaitTimeout. It
// is for conditions without an event to wait for.
func Eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(WaitTimeout); !holds(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// ListenLoopback opens a listener that is closed at the end of the test.
func ListenLoopback(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}
