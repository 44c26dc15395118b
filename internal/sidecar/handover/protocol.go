package handover

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"barleywick/policy"
)

// Take-over: a new process takes the place of one that serves, without a gap. The
// old one hands its listening socket over a Unix socket, which the configuration
// names, so that connections that wait to be accepted are never refused or reset.
// The new process is started by whoever starts sidecars, with limits and a
// configuration of its own; nothing is forked, and if it fails at any point before
// it is ready the old one goes on as if nothing had been.
//
//	new -> old   hello: who it is
//	old -> new   the listening socket
//	new -> old   ready: it holds a list, and waits
//	old -> new   yours: the old one accepts no more from now on
//	old -> new   held: what the old one still has, again and again until it ends
//
// A word may be late, as either may be stopped for a while, and either may die at any point. An
// old one whose word does not go out keeps its place. A new one that is ready waits for as long as
// the old one lives: it would leave a place that is being given to it. Where the old one has died
// without another word the place is the new one's.

const (
	// messageTimeout is for one message between two processes on one machine.
	messageTimeout = 2 * time.Second
	// reservedInterval is how often the old process says what it still holds. Until the new
	// one hears of a slot that has come free it does without it.
	reservedInterval  = 20 * time.Millisecond
	readyPollInterval = 5 * time.Millisecond // a list comes in some milliseconds
	maxMessageBytes   = 64 << 10
	// maxUnixPath is the longest path that the kernel takes for a Unix socket.
	maxUnixPath = 107
	// MaxSocketPath bounds the path of the socket that the configuration names.
	MaxSocketPath = maxUnixPath - len(newSocketSuffix)
)

// Config says which sidecar hands over, and where.
type Config struct {
	Name         string // of the sidecar: both processes have to be the same one
	Listen       string // the address it listens on
	Socket       string // the path of the Unix socket
	ReadyTimeout time.Duration
}

// message is one line between the two processes.
type message struct {
	Kind     string                    `json:"kind"`
	Name     string                    `json:"name,omitempty"`
	Listen   string                    `json:"listen,omitempty"`
	Reserved []policy.BulkheadCapacity `json:"held,omitempty"`
	Error    string                    `json:"error,omitempty"`
}

// The kinds of messages.
const (
	messageHello    = "hello"
	messageSocket   = "socket"
	messageReady    = "ready"
	messageYours    = "yours"
	messageReserved = "held"
	messageError    = "error"
)

func send(c *net.UnixConn, m message, rights []byte) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	c.SetWriteDeadline(time.Now().Add(messageTimeout))
	_, _, err = c.WriteMsgUnix(append(text, '\n'), rights, nil)
	return err
}

// receive reads the next message, which has to be of one kind. Without a time it waits for as long
// as the other process lives.
func receive(c *net.UnixConn, in *bufio.Reader, kind string, within time.Duration) (message, error) {
	var m message
	by := time.Time{}
	if within > 0 {
		by = time.Now().Add(within)
	}
	c.SetReadDeadline(by)
	line, err := in.ReadSlice('\n')
	if err != nil {
		return m, err
	}
	if err := json.Unmarshal(line, &m); err != nil {
		return m, fmt.Errorf("take-over: %w", err)
	}
	if m.Kind == messageError {
		return m, fmt.Errorf("take-over: the other process says: %s", m.Error)
	}
	if m.Kind != kind {
		return m, fmt.Errorf("take-over: %.32q came, not %q", m.Kind, kind)
	}
	return m, nil
}
