package soaktest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// mode is the behaviour of a booking server.
type mode int

const (
	// modeNormal: responds to each request once, after 1 to 40 ms.
	modeNormal mode = iota
	// modeHang: accepts requests and responds to none of them until the mode ends.
	modeHang
	// modeDuplicate: sends each response a second time, 1 to 150 ms later.
	modeDuplicate
	// modeReset: resets connections with open requests, before or in the middle of the response.
	modeReset
	// modeReject: rejects some requests and fails others.
	modeReject
	// modeClose: closes some connections shortly after a response.
	modeClose
	// modeSlowRead: reads request bodies in pieces, with pauses.
	modeSlowRead
	numModes // number of modes
)

func (m mode) String() string {
	return [...]string{"well", "hangs", "answers twice", "resets", "refuses", "closes", "reads slowly"}[m]
}

// In modeSlowRead a server reads one chunk at a time from a socket whose receive buffer holds little more.
const (
	slowReadChunk     = 4 << 10
	slowReadPause     = 60 * time.Millisecond
	receiveBufferSize = 4 << 10
)

// server is a simulated booking server that writes raw responses and records when each request arrived.
type server struct {
	name     string
	listener net.Listener
	ledger   *ledger
	tasks    sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	mode    mode
	changed chan struct{} // closed when the mode changes
	conns   map[net.Conn]bool
	closed  bool
}

func startServer(name string, l *ledger, rng *rand.Rand) (*server, error) {
	listen := net.ListenConfig{Control: setSmallReceiveBuffer}
	ln, err := listen.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("booking server %s: %w", name, err)
	}
	s := &server{name: name, listener: ln, ledger: l, rng: rng, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	s.tasks.Go(s.accept)
	return s, nil
}

// setSmallReceiveBuffer limits the receive buffer of a listener. Its connections inherit the limit.
func setSmallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferSize)
	})
	return errors.Join(err, sockoptErr)
}

func (s *server) address() string { return s.listener.Addr().String() }

// close stops the server and closes all of its connections.
func (s *server) close() {
	s.listener.Close()
	s.setMode(modeNormal)
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

// setMode sets the mode of the server.
func (s *server) setMode(m mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			c.Close()
		}
		s.conns[c] = true
		s.mu.Unlock()
		s.tasks.Go(func() {
			s.serve(c)
			c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

// serve responds to the requests of one connection.
func (s *server) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		firstByte := time.Now()
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		paused, complete := s.readBody(q.Body)
		if !complete {
			return
		}
		timeoutSeconds, _ := strconv.ParseFloat(q.Header.Get("Request-Timeout"), 64)
		a := s.ledger.recordAttempt(q.Header.Get("Request-Id"), s.name, firstByte, time.Duration(timeoutSeconds*float64(time.Second)), paused)
		if a == nil {
			io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !s.respond(c, a) {
			return
		}
	}
}

// readBody reads a request's body, slowly in modeSlowRead. It returns the total length of its pauses, and
// whether the body was complete.
func (s *server) readBody(body io.Reader) (paused time.Duration, complete bool) {
	s.mu.Lock()
	slow := s.mode == modeSlowRead
	s.mu.Unlock()
	if !slow {
		_, err := io.Copy(io.Discard, body)
		return 0, err == nil
	}
	for {
		switch _, err := io.CopyN(io.Discard, body, slowReadChunk); {
		case errors.Is(err, io.EOF):
			return paused, true
		case err != nil:
			return paused, false
		}
		begun := time.Now()
		time.Sleep(slowReadPause)
		paused += time.Since(begun)
	}
}

// respond responds to a request according to the mode, and reports whether the connection stays open.
func (s *server) respond(c net.Conn, a *attempt) bool {
	s.mu.Lock()
	m, changed := s.mode, s.changed
	work := time.Duration(1+s.rng.IntN(40)) * time.Millisecond
	duplicateDelay := time.Duration(1+s.rng.IntN(150)) * time.Millisecond
	choice := s.rng.IntN(4)
	s.mu.Unlock()
	body := "done " + a.id
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if m == modeHang {
		<-changed // respond late, like a server that was stopped for a while
	} else {
		time.Sleep(work)
	}
	switch {
	case m == modeReset && choice < 2:
		io.WriteString(c, response[:len(response)*choice/2])
		c.(*net.TCPConn).SetLinger(0)
		a.end(mayHaveRun)
		return false
	case m == modeReject && choice < 2:
		a.end(neverRan)
		_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case m == modeReject && choice == 2:
		a.end(mayHaveRun)
		_, err := io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	a.end(mayHaveRun)
	if _, err := io.WriteString(c, response); err != nil {
		return false
	}
	switch {
	case m == modeDuplicate:
		s.tasks.Go(func() {
			time.Sleep(duplicateDelay)
			if _, err := io.WriteString(c, response); err == nil {
				s.ledger.increment("second answers written")
			}
		})
	case m == modeClose && choice < 2:
		time.Sleep(work)
		return false
	}
	return true
}
