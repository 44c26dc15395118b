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

// layer carries Raft's connections. Each begins with a line that names the group
// and its history: a replica with data of another group must not be written over
// by this one, nor take its word.
type layer struct {
	net.Listener
	hello func() (group string, founded uint64)
	to    addressmap.Table

	ready chan net.Conn
	over  chan struct{}
	tasks sync.WaitGroup
	once  sync.Once
}

const (
	helloWord = "barleywick-registry/1"
	helloIn   = time.Second
	helloMost = 512
	// helloAtOnce is how many connections may be at their first line: a group has few replicas.
	helloAtOnce = 32
)

func newLayer(ln net.Listener, routes addressmap.Table, hello func() (string, uint64)) *layer {
	l := &layer{Listener: ln, hello: hello, to: routes, ready: make(chan net.Conn), over: make(chan struct{})}
	l.tasks.Go(l.greet)
	return l
}

// greet takes connections and hands on those of this group.
func (l *layer) greet() {
	places := make(chan struct{}, helloAtOnce)
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
		l.tasks.Go(func() {
			defer func() { <-places }()
			if err := l.answer(c); err != nil {
				slog.Warn("replicas: a connection is refused", "from", c.RemoteAddr(), "err", err)
				c.Close()
				return
			}
			select {
			case l.ready <- c:
			case <-l.over:
				c.Close()
			}
		})
	}
}

// answer reads the other's first line and answers it.
func (l *layer) answer(c net.Conn) error {
	c.SetDeadline(time.Now().Add(helloIn))
	line, err := readLine(c)
	if err != nil {
		return err
	}
	if err := l.compare(line); err != nil {
		fmt.Fprintf(c, "no %v\n", err)
		return err
	}
	if _, err := fmt.Fprintf(c, "ok %s\n", l.line()); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

func (l *layer) line() string {
	group, founded := l.hello()
	return fmt.Sprintf("%s %s %d", helloWord, group, founded)
}

// compare says whether another's line is of this group and history. A replica
// that has none yet may join any.
func (l *layer) compare(line string) error {
	var word, group string
	var founded uint64
	if n, err := fmt.Sscanf(line, "%s %s %d", &word, &group, &founded); n != 3 || err != nil || word != helloWord {
		return errors.New("not a replica of a registry")
	}
	ours, since := l.hello()
	switch {
	case group != ours:
		return fmt.Errorf("it is of group %q, this is %q", group, ours)
	case founded != 0 && since != 0 && founded != since:
		return fmt.Errorf("its group %q was founded at version %d, this one at %d", group, founded, since)
	}
	return nil
}

// readLine reads one short line byte by byte: what follows is Raft's.
func readLine(c net.Conn) (string, error) {
	var text strings.Builder
	for b := make([]byte, 1); text.Len() < helloMost; {
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
func (l *layer) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.over:
		return nil, net.ErrClosed
	}
}

// Close stops listening.
func (l *layer) Close() error {
	err := l.Listener.Close()
	l.once.Do(func() { close(l.over) })
	l.tasks.Wait()
	return err
}

// Dial opens a connection to another replica.
func (l *layer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c, err := l.to.Dial(0)(ctx, "tcp", string(to))
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(min(timeout, helloIn)))
	if _, err = fmt.Fprintf(c, "%s\n", l.line()); err == nil {
		var line string
		if line, err = readLine(c); err == nil {
			rest, ok := strings.CutPrefix(line, "ok ")
			if !ok {
				err = fmt.Errorf("replica at %s: %s", to, line)
			} else {
				err = l.compare(rest)
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
