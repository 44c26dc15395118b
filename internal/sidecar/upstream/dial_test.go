package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/sidecartest"
	"barleywick/policy"
)

// A handshake that fails because of this machine says nothing about the server.
func TestLocalFailuresAreNotTheServers(t *testing.T) {
	for errno, local := range map[syscall.Errno]bool{
		syscall.EMFILE: true, syscall.ENFILE: true, syscall.ENOBUFS: true, syscall.EADDRNOTAVAIL: true,
		syscall.ECONNREFUSED: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false, syscall.ENETUNREACH: false,
	} {
		err := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		if isLocalError(err) != local {
			t.Errorf("%v: got local %v, want %v", errno, !local, local)
		}
	}
	if isLocalError(errors.New("other")) {
		t.Error("an unknown error counts as one of this machine")
	}
}

// The handshakes in progress are limited, for each server and in total.
func TestHandshakesAreLimited(t *testing.T) {
	// A full backlog leaves handshakes hanging, as a machine does that was cut off.
	silent, again := sidecartest.NewBlackHole(t), sidecartest.NewBlackHole(t)
	p := NewPool(sidecartest.Patience, 30*time.Second, config.UpstreamLimits{Total: 20, PerServer: 10, Handshakes: 5, HandshakesPerServer: 3}, 1)
	defer p.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	ask := func(to *Server, n int) {
		for range n {
			callers.Go(func() {
				if _, err := p.Acquire(ctx, to); err == nil {
					t.Error("got a connection to a server that establishes none")
				}
			})
		}
	}
	a, b, c := NewServer(silent), NewServer(again), NewServer(again)
	a.dialWindow, b.dialWindow = 10, 10
	ask(a, 8)
	sidecartest.Eventually(t, "the first handshakes are in progress", func() bool { _, now := p.Counters(); return now.Waiting == 8 })
	if _, now := p.Counters(); now.Handshakes != 3 {
		t.Errorf("got %d handshakes with one server, want 3", now.Handshakes)
	}
	ask(b, 8)
	ask(c, 8)
	sidecartest.Eventually(t, "all wait", func() bool { _, now := p.Counters(); return now.Waiting == 24 })
	if _, now := p.Counters(); now.Handshakes != 5 || now.Open != 5 {
		t.Errorf("got %d handshakes and %d open in total, want 5", now.Handshakes, now.Open)
	}
	cancel()
	callers.Wait()
	if n, now := p.Counters(); now.Waiting != 0 || n.WaitsAbandoned != 24 || a.waiting.Len()+b.waiting.Len()+c.waiting.Len() != 0 {
		t.Errorf("got %+v, %+v, want no waiter left", n, now)
	}
}

// The dial window grows with each handshake that succeeds, and is 1 after one that failed.
func TestDialWindowGrows(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("")))
	p := testPool(20)
	defer p.Close()
	to := NewServer(u.Addr)
	for _, want := range []int{2, 3, 4} {
		c, err := p.Acquire(t.Context(), to)
		if err != nil {
			t.Fatal(err)
		}
		p.Discard(c)
		if to.dialWindow != want {
			t.Errorf("got window %d, want %d", to.dialWindow, want)
		}
	}
	to.addr = "127.0.0.1:1"
	if _, err := p.Acquire(t.Context(), to); err == nil || to.dialWindow != 1 {
		t.Errorf("got error %v, window %d; want an error and 1", err, to.dialWindow)
	}
}

// Waiting callers get connections in the order of their arrival, released ones as well as new ones;
// one that has given up is skipped.
func TestWaitersAreServedInOrder(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("")))
	p, to := testPool(1), NewServer(u.Addr)
	p.dialTimeout = sidecartest.Patience
	defer p.Close()
	c, err := p.Acquire(t.Context(), to)
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan int, 5)
	leave, left := context.WithCancel(t.Context())
	for i := range 5 {
		ctx := t.Context()
		if i == 2 {
			ctx = leave
		}
		go func() {
			c, err := p.Acquire(ctx, to)
			served <- i
			if err == nil {
				p.Release(c)
			}
		}()
		sidecartest.Eventually(t, "the caller waits", func() bool { return waiters(p) == i+1 })
	}
	left()
	if got := sidecartest.Await(t, "the caller that gives up", served); got != 2 {
		t.Fatalf("caller %d gave up, want 2", got)
	}
	p.Release(c)
	for _, want := range []int{0, 1, 3, 4} {
		if got := sidecartest.Await(t, "the next caller", served); got != want {
			t.Errorf("got a connection for caller %d, want %d", got, want)
		}
	}
	if len(u.Accepted) != 1 {
		t.Errorf("got %d connections, want 1", len(u.Accepted))
	}
}

// A wait that the limits here cause says nothing about the server.
func TestLocalLimitsAreNotTheServersFailure(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.Always(sidecartest.OKResponse("")))
	p, to := poolOf(20*time.Millisecond, 30*time.Second, 1), NewServer(u.Addr)
	defer p.Close()
	if _, err := p.Acquire(t.Context(), to); err != nil {
		t.Fatal(err)
	}
	if got, _ := runOneAttempt(t.Context(), p, NewServer(u.Addr)); got != policy.NotSent {
		t.Errorf("got ending %v, want not sent", got)
	}
	if got, _ := runOneAttempt(t.Context(), poolOf(20*time.Millisecond, time.Second, 1), NewServer(sidecartest.NewBlackHole(t))); got != policy.NoConnection {
		t.Errorf("unresponsive server: got ending %v, want no connection", got)
	}
}
