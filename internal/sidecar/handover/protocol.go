// Package handover replaces a running sidecar process by a new one without interrupting service.
//
// The old process passes its listening socket to the new one over a Unix socket whose path is in the
// configuration, so that connections in the accept queue are never refused or reset. The new process is
// started by the platform, with limits and a configuration of its own; the old process does not fork it.
// If the new process fails before it is ready, the old one continues to serve.
//
//	new -> old   hello: name and listen address of the new process
//	old -> new   socket: the listening socket is attached to this message
//	new -> old   ready: the new process has an endpoint list and waits for the hand-over
//	old -> new   yours: the old process has stopped accepting connections
//	old -> new   held: the capacity that the old process still uses, repeated until it ends
//
// Messages may be delayed, as either process may be stopped for a while, and either may die at any
// point. If the old process cannot send "yours", it continues to serve. A new process that is ready
// waits for as long as the old one runs, because "yours" may be on its way. If the old process dies
// without sending an error, the new one takes over.
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
	// messageTimeout limits the sending and receiving of one message between processes on one machine.
	messageTimeout = 2 * time.Second
	// reservedInterval is the interval of the old process's reports of the capacity that it still uses.
	// The new process cannot use a freed slot until the next report.
	reservedInterval  = 20 * time.Millisecond
	readyPollInterval = 5 * time.Millisecond // an endpoint list arrives within some milliseconds
	maxMessageBytes   = 64 << 10

	// maxUnixPath is the longest path that the kernel accepts for a Unix socket.
	maxUnixPath = 107
	// MaxSocketPath is the longest path of the hand-over socket that the configuration may have.
	MaxSocketPath = maxUnixPath - len(newSocketSuffix)
	// newSocketSuffix is the suffix of the socket's path while it is created: the socket is renamed to
	// its final path once it accepts connections.
	newSocketSuffix = ".new"
)

// Config identifies the sidecar and its hand-over socket.
type Config struct {
	Name         string // of the sidecar; must be the same in both processes
	Listen       string // the address on which it listens for clients
	Socket       string // the path of the Unix socket
	ReadyTimeout time.Duration
}

// message is one message between the two processes, sent as a line of JSON.
type message struct {
	Kind     messageKind               `json:"kind"`
	Name     string                    `json:"name,omitempty"`
	Listen   string                    `json:"listen,omitempty"`
	Reserved []policy.BulkheadCapacity `json:"held,omitempty"`
	Error    string                    `json:"error,omitempty"`
}

type messageKind string

const (
	messageHello      messageKind = "hello"
	messageSocket     messageKind = "socket"
	messageReady      messageKind = "ready"
	messageHandedOver messageKind = "yours"
	messageReserved   messageKind = "held"
	messageError      messageKind = "error"
)

// Reasons that one process sends to the other before it closes the connection.
var (
	errShuttingDown = errors.New("this process is ending by itself")
	errBusy         = errors.New("another process is taking over")
)

// send writes a message, with rights attached if there are any.
func send(c *net.UnixConn, m message, rights []byte) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	c.SetWriteDeadline(time.Now().Add(messageTimeout))
	_, _, err = c.WriteMsgUnix(append(text, '\n'), rights, nil)
	return err
}

// receive reads the next message and returns an error unless it is of the kind given. With a timeout
// of 0 it waits for as long as the other process lives.
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
		return m, fmt.Errorf("takeover: reading message %q: %w", kind, err)
	}
	if err := m.expect(kind); err != nil {
		return m, fmt.Errorf("takeover: %w", err)
	}
	return m, nil
}

// expect returns an error unless the message is of the kind given. An error message becomes an error
// with its text.
func (m message) expect(kind messageKind) error {
	switch m.Kind {
	case messageError:
		return fmt.Errorf("the other process says: %s", m.Error)
	case kind:
		return nil
	}
	return fmt.Errorf("got message %.32q, want %q", m.Kind, kind)
}

// isDisconnect reports whether an error means that the other process has died: a live process sends a
// reason before it closes the connection.
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
