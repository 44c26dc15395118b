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
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"barleywick/internal/testing/loadgen"
)

// manner is how a client hands one request in.
type manner int

const (
	// plain: on the kept connection, at once.
	plain manner = iota
	// silentFirst: on a new connection that says nothing for a while.
	silentFirst
	// slowly: in pieces, with pauses.
	slowly
	// leaves: it closes its connection before the answer.
	leaves
	// stops: it sends a part and stays.
	stops
	// halfCloses: it ends its side behind the request and waits for an answer.
	halfCloses
	// rests: it lets its connection rest for long before the request.
	rests
)

func (m manner) String() string {
	return [...]string{"plain", "silent first", "slowly", "leaves", "stops", "half closes", "rests"}[m]
}

// The times of clients.
const (
	connectIn      = 2 * time.Second
	stoppedIn      = 3 * time.Second // by when who stops in the middle is owed its end
	longestSilence = 1700 * time.Millisecond
	longestPause   = 350 * time.Millisecond
	longestThought = 60 * time.Millisecond
	shortestWait   = 200 * time.Millisecond
)

// The bodies of requests: one in so many is long.
const (
	shortBody, longBody = 200, 60 << 10
	longBodies          = 6
)

var errClosedBefore = errors.New("closed before the request was whole")

// client asks one sidecar, one request at a time.
type client struct {
	sidecar *sidecar
	ledger  *ledger
	rng     *rand.Rand
	name    string
	conn    *net.TCPConn // kept; nil: none
	in      *bufio.Reader
	asked   int
}

// run asks until ctx ends.
func (c *client) run(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		c.once()
		time.Sleep(c.upTo(longestThought))
	}
}

// upTo draws a time.
func (c *client) upTo(most time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(most)))
}

// draw chooses a manner: most requests are plain ones.
func (c *client) draw() manner {
	switch n := c.rng.IntN(100); {
	case n < 70:
		return plain
	case n < 77:
		return silentFirst
	case n < 85:
		return slowly
	case n < 90:
		return leaves
	case n < 93:
		return stops
	case n < 96:
		return halfCloses
	}
	return rests
}

// hangUp closes the kept connection.
func (c *client) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect sees to it that there is a connection.
func (c *client) connect() error {
	if c.conn != nil && c.ended() {
		c.hangUp()
	}
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.sidecar.addr, connectIn)
	if err != nil {
		return err
	}
	c.conn = conn.(*net.TCPConn)
	c.in = bufio.NewReader(conn)
	return nil
}

// ended says whether the sidecar has closed the connection by now.
func (c *client) ended() bool { return loadgen.ClosedByPeer(c.conn) }

// once hands one request in and follows it to its end.
func (c *client) once() {
	how := c.draw()
	if how == silentFirst {
		c.hangUp()
	}
	if err := c.connect(); err != nil {
		time.Sleep(10 * time.Millisecond) // it is being restarted
		return
	}
	if how == silentFirst || how == rests {
		time.Sleep(c.upTo(longestSilence))
	}
	r, text := c.request()
	r.how = how
	c.ledger.open(r)
	c.ledger.saw("clients: " + how.String())
	if c.ended() { // nothing was written: it goes on a new connection
		if c.hangUp(); c.connect() != nil {
			return
		}
	}
	c.handIn(r, text, how)
}

// request makes a new request.
func (c *client) request() (*request, string) {
	c.asked++
	class := []string{"read", "keyed", "once"}[c.rng.IntN(3)]
	r := &request{
		id: fmt.Sprintf("%s-%d", c.name, c.asked), class: class, sidecar: c.sidecar,
		timeout: (shortestWait + c.upTo(longestDeadline-shortestWait)).Truncate(time.Millisecond),
	}
	length := c.rng.IntN(shortBody)
	if c.rng.IntN(longBodies) == 0 {
		length = c.rng.IntN(longBody)
	}
	method, key, body := http.MethodPost, "", strings.Repeat("b", length)
	switch class {
	case "read":
		method, body = http.MethodGet, ""
	case "keyed":
		key = "Idempotency-Key: " + r.id + "\r\n"
	}
	head := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout: %s\r\n%sContent-Length: %d\r\n\r\n",
		method, r.id, class, strconv.FormatFloat(r.timeout.Seconds(), 'f', 3, 64), key, len(body))
	return r, head + body
}

// handIn writes a request and waits for its end, as the manner has it.
func (c *client) handIn(r *request, text string, how manner) {
	if how == stops {
		c.stop(r, text)
		return
	}
	if err := c.write(r, text, how == slowly); err != nil {
		c.ledger.update(func() { r.err = err })
		c.hangUp()
		return
	}
	switch how {
	case leaves:
		time.Sleep(c.upTo(r.timeout))
		c.ledger.update(func() { r.left = time.Now() })
		c.hangUp()
		return
	case halfCloses:
		_ = c.conn.CloseWrite() // where it fails, the read below tells
	}
	err := c.read(r)
	if err != nil && c.crossed(r, err) && how != halfCloses {
		err = c.again(r, text)
	}
	if err != nil {
		c.ledger.update(func() { r.err = err })
		c.hangUp()
	}
	if how == halfCloses {
		c.hangUp()
	}
}

// write writes a request, at once or in pieces.
func (c *client) write(r *request, text string, slow bool) error {
	if slow {
		for range 2 {
			n := 1 + c.rng.IntN(len(text)/2)
			if _, err := io.WriteString(c.conn, text[:n]); err != nil {
				return err
			}
			text = text[n:]
			time.Sleep(c.upTo(longestPause))
			if c.ended() {
				return errClosedBefore
			}
		}
	}
	c.ledger.update(func() { r.whole = time.Now() })
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.ledger.update(func() { r.whole = time.Time{} })
		return err
	}
	return nil
}

// read reads the answer.
func (c *client) read(r *request) error {
	c.conn.SetReadDeadline(r.whole.Add(r.timeout + answerSlack + holdUp + machineSlack))
	resp, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	c.ledger.update(func() { r.status, r.body, r.answered = resp.StatusCode, string(body), time.Now() })
	if resp.Close {
		c.hangUp()
	}
	return nil
}

// crossed says whether a close may have crossed a request that nobody read: the connection
// ended without a byte, and no booking server has the request.
func (c *client) crossed(r *request, err error) bool {
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, unix.ECONNRESET) || c.in.Buffered() > 0 {
		return false
	}
	sent := false
	c.ledger.update(func() { sent = len(r.attempts) > 0 })
	return !sent
}

// again sends a request once more on a new connection.
func (c *client) again(r *request, text string) error {
	c.hangUp()
	c.ledger.update(func() { r.resent, r.whole = true, time.Time{} })
	if err := c.connect(); err != nil {
		return err // the sidecar takes none any more: the request was never whole
	}
	if err := c.write(r, text, false); err != nil {
		return err
	}
	return c.read(r)
}

// stop sends a part of a request and stays; it is owed its end.
func (c *client) stop(r *request, text string) {
	defer c.hangUp()
	if _, err := io.WriteString(c.conn, text[:1+c.rng.IntN(len(text)-2)]); err != nil {
		return
	}
	begun := time.Now()
	c.conn.SetReadDeadline(begun.Add(stoppedIn + holdUp + machineSlack))
	_, err := io.Copy(io.Discard, c.in)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && !c.sidecar.killedSince(begun) {
		c.ledger.broken(InvariantAnswered, "%s stopped in the middle and was left without an end for %v", r.id, time.Since(begun))
	}
}
