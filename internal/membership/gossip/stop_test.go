package gossip

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"

	"barleywick/internal/membership"
)

// unreachableTransport reaches no other member: a call to one times out.
type unreachableTransport struct {
	*testTransport
	pendingStream bool // its listener has accepted a connection that is not received from StreamCh yet
	shutDown      chan struct{}
}

func newUnreachableTransport() *unreachableTransport {
	return &unreachableTransport{testTransport: newTestTransport(), shutDown: make(chan struct{})}
}

func (d *unreachableTransport) DialAddressTimeout(_ memberlist.Address, timeout time.Duration) (net.Conn, error) {
	time.Sleep(timeout)
	return nil, os.ErrDeadlineExceeded
}

// Shutdown waits for the listener, like memberlist's own transport.
func (d *unreachableTransport) Shutdown() error {
	if d.pendingStream {
		near, far := net.Pipe()
		defer far.Close()
		d.streams <- near
	}
	close(d.shutDown)
	return nil
}

// lockedBuffer is a log buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// testMember is a member that a test stops.
type testMember struct {
	*Node
	transport     *unreachableTransport
	log           lockedBuffer
	cancel        context.CancelFunc
	runResult     chan error
	writesBlocked atomic.Pointer[chan struct{}] // writes block until it is closed; nil: they don't block
}

// newTestMember makes a member with an incarnation. It is not running yet.
func newTestMember(t *testing.T, folder string, incarnation uint64, change func(o *Options)) *testMember {
	t.Helper()
	m := &testMember{transport: newUnreachableTransport(), runResult: make(chan error, 1)}
	o := Options{
		Config:    membership.Config{Fleet: "prenota-nord", Listen: "127.0.0.1:9601", StateDir: folder, Seeds: []string{"127.0.0.1:9602", "127.0.0.1:9603", "127.0.0.1:9604", "127.0.0.1:9605"}},
		Self:      membership.Info{Name: "s1", Incarnation: incarnation, Role: membership.RoleSidecar},
		Transport: m.transport, Logger: slog.New(slog.NewTextHandler(&m.log, nil)),
	}
	if change != nil {
		change(&o)
	}
	var err error
	if m.Node, err = Start(o); err != nil {
		t.Fatal(err)
	}
	m.writeFile = m.write
	return m
}

func (m *testMember) run() {
	var ctx context.Context
	ctx, m.cancel = context.WithCancel(context.Background())
	go func() { m.runResult <- m.Run(ctx) }()
}

// stop stops the member, and returns how long that took and the result of Run.
func (m *testMember) stop(t *testing.T) (took time.Duration, err error) {
	t.Helper()
	start := time.Now()
	m.cancel()
	select {
	case err = <-m.runResult:
		return time.Since(start), err
	case <-time.After(time.Hour):
		t.Errorf("the member has not stopped after an hour; its log:\n%s", m.log.String())
		return time.Hour, nil
	}
}

// blockWrites blocks the writes of the member's cache until the returned function is called.
func (m *testMember) blockWrites() (release func()) {
	released := make(chan struct{})
	m.writesBlocked.Store(&released)
	return func() { close(released) }
}

func (m *testMember) write(path string, text []byte, permissions fs.FileMode) error {
	if released := m.writesBlocked.Load(); released != nil {
		<-*released
		return os.ErrClosed
	}
	return replaceFile(path, text, permissions)
}

// A sync of the cache that never returns, in the last save or in an earlier one, delays the stop
// by lastSaveTimeout at most: the cache is only a hint for the next start. The member still
// announces that it leaves, and logs that the cache was not saved.
func TestStopWithHangingSync(t *testing.T) {
	for name, runTime := range map[string]time.Duration{"before the first save": 0, "at the last save": time.Second, "with a save in progress": 3 * cacheInterval} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				m := newTestMember(t, folder, 11, nil)
				release := m.blockWrites()
				m.run()
				time.Sleep(runTime)
				took, err := m.stop(t)
				if took > stopTimeout || err != nil {
					t.Errorf("stopped after %v with %v, want %v at most and no error", took, err, stopTimeout)
				}
				select {
				case <-m.transport.shutDown:
				default:
					t.Error("the member has not left: its transport is still open")
				}
				if !strings.Contains(m.log.String(), "members: cache not saved in time") {
					t.Errorf("the log does not say that the cache was not saved:\n%s", m.log.String())
				}
				release()
				time.Sleep(time.Minute) // the remaining goroutines end by their timeouts
			})
		})
	}
}

// A member that is stopped while it calls seeds that do not answer stops at once: there is no member
// to which it would have to announce that.
func TestStopWhileJoining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newTestMember(t, "", 11, nil)
		m.run()
		time.Sleep(callTimeout / 2)
		took, err := m.stop(t)
		if took > callTimeout || err != nil {
			t.Errorf("stopped after %v with %v, want %v at most and no error", took, err, callTimeout)
		}
		time.Sleep(time.Minute)
	})
}

// A connection that the listener has accepted when the member stops must not block the stop:
// memberlist no longer receives it, but the shutdown of its transport waits for the listener.
func TestStopWithPendingConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newTestMember(t, "", 11, nil)
		m.transport.pendingStream = true
		m.run()
		time.Sleep(10 * time.Second)
		took, err := m.stop(t)
		if took > callTimeout || err != nil {
			t.Errorf("stopped after %v with %v, want %v at most and no error", took, err, callTimeout)
		}
		select {
		case <-m.transport.shutDown:
		default:
			t.Error("the transport has not shut down")
			<-m.transport.streams
		}
		time.Sleep(time.Minute)
	})
}

// If a callback hangs, Run returns at stopTimeout, with an error.
func TestStopTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		m := newTestMember(t, "", 11, func(o *Options) { o.OnChange = func() { <-release } })
		m.run()
		m.notifyChanged()
		time.Sleep(10 * time.Second)
		took, err := m.stop(t)
		if took != stopTimeout || err == nil {
			t.Errorf("stopped after %v with %v, want %v and an error", took, err, stopTimeout)
		}
		close(release)
		time.Sleep(time.Minute)
	})
}

// The next start's incarnation is above this one's even if this one stopped before its first
// cacheInterval, while it still called seeds, and without its last save, and the clock was set back.
// The cached addresses are kept while no other member is present.
func TestIncarnationAfterHangingStop(t *testing.T) {
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		m := newTestMember(t, folder, 100, nil)
		if err := m.writeCache(memberCache{Fleet: "prenota-nord", Incarnation: 20, Addresses: []string{"127.0.0.1:9607"}}); err != nil {
			t.Fatal(err)
		}
		m.run()
		time.Sleep(time.Second)
		release := m.blockWrites()
		if _, err := m.stop(t); err != nil {
			t.Error(err)
		}
		next := newTestMember(t, folder, 50, nil)
		if got := next.Self().Incarnation; got <= 100 {
			t.Errorf("got incarnation %d of the next start, want more than 100", got)
		}
		if cache, err := next.loadCache(); err != nil || fmt.Sprint(cache.Addresses) != "[127.0.0.1:9607]" {
			t.Errorf("got cache %+v (%v), want the address that it held before", cache, err)
		}
		release()
		if err := next.list.Load().Shutdown(); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute)
	})
}

// Of two processes with the same name, only the later one writes the cache file: the earlier one,
// which may save after it, must not replace the incarnation by its lower one.
func TestReplacedProcessDoesNotWriteCache(t *testing.T) {
	folder := t.TempDir()
	n := newOfflineNode(folder)
	later := k1
	later.Incarnation++
	if err := n.writeCache(memberCache{Fleet: n.options.Config.Fleet, Incarnation: later.Incarnation}); err != nil {
		t.Fatal(err)
	}
	n.view.MarkPresent(later, n.now())
	n.saveCache()
	if cache, err := n.loadCache(); err != nil || cache.Incarnation != later.Incarnation {
		t.Errorf("got incarnation %d in the file (%v), want %d", cache.Incarnation, err, later.Incarnation)
	}
}
