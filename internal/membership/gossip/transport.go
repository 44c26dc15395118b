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
	// maxInboundStreams bounds connections from others: each is one exchange of whole views.
	maxInboundStreams = 64
	// streamTimeout is for one of them.
	streamTimeout = 5 * time.Second
)

// traffic counts what a member sends and hears, and what it lets go.
type traffic struct {
	packets, bytes, streams, refused atomic.Uint64
}

// mappedTransport is memberlist's transport over a table of routes, with bounds and counts.
type mappedTransport struct {
	memberlist.NodeAwareTransport
	routes   addressmap.Table
	traffic  *traffic
	accepted chan net.Conn
	slots    chan struct{}
	stopping chan struct{}
	once     sync.Once
	tasks    sync.WaitGroup
}

// listen makes a transport that listens on an address, for datagrams and connections.
func listen(at string, l *log.Logger) (memberlist.NodeAwareTransport, error) {
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

func newMappedTransport(inner memberlist.NodeAwareTransport, routes addressmap.Table, t *traffic) *mappedTransport {
	r := &mappedTransport{NodeAwareTransport: inner, routes: routes, traffic: t, accepted: make(chan net.Conn), slots: make(chan struct{}, maxInboundStreams), stopping: make(chan struct{})}
	r.tasks.Go(r.acceptStreams)
	return r
}

// WriteTo sends one datagram.
func (r *mappedTransport) WriteTo(b []byte, to string) (time.Time, error) {
	return r.WriteToAddress(b, memberlist.Address{Addr: to})
}

// WriteToAddress sends one datagram.
func (r *mappedTransport) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	r.traffic.packets.Add(1)
	r.traffic.bytes.Add(uint64(len(b)))
	to.Addr = r.routes.To(to.Addr)
	return r.NodeAwareTransport.WriteToAddress(b, to)
}

// DialTimeout opens a connection.
func (r *mappedTransport) DialTimeout(to string, within time.Duration) (net.Conn, error) {
	return r.DialAddressTimeout(memberlist.Address{Addr: to}, within)
}

// DialAddressTimeout opens a connection.
func (r *mappedTransport) DialAddressTimeout(to memberlist.Address, within time.Duration) (net.Conn, error) {
	r.traffic.streams.Add(1)
	to.Addr = r.routes.To(to.Addr)
	c, err := r.NodeAwareTransport.DialAddressTimeout(to, within)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, traffic: r.traffic}, nil
}

// StreamCh are the connections that are let in.
func (r *mappedTransport) StreamCh() <-chan net.Conn { return r.accepted }

// acceptStreams lets so many connections in at once, and closes the others.
func (r *mappedTransport) acceptStreams() {
	for {
		select {
		case <-r.stopping:
			return
		case c := <-r.NodeAwareTransport.StreamCh():
			select {
			case r.slots <- struct{}{}:
			default:
				r.traffic.refused.Add(1)
				_ = c.Close()
				continue
			}
			_ = c.SetDeadline(time.Now().Add(streamTimeout))
			// Whatever becomes of it, its place is free when its time is up.
			ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
			let := &countingConn{Conn: c, traffic: r.traffic, onClose: cancel}
			context.AfterFunc(ctx, func() {
				_ = c.Close()
				<-r.slots
			})
			select {
			case r.accepted <- let:
			case <-r.stopping:
				_ = let.Close()
			}
		}
	}
}

// Shutdown stops listening.
func (r *mappedTransport) Shutdown() error {
	r.once.Do(func() { close(r.stopping) })
	r.tasks.Wait()
	return r.NodeAwareTransport.Shutdown()
}

// countingConn is a connection whose bytes are countingConn.
type countingConn struct {
	net.Conn
	traffic *traffic
	onClose func()
}

// Write counts what is sent.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.bytes.Add(uint64(n))
	return n, err
}

// Close closes it.
func (c *countingConn) Close() error {
	if c.onClose != nil {
		c.onClose()
	}
	return c.Conn.Close()
}
