package sidecartest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
)

// ReceivedRequest is a request that a FakeServer has read, and the connection it came on.
type ReceivedRequest struct {
	*http.Request
	Body string
	Conn net.Conn
}

// FakeServer is a booking server for tests. It passes each request to the test, and writes the raw text
// that its ResponseFunc returns.
type FakeServer struct {
	Addr     string
	Requests chan ReceivedRequest // read by the server and not yet received by the test
	Accepted chan net.Conn        // accepted and not yet received by the test
	Closed   chan net.Conn        // closed by the peer, or failed
}

// ResponseFunc returns the raw response to a request, and whether to close the connection after it.
type ResponseFunc func(r ReceivedRequest) (text string, end bool)

// OKResponse is a complete response with status 200.
func OKResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// AlwaysRespond returns a ResponseFunc that writes the same text for every request.
func AlwaysRespond(text string) ResponseFunc {
	return func(ReceivedRequest) (string, bool) { return text, false }
}

// NewFakeServer starts a server that is closed at the end of the test.
func NewFakeServer(t testing.TB, respond ResponseFunc) *FakeServer {
	t.Helper()
	ln := ListenLoopback(t)
	u := &FakeServer{
		Addr: ln.Addr().String(), Requests: make(chan ReceivedRequest, 100),
		Accepted: make(chan net.Conn, 100), Closed: make(chan net.Conn, 100),
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			u.Accepted <- c
			go u.serve(c, respond)
		}
	}()
	return u
}

func (u *FakeServer) serve(c net.Conn, respond ResponseFunc) {
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			u.Closed <- c
			return
		}
		body, _ := io.ReadAll(req.Body)
		r := ReceivedRequest{req, string(body), c}
		u.Requests <- r
		text, end := respond(r)
		io.WriteString(c, text)
		if end {
			c.Close()
			return
		}
	}
}

// MustURL parses a URL, and panics if it is malformed.
func MustURL(s string) *url.URL {
	u, err := url.Parse(s)
	if err != nil {
		panic(err)
	}
	return u
}
