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

// Server is the old process's side of the hand-over. It serves one new process at a time.
type Server struct {
	config     Config
	socket     *net.UnixListener
	listener   syscall.RawConn // the listening socket that is passed on
	successors chan *Successor
	tasks      sync.WaitGroup

	mu            sync.Mutex
	successorConn *net.UnixConn // to the new process that is attempting a hand-over
	closed        bool
	handedOver    bool // the file at the socket's path belongs to the new process
}

// Successor is a new process that is ready for the hand-over.
type Successor struct {
	conn *net.UnixConn
	done chan struct{} // closed when no more messages will be sent
}

// Listen starts a server that can hand ln over to a new process.
func Listen(c Config, ln net.Listener) (*Server, error) {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("takeover: got listener of type %T, want TCP", ln)
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

// listenUnix listens at a path, replacing the socket of another process there.
func listenUnix(path string) (*net.UnixListener, error) {
	tempPath := path + newSocketSuffix
	os.Remove(tempPath) // left by a process that was killed
	socket, err := net.ListenUnix("unix", &net.UnixAddr{Name: tempPath, Net: "unix"})
	if err != nil {
		return nil, err
	}
	socket.SetUnlinkOnClose(false) // by then the file may belong to the next process
	if err := errors.Join(os.Chmod(tempPath, 0o600), os.Rename(tempPath, path)); err != nil {
		socket.Close()
		return nil, err
	}
	return socket, nil
}

// Successors returns the channel on which a process arrives that is ready to replace this one. The
// receiver calls HandOver once this process has stopped accepting connections.
func (s *Server) Successors() <-chan *Successor { return s.successors }

// HandOver notifies a new process that it may start accepting connections. On an error this process
// continues to serve.
func (s *Server) HandOver(to *Successor) error {
	if err := send(to.conn, message{Kind: messageHandedOver}, nil); err != nil {
		close(to.done)
		return fmt.Errorf("takeover: %w", err)
	}
	s.mu.Lock()
	s.handedOver = true
	s.mu.Unlock()
	return nil
}

// Close stops accepting new processes and aborts a hand-over in progress.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.socket.Close()
	if !s.handedOver {
		os.Remove(s.config.Socket)
	}
	if s.successorConn != nil {
		closeWithError(s.successorConn, errShuttingDown)
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
				slog.Error("takeover: accept failed; no hand-over is possible any more", "err", err)
			}
			return
		}
		if !s.trySetSuccessor(conn) {
			closeWithError(conn, errBusy)
			continue
		}
		s.tasks.Go(func() { s.serveSuccessor(conn) })
	}
}

// trySetSuccessor sets the connection of the current hand-over. It returns false if another hand-over
// is in progress or the server is closed.
func (s *Server) trySetSuccessor(conn *net.UnixConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successorConn != nil || s.closed {
		return false
	}
	s.successorConn = conn
	return true
}

// serveSuccessor carries out the hand-over with one new process.
func (s *Server) serveSuccessor(conn *net.UnixConn) {
	err := s.negotiate(conn)
	s.mu.Lock()
	s.successorConn = nil
	closed := s.closed
	s.mu.Unlock()
	if err != nil && !closed {
		slog.Warn("takeover: successor failed, still serving", "err", err)
	}
	// Closed after successorConn is cleared: a process may connect again as soon as it sees the close.
	closeWithError(conn, cmp.Or(err, errShuttingDown))
}

// negotiate sends the listening socket to a new process, and passes the process to the receiver of
// Successors when it is ready. It returns when the new process has failed, or when no more messages
// will be sent to it.
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
		return fmt.Errorf("successor did not report ready: %w", err)
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

// sendListener sends the listening socket. It does not use File, which would switch the socket to
// blocking mode for both processes.
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
			if !errors.Is(err, net.ErrClosed) { // ErrClosed: this process has closed the connection itself
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
