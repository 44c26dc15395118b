package sidecar

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
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
		m, err := receive(c, bufio.NewReaderSize(c, maxMessage), msgHello, patience)
		if err == nil && m.Kind != msgHello {
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
		`{"socket":"/` + strings.Repeat("x", maxSocketPath) + `"}`: "bytes",
		`{"socket":"/run/x.sock","ready_ms":-1}`:                   "negative",
		`{"socket":"/run/x.sock","redy_ms":1}`:                     "unknown field",
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
	c := &Config{Name: "n", Listen: "127.0.0.1:1", Takeover: &takeoverConfig{Socket: filepath.Join(t.TempDir(), "s")}}
	h, err := offer(c, listenLoopback(t))
	if err != nil {
		t.Fatal(err)
	}
	for _, first := range []message{{Kind: msgReady}, {Kind: msgHello, Name: "m", Listen: c.Listen}, {Kind: msgHello, Name: "n", Listen: "127.0.0.1:2"}} {
		nc, err := net.Dial("unix", c.Takeover.Socket)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(patience))
		json.NewEncoder(nc).Encode(first)
		text, err := io.ReadAll(nc)
		if err != nil || strings.Contains(string(text), `"`+msgSocket+`"`) {
			t.Errorf("%+v is answered %q, error %v", first, text, err)
		}
		nc.Close()
	}
	fresh := func() (p *predecessor) {
		eventually(t, "the offer is free again", func() bool { p, err = reach(c); return err == nil && p != nil })
		return p
	}
	p := fresh()
	if p.listener.Addr().Network() != "tcp" {
		t.Errorf("a listener of %v came", p.listener.Addr())
	}
	p.listener.Close()
	p.close() // before it is ready
	p = fresh()
	p.listener.Close()
	done := make(chan error, 1)
	go func() { _, err := p.ready(); done <- err }()
	s := await(t, "the new one's word", h.asked)
	close(s.gone) // this process ends instead
	if err := await(t, "its answer", done); err == nil {
		t.Error("it was given a place that nobody gave up")
	}
	p.close()
	h.close()
	if p, err := reach(c); p != nil || err != nil {
		t.Errorf("after the end: %v, %v", p, err)
	}
	if _, err := os.Stat(c.Takeover.Socket); !errors.Is(err, os.ErrNotExist) && !h.handed {
		t.Errorf("the socket is left behind: %v", err)
	}
}
