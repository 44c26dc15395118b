//go:build review

package rig

import (
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Proxy is the link from one process to another. It can be cut, as the protocol page describes a cut: nothing is
// said, open connections stay open and silent, and new ones never come up. And it can be late.
type Proxy struct {
	Addr   string
	target string
	rig    *Rig
	ln     *net.TCPListener

	mu       sync.Mutex
	changed  *sync.Cond
	cut      bool
	accepted bool // the accept loop is in Accept
	down, up time.Duration
	fillers  []net.Conn
	lose     string // the answer to the next request that contains this is lost
	lost     func()
}

const backlog = 128

// NewProxy starts a proxy to an address.
func (r *Rig) NewProxy(target string) *Proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Cannot("%v", err)
	}
	p := &Proxy{Addr: ln.Addr().String(), target: target, rig: r, ln: ln.(*net.TCPListener)}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p
}

// SetDelay sets how late bytes arrive: from the target (down) and to it (up).
func (p *Proxy) SetDelay(down, up time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down, p.up = down, up
}

// LoseAnswer loses the answer to the next request that contains a text: the connection stays open and silent. lost is
// called when the request has passed.
func (p *Proxy) LoseAnswer(request string, lost func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose, p.lost = request, lost
}

func (p *Proxy) accept() {
	for {
		p.mu.Lock()
		for p.cut {
			p.accepted = false
			p.changed.Broadcast()
			p.changed.Wait()
		}
		p.accepted = true
		p.mu.Unlock()
		c, err := p.ln.Accept()
		if err != nil {
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				continue
			}
			return
		}
		go p.forward(c)
	}
}

func (p *Proxy) setBacklog(n int) {
	raw, err := p.ln.SyscallConn()
	if err != nil {
		p.rig.Cannot("%v", err)
	}
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), n) })
	if err != nil {
		p.rig.Cannot("listen: %v", err)
	}
}

// Cut cuts the link.
func (p *Proxy) Cut() {
	p.mu.Lock()
	p.cut = true
	p.ln.SetDeadline(time.Now())
	for p.accepted {
		p.changed.Wait()
	}
	p.mu.Unlock()
	p.setBacklog(0)
	for range 16 { // until the backlog is full: then the kernel drops what wants to connect
		c, err := net.DialTimeout("tcp", p.Addr, 30*time.Millisecond)
		if err != nil {
			return
		}
		p.fillers = append(p.fillers, c)
	}
	p.rig.Cannot("the backlog of a listening socket does not fill up on this kernel")
}

// Heal ends the cut. What was sent before on open connections arrives now.
func (p *Proxy) Heal() {
	for _, c := range p.fillers {
		c.Close()
	}
	p.fillers = nil
	p.setBacklog(backlog)
	p.mu.Lock()
	p.cut = false
	p.ln.SetDeadline(time.Time{})
	p.changed.Broadcast()
	p.mu.Unlock()
}

func (p *Proxy) forward(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, 2*time.Second)
	if err != nil {
		client.(*net.TCPConn).SetLinger(0) // refused there: the nearest thing here is a reset
		client.Close()
		return
	}
	var mute atomic.Bool
	go p.pump(client, server, func() time.Duration { return p.up }, func(b []byte) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.lose != "" && strings.Contains(string(b), p.lose) {
			p.lose = ""
			mute.Store(true)
			go p.lost()
		}
	}, new(atomic.Bool))
	p.pump(server, client, func() time.Duration { return p.down }, func([]byte) {}, &mute)
}

type chunk struct {
	text []byte
	due  time.Time
	err  error
}

// pump forwards one direction of a connection.
func (p *Proxy) pump(from, to net.Conn, delay func() time.Duration, seen func([]byte), mute *atomic.Bool) {
	chunks := make(chan chunk, 1024)
	go func() {
		for {
			b := make([]byte, 32<<10)
			n, err := from.Read(b)
			p.mu.Lock()
			due := time.Now().Add(delay())
			p.mu.Unlock()
			chunks <- chunk{b[:n], due, err}
			if err != nil {
				close(chunks)
				return
			}
		}
	}()
	broken := false
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		p.mu.Lock()
		for p.cut {
			p.changed.Wait()
		}
		p.mu.Unlock()
		seen(c.text)
		if mute.Load() {
			continue
		}
		if len(c.text) > 0 && !broken {
			if _, err := to.Write(c.text); err != nil {
				broken = true
				from.Close()
			}
		}
		switch {
		case c.err == io.EOF:
			to.(*net.TCPConn).CloseWrite()
		case c.err != nil:
			to.(*net.TCPConn).SetLinger(0)
			to.Close()
			from.Close()
		}
	}
}
