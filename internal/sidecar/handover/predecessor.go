package handover

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"barleywick/policy"
)

// ErrNoPredecessor says that no process serves at the socket, or none does any more.
var ErrNoPredecessor = errors.New("takeover: no process serves at the socket")

// Predecessor is the process whose place this one takes.
type Predecessor struct {
	conn         *net.UnixConn
	in           *bufio.Reader
	listener     net.Listener
	readyTimeout time.Duration
}

// NewProcess is the process that takes a predecessor's place, as TakeOver needs it.
type NewProcess interface {
	// Ready says whether it could serve.
	Ready() bool
	// StartAccepting is called once, when the place is this process's.
	StartAccepting()
	// ReserveForPredecessor receives the capacity, by tenant, that the predecessor still
	// uses; nil when it has ended.
	ReserveForPredecessor([]policy.BulkheadCapacity)
}

// Connect asks the process that serves now for its listening socket, until ctx ends. It returns
// ErrNoPredecessor where there is none.
func Connect(ctx context.Context, c Config) (*Predecessor, error) {
	d := net.Dialer{Timeout: messageTimeout}
	conn, err := d.DialContext(ctx, "unix", c.Socket)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrNoPredecessor
	}
	if err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	p := &Predecessor{conn: conn.(*net.UnixConn), readyTimeout: c.ReadyTimeout}
	defer context.AfterFunc(ctx, p.Close)()
	if err := p.receiveListener(c); err != nil {
		conn.Close()
		return nil, fmt.Errorf("takeover: %w", err)
	}
	p.in = bufio.NewReaderSize(p.conn, maxMessageBytes)
	return p, nil
}

// Listener is the listening socket that the predecessor passed on. The caller closes it.
func (p *Predecessor) Listener() net.Listener { return p.listener }

// Close closes the connection to the predecessor.
func (p *Predecessor) Close() { p.conn.Close() }

// receiveListener says who this process is and receives the listening socket.
func (p *Predecessor) receiveListener(c Config) error {
	if err := send(p.conn, message{Kind: messageHello, Name: c.Name, Listen: c.Listen}, nil); err != nil {
		return err
	}
	// The socket comes with the message's first byte, and with no other.
	p.conn.SetReadDeadline(time.Now().Add(messageTimeout))
	text, rights := make([]byte, maxMessageBytes), make([]byte, syscall.CmsgSpace(4))
	n, rightsLen, _, _, err := p.conn.ReadMsgUnix(text, rights)
	if err != nil {
		return err
	}
	fd, err := parseSocketRights(rights[:rightsLen])
	if messageErr := checkSocketMessage(text[:n]); messageErr != nil {
		err = messageErr // it says why no socket came
	}
	if err != nil {
		if fd >= 0 {
			syscall.Close(fd)
		}
		return err
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	p.listener, err = net.FileListener(f)
	return err
}

// checkSocketMessage checks the message that the listening socket comes with.
func checkSocketMessage(text []byte) error {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	return m.expect(messageSocket)
}

// parseSocketRights returns the one descriptor that comes with a message, or -1.
func parseSocketRights(rights []byte) (int, error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return -1, err
	}
	if len(messages) != 1 {
		return -1, fmt.Errorf("%d control messages, one is needed", len(messages))
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil {
		return -1, err
	}
	for _, fd := range fds[min(1, len(fds)):] {
		syscall.Close(fd)
	}
	if len(fds) == 0 {
		return -1, errors.New("no socket came")
	}
	syscall.CloseOnExec(fds[0])
	return fds[0], nil
}

// TakeOver waits until the new process is ready, takes the predecessor's place for it, and reports
// what the predecessor still uses until that ends. It fails if the new process is not ready in time,
// or if the predecessor keeps its place.
func (p *Predecessor) TakeOver(ctx context.Context, to NewProcess) error {
	defer context.AfterFunc(ctx, p.Close)()
	if err := awaitReady(ctx, p.readyTimeout, to); err != nil {
		return err
	}
	reserved, err := p.awaitPlace()
	if err != nil {
		return err
	}
	to.ReserveForPredecessor(reserved)
	to.StartAccepting()
	p.followReserved(to)
	return nil
}

// awaitReady waits until the new process could serve.
func awaitReady(ctx context.Context, timeout time.Duration, to NewProcess) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	poll := time.NewTicker(readyPollInterval)
	defer poll.Stop()
	for !to.Ready() {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return fmt.Errorf("takeover: no list within %v: %w", timeout, ctx.Err())
		}
	}
	return nil
}

// awaitPlace tells the predecessor that this process is ready, waits until the place is this
// process's, and returns what the predecessor still uses: nothing if it has died.
func (p *Predecessor) awaitPlace() ([]policy.BulkheadCapacity, error) {
	if err := send(p.conn, message{Kind: messageReady}, nil); err != nil && !isDisconnect(err) {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	if _, err := receive(p.conn, p.in, messageYours, 0); isDisconnect(err) {
		slog.Warn("takeover: predecessor died, its place is taken")
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	m, err := receive(p.conn, p.in, messageReserved, 0)
	if err != nil {
		return nil, nil // it has ended already, as one without a connection does at once
	}
	return m.Reserved, nil
}

// followReserved passes on what the predecessor still uses, until that ends.
func (p *Predecessor) followReserved(to NewProcess) {
	defer to.ReserveForPredecessor(nil)
	for {
		m, err := receive(p.conn, p.in, messageReserved, messageTimeout)
		if err != nil {
			return
		}
		to.ReserveForPredecessor(m.Reserved)
	}
}
