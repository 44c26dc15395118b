package server

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"barleywick/internal/addressmap"
)

const (
	// handshakeProtocol is the first word on each connection between replicas.
	handshakeProtocol = "barleywick-registry/1"
	// The answer to a handshake is acceptPrefix and a handshake line, or refusePrefix and the
	// reason.
	acceptPrefix, refusePrefix = "ok ", "no "

	handshakeTimeout = time.Second
	maxHandshakeLine = 512 // bytes
	// maxConcurrentHandshakes bounds the accepted connections with an unfinished handshake. A
	// group has few replicas.
	maxConcurrentHandshakes = 32
	acceptRetryInterval     = 10 * time.Millisecond
)

// The handshake line of a replica that knows which replica it calls ends with that one's id, and the answer with
// the answering replica's. Earlier versions ignore the ids, and send none.
const (
	calledPrefix    = "to="
	answeringPrefix = "from="
)

// streamLayer provides Raft's connections. Each begins with a handshake that names the group and
// its founding version: replicas with data of different groups must not replicate to each other. It also
// names the replica that is called: another one may be at its address.
type streamLayer struct {
	net.Listener
	identity peerIdentity
	routes   addressmap.Map

	accepted  chan net.Conn // connections whose handshake has succeeded
	closed    chan struct{}
	running   sync.WaitGroup
	closeOnce sync.Once

	mu       sync.Mutex
	open     map[*trackedConn]struct{}
	isClosed bool // set when the layer is closed
}

// peerIdentity is what a replica knows of itself and of the others for the handshake.
type peerIdentity struct {
	history   func() (group string, founded uint64)
	id        string                                  // empty: the layer does not check whether it is called
	replicaAt func(address raft.ServerAddress) string // the id of the replica at an address, or ""; nil: not known
}

// trackedConn is a connection to or from another replica that is closed together with the layer.
type trackedConn struct {
	net.Conn
	layer *streamLayer
}

// Close closes the connection and stops tracking it.
func (c *trackedConn) Close() error {
	c.layer.mu.Lock()
	delete(c.layer.open, c)
	c.layer.mu.Unlock()
	return c.Conn.Close()
}

// track registers a connection to be closed with the layer. If the layer is closed already, it closes
// the connection and returns an error.
func (l *streamLayer) track(conn net.Conn) (*trackedConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		return nil, errors.Join(net.ErrClosed, conn.Close())
	}
	if l.open == nil {
		l.open = make(map[*trackedConn]struct{})
	}
	tracked := &trackedConn{conn, l}
	l.open[tracked] = struct{}{}
	return tracked, nil
}

// closeConns closes all tracked connections, and makes track close later ones.
func (l *streamLayer) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		_ = conn.Conn.Close() // the connection's user gets an error from its next call
	}
	l.isClosed = true
}

func newStreamLayer(ln net.Listener, routes addressmap.Map, identity peerIdentity) *streamLayer {
	l := &streamLayer{
		Listener: ln, identity: identity, routes: routes,
		accepted: make(chan net.Conn), closed: make(chan struct{}),
	}
	l.running.Go(l.acceptLoop)
	return l
}

// acceptLoop accepts connections, runs their handshakes and delivers those that succeed.
func (l *streamLayer) acceptLoop() {
	slots := make(chan struct{}, maxConcurrentHandshakes)
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			slog.Warn("raft: accept failed", "err", err)
			time.Sleep(acceptRetryInterval)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		l.running.Go(func() {
			defer func() { <-slots }()
			l.deliver(conn)
		})
	}
}

// deliver runs the handshake of a connection and passes the connection to Accept.
func (l *streamLayer) deliver(conn net.Conn) {
	tracked, err := l.track(conn)
	if err != nil {
		return
	}
	conn = tracked
	if err := l.acceptHandshake(conn); err != nil {
		slog.Warn("raft: connection refused by handshake", "from", conn.RemoteAddr(), "err", err)
		conn.Close()
		return
	}
	select {
	case l.accepted <- conn:
	case <-l.closed:
		conn.Close()
	}
}

// acceptHandshake reads the dialing replica's handshake line and answers it.
func (l *streamLayer) acceptHandshake(conn net.Conn) error {
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	line, err := readHandshakeLine(conn)
	if err != nil {
		return err
	}
	called := handshakeID(line, calledPrefix)
	if err := errors.Join(l.checkHandshake(line), checkReplica(l.identity.id, called)); err != nil {
		fmt.Fprintf(conn, "%s%v\n", refusePrefix, err)
		return err
	}
	answer := l.handshakeLine()
	if called != "" {
		answer += " " + answeringPrefix + l.identity.id
	}
	if _, err := fmt.Fprintf(conn, "%s%s\n", acceptPrefix, answer); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// handshakeID returns the id behind a prefix in a handshake line, or "".
func handshakeID(line, prefix string) string {
	for _, word := range strings.Fields(line) {
		if id, ok := strings.CutPrefix(word, prefix); ok {
			return id
		}
	}
	return ""
}

// checkReplica returns an error if a replica with one id was found where another was expected. An id that is not
// known is not checked.
func checkReplica(found, expected string) error {
	if found == "" || expected == "" || found == expected {
		return nil
	}
	return fmt.Errorf("it is for replica %q, this is %q", expected, found)
}

// dialHandshake sends this replica's handshake line and checks the answer.
func (l *streamLayer) dialHandshake(conn net.Conn, to raft.ServerAddress, timeout time.Duration) error {
	conn.SetDeadline(time.Now().Add(min(timeout, handshakeTimeout)))
	hello, called := l.handshakeLine(), ""
	if l.identity.replicaAt != nil {
		called = l.identity.replicaAt(to)
	}
	if called != "" {
		hello += " " + calledPrefix + called
	}
	if _, err := fmt.Fprintf(conn, "%s\n", hello); err != nil {
		return err
	}
	answer, err := readHandshakeLine(conn)
	if err != nil {
		return err
	}
	line, ok := strings.CutPrefix(answer, acceptPrefix)
	if !ok {
		return fmt.Errorf("replica at %s: %s", to, answer)
	}
	if err := errors.Join(l.checkHandshake(line), checkReplica(handshakeID(line, answeringPrefix), called)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

func (l *streamLayer) handshakeLine() string {
	group, founded := l.identity.history()
	return fmt.Sprintf("%s %s %d", handshakeProtocol, group, founded)
}

// checkHandshake returns an error unless a handshake line names this group and the same founding
// version. A replica that has no founding version yet may connect to any replica of its group.
func (l *streamLayer) checkHandshake(line string) error {
	var protocol, group string
	var founded uint64
	if n, err := fmt.Sscanf(line, "%s %s %d", &protocol, &group, &founded); n != 3 || err != nil || protocol != handshakeProtocol {
		return errors.New("not a replica of a registry")
	}
	localGroup, localFounded := l.identity.history()
	switch {
	case group != localGroup:
		return fmt.Errorf("it is of group %q, this is %q", group, localGroup)
	case founded != 0 && localFounded != 0 && founded != localFounded:
		return fmt.Errorf("its group %q was founded at version %d, this one at %d", group, founded, localFounded)
	}
	return nil
}

// readHandshakeLine reads one short line byte by byte, since the bytes after it belong to Raft.
func readHandshakeLine(conn net.Conn) (string, error) {
	var text strings.Builder
	for b := make([]byte, 1); text.Len() < maxHandshakeLine; {
		if _, err := conn.Read(b); err != nil {
			return "", err
		}
		if b[0] == '\n' {
			return text.String(), nil
		}
		text.WriteByte(b[0])
	}
	return "", bufio.ErrTooLong
}

// Accept returns the next connection from a replica of this group.
func (l *streamLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops listening and closes all connections.
func (l *streamLayer) Close() error {
	err := l.Listener.Close()
	l.closeOnce.Do(func() { close(l.closed) })
	l.closeConns()
	l.running.Wait()
	return err
}

// Dial opens a connection to another replica.
func (l *streamLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	dialed, err := l.routes.Dialer(0)(ctx, "tcp", string(to))
	if err != nil {
		return nil, err
	}
	conn, err := l.track(dialed)
	if err != nil {
		return nil, err
	}
	if err := l.dialHandshake(conn, to, timeout); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}
