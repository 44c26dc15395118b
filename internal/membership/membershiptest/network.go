// Package membershiptest runs a fleet of members in one process over a network of its own, breaks
// that, and measures how long they take to see it and to agree.
package membershiptest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Network carries what members send each other: datagrams, which may be lost and late,
// and connections, which are only late.
type Network struct {
	mu         sync.Mutex
	rng        *rand.Rand
	nodes      map[string]*transport // by address
	packetLoss float64
	delay      time.Duration
	blocked    func(from, to int) bool
}

// NewNetwork makes a network whose losses are drawn from a seed.
func NewNetwork(seed uint64) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*transport)}
}

// SetConditions changes what is lost and how late the rest is, by up to as much again.
func (n *Network) SetConditions(loss float64, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.packetLoss, n.delay = loss, delay
}

// Partition lets nothing pass from one member to another where a function says so; nil: all passes.
func (n *Network) Partition(cut func(from, to int) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = cut
}

const (
	port              = 7946 // every member's, each on an address of its own
	packetQueueLength = 1024 // datagrams that wait for a member; beyond, they are lost
	streamQueueLength = 64
)

// Addr is where a member listens.
func Addr(i int) string { return fmt.Sprintf("127.%d.%d.%d:%d", 1+i>>16, i>>8&255, i&255, port) }

// Transport is a member's side of the network.
func (n *Network) Transport(i int) memberlist.NodeAwareTransport {
	t := &transport{net: n, index: i, packets: make(chan *memberlist.Packet, packetQueueLength), streams: make(chan net.Conn, streamQueueLength)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[Addr(i)] = t
	return t
}

type transport struct {
	net     *Network
	index   int
	packets chan *memberlist.Packet
	streams chan net.Conn
	dead    bool // under the network's lock
}

type address string

func (a address) Network() string { return "trial" }
func (a address) String() string  { return string(a) }

// reach says whether something gets from here to an address now, and how late.
func (t *transport) reach(to string, lossy bool) (other *transport, late time.Duration) {
	t.net.mu.Lock()
	defer t.net.mu.Unlock()
	other = t.net.nodes[to]
	if other == nil || other.dead || t.dead || t.net.blocked != nil && t.net.blocked(t.index, other.index) || lossy && t.net.rng.Float64() < t.net.packetLoss {
		return nil, 0
	}
	if d := t.net.delay; d > 0 {
		late = d + time.Duration(t.net.rng.Int64N(int64(d)))
	}
	return other, late
}

func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	host, p, err := net.SplitHostPort(Addr(t.index))
	if err != nil {
		return nil, 0, err
	}
	n, err := strconv.Atoi(p)
	return net.ParseIP(host).To4(), n, err
}

func (t *transport) WriteTo(b []byte, to string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: to})
}

func (t *transport) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	now := time.Now()
	if other, late := t.reach(to.Addr, true); other != nil {
		p := &memberlist.Packet{Buf: append([]byte(nil), b...), From: address(Addr(t.index))}
		time.AfterFunc(late, func() {
			p.Timestamp = time.Now()
			select {
			case other.packets <- p:
			default:
			}
		})
	}
	return now, nil
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

func (t *transport) DialTimeout(to string, within time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: to}, within)
}

func (t *transport) DialAddressTimeout(to memberlist.Address, within time.Duration) (net.Conn, error) {
	other, late := t.reach(to.Addr, false)
	back, _ := other, late
	if other != nil {
		back, _ = other.reach(Addr(t.index), false)
	}
	if back == nil {
		time.Sleep(within)
		return nil, os.ErrDeadlineExceeded
	}
	time.Sleep(late)
	a, b := net.Pipe()
	select {
	case other.streams <- b:
		return a, nil
	default:
		return nil, errors.New("trial: too many connections wait")
	}
}

func (t *transport) Shutdown() error {
	t.net.mu.Lock()
	defer t.net.mu.Unlock()
	t.dead = true
	return nil
}
