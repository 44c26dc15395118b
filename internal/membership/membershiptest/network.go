package membershiptest

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Network carries traffic between members: datagrams, which may be lost and delayed, and
// streams, which are only delayed.
type Network struct {
	mu         sync.Mutex
	rng        *rand.Rand
	transports map[string]*transport // by address
	packetLoss float64
	delay      time.Duration
	blocked    func(from, to int) bool
}

// NewNetwork makes a network whose losses and delays are drawn from a seed.
func NewNetwork(seed uint64) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, 1)), transports: make(map[string]*transport)}
}

// SetConditions sets the fraction of datagrams that is lost, and the delay: each datagram
// and stream is delayed by once to twice that time.
func (n *Network) SetConditions(packetLoss float64, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.packetLoss, n.delay = packetLoss, delay
}

// Partition blocks all traffic from one member to another for which blocked returns true; nil:
// nothing is blocked.
func (n *Network) Partition(blocked func(from, to int) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = blocked
}

// port is the port of every member; each has its own IP address.
const port = 7946

// Addr returns the address where the member with an index listens.
func Addr(index int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+index>>16, index>>8&255, index&255, port)
}

// Transport makes the transport of the member with an index.
func (n *Network) Transport(index int) memberlist.NodeAwareTransport {
	t := newTransport(n, index)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transports[Addr(index)] = t
	return t
}

// close blocks all further traffic to and from the member with an index.
func (n *Network) close(index int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transports[Addr(index)].closed = true
}

// route returns the transport at an address, and the delay to it. The transport is nil if the
// datagram or stream is lost or blocked. Packet loss applies only to datagrams.
func (n *Network) route(from *transport, address string, datagram bool) (to *transport, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to = n.transports[address]
	if to == nil || to.closed || from.closed {
		return nil, 0
	}
	if n.blocked != nil && n.blocked(from.index, to.index) {
		return nil, 0
	}
	if datagram && n.rng.Float64() < n.packetLoss {
		return nil, 0
	}
	if n.delay > 0 {
		delay = n.delay + time.Duration(n.rng.Int64N(int64(n.delay)))
	}
	return to, delay
}
