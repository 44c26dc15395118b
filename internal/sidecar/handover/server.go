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

// Server is the old process's side: it waits for a new process, one at a time.
type Server struct {
	config     Config
	socket     *net.UnixListener
	listener   syscall.RawConn // the listening socket that is passed on
	successors chan *Successor
	tasks      sync.WaitGroup

	mu         sync.Mutex
	current    *net.UnixConn // the process that is trying
	closed     bool
	handedOver bool // the path of the socket is the new process's
}

// Successor is a new process that is ready.
type Successor struct {
	conn *net.UnixConn
	done chan struct{} // closed when nothing more is to be reported
}

// Listen lets new processes take this one's place on a listening socket.
func Listen(c Config, ln net.Listener) (*Server, error) {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("takeover: a listener of kind %T, TCP is needed", ln)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	socket, err := listenUnix(c.Socket)
	if err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	s := &Server{config: c, socket: socket, listener: raw, successors: make(chan *Successor)}
	s.tasks.Go(s.serve)
	return s, nil
}

// listenUnix listens at a path that another process may have listened at until now.
func listenUnix(path string) (*net.UnixListener, error) {
	fresh := path + newSocketSuffix
	os.Remove(fresh) // left by a process that was killed
	socket, err := net.ListenUnix("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return nil, err
	}
	socket.SetUnlinkOnClose(false) // by then it may be the next process's
	if err := errors.Join(os.Chmod(fresh, 0o600), os.Rename(fresh, path)); err != nil {
		socket.Close()
		return nil, err
	}
	return socket, nil
}

// Successors receives a process that is ready to take this one's place. The receiver answers it
// by HandOver, once this process accepts no more.
func (s *Server) Successors() <-chan *Successor { return s.successors }

// HandOver tells a new process that the place is its. On an error the place stays this process's.
func (s *Server) HandOver(to *Successor) error {
	if err := send(to.conn, message{Kind: messageYours}, nil); err != nil {
		close(to.done)
		return fmt.Errorf("takeover: %w", err)
	}
	s.mu.Lock()
	s.handedOver = true
	s.mu.Unlock()
	return nil
}

// Close stops waiting, and ends what a new process has begun.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.socket.Close()
	if !s.handedOver {
		os.Remove(s.config.Socket)
	}
	if s.current != nil {
		closeWithError(s.current, errShuttingDown)
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

// serve accepts new processes until the server is closed.
func (s *Server) serve() {
	for {
		conn, err := s.socket.AcceptUnix()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				slog.Error("takeover: accept failed, no successor can come", "err", err)
			}
			return
		}
		if !s.claim(conn) {
			closeWithError(conn, errBusy)
			continue
		}
		s.tasks.Go(func() { s.serveSuccessor(conn) })
	}
}

// claim makes a connection the current one, unless another process is trying.
func (s *Server) claim(conn *net.UnixConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil || s.closed {
		return false
	}
	s.current = conn
	return true
}

// serveSuccessor goes through the hand-over with one new process.
func (s *Server) serveSuccessor(conn *net.UnixConn) {
	err := s.negotiate(conn)
	s.mu.Lock()
	s.current = nil
	closed := s.closed
	s.mu.Unlock()
	if err != nil && !closed {
		slog.Warn("takeover: successor failed, still serving", "err", err)
	}
	// Only now, when another may be current: whoever sees the end of its connection may come at once.
	closeWithError(conn, cmp.Or(err, errShuttingDown))
}

// negotiate gives a new process the socket, and tells the owner when it is ready. It returns when
// the new process has failed, or when nothing more is to be reported to it.
func (s *Server) negotiate(conn *net.UnixConn) error {
	in := bufio.NewReaderSize(conn, maxMessageBytes)
	hello, err := receive(conn, in, messageHello, messageTimeout)
	if err != nil {
		return err
	}
	if hello.Name != s.config.Name || hello.Listen != s.config.Listen {
		return fmt.Errorf("this is %s at %s, not %.64q at %.64q", s.config.Name, s.config.Listen, hello.Name, hello.Listen)
	}
	if err := s.sendListener(conn); err != nil {
		return err
	}
	if _, err := receive(conn, in, messageReady, s.config.ReadyTimeout); err != nil {
		return fmt.Errorf("it is not ready: %w", err)
	}
	successor := &Successor{conn: conn, done: make(chan struct{})}
	select {
	case s.successors <- successor:
	case <-time.After(messageTimeout):
		return errShuttingDown
	}
	<-successor.done
	return nil
}

// sendListener passes the listening socket on. It does not use File, which would make the socket
// block for both processes.
func (s *Server) sendListener(conn *net.UnixConn) error {
	var sendErr error
	err := s.listener.Control(func(fd uintptr) {
		sendErr = send(conn, message{Kind: messageSocket}, syscall.UnixRights(int(fd)))
	})
	return errors.Join(err, sendErr)
}

// ReportReserved reports the capacity, by tenant, that this process still uses, until ctx ends.
func (s *Successor) ReportReserved(ctx context.Context, reserved func() []policy.BulkheadCapacity) {
	defer close(s.done)
	interval := time.NewTicker(reservedInterval)
	defer interval.Stop()
	for {
		if err := send(s.conn, message{Kind: messageReserved, Reserved: reserved()}, nil); err != nil {
			if !errors.Is(err, net.ErrClosed) { // which means that this process has ended what it had
				slog.Warn("takeover: successor cannot be reached", "err", err)
			}
			return
		}
		select {
		case <-interval.C:
		case <-ctx.Done():
			return
		}
	}
}
