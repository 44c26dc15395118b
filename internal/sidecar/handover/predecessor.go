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

// ErrNoPredecessor is returned if no process is listening on the hand-over socket.
var ErrNoPredecessor = errors.New("takeover: no process is listening on the hand-over socket")

// Predecessor is the running sidecar process that this one replaces.
type Predecessor struct {
	conn         *net.UnixConn
	in           *bufio.Reader
	listener     net.Listener
	readyTimeout time.Duration
}

// SuccessorProcess is what TakeOver needs of the process that replaces a predecessor.
type SuccessorProcess interface {
	// Ready reports whether the process can serve requests.
	Ready() bool
	// StartAccepting is called once, when the predecessor has handed over or has died.
	StartAccepting()
	// ReserveForPredecessor sets the capacity, by tenant, that the predecessor still uses; nil once the
	// predecessor has ended.
	ReserveForPredecessor([]policy.BulkheadCapacity)
}

// Connect requests the listening socket from the running process. It is cancelled when ctx ends, and
// returns ErrNoPredecessor if no process is running.
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

// Listener returns the listening socket received from the predecessor. The caller closes it.
func (p *Predecessor) Listener() net.Listener { return p.listener }

// Close closes the connection to the predecessor.
func (p *Predecessor) Close() { p.conn.Close() }

// receiveListener sends the hello message and receives the listening socket.
func (p *Predecessor) receiveListener(c Config) error {
	if err := send(p.conn, message{Kind: messageHello, Name: c.Name, Listen: c.Listen}, nil); err != nil {
		return err
	}
	// The descriptor is attached to the first byte of the message.
	p.conn.SetReadDeadline(time.Now().Add(messageTimeout))
	text, rights := make([]byte, maxMessageBytes), make([]byte, syscall.CmsgSpace(4))
	n, rightsLen, _, _, err := p.conn.ReadMsgUnix(text, rights)
	if err != nil {
		return err
	}
	fd, err := parseSocketRights(rights[:rightsLen])
	if messageErr := checkSocketMessage(text[:n]); messageErr != nil {
		err = messageErr // it gives the reason for the missing descriptor
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

// checkSocketMessage checks the message to which the listening socket is attached.
func checkSocketMessage(text []byte) error {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	return m.expect(messageSocket)
}

// parseSocketRights returns the first descriptor that is attached to a message, or -1, and closes any
// others.
func parseSocketRights(rights []byte) (int, error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return -1, err
	}
	if len(messages) != 1 {
		return -1, fmt.Errorf("got %d control messages, want 1", len(messages))
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil {
		return -1, err
	}
	for _, fd := range fds[min(1, len(fds)):] {
		syscall.Close(fd)
	}
	if len(fds) == 0 {
		return -1, errors.New("control message contains no descriptor, want the listening socket")
	}
	syscall.CloseOnExec(fds[0])
	return fds[0], nil
}

// TakeOver waits until the new process is ready and the predecessor has handed over to it. Then it
// makes the new process accept connections, and reports to it the capacity that the predecessor still uses
// until the predecessor ends. It fails if the new process is not ready before the timeout, or if the predecessor
// does not hand over.
func (p *Predecessor) TakeOver(ctx context.Context, to SuccessorProcess) error {
	defer context.AfterFunc(ctx, p.Close)()
	if err := awaitReady(ctx, p.readyTimeout, to); err != nil {
		return err
	}
	reserved, err := p.awaitHandOver()
	if err != nil {
		return err
	}
	to.ReserveForPredecessor(reserved)
	to.StartAccepting()
	p.followReserved(to)
	return nil
}

// awaitReady waits until the new process is ready to serve.
func awaitReady(ctx context.Context, timeout time.Duration, to SuccessorProcess) error {
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

// awaitHandOver notifies the predecessor that this process is ready, waits until the predecessor hands
// over or dies, and returns the capacity that it still uses: nil if it has ended.
func (p *Predecessor) awaitHandOver() ([]policy.BulkheadCapacity, error) {
	if err := send(p.conn, message{Kind: messageReady}, nil); err != nil && !isDisconnect(err) {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	if _, err := receive(p.conn, p.in, messageHandedOver, 0); isDisconnect(err) {
		slog.Warn("takeover: predecessor died before handing over; taking over anyway")
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	m, err := receive(p.conn, p.in, messageReserved, 0)
	if err != nil {
		return nil, nil // the predecessor has ended already: without a connection it ends at once
	}
	return m.Reserved, nil
}

// followReserved passes on the predecessor's reports of the capacity that it still uses, until it ends.
func (p *Predecessor) followReserved(to SuccessorProcess) {
	defer to.ReserveForPredecessor(nil)
	for {
		m, err := receive(p.conn, p.in, messageReserved, messageTimeout)
		if err != nil {
			return
		}
		to.ReserveForPredecessor(m.Reserved)
	}
}
