package handover

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
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

// Server is the old process's side: it waits for a new one, one at a time.
type Server struct {
	socket *net.UnixListener
	config Config
	raw    syscall.RawConn // of the listening socket
	// Successors is sent one value when a new process is ready; the owner answers it by
	// calling yours, once it accepts no more.
	Successors chan *Successor
	tasks      sync.WaitGroup

	mu      sync.Mutex
	current *net.UnixConn // the process that is trying
	closed  bool
	handed  bool // the path of the socket is the new process's
}

// Successor is a new process that is ready.
type Successor struct {
	conn *net.UnixConn
	done chan struct{} // closed when nothing more is to be told
}

// newSocketSuffix names the socket while it is being made: it gets its name when it
// is ready to be reached.
const newSocketSuffix = ".new"

func Listen(c Config, ln net.Listener) (*Server, error) {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("take-over: a listener of kind %T, TCP is needed", ln)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("take-over: %w", err)
	}
	fresh := c.Socket + newSocketSuffix
	os.Remove(fresh) // left by one that was killed
	s, err := net.ListenUnix("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("take-over: %w", err)
	}
	s.SetUnlinkOnClose(false) // by then it may be the next process's
	if err := errors.Join(os.Chmod(fresh, 0o600), os.Rename(fresh, c.Socket)); err != nil {
		s.Close()
		return nil, fmt.Errorf("take-over: %w", err)
	}
	h := &Server{socket: s, config: c, raw: raw, Successors: make(chan *Successor)}
	h.tasks.Go(h.serve)
	return h, nil
}

// errShuttingDown is for a new process that comes too late.
var errShuttingDown = errors.New("this process is ending by itself")

// closeWithError says why and ends the connection.
func closeWithError(c *net.UnixConn, why error) {
	send(c, message{Kind: messageError, Error: why.Error()}, nil)
	c.Close()
}

// Close ends the offer, and what a new process has begun.
func (h *Server) Close() {
	h.mu.Lock()
	h.closed = true
	h.socket.Close()
	if !h.handed {
		os.Remove(h.config.Socket)
	}
	if h.current != nil {
		closeWithError(h.current, errShuttingDown)
	}
	h.mu.Unlock()
	h.tasks.Wait()
}

func (h *Server) serve() {
	for {
		c, err := h.socket.AcceptUnix()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				slog.Error("take-over: no new process can come any more", "err", err)
			}
			return
		}
		h.mu.Lock()
		busy := h.current != nil || h.closed
		if !busy {
			h.current = c
		}
		h.mu.Unlock()
		if busy {
			closeWithError(c, errors.New("another process is taking over"))
			continue
		}
		h.tasks.Go(func() {
			var err error
			defer func() { closeWithError(c, cmp.Or(err, errShuttingDown)) }() // once the place is free: whoever sees the end may come at once
			err = h.negotiate(c)
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.current = nil; err != nil && !h.closed {
				slog.Warn("take-over: the new process has failed, this one goes on", "err", err)
			}
		})
	}
}

// negotiate gives a new process the socket, and tells the owner when it is ready. It
// returns when the new one has failed, or when the owner has nothing more to tell.
func (h *Server) negotiate(c *net.UnixConn) error {
	in := bufio.NewReaderSize(c, maxMessageBytes)
	m, err := receive(c, in, messageHello, messageTimeout)
	if err != nil {
		return err
	}
	if m.Name != h.config.Name || m.Listen != h.config.Listen {
		return fmt.Errorf("this is %s at %s, not %.64q at %.64q", h.config.Name, h.config.Listen, m.Name, m.Listen)
	}
	var sent error
	if err := h.raw.Control(func(fd uintptr) { // not by File(), which would make the socket block for both
		sent = send(c, message{Kind: messageSocket}, syscall.UnixRights(int(fd)))
	}); err != nil || sent != nil {
		return errors.Join(err, sent)
	}
	if _, err := receive(c, in, messageReady, h.config.ReadyTimeout); err != nil {
		return fmt.Errorf("it is not ready: %w", err)
	}
	s := &Successor{conn: c, done: make(chan struct{})}
	select {
	case h.Successors <- s:
	case <-time.After(messageTimeout):
		return errShuttingDown
	}
	<-s.done
	return nil
}

// HandOver tells a new process that the place is its. If it cannot be told, the place stays this one's.
func (h *Server) HandOver(s *Successor) error {
	if err := send(s.conn, message{Kind: messageYours}, nil); err != nil {
		close(s.done)
		return fmt.Errorf("take-over: %w", err)
	}
	h.mu.Lock()
	h.handed = true
	h.mu.Unlock()
	return nil
}

// ReportReserved says what this process still holds, until ctx ends.
func (s *Successor) ReportReserved(ctx context.Context, held func() []policy.BulkheadCapacity) {
	defer close(s.done)
	t := time.NewTicker(reservedInterval)
	defer t.Stop()
	for {
		if err := send(s.conn, message{Kind: messageReserved, Reserved: held()}, nil); err != nil {
			if !errors.Is(err, net.ErrClosed) { // which means that this process has ended what it had
				slog.Warn("take-over: the new process does not listen any more", "err", err)
			}
			return
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
