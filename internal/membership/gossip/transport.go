package gossip

import (
	"context"
	"fmt"
	"log"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"barleywick/internal/addressmap"
)

const (
	// maxStreams bounds connections from others: each is one exchange of whole views.
	maxStreams = 64
	// streamIn is for one of them.
	streamIn = 5 * time.Second
)

// traffic counts what a member sends and hears, and what it lets go.
type traffic struct {
	packets, bytes, streams, refused atomic.Uint64
}

// routed is memberlist's transport over a table of routes, with bounds and counts.
type routed struct {
	memberlist.NodeAwareTransport
	routes  addressmap.Table
	traffic *traffic
	in      chan net.Conn
	places  chan struct{}
	over    chan struct{}
	once    sync.Once
	tasks   sync.WaitGroup
}

// listenOn makes a transport that listens on an address, for datagrams and connections.
func listenOn(at string, l *log.Logger) (memberlist.NodeAwareTransport, error) {
	a, err := netip.ParseAddrPort(at)
	if err != nil {
		return nil, fmt.Errorf("membership.listen: %w", err)
	}
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{a.Addr().String()}, BindPort: int(a.Port()), Logger: l})
	if err != nil {
		return nil, fmt.Errorf("membership.listen: %w", err)
	}
	return t, nil
}

func newRouted(inner memberlist.NodeAwareTransport, routes addressmap.Table, t *traffic) *routed {
	r := &routed{NodeAwareTransport: inner, routes: routes, traffic: t, in: make(chan net.Conn), places: make(chan struct{}, maxStreams), over: make(chan struct{})}
	r.tasks.Go(r.admit)
	return r
}

// WriteTo sends one datagram.
func (r *routed) WriteTo(b []byte, to string) (time.Time, error) {
	return r.WriteToAddress(b, memberlist.Address{Addr: to})
}

// WriteToAddress sends one datagram.
func (r *routed) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	r.traffic.packets.Add(1)
	r.traffic.bytes.Add(uint64(len(b)))
	to.Addr = r.routes.To(to.Addr)
	return r.NodeAwareTransport.WriteToAddress(b, to)
}

// DialTimeout opens a connection.
func (r *routed) DialTimeout(to string, within time.Duration) (net.Conn, error) {
	return r.DialAddressTimeout(memberlist.Address{Addr: to}, within)
}

// DialAddressTimeout opens a connection.
func (r *routed) DialAddressTimeout(to memberlist.Address, within time.Duration) (net.Conn, error) {
	r.traffic.streams.Add(1)
	to.Addr = r.routes.To(to.Addr)
	c, err := r.NodeAwareTransport.DialAddressTimeout(to, within)
	if err != nil {
		return nil, err
	}
	return &counted{Conn: c, traffic: r.traffic}, nil
}

// StreamCh are the connections that are let in.
func (r *routed) StreamCh() <-chan net.Conn { return r.in }

// admit lets so many connections in at once, and closes the others.
func (r *routed) admit() {
	for {
		select {
		case <-r.over:
			return
		case c := <-r.NodeAwareTransport.StreamCh():
			select {
			case r.places <- struct{}{}:
			default:
				r.traffic.refused.Add(1)
				_ = c.Close()
				continue
			}
			_ = c.SetDeadline(time.Now().Add(streamIn))
			// Whatever becomes of it, its place is free when its time is up.
			ctx, cancel := context.WithTimeout(context.Background(), streamIn)
			let := &counted{Conn: c, traffic: r.traffic, closed: cancel}
			context.AfterFunc(ctx, func() {
				_ = c.Close()
				<-r.places
			})
			select {
			case r.in <- let:
			case <-r.over:
				_ = let.Close()
			}
		}
	}
}

// Shutdown stops listening.
func (r *routed) Shutdown() error {
	r.once.Do(func() { close(r.over) })
	r.tasks.Wait()
	return r.NodeAwareTransport.Shutdown()
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	traffic *traffic
	closed  func()
}

// Write counts what is sent.
func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.bytes.Add(uint64(n))
	return n, err
}

// Close closes it.
func (c *counted) Close() error {
	if c.closed != nil {
		c.closed()
	}
	return c.Conn.Close()
}
