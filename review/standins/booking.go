//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// booking is a stand-in for a booking server, as the protocol page describes it: it runs each request that has arrived
// whole, and answers with a body of its own for each.
type booking struct {
	h    *harness
	name string
	addr string
	http *http.Server
	ln   net.Listener

	mu      sync.Mutex
	running map[string]bool // ids of the requests that run now
	runs    map[string]int  // how often each id was begun
	begun   int
	stopped bool
	done    chan struct{}

	cancelSession context.CancelFunc
}

func bodyOf(id string) string { return "made for " + id }

// startBooking starts a booking server.
func (h *harness) startBooking(name string) *booking {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	h.must(err, name)
	b := &booking{h: h, name: name, addr: ln.Addr().String(), ln: ln, running: make(map[string]bool), runs: make(map[string]int), done: make(chan struct{})}
	b.http = &http.Server{Handler: b}
	go b.http.Serve(ln)
	h.onClose(b.kill)
	return b
}

// workHeader names how long a request runs. A client states it; the page leaves any other header free.
const workHeader = "Work-Hint"

func (b *booking) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/stats" || req.URL.Path == "/health/live" {
		b.mu.Lock()
		n := len(b.running)
		b.mu.Unlock()
		text := fmt.Sprintf("TEXT queue=0, util=%.2f, qps=0", min(1, float64(n)))
		w.Header().Set("Server-Load", text)
		io.WriteString(w, text)
		return
	}
	id := req.Header.Get("Request-Id")
	if id == "" {
		http.NotFound(w, req)
		return
	}
	if _, err := io.ReadAll(req.Body); err != nil {
		return
	}
	var us float64
	fmt.Sscanf(req.Header.Get(workHeader), "%g", &us)
	b.mu.Lock()
	if b.stopped {
		b.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	b.running[id] = true
	b.runs[id]++
	b.begun++
	b.mu.Unlock()
	b.h.note("%s: runs %s", b.name, id)
	select {
	case <-time.After(time.Duration(us) * time.Microsecond):
	case <-b.done:
		panic(http.ErrAbortHandler)
	}
	b.mu.Lock()
	delete(b.running, id)
	b.mu.Unlock()
	text := bodyOf(id)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	io.WriteString(w, text)
}

// kill ends the server as the end of its process does: connections are reset, new ones are refused.
func (b *booking) kill() {
	b.mu.Lock()
	if b.stopped {
		b.mu.Unlock()
		return
	}
	b.stopped = true
	b.mu.Unlock()
	close(b.done)
	b.http.Close()
	if b.cancelSession != nil {
		b.cancelSession()
	}
}

func (b *booking) load() (running, begun int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running), b.begun
}

// register keeps the server registered at the registry until it ends, as the page says: a session, renewed in time.
func (b *booking) register(api, site, machine string, ttl time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancelSession = cancel
	session := fmt.Sprintf("%s-%d", b.name, time.Now().UnixNano())
	body := map[string]any{
		"instance": map[string]any{"host": b.name, "dial": b.addr, "site": site, "class": "m", "health": "up", "share": 1.0, "born_ms": 0},
		"session":  session, "ttl_ms": ttl.Milliseconds(), "machine": machine,
	}
	put := func() bool {
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		status, err := call(callCtx, "PUT", api+"instances/"+b.name, body, nil)
		return err == nil && status == http.StatusOK
	}
	b.h.eventually(b.name+" is registered", 10*time.Second, put)
	go func() {
		for {
			select {
			case <-time.After(ttl / 4):
			case <-ctx.Done():
				return
			}
			callCtx, cancel := context.WithTimeout(ctx, ttl/4)
			status, err := call(callCtx, "POST", api+"instances/"+b.name+"/renew", map[string]any{"session": session}, nil)
			cancel()
			if err == nil && status == http.StatusNotFound {
				put()
			}
		}
	}()
}
