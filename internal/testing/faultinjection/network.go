package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Network is all links of a rig.
type Network struct {
	mu    sync.Mutex
	links map[string]*Link
	seed  uint64
}

// NewNetwork makes a rig without links; the seed draws jitter and losses.
func NewNetwork(seed uint64) *Network { return &Network{links: make(map[string]*Link), seed: seed} }

func (n *Network) add(name, target string) *Link {
	l := &Link{Name: name, target: target, changed: make(chan struct{}), conns: make(map[*relayedConn]bool)}
	l.ctx, l.end = context.WithCancel(context.Background())
	n.mu.Lock()
	defer n.mu.Unlock()
	l.rng = rand.New(rand.NewPCG(n.seed, uint64(len(n.links))))
	n.links[name] = l
	return l
}

// AddTCP makes a link to an address, and begins to relay.
func (n *Network) AddTCP(name, target string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link %s: %w", name, err)
	}
	l := n.add(name, target)
	l.ln = ln
	l.tasks.Go(l.accept)
	return l, nil
}

// AddUDP makes a link for datagrams to an address.
func (n *Network) AddUDP(name, target string) (*Link, error) {
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link %s: %w", name, err)
	}
	l := n.add(name, target)
	l.pc = pc
	l.tasks.Go(l.relayDatagrams)
	return l, nil
}

// AddTCPAndUDP makes a link for connections and one for datagrams to an address, which the first
// process calls by one address too. The second's name ends in "-udp".
func (n *Network) AddTCPAndUDP(name, target string) (tcp, udp *Link, err error) {
	const tries = 20 // the port that is free for one may be taken for the other
	for range tries {
		var ln net.Listener
		if ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			break
		}
		var pc net.PacketConn
		if pc, err = net.ListenPacket("udp", ln.Addr().String()); err != nil {
			ln.Close()
			continue
		}
		tcp, udp = n.add(name, target), n.add(name+"-udp", target)
		tcp.ln, udp.pc = ln, pc
		tcp.tasks.Go(tcp.accept)
		udp.tasks.Go(udp.relayDatagrams)
		return tcp, udp, nil
	}
	return nil, nil, fmt.Errorf("link %s: %w", name, err)
}

// Link returns a link by its name.
func (n *Network) Link(name string) (*Link, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[name]
	return l, ok
}

// FindLinks returns the links whose names a function likes.
func (n *Network) FindLinks(like func(name string) bool) (some []*Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, l := range n.links {
		if like(name) {
			some = append(some, l)
		}
	}
	return some
}

// Close ends all links.
func (n *Network) Close() {
	for _, l := range n.FindLinks(func(string) bool { return true }) {
		l.Close()
	}
}
