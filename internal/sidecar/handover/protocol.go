// Package handover lets a new sidecar process take the place of one that serves, without a gap.
//
// The old process passes its listening socket on over a Unix socket that the configuration
// names, so that connections that wait to be accepted are never refused or reset. Whoever starts
// sidecars starts the new process, with limits and a configuration of its own; nothing is forked.
// If the new process fails at any point before it is ready, the old one goes on serving.
//
//	new -> old   hello: who it is
//	old -> new   socket: the listening socket comes with this message
//	new -> old   ready: it has an endpoint list, and waits
//	old -> new   yours: the old process accepts no more from now on
//	old -> new   held: the capacity that the old process still uses, repeated until it ends
//
// Messages may be late, as either process may be stopped for a while, and either may die at any
// point. An old process whose message does not go out keeps its place. A new process that is ready
// waits for as long as the old one lives, because the place may be on its way to it. If the old
// process dies without another message, the place belongs to the new one.
package handover

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"syscall"
	"time"

	"barleywick/policy"
)

const (
	// messageTimeout is for one message between two processes on one machine.
	messageTimeout = 2 * time.Second
	// reservedInterval is how often the old process reports what it still uses. The new one does
	// without a slot that has come free until the next report.
	reservedInterval  = 20 * time.Millisecond
	readyPollInterval = 5 * time.Millisecond // an endpoint list takes some milliseconds to come
	maxMessageBytes   = 64 << 10

	// maxUnixPath is the longest path that the kernel takes for a Unix socket.
	maxUnixPath = 107
	// MaxSocketPath bounds the path of the socket that the configuration names.
	MaxSocketPath = maxUnixPath - len(newSocketSuffix)
	// newSocketSuffix names the socket while it is being made: it gets its name when
	// connections to it will be accepted.
	newSocketSuffix = ".new"
)

// Config says which sidecar hands over, and where.
type Config struct {
	Name         string // of the sidecar: both processes have to be the same one
	Listen       string // the address that it listens on
	Socket       string // the path of the Unix socket
	ReadyTimeout time.Duration
}

// message is one line between the two processes.
type message struct {
	Kind     messageKind               `json:"kind"`
	Name     string                    `json:"name,omitempty"`
	Listen   string                    `json:"listen,omitempty"`
	Reserved []policy.BulkheadCapacity `json:"held,omitempty"`
	Error    string                    `json:"error,omitempty"`
}

type messageKind string

const (
	messageHello    messageKind = "hello"
	messageSocket   messageKind = "socket"
	messageReady    messageKind = "ready"
	messageYours    messageKind = "yours"
	messageReserved messageKind = "held"
	messageError    messageKind = "error"
)

// What one process tells the other before it closes the connection.
var (
	errShuttingDown = errors.New("this process is ending by itself")
	errBusy         = errors.New("another process is taking over")
)

// send writes a message, with the rights to a socket if there are any.
func send(c *net.UnixConn, m message, rights []byte) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	c.SetWriteDeadline(time.Now().Add(messageTimeout))
	_, _, err = c.WriteMsgUnix(append(text, '\n'), rights, nil)
	return err
}

// receive reads the next message, which has to be of the kind given. Without a timeout it waits
// for as long as the other process lives.
func receive(c *net.UnixConn, in *bufio.Reader, kind messageKind, timeout time.Duration) (message, error) {
	var m message
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	c.SetReadDeadline(deadline)
	line, err := in.ReadSlice('\n')
	if err != nil {
		return m, err
	}
	if err := json.Unmarshal(line, &m); err != nil {
		return m, fmt.Errorf("takeover: %w", err)
	}
	if err := m.expect(kind); err != nil {
		return m, fmt.Errorf("takeover: %w", err)
	}
	return m, nil
}

// expect returns an error unless the message is of the kind given and no error itself.
func (m message) expect(kind messageKind) error {
	switch m.Kind {
	case messageError:
		return fmt.Errorf("the other process says: %s", m.Error)
	case kind:
		return nil
	}
	return fmt.Errorf("%.32q came, not %q", m.Kind, kind)
}

// isDisconnect says whether an error means that the other process has ended without a message: one
// that lives sends its reason before it closes the connection.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// closeWithError sends the reason and closes the connection.
func closeWithError(c *net.UnixConn, reason error) {
	if err := send(c, message{Kind: messageError, Error: reason.Error()}, nil); err != nil {
		slog.Debug("takeover: reason not sent", "err", err)
	}
	c.Close()
}
