package localfleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"barleywick/internal/simulation/emulator"
	"barleywick/internal/testing/wait"
)

// malformedTimeout is how long a sidecar may take to answer a malformed request with an error or to
// close its connection.
const malformedTimeout = 3 * time.Second

// malformedRequests are sent in turn. For the empty one a connection is opened and nothing is sent.
var malformedRequests = []string{
	"",
	"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 noise \r\n\r\n",
	"POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: ha",
	"POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
	"POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999\r\n\r\n",
	"POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n",
	"POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: bad-1\r\nRequest-Class: no-such\r\nRequest-Timeout: 1\r\nContent-Length: 0\r\n\r\n",
	"POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: bad-2\r\nRequest-Class: hold-slot\r\nRequest-Timeout: soon\r\nContent-Length: 0\r\n\r\n",
	"POST /api HTTP/1.1\r\nHost: x\r\nRequest-Class: hold-slot\r\nRequest-Timeout: 1\r\nContent-Length: 62914560\r\n\r\n" + strings.Repeat("x", 4096),
}

// sendMalformed sends malformed requests to each sidecar until the fault's duration is over or ctx ends.
func (l *localFleet) sendMalformed(ctx context.Context, t emulator.Fault) error {
	if t.Size <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(t.Duration))
	defer cancel()
	var all sync.WaitGroup
	defer all.Wait()
	interval := time.Duration(float64(time.Second) / (t.Size * float64(len(l.sidecars))))
	for n := 0; wait.Sleep(ctx, interval); n++ {
		s := l.sidecars[n%len(l.sidecars)]
		text := malformedRequests[n/len(l.sidecars)%len(malformedRequests)]
		all.Go(func() { l.malformedClient(s, text) })
	}
	return nil
}

// malformedClient sends one malformed request and records the response.
func (l *localFleet) malformedClient(s *sidecarProcess, text string) {
	conn, err := net.DialTimeout("tcp", s.addr, malformedTimeout)
	if err != nil {
		return // the sidecar is down
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(malformedTimeout + emulator.SocketSlack))
	_, _ = io.WriteString(conn, text) // the sidecar may have closed the connection already, which is permitted
	answer, err := io.ReadAll(io.LimitReader(conn, maxBodyBytes))
	l.updateRecord(func(r *emulator.Record) {
		r.MalformedClients++
		if errors.Is(err, os.ErrDeadlineExceeded) && len(answer) == 0 {
			r.MalformedUnanswered++
		}
	})
	if strings.HasPrefix(string(answer), "HTTP/1.1 2") {
		l.mu.Lock()
		l.checker.MalformedServed(l.now(), fmt.Sprintf("%.40q", text))
		l.mu.Unlock()
	}
}
