package faultinjection

import (
	"errors"
	"net"
	"sync"
	"time"
)

// relayDatagrams relays them, each sender over a socket of its own.
func (l *Link) relayDatagrams() {
	to, err := net.ResolveUDPAddr("udp", l.target)
	if err != nil {
		return
	}
	peers := make(map[string]*net.UDPConn)
	pending := make(chan struct{}, maxPendingDatagrams)
	var wait sync.WaitGroup
	defer wait.Wait()
	defer func() {
		for _, p := range peers {
			p.Close()
		}
	}()
	text := make([]byte, maxDatagramBytes)
	for {
		n, from, err := l.pc.ReadFrom(text)
		if err != nil {
			return
		}
		p := peers[from.String()]
		if p == nil {
			if len(peers) >= maxPeers {
				continue
			}
			if p, err = net.DialUDP("udp", nil, to); err != nil {
				continue
			}
			peers[from.String()] = p
			l.Connections.Add(1)
			wait.Go(func() {
				answer := make([]byte, maxDatagramBytes)
				for {
					n, err := p.Read(answer)
					if errors.Is(err, net.ErrClosed) {
						return
					} else if err == nil {
						l.forwardDatagram(pending, &wait, true, answer[:n], func(b []byte) { l.pc.WriteTo(b, from) })
					}
				}
			})
		}
		l.forwardDatagram(pending, &wait, false, text[:n], func(b []byte) { p.Write(b) })
	}
}

// forwardDatagram passes a datagram on as the rule says. A cut loses it.
func (l *Link) forwardDatagram(pending chan struct{}, wait *sync.WaitGroup, back bool, text []byte, write func([]byte)) {
	late, takes, way := l.drawTiming(back, len(text))
	l.mu.Lock()
	lost, twice, over := l.rng.Float64() < way.LossRate, l.rng.Float64() < way.DuplicateRate, l.rng.Float64() < way.ReorderRate
	if back && l.responsesToDrop > 0 {
		l.responsesToDrop--
		lost = true
	}
	l.mu.Unlock()
	if way.Blocked || lost {
		l.Dropped.Add(1)
		return
	}
	if over { // what comes after it, comes before it
		late += 2*(way.Delay+way.Jitter) + 10*time.Millisecond
	}
	times := 1
	if twice {
		times = 2
	}
	own := append([]byte(nil), text...)
	for range times {
		if late+takes <= 0 {
			write(own)
			l.Bytes.Add(int64(len(own)))
			continue
		}
		select {
		case pending <- struct{}{}:
		default:
			l.Dropped.Add(1)
			continue
		}
		wait.Go(func() {
			defer func() { <-pending }()
			select {
			case <-time.After(late + takes):
				write(own)
				l.Bytes.Add(int64(len(own)))
			case <-l.ctx.Done():
			}
		})
	}
}
