package handover

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/sidecar/sidecartest"
	"barleywick/internal/testing/fixture"
	"barleywick/policy"
)

// For any input, receive returns a message of the expected kind or an error.
func FuzzTakeoverMessage(f *testing.F) {
	f.Add([]byte(`{"kind":"hello","name":"n"}` + "\n"))
	f.Add([]byte(`{"kind":"held","held":[{"Slots":-1,"Places":99999999999}]}` + "\n"))
	f.Add([]byte("{\n"))
	f.Add([]byte(`{"kind":"error","error":"no"}` + "\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		dir := t.TempDir()
		ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(dir, "s"), Net: "unix"})
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		go func() {
			if c, err := net.Dial("unix", filepath.Join(dir, "s")); err == nil {
				c.Write(text)
				c.Close()
			}
		}()
		c, err := ln.AcceptUnix()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		m, err := receive(c, bufio.NewReaderSize(c, maxMessageBytes), messageHello, sidecartest.WaitTimeout)
		if err == nil && m.Kind != messageHello {
			t.Errorf("%q was accepted as a hello message", text)
		}
	})
}

// A process that sends another message than the server expects gets an error and no socket, and the
// next process is served.
func TestServerRejectsUnexpectedMessages(t *testing.T) {
	c := Config{Name: "n", Listen: "127.0.0.1:1", Socket: filepath.Join(t.TempDir(), "s"), ReadyTimeout: sidecartest.WaitTimeout}
	server, err := Listen(c, sidecartest.ListenLoopback(t))
	if err != nil {
		t.Fatal(err)
	}
	for _, first := range []message{{Kind: messageReady}, {Kind: messageHello, Name: "m", Listen: c.Listen}, {Kind: messageHello, Name: "n", Listen: "127.0.0.1:2"}} {
		nc, err := net.Dial("unix", c.Socket)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
		json.NewEncoder(nc).Encode(first)
		text, err := io.ReadAll(nc)
		if err != nil || strings.Contains(string(text), `"`+string(messageSocket)+`"`) {
			t.Errorf("%+v: got response %q, error %v; want an error message and no socket", first, text, err)
		}
		nc.Close()
	}
	connect := func() (p *Predecessor) {
		sidecartest.Eventually(t, "the server is free again", func() bool { p, err = Connect(t.Context(), c); return err == nil })
		return p
	}
	p := connect()
	if p.Listener().Addr().Network() != "tcp" {
		t.Errorf("got a listener of %v, want TCP", p.Listener().Addr())
	}
	p.Listener().Close()
	p.Close() // before it has reported that it is ready
	p = connect()
	p.Listener().Close()
	done := make(chan error, 1)
	go func() { _, err := p.awaitHandOver(); done <- err }()
	s := sidecartest.Await(t, "the successor", server.Successors())
	close(s.done) // the old process ends instead of handing over
	if err := sidecartest.Await(t, "the end of the wait for the hand-over", done); err == nil {
		t.Error("awaitHandOver succeeded although the old process did not hand over")
	}
	p.Close()
	server.Close()
	if p, err := Connect(t.Context(), c); p != nil || !errors.Is(err, ErrNoPredecessor) {
		t.Errorf("after Close: got %v, error %v; want ErrNoPredecessor", p, err)
	}
	if _, err := os.Stat(c.Socket); !errors.Is(err, os.ErrNotExist) && !server.handedOver {
		t.Errorf("the socket file was not removed: error %v", err)
	}
}

// fakePredecessor acts as the old process up to the socket message, and returns both ends of the connection.
func fakePredecessor(t *testing.T) (p *Predecessor, old *net.UnixConn) {
	t.Helper()
	c := Config{Name: "n", Listen: "127.0.0.1:1", Socket: filepath.Join(t.TempDir(), "s"), ReadyTimeout: sidecartest.WaitTimeout}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: c.Socket, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	raw, err := sidecartest.ListenLoopback(t).(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan *net.UnixConn, 1)
	go func() {
		old, err := ln.AcceptUnix()
		if err == nil {
			_, err = receive(old, bufio.NewReader(old), messageHello, sidecartest.WaitTimeout)
		}
		if err == nil {
			err = raw.Control(func(fd uintptr) { err = send(old, message{Kind: messageSocket}, syscall.UnixRights(int(fd))) })
		}
		if err != nil {
			t.Errorf("old process: %v", err)
		}
		accepted <- old
	}()
	if p, err = Connect(t.Context(), c); err != nil {
		t.Fatal(err)
	}
	old = sidecartest.Await(t, "the old process", accepted)
	t.Cleanup(func() {
		p.Listener().Close()
		p.Close()
		old.Close()
	})
	return p, old
}

// A new process that is ready takes over even if the hand-over message is late, as the old process may be
// stopped for a while, and if the old process dies instead of sending it.
func TestNewProcessWaitsForHandOver(t *testing.T) {
	for name, tt := range map[string]struct {
		old  func(old *net.UnixConn)
		want []policy.BulkheadCapacity
		err  string
	}{
		"late": {func(old *net.UnixConn) {
			time.Sleep(messageTimeout + 100*time.Millisecond) // longer than messageTimeout: the wait must not time out
			send(old, message{Kind: messageHandedOver}, nil)
			send(old, message{Kind: messageReserved, Reserved: []policy.BulkheadCapacity{{Slots: 3, Places: 1}}}, nil)
		}, []policy.BulkheadCapacity{{Slots: 3, Places: 1}}, ""},
		"dies before the message": {func(old *net.UnixConn) { old.Close() }, nil, ""},
		"dies after the message": {func(old *net.UnixConn) {
			send(old, message{Kind: messageHandedOver}, nil)
			old.Close()
		}, nil, ""},
		"ends after the message": {func(old *net.UnixConn) {
			send(old, message{Kind: messageHandedOver}, nil)
			closeWithError(old, errShuttingDown)
		}, nil, ""},
		"shuts down instead": {func(old *net.UnixConn) { closeWithError(old, errShuttingDown) }, nil, errShuttingDown.Error()},
	} {
		t.Run(name, func(t *testing.T) {
			p, old := fakePredecessor(t)
			type result struct {
				reserved []policy.BulkheadCapacity
				err      error
			}
			got := make(chan result, 1)
			go func() {
				reserved, err := p.awaitHandOver()
				got <- result{reserved, err}
			}()
			if _, err := receive(old, bufio.NewReader(old), messageReady, sidecartest.WaitTimeout); err != nil {
				t.Fatal(err)
			}
			tt.old(old)
			r := sidecartest.Await(t, "the result of awaitHandOver", got)
			if !slices.Equal(r.reserved, tt.want) || (r.err == nil) != (tt.err == "") || r.err != nil && !strings.Contains(r.err.Error(), tt.err) {
				t.Errorf("got reserved %v, error %v; want %v and error %q", r.reserved, r.err, tt.want, tt.err)
			}
		})
	}
}

// If a new process dies after it has reported that it is ready, the old one continues to serve and
// accepts the next.
func TestOldProcessKeepsServingIfSuccessorDies(t *testing.T) {
	c := Config{Name: "n", Listen: "127.0.0.1:1", Socket: filepath.Join(t.TempDir(), "s"), ReadyTimeout: sidecartest.WaitTimeout}
	server, err := Listen(c, sidecartest.ListenLoopback(t))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	p, err := Connect(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Listener().Close()
	if err := send(p.conn, message{Kind: messageReady}, nil); err != nil {
		t.Fatal(err)
	}
	s := sidecartest.Await(t, "the successor", server.Successors())
	p.Close()
	if err := server.HandOver(s); err == nil || server.handedOver {
		t.Errorf("handed over to a process that has died: error %v", err)
	}
	sidecartest.Eventually(t, "the server is free again", func() bool {
		again, err := Connect(t.Context(), c)
		if err != nil {
			return false
		}
		again.Listener().Close()
		again.Close()
		return true
	})
}

// The messages recorded at commit 396a775 must be readable, and messages sent now must equal them byte for
// byte.
func TestMessagesMatchCommit396a775(t *testing.T) {
	recorded := fixture.ReadString(t, "messages.jsonl")
	messages := []message{
		{Kind: messageHello, Name: "n7", Listen: "127.0.0.1:7070"},
		{Kind: messageSocket},
		{Kind: messageReady},
		{Kind: messageHandedOver},
		{Kind: messageReserved, Reserved: []policy.BulkheadCapacity{{Slots: 3, Places: 1}, {Slots: 0, Places: 0}, {Slots: 17, Places: 250}}},
		{Kind: messageReserved},
		{Kind: messageReserved, Reserved: []policy.BulkheadCapacity{{}}},
		{Kind: messageError, Error: errShuttingDown.Error()},
		{Kind: messageError, Error: `this is n7 at 127.0.0.1:1, not "<n8>" at "x"`},
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(t.TempDir(), "s"), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	pair := func() (from, to *net.UnixConn) {
		c, err := net.Dial("unix", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if to, err = ln.AcceptUnix(); err != nil {
			t.Fatal(err)
		}
		return c.(*net.UnixConn), to
	}
	for i, line := range strings.SplitAfter(strings.TrimSuffix(recorded, "\n"), "\n") {
		want := messages[i]
		from, to := pair()
		if err := send(from, want, nil); err != nil {
			t.Fatal(err)
		}
		from.Close()
		if text, err := io.ReadAll(to); err != nil || strings.TrimSpace(string(text)) != strings.TrimSpace(line) {
			t.Errorf("message %d: sent %q, error %v; want %q", i, text, err, line)
		}
		to.Close()
		from, to = pair()
		io.WriteString(from, strings.TrimSuffix(line, "\n")+"\n")
		got, err := receive(to, bufio.NewReader(to), want.Kind, sidecartest.WaitTimeout)
		if want.Kind == messageError {
			if err == nil || !strings.HasSuffix(err.Error(), want.Error) {
				t.Errorf("message %d: received error %v, want one that ends with %q", i, err, want.Error)
			}
		} else if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("message %d: received %+v, error %v; want %+v", i, got, err, want)
		}
		from.Close()
		to.Close()
	}
}
