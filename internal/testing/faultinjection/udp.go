package faultinjection

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	maxPeers            = 256 // distinct caller addresses of one link
	maxDatagramBytes    = 64 << 10
	maxPendingDatagrams = 1024 // delayed at the same time
	// reorderDelay is the minimum delay of a datagram that later ones should overtake.
	reorderDelay = 10 * time.Millisecond
)

// startUDP starts to relay datagrams.
func (l *Link) startUDP(socket net.PacketConn) {
	l.socket = socket
	l.tasks.Go(l.relayDatagrams)
}

// udpRelay relays datagrams. It opens a socket to the target for each caller, so that responses can
// be relayed to the right caller.
type udpRelay struct {
	link    *Link
	target  *net.UDPAddr
	peers   map[string]*net.UDPConn // by the caller's address
	pending chan struct{}           // semaphore: holds one value for each delayed datagram
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

// peer returns the socket of a caller. It is nil if there are too many callers or no socket can be opened.
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
			continue // the target is not listening at the moment
		}
		r.forward(fromTarget, buffer[:n], func(datagram []byte) error {
			_, err := r.link.socket.WriteTo(datagram, caller)
			return err
		})
	}
}

// forward relays a datagram according to the link's rule. A datagram in a blocked direction is lost.
func (r *udpRelay) forward(d direction, datagram []byte, write func([]byte) error) {
	delivery := r.link.drawDelivery(d, len(datagram))
	if delivery.lost {
		r.link.Dropped.Add(1)
		return
	}
	payload := bytes.Clone(datagram)
	for range delivery.copies {
		if delivery.delay <= 0 {
			r.send(payload, write)
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
			case <-time.After(delivery.delay):
				r.send(payload, write)
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

// datagramDelivery is whether, when and how often a datagram is delivered.
type datagramDelivery struct {
	lost   bool
	delay  time.Duration
	copies int
}

func (l *Link) drawDelivery(d direction, size int) datagramDelivery {
	t, impairment := l.drawTiming(d, size)
	delivery := datagramDelivery{delay: t.delay + t.transmission, copies: 1}
	l.mu.Lock()
	defer l.mu.Unlock()
	// All three are drawn for every datagram, so that the rates do not shift later draws.
	lost, duplicated, reordered := l.rng.Float64() < impairment.LossRate, l.rng.Float64() < impairment.DuplicateRate, l.rng.Float64() < impairment.ReorderRate
	dropped := d == fromTarget && l.consumeResponseDrop()
	delivery.lost = impairment.Blocked || lost || dropped
	if reordered {
		delivery.delay += 2*(impairment.Delay+impairment.Jitter) + reorderDelay
	}
	if duplicated {
		delivery.copies = 2
	}
	return delivery
}
