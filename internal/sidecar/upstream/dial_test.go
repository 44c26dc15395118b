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

// A handshake that fails for lack of resources on this machine does not count as a failure of the server.
func TestLocalDialErrorsAreNotServerFailures(t *testing.T) {
	for errno, local := range map[syscall.Errno]bool{
		syscall.EMFILE: true, syscall.ENFILE: true, syscall.ENOBUFS: true, syscall.EADDRNOTAVAIL: true,
		syscall.ECONNREFUSED: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false, syscall.ENETUNREACH: false,
	} {
		err := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		if isLocalError(err) != local {
			t.Errorf("%v: got isLocalError %v, want %v", errno, !local, local)
		}
	}
	if isLocalError(errors.New("other")) {
		t.Error("isLocalError returned true for an unknown error")
	}
}

// The number of handshakes in progress is limited per server and in total.
func TestHandshakesAreLimited(t *testing.T) {
	// With a full backlog handshakes hang, as with a machine that is cut off from the network.
	addrA, addrB := sidecartest.NewBlackHole(t), sidecartest.NewBlackHole(t)
	p := NewPool(sidecartest.WaitTimeout, 30*time.Second, config.UpstreamLimits{Total: 20, PerServer: 10, Handshakes: 5, HandshakesPerServer: 3}, 1)
	defer p.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	acquire := func(to *Server, n int) {
		for range n {
			callers.Go(func() {
				if _, err := p.Acquire(ctx, to); err == nil {
					t.Error("got a connection to a server that does not complete handshakes")
				}
			})
		}
	}
	a, b, c := NewServer(addrA), NewServer(addrB), NewServer(addrB)
	a.dialWindow, b.dialWindow = 10, 10
	acquire(a, 8)
	sidecartest.Eventually(t, "the first handshakes are in progress", func() bool { _, now := p.Counters(); return now.Waiting == 8 })
	if _, now := p.Counters(); now.Handshakes != 3 {
		t.Errorf("got %d handshakes with one server, want 3", now.Handshakes)
	}
	acquire(b, 8)
	acquire(c, 8)
	sidecartest.Eventually(t, "all callers wait", func() bool { _, now := p.Counters(); return now.Waiting == 24 })
	if _, now := p.Counters(); now.Handshakes != 5 || now.Open != 5 {
		t.Errorf("got %d handshakes and %d open connections in total, want 5 each", now.Handshakes, now.Open)
	}
	cancel()
	callers.Wait()
	if n, now := p.Counters(); now.Waiting != 0 || n.WaitsAbandoned != 24 || a.waiting.Len()+b.waiting.Len()+c.waiting.Len() != 0 {
		t.Errorf("got %+v, %+v; want no waiting callers and 24 abandoned waits", n, now)
	}
}

// The dial window grows with each successful handshake, and is 1 after a failed one.
func TestDialWindowGrows(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("")))
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
			t.Errorf("got dial window %d, want %d", to.dialWindow, want)
		}
	}
	to.addr = "127.0.0.1:1"
	if _, err := p.Acquire(t.Context(), to); err == nil || to.dialWindow != 1 {
		t.Errorf("got error %v, dial window %d; want an error and 1", err, to.dialWindow)
	}
}

// Waiting callers get connections in the order of their arrival, both released and new ones. A caller
// whose context has ended is skipped.
func TestWaitersAreServedInOrder(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("")))
	p, to := testPool(1), NewServer(u.Addr)
	p.dialTimeout = sidecartest.WaitTimeout
	defer p.Close()
	c, err := p.Acquire(t.Context(), to)
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan int, 5)
	cancelledCtx, cancel := context.WithCancel(t.Context())
	for i := range 5 {
		ctx := t.Context()
		if i == 2 {
			ctx = cancelledCtx
		}
		go func() {
			c, err := p.Acquire(ctx, to)
			served <- i
			if err == nil {
				p.Release(c)
			}
		}()
		sidecartest.Eventually(t, "the caller waits", func() bool { return waitingCallers(p) == i+1 })
	}
	cancel()
	if got := sidecartest.Await(t, "the cancelled caller", served); got != 2 {
		t.Fatalf("caller %d returned, want the cancelled caller 2", got)
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

// A timeout that is caused by the pool's own limits does not count as a failure of the server.
func TestLocalLimitsAreNotServerFailures(t *testing.T) {
	u := sidecartest.NewFakeServer(t, sidecartest.AlwaysRespond(sidecartest.OKResponse("")))
	p, to := testPoolWithTimeouts(20*time.Millisecond, 30*time.Second, 1), NewServer(u.Addr)
	defer p.Close()
	if _, err := p.Acquire(t.Context(), to); err != nil {
		t.Fatal(err)
	}
	if got, _ := runOneAttempt(t.Context(), p, NewServer(u.Addr)); got != policy.NotSent {
		t.Errorf("got ending %v, want not sent", got)
	}
	if got, _ := runOneAttempt(t.Context(), testPoolWithTimeouts(20*time.Millisecond, time.Second, 1), NewServer(sidecartest.NewBlackHole(t))); got != policy.NoConnection {
		t.Errorf("unresponsive server: got ending %v, want no connection", got)
	}
}
