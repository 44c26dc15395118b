package handover

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"barleywick/policy"
)

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
