package membershiptest

import (
	"bytes"
	"errors"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// packetQueueLength bounds the datagrams that are queued for a member. Excess datagrams are lost.
	packetQueueLength = 1024
	streamQueueLength = 64
)

// errStreamQueueFull is the error of a dial to a member that accepts no connections.
var errStreamQueueFull = errors.New("membershiptest: too many connections are queued")

// transport is the transport of one member.
type transport struct {
	network *Network
	index   int
	packets chan *memberlist.Packet
	streams chan net.Conn
	closed  bool // guarded by the network's lock
}

func newTransport(network *Network, index int) *transport {
	return &transport{
		network: network, index: index,
		packets: make(chan *memberlist.Packet, packetQueueLength), streams: make(chan net.Conn, streamQueueLength),
	}
}

// address is a member's address as a net.Addr.
type address string

func (a address) Network() string { return "membershiptest" }
func (a address) String() string  { return string(a) }

func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	host, portText, err := net.SplitHostPort(Addr(t.index))
	if err != nil {
		return nil, 0, err
	}
	portNumber, err := strconv.Atoi(portText)
	return net.ParseIP(host).To4(), portNumber, err
}

func (t *transport) WriteTo(packet []byte, to string) (time.Time, error) {
	return t.WriteToAddress(packet, memberlist.Address{Addr: to})
}

func (t *transport) WriteToAddress(packet []byte, to memberlist.Address) (time.Time, error) {
	now := time.Now()
	target, delay := t.network.route(t, to.Addr, true)
	if target == nil {
		return now, nil
	}
	p := &memberlist.Packet{Buf: bytes.Clone(packet), From: address(Addr(t.index))}
	time.AfterFunc(delay, func() {
		p.Timestamp = time.Now()
		select {
		case target.packets <- p:
		default:
		}
	})
	return now, nil
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

func (t *transport) DialTimeout(to string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: to}, timeout)
}

// DialAddressTimeout opens a connection if traffic is possible in both directions.
func (t *transport) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	target, delay := t.network.route(t, to.Addr, false)
	reachable := target != nil
	if reachable {
		back, _ := t.network.route(target, Addr(t.index), false)
		reachable = back != nil
	}
	if !reachable {
		time.Sleep(timeout)
		return nil, os.ErrDeadlineExceeded
	}
	time.Sleep(delay)
	near, far := net.Pipe()
	select {
	case target.streams <- far:
		return near, nil
	default:
		return nil, errStreamQueueFull
	}
}

func (t *transport) Shutdown() error {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	t.closed = true // only this transport: a member that starts again has another one at the same address
	return nil
}
