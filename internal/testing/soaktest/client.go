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

// behaviour is the way in which a client sends one request.
type behaviour int

const (
	// plain: sends at once on the open connection.
	plain behaviour = iota
	// delayedFirst: opens a new connection and pauses before the request.
	delayedFirst
	// sendSlowly: sends the request in pieces, with pauses.
	sendSlowly
	// disconnectEarly: closes its connection before the response.
	disconnectEarly
	// stopMidRequest: sends a part of the request and keeps the connection open.
	stopMidRequest
	// halfClose: closes its side of the connection after the request and waits for the response.
	halfClose
	// idleFirst: keeps its connection idle for a long time before the request.
	idleFirst
)

func (m behaviour) String() string {
	return [...]string{"plain", "silent first", "slowly", "leaves", "stops", "half closes", "rests"}[m]
}

// Timing of clients.
const (
	connectTimeout           = 2 * time.Second
	incompleteRequestTimeout = 3 * time.Second // for the sidecar to close the connection of an incomplete request
	maxIdleTime              = 1700 * time.Millisecond
	maxWritePause            = 350 * time.Millisecond
	maxThinkTime             = 60 * time.Millisecond
	minTimeout               = 200 * time.Millisecond
)

// Maximum sizes of request bodies. One in longBodyInterval is long.
const (
	shortBody, longBody = 200, 60 << 10
	longBodyInterval    = 6
)

var errClosedEarly = errors.New("the sidecar closed the connection before the request was complete")

// client sends requests to one sidecar, one at a time.
type client struct {
	sidecar        *sidecar
	ledger         *ledger
	rng            *rand.Rand
	name           string
	conn           *net.TCPConn // nil: no connection is open
	reader         *bufio.Reader
	requestsOnConn int // requests sent on the open connection
	requests       int
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		c.sendRequest()
		time.Sleep(c.drawUpTo(maxThinkTime))
	}
}

// drawUpTo draws a duration between 0 and a bound.
func (c *client) drawUpTo(most time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(most)))
}

// drawBehaviour draws a behaviour; most requests are plain.
func (c *client) drawBehaviour() behaviour {
	switch n := c.rng.IntN(100); {
	case n < 70:
		return plain
	case n < 77:
		return delayedFirst
	case n < 85:
		return sendSlowly
	case n < 90:
		return disconnectEarly
	case n < 93:
		return stopMidRequest
	case n < 96:
		return halfClose
	}
	return idleFirst
}

// closeConn closes the open connection.
func (c *client) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection unless one is open.
func (c *client) connect() error {
	if c.conn != nil && c.closedByPeer() {
		c.closeConn()
	}
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.sidecar.addr, connectTimeout)
	if err != nil {
		return err
	}
	c.conn = conn.(*net.TCPConn)
	c.reader, c.requestsOnConn = bufio.NewReader(conn), 0
	return nil
}

// closedByPeer reports whether the sidecar has closed the connection.
func (c *client) closedByPeer() bool { return loadgen.ClosedByPeer(c.conn) }

// sendRequest sends one request and records its outcome.
func (c *client) sendRequest() {
	how := c.drawBehaviour()
	if how == delayedFirst {
		c.closeConn()
	}
	if err := c.connect(); err != nil {
		time.Sleep(10 * time.Millisecond) // the sidecar is being restarted
		return
	}
	if how == delayedFirst || how == idleFirst {
		time.Sleep(c.drawUpTo(maxIdleTime))
	}
	r, text := c.newRequest()
	r.behaviour = how
	c.ledger.addRequest(r)
	c.ledger.increment("clients: " + how.String())
	if c.closedByPeer() { // nothing was written yet: use a new connection
		if c.closeConn(); c.connect() != nil {
			return
		}
	}
	c.exchange(r, text, how)
}

// newRequest draws a new request and returns it with its HTTP text.
func (c *client) newRequest() (*request, string) {
	c.requests++
	class := []string{"read", "keyed", "once"}[c.rng.IntN(3)]
	r := &request{
		id: fmt.Sprintf("%s-%d", c.name, c.requests), class: class, sidecar: c.sidecar,
		timeout: (minTimeout + c.drawUpTo(longestDeadline-minTimeout)).Truncate(time.Millisecond),
	}
	length := c.rng.IntN(shortBody)
	if c.rng.IntN(longBodyInterval) == 0 {
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

// exchange writes a request and waits for its response, according to the behaviour.
func (c *client) exchange(r *request, text string, how behaviour) {
	if how == stopMidRequest {
		c.sendIncomplete(r, text)
		return
	}
	if err := c.write(r, text, how == sendSlowly); err != nil {
		c.ledger.update(func() { r.err = err })
		c.closeConn()
		return
	}
	switch how {
	case disconnectEarly:
		time.Sleep(c.drawUpTo(r.timeout))
		c.ledger.update(func() { r.clientClosed = time.Now() })
		c.closeConn()
		return
	case halfClose:
		_ = c.conn.CloseWrite() // an error also shows in the read below
	}
	err := c.read(r)
	if err != nil && c.closeCrossedRequest(r, err) && how != halfClose {
		err = c.resend(r, text)
	}
	if err != nil {
		c.ledger.update(func() { r.err = err })
		c.closeConn()
	}
	if how == halfClose {
		c.closeConn()
	}
}

// write writes a request, in one piece or slowly in several.
func (c *client) write(r *request, text string, slow bool) error {
	if slow {
		for range 2 {
			n := 1 + c.rng.IntN(len(text)/2)
			if _, err := io.WriteString(c.conn, text[:n]); err != nil {
				return err
			}
			text = text[n:]
			time.Sleep(c.drawUpTo(maxWritePause))
			if c.closedByPeer() {
				return errClosedEarly
			}
		}
	}
	c.ledger.update(func() { r.complete, r.freshConn = time.Now(), c.requestsOnConn == 0 })
	c.requestsOnConn++
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.ledger.update(func() { r.complete = time.Time{} })
		return err
	}
	return nil
}

// read reads the response.
func (c *client) read(r *request) error {
	c.conn.SetReadDeadline(r.complete.Add(r.timeout + responseSlack + pauseSlack + clientWaitSlack))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	c.ledger.update(func() { r.status, r.body, r.respondedAt = resp.StatusCode, string(body), time.Now() })
	if resp.Close {
		c.closeConn()
	}
	return nil
}

// closeCrossedRequest reports whether the sidecar's close may have crossed the request: the connection
// ended without a byte of a response, and the request reached no booking server.
func (c *client) closeCrossedRequest(r *request, err error) bool {
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, unix.ECONNRESET) || c.reader.Buffered() > 0 {
		return false
	}
	sent := false
	c.ledger.update(func() { sent = len(r.attempts) > 0 })
	return !sent
}

// resend sends a request again on a new connection.
func (c *client) resend(r *request, text string) error {
	c.closeConn()
	c.ledger.update(func() { r.resent, r.complete = true, time.Time{} })
	if err := c.connect(); err != nil {
		return err // the sidecar accepts no connection: the request counts as incomplete
	}
	if err := c.write(r, text, false); err != nil {
		return err
	}
	return c.read(r)
}

// sendIncomplete sends a part of a request and checks that the sidecar ends the connection.
func (c *client) sendIncomplete(r *request, text string) {
	defer c.closeConn()
	if _, err := io.WriteString(c.conn, text[:1+c.rng.IntN(len(text)-2)]); err != nil {
		return
	}
	begun := time.Now()
	c.conn.SetReadDeadline(begun.Add(incompleteRequestTimeout + pauseSlack + clientWaitSlack))
	_, err := io.Copy(io.Discard, c.reader)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && !c.sidecar.killedSince(begun) {
		c.ledger.addViolation(InvariantAnswered, "%s: the connection of an incomplete request was still open after %v", r.id, time.Since(begun))
	}
}
