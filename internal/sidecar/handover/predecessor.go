package handover

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"barleywick/policy"
)

// Predecessor is the process whose place this one takes.
type Predecessor struct {
	conn     *net.UnixConn
	in       *bufio.Reader
	Listener net.Listener
}

// Connect asks the process that serves now, if there is one, for its listening socket.
func Connect(c Config) (*Predecessor, error) {
	d := net.Dialer{Timeout: messageTimeout}
	nc, err := d.Dial("unix", c.Socket)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil // nobody serves, or nobody any more
	}
	if err != nil {
		return nil, fmt.Errorf("take-over: %w", err)
	}
	p := &Predecessor{conn: nc.(*net.UnixConn)}
	if err := p.receiveSocket(c); err != nil {
		nc.Close()
		return nil, err
	}
	return p, nil
}

func (p *Predecessor) receiveSocket(c Config) error {
	if err := send(p.conn, message{Kind: messageHello, Name: c.Name, Listen: c.Listen}, nil); err != nil {
		return fmt.Errorf("take-over: %w", err)
	}
	// The socket comes with the message's first byte, and with no other.
	p.conn.SetReadDeadline(time.Now().Add(messageTimeout))
	text, rights := make([]byte, maxMessageBytes), make([]byte, syscall.CmsgSpace(4))
	n, r, _, _, err := p.conn.ReadMsgUnix(text, rights)
	if err != nil {
		return fmt.Errorf("take-over: %w", err)
	}
	fd, err := parseSocketRights(rights[:r])
	var m message
	if bad := json.Unmarshal(text[:n], &m); bad != nil {
		err = errors.Join(err, bad)
	} else if m.Kind == messageError {
		err = fmt.Errorf("the other process says: %s", m.Error)
	} else if m.Kind != messageSocket {
		err = errors.Join(err, fmt.Errorf("%.32q came, not %q", m.Kind, messageSocket))
	}
	if err != nil {
		if fd >= 0 {
			syscall.Close(fd)
		}
		return fmt.Errorf("take-over: %w", err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	if p.Listener, err = net.FileListener(f); err != nil {
		return fmt.Errorf("take-over: %w", err)
	}
	p.in = bufio.NewReaderSize(p.conn, maxMessageBytes)
	return nil
}

// parseSocketRights reads the one descriptor that comes with a message, or returns -1.
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

// waitForPlace tells the old process that this one could serve, waits until it may, and
// returns what the old one still holds: nothing if it has died.
func (p *Predecessor) waitForPlace() ([]policy.BulkheadCapacity, error) {
	if err := send(p.conn, message{Kind: messageReady}, nil); err != nil && !isDisconnect(err) {
		return nil, fmt.Errorf("take-over: %w", err)
	}
	if _, err := receive(p.conn, p.in, messageYours, 0); isDisconnect(err) {
		slog.Warn("take-over: the old process has died, its place is this one's")
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

// isDisconnect says whether an error means that the other process has ended without a word: one that lives
// says why before it hangs up.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// followReserved hears what the old process still holds, until it ends.
func (p *Predecessor) followReserved(beside func(held []policy.BulkheadCapacity)) {
	defer beside(nil)
	for {
		m, err := receive(p.conn, p.in, messageReserved, messageTimeout)
		if err != nil {
			return
		}
		beside(m.Reserved)
	}
}

func (p *Predecessor) Close() { p.conn.Close() }

// TakeOver waits until this process has a list, then takes the place of the old one,
// and passes on what that still holds until it ends. begin is called when this one
// may accept.
func (p *Predecessor) TakeOver(
	ctx context.Context, within time.Duration, isReady func() bool, begin func(), beside func(held []policy.BulkheadCapacity),
) error {
	defer context.AfterFunc(ctx, p.Close)()
	waiting, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	t := time.NewTicker(readyPollInterval)
	defer t.Stop()
	for !isReady() {
		select {
		case <-t.C:
		case <-waiting.Done():
			return fmt.Errorf("take-over: no list within %v: %w", within, waiting.Err())
		}
	}
	held, err := p.waitForPlace()
	if err != nil {
		return err
	}
	beside(held)
	begin()
	p.followReserved(beside)
	return nil
}
