package sidecar

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

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
		m, err := receive(c, bufio.NewReaderSize(c, maxMessageBytes), messageHello, patience)
		if err == nil && m.Kind != messageHello {
			t.Errorf("%q was taken for a hello", text)
		}
	})
}

// The configuration of a take-over is checked at load.
func TestTakeoverConfiguration(t *testing.T) {
	for text, want := range map[string]string{
		`{"socket":"/run/x.sock"}`:                "",
		`{"socket":"/run/x.sock","ready_ms":500}`: "",
		`{"socket":"x.sock"}`:                     "absolute path",
		`{}`:                                      "absolute path",
		`{"socket":"/` + strings.Repeat("x", MaxSocketPath+len(newSocketSuffix)) + `"}`: "bytes",
		`{"socket":"/run/x.sock","ready_ms":-1}`:                                        "negative",
		`{"socket":"/run/x.sock","redy_ms":1}`:                                          "unknown field",
	} {
		config := `{"seed":"1","takeover":` + text + `,"settings":{"balancers":1,"caps":{"most_tries":3},"classes":[{"name":"a","aim_ms":1,"hard_limit_ms":2}]}}`
		c, err := parseConfig([]byte(config), nil)
		if (err == nil) != (want == "") || (err != nil && !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: error %v, want %q", text, err, want)
		}
		if err == nil && (c.Takeover == nil || c.Takeover.readyIn() <= 0) {
			t.Errorf("%s: %+v", text, c.Takeover)
		}
	}
}

// Who says something else than the old process waits for gets a word and no socket;
// the offer stays open for the next.
func TestHandoverIsParticular(t *testing.T) {
	c := HandoverConfig{Name: "n", Listen: "127.0.0.1:1", Socket: filepath.Join(t.TempDir(), "s"), ReadyTimeout: defaultReady}
	h, err := Listen(c, listenLoopback(t))
	if err != nil {
		t.Fatal(err)
	}
	for _, first := range []message{{Kind: messageReady}, {Kind: messageHello, Name: "m", Listen: c.Listen}, {Kind: messageHello, Name: "n", Listen: "127.0.0.1:2"}} {
		nc, err := net.Dial("unix", c.Socket)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(patience))
		json.NewEncoder(nc).Encode(first)
		text, err := io.ReadAll(nc)
		if err != nil || strings.Contains(string(text), `"`+messageSocket+`"`) {
			t.Errorf("%+v is answered %q, error %v", first, text, err)
		}
		nc.Close()
	}
	fresh := func() (p *Predecessor) {
		eventually(t, "the offer is free again", func() bool { p, err = Connect(c); return err == nil && p != nil })
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
	s := await(t, "the new one's word", h.Successors)
	close(s.done) // this process ends instead
	if err := await(t, "its answer", done); err == nil {
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
	c := HandoverConfig{Name: "n", Listen: "127.0.0.1:1", Socket: filepath.Join(t.TempDir(), "s"), ReadyTimeout: defaultReady}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: c.Socket, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	raw, err := listenLoopback(t).(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan *net.UnixConn, 1)
	go func() {
		old, err := ln.AcceptUnix()
		if err == nil {
			_, err = receive(old, bufio.NewReader(old), messageHello, patience)
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
	old = await(t, "the old process", accepted)
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
			if _, err := receive(old, bufio.NewReader(old), messageReady, patience); err != nil {
				t.Fatal(err)
			}
			tt.old(old)
			r := await(t, "the new process's decision", got)
			if !slices.Equal(r.held, tt.want) || (r.err == nil) != (tt.err == "") || r.err != nil && !strings.Contains(r.err.Error(), tt.err) {
				t.Errorf("%v, error %v; want %v and %q", r.held, r.err, tt.want, tt.err)
			}
		})
	}
}

// A new process that dies when it has said that it is ready leaves the old one in its place, which
// is offered again.
func TestPlaceIsKeptWhereTheNewProcessDied(t *testing.T) {
	c := HandoverConfig{Name: "n", Listen: "127.0.0.1:1", Socket: filepath.Join(t.TempDir(), "s"), ReadyTimeout: defaultReady}
	h, err := Listen(c, listenLoopback(t))
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
	s := await(t, "the new one's word", h.Successors)
	p.Close()
	if err := h.HandOver(s); err == nil || h.handed {
		t.Errorf("the place was given to a process that has died: error %v", err)
	}
	eventually(t, "the offer is free again", func() bool {
		again, err := Connect(c)
		if err != nil || again == nil {
			return false
		}
		again.Listener.Close()
		again.Close()
		return true
	})
}
