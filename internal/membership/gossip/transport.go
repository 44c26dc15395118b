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
	// maxInboundStreams bounds the open connections from other members. Each is one exchange
	// of full views.
	maxInboundStreams = 64
	// streamTimeout bounds the lifetime of a connection from another member.
	streamTimeout = 5 * time.Second
)

// traffic counts the packets and bytes that a member sends, and the connections that it refuses.
type traffic struct {
	packets, bytes, refused atomic.Uint64
}

// mappedTransport adds an address map, limits and counters to a transport of memberlist.
type mappedTransport struct {
	memberlist.NodeAwareTransport
	routes   addressmap.Map
	traffic  *traffic
	accepted chan net.Conn
	slots    chan struct{} // contains one value for each open inbound stream
	stopping chan struct{}
	stopOnce sync.Once
	tasks    sync.WaitGroup
}

// listen makes a transport that listens on an address, for datagrams and connections.
func listen(address string, logger *log.Logger) (memberlist.NodeAwareTransport, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("membership.listen: %w", err)
	}
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{parsed.Addr().String()}, BindPort: int(parsed.Port()), Logger: logger,
	})
	if err != nil {
		return nil, fmt.Errorf("membership.listen: %w", err)
	}
	return transport, nil
}

func newMappedTransport(inner memberlist.NodeAwareTransport, routes addressmap.Map, counts *traffic) *mappedTransport {
	t := &mappedTransport{
		NodeAwareTransport: inner, routes: routes, traffic: counts,
		accepted: make(chan net.Conn), slots: make(chan struct{}, maxInboundStreams), stopping: make(chan struct{}),
	}
	t.tasks.Go(t.acceptStreams)
	return t
}

// WriteTo sends one datagram.
func (t *mappedTransport) WriteTo(packet []byte, address string) (time.Time, error) {
	return t.WriteToAddress(packet, memberlist.Address{Addr: address})
}

// WriteToAddress sends one datagram.
func (t *mappedTransport) WriteToAddress(packet []byte, address memberlist.Address) (time.Time, error) {
	t.traffic.packets.Add(1)
	t.traffic.bytes.Add(uint64(len(packet)))
	address.Addr = t.routes.Lookup(address.Addr)
	return t.NodeAwareTransport.WriteToAddress(packet, address)
}

// DialTimeout opens a connection.
func (t *mappedTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: address}, timeout)
}

// DialAddressTimeout opens a connection.
func (t *mappedTransport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	address.Addr = t.routes.Lookup(address.Addr)
	conn, err := t.NodeAwareTransport.DialAddressTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, traffic: t.traffic}, nil
}

// StreamCh delivers the connections from other members, except those that are refused.
func (t *mappedTransport) StreamCh() <-chan net.Conn { return t.accepted }

// acceptStreams delivers connections, and closes those beyond the limit.
func (t *mappedTransport) acceptStreams() {
	for {
		select {
		case <-t.stopping:
			return
		case conn := <-t.NodeAwareTransport.StreamCh():
			select {
			case t.slots <- struct{}{}:
				t.deliver(conn)
			default:
				t.traffic.refused.Add(1)
				conn.Close()
			}
		}
	}
}

// deliver delivers one connection to memberlist. Its slot is released when it is closed, and
// after streamTimeout at the latest.
func (t *mappedTransport) deliver(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(streamTimeout))
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	context.AfterFunc(ctx, func() {
		conn.Close()
		<-t.slots
	})
	counted := &countingConn{Conn: conn, traffic: t.traffic, onClose: cancel}
	select {
	case t.accepted <- counted:
	case <-t.stopping:
		counted.Close()
	}
}

// Shutdown stops listening. The inner transport waits for its listener, which may block until a
// connection that it has accepted is received from its StreamCh.
func (t *mappedTransport) Shutdown() error {
	t.stopOnce.Do(func() { close(t.stopping) })
	t.tasks.Wait()
	closed := make(chan struct{})
	defer close(closed)
	go t.refuseStreams(closed)
	return t.NodeAwareTransport.Shutdown()
}

// refuseStreams closes the connections that arrive, until the transport is closed.
func (t *mappedTransport) refuseStreams(closed <-chan struct{}) {
	for {
		select {
		case <-closed:
			return
		case conn := <-t.NodeAwareTransport.StreamCh():
			t.traffic.refused.Add(1)
			conn.Close()
		}
	}
}

// countingConn counts the bytes that are sent over a connection.
type countingConn struct {
	net.Conn
	traffic *traffic
	onClose func() // may be nil
}

// Write sends data and counts the bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.bytes.Add(uint64(n))
	return n, err
}

// Close closes the connection and calls onClose.
func (c *countingConn) Close() error {
	if c.onClose != nil {
		c.onClose()
	}
	return c.Conn.Close()
}
