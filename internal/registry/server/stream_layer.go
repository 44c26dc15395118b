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

// streamLayer carries Raft's connections. Each begins with a line that names the group
// and its history: a replica with data of another group must not be written over
// by this one, nor take its word.
type streamLayer struct {
	net.Listener
	localHistory func() (group string, founded uint64)
	routes       addressmap.Table

	accepted  chan net.Conn
	closed    chan struct{}
	running   sync.WaitGroup
	closeOnce sync.Once
}

const (
	handshakeProtocol = "barleywick-registry/1"
	handshakeTimeout  = time.Second
	maxHandshakeLine  = 512
	// maxConcurrentHandshakes is how many connections may be at their first line: a group has few replicas.
	maxConcurrentHandshakes = 32
)

func newStreamLayer(ln net.Listener, routes addressmap.Table, hello func() (string, uint64)) *streamLayer {
	l := &streamLayer{Listener: ln, localHistory: hello, routes: routes, accepted: make(chan net.Conn), closed: make(chan struct{})}
	l.running.Go(l.acceptLoop)
	return l
}

// acceptLoop takes connections and hands on those of this group.
func (l *streamLayer) acceptLoop() {
	places := make(chan struct{}, maxConcurrentHandshakes)
	for {
		c, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			slog.Warn("replicas: accept", "err", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		select {
		case places <- struct{}{}:
		default:
			c.Close()
			continue
		}
		l.running.Go(func() {
			defer func() { <-places }()
			if err := l.acceptHandshake(c); err != nil {
				slog.Warn("replicas: a connection is refused", "from", c.RemoteAddr(), "err", err)
				c.Close()
				return
			}
			select {
			case l.accepted <- c:
			case <-l.closed:
				c.Close()
			}
		})
	}
}

// acceptHandshake reads the other's first line and answers it.
func (l *streamLayer) acceptHandshake(c net.Conn) error {
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	line, err := readHandshakeLine(c)
	if err != nil {
		return err
	}
	if err := l.checkHandshake(line); err != nil {
		fmt.Fprintf(c, "no %v\n", err)
		return err
	}
	if _, err := fmt.Fprintf(c, "ok %s\n", l.handshakeLine()); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

func (l *streamLayer) handshakeLine() string {
	group, founded := l.localHistory()
	return fmt.Sprintf("%s %s %d", handshakeProtocol, group, founded)
}

// checkHandshake says whether another's line is of this group and history. A replica
// that has none yet may join any.
func (l *streamLayer) checkHandshake(line string) error {
	var word, group string
	var founded uint64
	if n, err := fmt.Sscanf(line, "%s %s %d", &word, &group, &founded); n != 3 || err != nil || word != handshakeProtocol {
		return errors.New("not a replica of a registry")
	}
	ours, since := l.localHistory()
	switch {
	case group != ours:
		return fmt.Errorf("it is of group %q, this is %q", group, ours)
	case founded != 0 && since != 0 && founded != since:
		return fmt.Errorf("its group %q was founded at version %d, this one at %d", group, founded, since)
	}
	return nil
}

// readHandshakeLine reads one short line byte by byte: what follows is Raft's.
func readHandshakeLine(c net.Conn) (string, error) {
	var text strings.Builder
	for b := make([]byte, 1); text.Len() < maxHandshakeLine; {
		if _, err := c.Read(b); err != nil {
			return "", err
		}
		if b[0] == '\n' {
			return text.String(), nil
		}
		text.WriteByte(b[0])
	}
	return "", bufio.ErrTooLong
}

// Accept returns the next connection of another replica of this group.
func (l *streamLayer) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops listening.
func (l *streamLayer) Close() error {
	err := l.Listener.Close()
	l.closeOnce.Do(func() { close(l.closed) })
	l.running.Wait()
	return err
}

// Dial opens a connection to another replica.
func (l *streamLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c, err := l.routes.Dial(0)(ctx, "tcp", string(to))
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(min(timeout, handshakeTimeout)))
	if _, err = fmt.Fprintf(c, "%s\n", l.handshakeLine()); err == nil {
		var line string
		if line, err = readHandshakeLine(c); err == nil {
			rest, ok := strings.CutPrefix(line, "ok ")
			if !ok {
				err = fmt.Errorf("replica at %s: %s", to, line)
			} else {
				err = l.checkHandshake(rest)
			}
		}
	}
	if err == nil {
		err = c.SetDeadline(time.Time{})
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}
