//go:build review

package main

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// relay is a TCP proxy in front of one address. It can delay what the target sends, or keep it back.
type relay struct {
	addr   string
	target string
	ln     net.Listener

	answerDelay atomic.Int64 // nanoseconds by which each byte of the target arrives late
	silent      atomic.Bool  // nothing passes in either direction any more; connections stay open
	refusing    atomic.Bool  // new connections are closed at once, without a byte

	mu       sync.Mutex
	conns    map[net.Conn]bool
	loseOnce string // the answer to the first request that begins with this is lost
}

// loseAnswerTo loses the answer to the first request from now on whose text begins with a prefix: the request passes, and
// its connection stays open and silent.
func (r *relay) loseAnswerTo(prefix string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loseOnce = prefix
}

// loses reports whether the answer to a request is lost.
func (r *relay) loses(text []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loseOnce == "" || !bytes.HasPrefix(text, []byte(r.loseOnce)) {
		return false
	}
	r.loseOnce = ""
	return true
}

func (h *harness) relay(target string) *relay {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	h.must(err, "relay")
	r := &relay{addr: ln.Addr().String(), target: target, ln: ln, conns: make(map[net.Conn]bool)}
	go r.serve()
	h.onClose(func() {
		ln.Close()
		r.reset()
	})
	return r
}

func (r *relay) serve() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		if r.refusing.Load() {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		go r.carry(c)
	}
}

func (r *relay) track(c net.Conn, add bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if add {
		r.conns[c] = true
	} else {
		delete(r.conns, c)
	}
}

// reset resets all connections.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (r *relay) carry(client net.Conn) {
	defer client.Close()
	r.track(client, true)
	defer r.track(client, false)
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		client.(*net.TCPConn).SetLinger(0)
		return
	}
	defer target.Close()
	r.track(target, true)
	defer r.track(target, false)
	done := make(chan struct{}, 2)
	lost := new(atomic.Bool)
	go func() {
		r.forward(target, client, func(text []byte) bool {
			if r.loses(text) {
				lost.Store(true)
			}
			return true
		}, func() time.Duration { return 0 })
		target.(*net.TCPConn).CloseWrite()
		done <- struct{}{}
	}()
	go func() {
		r.forward(client, target, func([]byte) bool { return !lost.Load() }, func() time.Duration { return time.Duration(r.answerDelay.Load()) })
		client.(*net.TCPConn).CloseWrite()
		done <- struct{}{}
	}()
	<-done
	<-done
}

type chunk struct {
	bytes []byte
	due   time.Time
}

// forward copies from one connection to the other what passes; each piece arrives late by a delay.
func (r *relay) forward(to, from net.Conn, passes func(text []byte) bool, delay func() time.Duration) {
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, 32<<10)
			n, err := from.Read(buf)
			if n > 0 {
				chunks <- chunk{buf[:n], time.Now().Add(delay())}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if !passes(c.bytes) {
			continue
		}
		for r.silent.Load() {
			time.Sleep(10 * time.Millisecond)
			if !r.isOpen(from) {
				return
			}
		}
		if _, err := to.Write(c.bytes); err != nil {
			return
		}
	}
}

func (r *relay) isOpen(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns[c]
}
