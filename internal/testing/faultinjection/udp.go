package faultinjection

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	maxPeers            = 256 // callers of one link
	maxDatagramBytes    = 64 << 10
	maxPendingDatagrams = 1024 // on their way at one time
	// reorderDelay is the least delay of a datagram that others are to overtake.
	reorderDelay = 10 * time.Millisecond
)

// startUDP begins to relay datagrams.
func (l *Link) startUDP(socket net.PacketConn) {
	l.socket = socket
	l.tasks.Go(l.relayDatagrams)
}

// udpRelay relays datagrams. Each caller has a socket of its own to the target, by which
// responses find their way back.
type udpRelay struct {
	link    *Link
	target  *net.UDPAddr
	peers   map[string]*net.UDPConn // by the caller's address
	pending chan struct{}           // holds one value for each datagram that is delayed
	tasks   sync.WaitGroup
}

func (l *Link) relayDatagrams() {
	target, err := net.ResolveUDPAddr("udp", l.target)
	if err != nil {
		return
	}
	r := &udpRelay{link: l, target: target, peers: make(map[string]*net.UDPConn), pending: make(chan struct{}, maxPendingDatagrams)}
	defer r.close()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, caller, err := l.socket.ReadFrom(buffer)
		if err != nil {
			return
		}
		peer := r.peer(caller)
		if peer == nil {
			continue
		}
		r.forward(toTarget, buffer[:n], func(datagram []byte) error {
			_, err := peer.Write(datagram)
			return err
		})
	}
}

func (r *udpRelay) close() {
	for _, peer := range r.peers {
		peer.Close()
	}
	r.tasks.Wait()
}

// peer returns the socket of a caller; nil: there are too many, or none can be opened.
func (r *udpRelay) peer(caller net.Addr) *net.UDPConn {
	if peer := r.peers[caller.String()]; peer != nil {
		return peer
	}
	if len(r.peers) >= maxPeers {
		return nil
	}
	peer, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	r.peers[caller.String()] = peer
	r.tasks.Go(func() { r.relayResponses(peer, caller) })
	return peer
}

func (r *udpRelay) relayResponses(peer *net.UDPConn, caller net.Addr) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := peer.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the target does not listen at the moment
		}
		r.forward(fromTarget, buffer[:n], func(datagram []byte) error {
			_, err := r.link.socket.WriteTo(datagram, caller)
			return err
		})
	}
}

// forward sends a datagram on as the link's rule says. While a direction is blocked it is
// lost.
func (r *udpRelay) forward(d direction, datagram []byte, write func([]byte) error) {
	fate := r.link.drawFate(d, len(datagram))
	if fate.lost {
		r.link.Dropped.Add(1)
		return
	}
	own := bytes.Clone(datagram)
	for range fate.copies {
		if fate.delay <= 0 {
			r.send(own, write)
			continue
		}
		select {
		case r.pending <- struct{}{}:
		default:
			r.link.Dropped.Add(1)
			continue
		}
		r.tasks.Go(func() {
			defer func() { <-r.pending }()
			select {
			case <-time.After(fate.delay):
				r.send(own, write)
			case <-r.link.ctx.Done():
			}
		})
	}
}

func (r *udpRelay) send(datagram []byte, write func([]byte) error) {
	if err := write(datagram); err != nil {
		r.link.Dropped.Add(1)
	}
}

// datagramFate is what becomes of a datagram.
type datagramFate struct {
	lost   bool
	delay  time.Duration
	copies int
}

func (l *Link) drawFate(d direction, size int) datagramFate {
	t, impairment := l.drawTiming(d, size)
	fate := datagramFate{delay: t.delay + t.transmission, copies: 1}
	l.mu.Lock()
	defer l.mu.Unlock()
	// All three are drawn for each datagram, so that a rate does not shift later draws.
	lost, duplicated, reordered := l.rng.Float64() < impairment.LossRate, l.rng.Float64() < impairment.DuplicateRate, l.rng.Float64() < impairment.ReorderRate
	dropped := d == fromTarget && l.takeDroppedResponse()
	fate.lost = impairment.Blocked || lost || dropped
	if reordered {
		fate.delay += 2*(impairment.Delay+impairment.Jitter) + reorderDelay
	}
	if duplicated {
		fate.copies = 2
	}
	return fate
}
