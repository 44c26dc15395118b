package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// anyPort is a listen address on loopback whose port is chosen by the kernel.
const anyPort = "127.0.0.1:0"

// Network holds the links between processes.
type Network struct {
	mu    sync.Mutex
	links map[string]*Link // by name
	seed  uint64
}

// NewNetwork returns a network without links. Jitter and losses are drawn from the seed.
func NewNetwork(seed uint64) *Network { return &Network{links: make(map[string]*Link), seed: seed} }

func (n *Network) add(name, target string) *Link {
	l := &Link{Name: name, target: target, ruleChanged: make(chan struct{}), conns: make(map[*relayedConn]bool)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	n.mu.Lock()
	defer n.mu.Unlock()
	l.rng = rand.New(rand.NewPCG(n.seed, uint64(len(n.links))))
	n.links[name] = l
	return l
}

// AddTCP adds a link for TCP connections to an address.
func (n *Network) AddTCP(name, target string) (*Link, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, fmt.Errorf("link %s: %w", name, err)
	}
	l := n.add(name, target)
	l.startTCP(listener)
	return l, nil
}

// AddUDP adds a link for UDP datagrams to an address.
func (n *Network) AddUDP(name, target string) (*Link, error) {
	socket, err := net.ListenPacket("udp", anyPort)
	if err != nil {
		return nil, fmt.Errorf("link %s: %w", name, err)
	}
	l := n.add(name, target)
	l.startUDP(socket)
	return l, nil
}

// AddTCPAndUDP adds a TCP link and a UDP link to an address. Both links listen on the same address.
// The UDP link has the suffix "-udp" in its name.
func (n *Network) AddTCPAndUDP(name, target string) (tcp, udp *Link, err error) {
	listener, socket, err := listenTCPAndUDP()
	if err != nil {
		return nil, nil, fmt.Errorf("link %s: %w", name, err)
	}
	tcp, udp = n.add(name, target), n.add(name+"-udp", target)
	tcp.startTCP(listener)
	udp.startUDP(socket)
	return tcp, udp, nil
}

// listenTCPAndUDP listens for TCP and UDP on the same port. It tries several ports, as one that is free
// for TCP may be in use for UDP.
func listenTCPAndUDP() (listener net.Listener, socket net.PacketConn, err error) {
	const attempts = 20
	for range attempts {
		if listener, err = net.Listen("tcp", anyPort); err != nil {
			return nil, nil, err
		}
		if socket, err = net.ListenPacket("udp", listener.Addr().String()); err == nil {
			return listener, socket, nil
		}
		listener.Close()
	}
	return nil, nil, err
}

// Link returns a link by its name.
func (n *Network) Link(name string) (*Link, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[name]
	return l, ok
}

// FindLinks returns the links for whose names match returns true.
func (n *Network) FindLinks(match func(name string) bool) (found []*Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, l := range n.links {
		if match(name) {
			found = append(found, l)
		}
	}
	return found
}

func (n *Network) all() []*Link { return n.FindLinks(func(string) bool { return true }) }

// Close closes all links.
func (n *Network) Close() {
	for _, l := range n.all() {
		l.Close()
	}
}
