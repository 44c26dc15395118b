//go:build review

package rig

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Booking is a stand-in for a booking server. It runs all requests at once, each for Work.
type Booking struct {
	Name string
	Addr string
	Work time.Duration
	// Begun is called when a request has arrived whole, Ended when its answer has been written, or
	// cut when the server was stopped meanwhile.
	Begun func(b *Booking, req *http.Request)
	Ended func(b *Booking, req *http.Request, cut bool)

	rig    *Rig
	server *http.Server

	mu      sync.Mutex
	ln      net.Listener
	conns   map[net.Conn]bool
	running int
	stopped chan struct{}
}

// NewBooking returns a booking server, which Listen starts.
func (r *Rig) NewBooking(name string, work time.Duration) *Booking {
	return &Booking{Name: name, Addr: r.FreeAddr(), Work: work, rig: r}
}

// Listen starts the server, again after Stop.
func (b *Booking) Listen() {
	b.rig.Release(b.Addr)
	ln, err := net.Listen("tcp", b.Addr)
	if err != nil {
		b.rig.Cannot("%v", err)
	}
	b.mu.Lock()
	b.ln, b.conns, b.running, b.stopped = ln, make(map[net.Conn]bool), 0, make(chan struct{})
	stopped := b.stopped
	b.mu.Unlock()
	b.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { b.serve(w, req, stopped) }),
		ConnState: func(c net.Conn, s http.ConnState) {
			b.mu.Lock()
			defer b.mu.Unlock()
			if s == http.StateNew {
				b.conns[c] = true
			} else if s == http.StateClosed {
				delete(b.conns, c)
			}
		},
	}
	go b.server.Serve(ln)
}

// Stop ends the server as the end of its process does: its connections are reset, and new ones are refused. It
// returns the number of requests that were running.
func (b *Booking) Stop() (cut int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.stopped:
		return 0
	default:
	}
	close(b.stopped)
	b.ln.Close()
	for c := range b.conns {
		Reset(c)
	}
	return b.running
}

// Running returns the number of running requests.
func (b *Booking) Running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

func (b *Booking) serve(w http.ResponseWriter, req *http.Request, stopped chan struct{}) {
	switch req.URL.Path {
	case "/health/live", "/stats":
		// The load at this moment: queue and use of the cores.
		load := 0
		if b.Running() > 0 {
			load = 1
		}
		w.Header().Set("Server-Load", fmt.Sprintf("TEXT queue=%d, util=%d.0, qps=10", max(0, b.Running()-1), load))
		return
	}
	if req.Header.Get("Request-Id") == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	b.mu.Lock()
	b.running++
	b.mu.Unlock()
	if b.Begun != nil {
		b.Begun(b, req)
	}
	cut := false
	select {
	case <-time.After(b.Work):
	case <-stopped:
		cut = true
	}
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	if b.Ended != nil {
		b.Ended(b, req, cut)
	}
	if cut {
		return
	}
	body := "booked " + req.Header.Get("Request-Id")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	io.WriteString(w, body)
}
