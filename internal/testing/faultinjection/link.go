// Package faultinjection puts faults between real processes: each directed link from one
// process to another is a relay on loopback that the first is told to call instead of
// the second, and that can be late, slow, cut (in one direction or both, saying
// nothing), reset, half open, or lose an answer whose request was delivered. Faults of
// processes are signals to them, by id. Schedules of faults are drawn from a seed,
// written as text, shrunk and played again.
package faultinjection

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Impairment is what happens to what goes over a link in one direction.
type Impairment struct {
	Blocked        bool          // nothing comes through, and nothing is said; it comes later if the cut ends
	Delay          time.Duration // each piece comes so much later
	Jitter         time.Duration // and up to as much again
	BytesPerSecond int           // bytes a second; 0: as fast as it goes
	// Of datagrams alone: the parts that are lost, come twice, and are overtaken.
	LossRate, DuplicateRate, ReorderRate float64
}

// LinkRule is what happens on a link.
type LinkRule struct {
	ToTarget, FromTarget Impairment
	RefuseConnections    bool // connections are closed as they come
}

const (
	chunkSize           = 16 << 10
	maxQueuedChunks     = 64 // pieces under way in one direction of a connection
	dialTimeout         = time.Second
	maxPeers            = 256 // of a UDP link
	maxDatagramBytes    = 64 << 10
	maxPendingDatagrams = 1024 // datagrams under way
)

// Link is a relay for what one process calls another by.
type Link struct {
	Name   string // "from>to"
	target string
	ln     net.Listener
	pc     net.PacketConn

	ctx   context.Context
	end   context.CancelFunc
	tasks sync.WaitGroup

	mu              sync.Mutex
	rule            LinkRule
	changed         chan struct{}
	conns           map[*relayedConn]bool
	responsesToDrop int // answers to lose
	rng             *rand.Rand

	Connections, Dropped, Bytes atomic.Int64
}

// relayedConn is one connection over a link.
type relayedConn struct{ from, to net.Conn }

func (r *relayedConn) reset() {
	for _, c := range []net.Conn{r.from, r.to} {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

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

// Addr is where the first process is to call.
func (l *Link) Addr() string {
	if l.pc != nil {
		return l.pc.LocalAddr().String()
	}
	return l.ln.Addr().String()
}

// SetRule puts a rule in force, for what is under way too.
func (l *Link) SetRule(r LinkRule) {
	l.mu.Lock()
	l.rule = r
	close(l.changed)
	l.changed = make(chan struct{})
	var over []*relayedConn
	if r.RefuseConnections {
		over = l.openConns()
	}
	l.mu.Unlock()
	for _, c := range over {
		c.reset()
	}
}

// openConns are the connections. The lock is held.
func (l *Link) openConns() (all []*relayedConn) {
	for c := range l.conns {
		all = append(all, c)
	}
	return all
}

// Reset resets the connections that there are.
func (l *Link) Reset() {
	l.mu.Lock()
	all := l.openConns()
	l.mu.Unlock()
	for _, c := range all {
		c.reset()
	}
}

// HalfOpen closes the far side of the connections that there are: the near one goes
// on as if nothing had happened, and hears nothing.
func (l *Link) HalfOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if t, ok := c.to.(*net.TCPConn); ok {
			t.SetLinger(0)
			t.Close()
		}
	}
}

// DropResponses loses the next answers: what was asked has been delivered, and the
// connection is reset instead of the answer's first piece.
func (l *Link) DropResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responsesToDrop = n
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.end()
	if l.ln != nil {
		l.ln.Close()
	} else {
		l.pc.Close()
	}
	l.Reset()
	l.tasks.Wait()
}

func (l *Link) currentRule() (LinkRule, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rule, l.changed
}

func (l *Link) accept() {
	for {
		c, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		l.Connections.Add(1)
		if r, _ := l.currentRule(); r.RefuseConnections {
			(&relayedConn{c, c}).reset()
			continue
		}
		l.tasks.Go(func() { l.relay(c) })
	}
}

// relay carries one connection. It is opened onwards when the way there lets it.
func (l *Link) relay(from net.Conn) {
	defer from.Close()
	if !l.waitUnblocked(false) {
		return
	}
	to, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(l.ctx, "tcp", l.target)
	if err != nil {
		(&relayedConn{from, from}).reset()
		return
	}
	c := &relayedConn{from, to}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
		to.Close()
	}()
	if l.ctx.Err() != nil {
		return
	}
	var ways sync.WaitGroup
	ways.Go(func() { l.copyDirection(c, from, to, false) })
	ways.Go(func() { l.copyDirection(c, to, from, true) })
	ways.Wait()
}

// waitUnblocked waits until a direction is not cut; it is false when the link has ended.
func (l *Link) waitUnblocked(back bool) bool {
	for {
		r, changed := l.currentRule()
		way := r.ToTarget
		if back {
			way = r.FromTarget
		}
		if !way.Blocked {
			return l.ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-l.ctx.Done():
			return false
		}
	}
}

// drawTiming is how long a piece of so many bytes takes now.
func (l *Link) drawTiming(back bool, bytes int) (late, takes time.Duration, way Impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	way = l.rule.ToTarget
	if back {
		way = l.rule.FromTarget
	}
	late = way.Delay
	if way.Jitter > 0 {
		late += time.Duration(l.rng.Int64N(int64(way.Jitter)))
	}
	if way.BytesPerSecond > 0 {
		takes = time.Duration(float64(bytes) / float64(way.BytesPerSecond) * float64(time.Second))
	}
	return late, takes, way
}

type delayedChunk struct {
	text []byte
	at   time.Time
}

// copyDirection takes one direction of a connection from a to b until its end.
func (l *Link) copyDirection(c *relayedConn, a, b net.Conn, back bool) {
	queue := make(chan delayedChunk, maxQueuedChunks)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(queue)
		for {
			text := make([]byte, chunkSize)
			n, err := a.Read(text)
			if n > 0 {
				late, _, _ := l.drawTiming(back, n)
				select {
				case queue <- delayedChunk{text[:n], time.Now().Add(late)}:
				case <-l.ctx.Done():
					return
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					c.reset()
				}
				return
			}
		}
	})
	defer reader.Wait()
	for d := range queue {
		if !l.waitUnblocked(back) {
			c.reset()
			break
		}
		if back && l.takeDroppedResponse() {
			c.reset()
			break
		}
		_, takes, _ := l.drawTiming(back, len(d.text))
		select {
		case <-time.After(time.Until(d.at) + takes):
		case <-l.ctx.Done():
			c.reset()
		}
		if !l.waitUnblocked(back) { // cut while it was on its way
			c.reset()
			break
		}
		if _, err := b.Write(d.text); err != nil {
			c.reset()
			break
		}
		l.Bytes.Add(int64(len(d.text)))
	}
	for range queue { // the reader must not wait for a place
	}
	if t, ok := b.(*net.TCPConn); ok {
		t.CloseWrite()
	}
}

func (l *Link) takeDroppedResponse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.responsesToDrop == 0 {
		return false
	}
	l.responsesToDrop--
	l.Dropped.Add(1)
	return true
}

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
