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
)

// badIn is how soon a client that says what cannot be read is owed an error or a close.
const badIn = 3 * time.Second

// nonsense is what such clients say, in turn. The empty one says nothing.
var nonsense = []string{
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

// annoy lets bad clients come to each sidecar until the trouble is over or ctx ends.
func (l *lab) annoy(ctx context.Context, t emulator.Fault) error {
	if t.Size <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(t.Duration))
	defer cancel()
	var all sync.WaitGroup
	defer all.Wait()
	every := time.Duration(float64(time.Second) / (t.Size * float64(len(l.sidecars))))
	for n := 0; sleep(ctx, every); n++ {
		s := l.sidecars[n%len(l.sidecars)]
		text := nonsense[n/len(l.sidecars)%len(nonsense)]
		all.Go(func() { l.bad(s, text) })
	}
	return nil
}

// bad is one bad client: it says its nonsense and sees what it gets.
func (l *lab) bad(s *member, text string) {
	conn, err := net.DialTimeout("tcp", s.addr, badIn)
	if err != nil {
		return // its sidecar is down
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(badIn + emulator.SocketSlack))
	_, _ = io.WriteString(conn, text) // a close meanwhile is one of the answers it is owed
	answer, err := io.ReadAll(io.LimitReader(conn, maxBody))
	l.count(func(r *emulator.Record) {
		r.MalformedClients++
		if errors.Is(err, os.ErrDeadlineExceeded) && len(answer) == 0 {
			r.MalformedUnanswered++
		}
	})
	if strings.HasPrefix(string(answer), "HTTP/1.1 2") {
		l.mu.Lock()
		l.check.MalformedServed(l.now(), fmt.Sprintf("%.40q", text))
		l.mu.Unlock()
	}
}
