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
	"barleywick/policy"
)

// FuzzTakeoverMessage: whatever comes over the socket is a message of the kind that
// is due, or an error.
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
		m, err := receive(c, bufio.NewReaderSize(c, maxMessageBytes), messageHello, sidecartest.Patience)
		if err == nil && m.Kind != messageHello {
			t.Errorf("%q was taken for a hello", text)
		}
	})
}

// Who says something else than the old process waits for gets a word and no socket;
// the offer stays open for the next.
func TestHandoverIsParticular(t *testing.T) {
	c := Config{Name: "n", Listen: "127.0.0.1:1", Socket: filepath.Join(t.TempDir(), "s"), ReadyTimeout: sidecartest.Patience}
	h, err := Listen(c, sidecartest.ListenLoopback(t))
	if err != nil {
		t.Fatal(err)
	}
	for _, first := range []message{{Kind: messageReady}, {Kind: messageHello, Name: "m", Listen: c.Listen}, {Kind: messageHello, Name: "n", Listen: "127.0.0.1:2"}} {
		nc, err := net.Dial("unix", c.Socket)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(sidecartest.Patience))
		json.NewEncoder(nc).Encode(first)
		text, err := io.ReadAll(nc)
		if err != nil || strings.Contains(string(text), `"`+messageSocket+`"`) {
			t.Errorf("%+v is answered %q, error %v", first, text, err)
		}
		nc.Close()
	}
	fresh := func() (p *Predecessor) {
		sidecartest.Eventually(t, "the offer is free again", func() bool { p, err = Connect(c); return err == nil && p != nil })
		return p
	}
	p := fresh()
	if p.Listener.Addr().Network() != "tcp" {
		t.Errorf("a listener of %v came", p.Listener.Addr())
	}
	p.Listener.Close()
	p.Close() // before it is ready
	p = fresh()
	p.Listener.Close()
	done := make(chan error, 1)
	go func() { _, err := p.waitForPlace(); done <- err }()
	s := sidecartest.Await(t, "the new one's word", h.Successors)
	close(s.done) // this process ends instead
	if err := sidecartest.Await(t, "its answer", done); err == nil {
		t.Error("it was given a place that nobody gave up")
	}
	p.Close()
	h.Close()
	if p, err := Connect(c); p != nil || err != nil {
		t.Errorf("after the end: %v, %v", p, err)
	}
	if _, err := os.Stat(c.Socket); !errors.Is(err, os.ErrNotExist) && !h.handed {
		t.Errorf("the socket is left behind: %v", err)
	}
}

// oldProcess plays the old process's side up to the new one's being ready, and returns its connection.
func oldProcess(t *testing.T) (p *Predecessor, old *net.UnixConn) {
	t.Helper()
	c := Config{Name: "n", Listen: "127.0.0.1:1", Socket: filepath.Join(t.TempDir(), "s"), ReadyTimeout: sidecartest.Patience}
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
			_, err = receive(old, bufio.NewReader(old), messageHello, sidecartest.Patience)
		}
		if err == nil {
			err = raw.Control(func(fd uintptr) { err = send(old, message{Kind: messageSocket}, syscall.UnixRights(int(fd))) })
		}
		if err != nil {
			t.Errorf("the old process: %v", err)
		}
		accepted <- old
	}()
	if p, err = Connect(c); err != nil || p == nil {
		t.Fatalf("reached %v, error %v", p, err)
	}
	old = sidecartest.Await(t, "the old process", accepted)
	t.Cleanup(func() {
		p.Listener.Close()
		p.Close()
		old.Close()
	})
	return p, old
}

// A new process that is ready does not leave a place that is given to it: not where the word of it is
// late, as the old one may be stopped for a while, and not where the old one dies instead of it.
func TestNewProcessWaitsForItsPlace(t *testing.T) {
	for name, tt := range map[string]struct {
		old  func(old *net.UnixConn)
		want []policy.BulkheadCapacity
		err  string
	}{
		"late": {func(old *net.UnixConn) {
			time.Sleep(messageTimeout + 100*time.Millisecond) // what is tested: no time of its own ends the wait
			send(old, message{Kind: messageYours}, nil)
			send(old, message{Kind: messageReserved, Reserved: []policy.BulkheadCapacity{{Slots: 3, Places: 1}}}, nil)
		}, []policy.BulkheadCapacity{{Slots: 3, Places: 1}}, ""},
		"dies before its word": {func(old *net.UnixConn) { old.Close() }, nil, ""},
		"dies after its word": {func(old *net.UnixConn) {
			send(old, message{Kind: messageYours}, nil)
			old.Close()
		}, nil, ""},
		"ends after its word": {func(old *net.UnixConn) {
			send(old, message{Kind: messageYours}, nil)
			closeWithError(old, errShuttingDown)
		}, nil, ""},
		"ends by itself instead": {func(old *net.UnixConn) { closeWithError(old, errShuttingDown) }, nil, errShuttingDown.Error()},
	} {
		t.Run(name, func(t *testing.T) {
			p, old := oldProcess(t)
			type result struct {
				held []policy.BulkheadCapacity
				err  error
			}
			got := make(chan result, 1)
			go func() {
				held, err := p.waitForPlace()
				got <- result{held, err}
			}()
			if _, err := receive(old, bufio.NewReader(old), messageReady, sidecartest.Patience); err != nil {
				t.Fatal(err)
			}
			tt.old(old)
			r := sidecartest.Await(t, "the new process's decision", got)
			if !slices.Equal(r.held, tt.want) || (r.err == nil) != (tt.err == "") || r.err != nil && !strings.Contains(r.err.Error(), tt.err) {
				t.Errorf("%v, error %v; want %v and %q", r.held, r.err, tt.want, tt.err)
			}
		})
	}
}

// A new process that dies when it has said that it is ready leaves the old one in its place, which
// is offered again.
func TestPlaceIsKeptWhereTheNewProcessDied(t *testing.T) {
	c := Config{Name: "n", Listen: "127.0.0.1:1", Socket: filepath.Join(t.TempDir(), "s"), ReadyTimeout: sidecartest.Patience}
	h, err := Listen(c, sidecartest.ListenLoopback(t))
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	p, err := Connect(c)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Listener.Close()
	if err := send(p.conn, message{Kind: messageReady}, nil); err != nil {
		t.Fatal(err)
	}
	s := sidecartest.Await(t, "the new one's word", h.Successors)
	p.Close()
	if err := h.HandOver(s); err == nil || h.handed {
		t.Errorf("the place was given to a process that has died: error %v", err)
	}
	sidecartest.Eventually(t, "the offer is free again", func() bool {
		again, err := Connect(c)
		if err != nil || again == nil {
			return false
		}
		again.Listener.Close()
		again.Close()
		return true
	})
}

// What the code of 396a775 sent has to be read, and what is sent now has to be the same byte for byte.
func TestTakeoverMessagesAreThoseOf396a775(t *testing.T) {
	fixture, err := os.ReadFile("testdata/396a775/messages.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	messages := []message{
		{Kind: messageHello, Name: "n7", Listen: "127.0.0.1:7070"},
		{Kind: messageSocket},
		{Kind: messageReady},
		{Kind: messageYours},
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
	for i, line := range strings.SplitAfter(strings.TrimSuffix(string(fixture), "\n"), "\n") {
		want := messages[i]
		from, to := pair()
		if err := send(from, want, nil); err != nil {
			t.Fatal(err)
		}
		from.Close()
		if text, err := io.ReadAll(to); err != nil || strings.TrimSpace(string(text)) != strings.TrimSpace(line) {
			t.Errorf("message %d is sent as %q, error %v; want %q", i, text, err, line)
		}
		to.Close()
		from, to = pair()
		io.WriteString(from, strings.TrimSuffix(line, "\n")+"\n")
		got, err := receive(to, bufio.NewReader(to), want.Kind, sidecartest.Patience)
		if want.Kind == messageError {
			if err == nil || !strings.HasSuffix(err.Error(), want.Error) {
				t.Errorf("message %d is received as error %v, want one that ends with %q", i, err, want.Error)
			}
		} else if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("message %d is received as %+v, error %v; want %+v", i, got, err, want)
		}
		from.Close()
		to.Close()
	}
}
