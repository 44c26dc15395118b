package faultinjection

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"
)

const eventTimeout = 20 * time.Second

// startEchoServer starts a server that echoes each line and delivers the received lines to a channel.
func startEchoServer(t *testing.T) (addr string, received chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	received = make(chan string, 100)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for lines := bufio.NewScanner(c); lines.Scan(); {
					received <- lines.Text()
					fmt.Fprintln(c, lines.Text())
				}
			}()
		}
	}()
	return ln.Addr().String(), received
}

// lineConn is a connection to a link, for requests and responses of one line.
type lineConn struct {
	net.Conn
	lines *bufio.Reader
}

func dial(t *testing.T, l *Link) *lineConn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &lineConn{c, bufio.NewReader(c)}
}

// roundTrip sends a request unless it is empty, and waits for a response.
func (c *lineConn) roundTrip(request string, timeout time.Duration) error {
	c.SetDeadline(time.Now().Add(timeout))
	if request != "" {
		if _, err := fmt.Fprintln(c, request); err != nil {
			return err
		}
	}
	_, err := c.lines.ReadString('\n')
	return err
}

// shortTimeout is how long tests check that nothing arrives.
const shortTimeout = 50 * time.Millisecond

func timedOut(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func TestLink(t *testing.T) {
	target, received := startEchoServer(t)
	n := NewNetwork(1)
	defer n.Close()
	l, err := n.AddTCP("a>b", target)
	if err != nil {
		t.Fatal(err)
	}
	expectReceived := func(want string) {
		t.Helper()
		select {
		case got := <-received:
			if got != want {
				t.Errorf("the target received %q, want %q", got, want)
			}
		case <-time.After(eventTimeout):
			t.Fatalf("the target did not receive %q before the timeout", want)
		}
	}
	c := dial(t, l)
	if err := c.roundTrip("plain", eventTimeout); err != nil {
		t.Fatal(err)
	}
	expectReceived("plain")

	l.SetRule(LinkRule{FromTarget: Impairment{Blocked: true}}) // the request is delivered, and no response arrives
	if err := c.roundTrip("deaf", shortTimeout); !timedOut(err) {
		t.Errorf("responses blocked: got %v, want a timeout", err)
	}
	expectReceived("deaf")
	l.SetRule(LinkRule{})
	if err := c.roundTrip("", eventTimeout); err != nil { // the response arrives after the block
		t.Errorf("no response after the block: %v", err)
	}

	l.SetRule(LinkRule{ToTarget: Impairment{Blocked: true}})
	if err := c.roundTrip("mute", shortTimeout); !timedOut(err) {
		t.Errorf("requests blocked: got %v, want a timeout", err)
	}
	if late := dial(t, l); len(received) > 0 || late.roundTrip("new", shortTimeout) == nil {
		t.Error("a request passed a blocked direction")
	}
	l.SetRule(LinkRule{}) // now both requests arrive, on two connections
	if a, b := <-received, <-received; a+b != "mutenew" && a+b != "newmute" {
		t.Errorf("after the block the target received %q and %q, want mute and new", a, b)
	}
	if err := c.roundTrip("", eventTimeout); err != nil {
		t.Error(err)
	}

	start := time.Now()
	l.SetRule(LinkRule{ToTarget: Impairment{Delay: 60 * time.Millisecond}, FromTarget: Impairment{BytesPerSecond: 200}})
	if err := c.roundTrip("0123456789", eventTimeout); err != nil || time.Since(start) < 110*time.Millisecond {
		t.Errorf("60ms delay, and 11 bytes at 200 bytes per second: took %v (%v), want at least 110ms", time.Since(start), err)
	}
	l.SetRule(LinkRule{})

	l.DropResponses(1)
	if err := c.roundTrip("answer lost", eventTimeout); err == nil || timedOut(err) {
		t.Errorf("a dropped response: got %v, want a reset", err)
	}
	for len(received) > 1 {
		<-received
	}
	if l.Dropped.Load() != 1 {
		t.Errorf("got %d dropped responses, want 1", l.Dropped.Load())
	}

	c = dial(t, l)
	if err := c.roundTrip("again", eventTimeout); err != nil {
		t.Fatal(err)
	}
	l.Reset()
	if err := c.roundTrip("reset", eventTimeout); err == nil || timedOut(err) {
		t.Errorf("a reset connection: got %v, want a reset", err)
	}
	l.SetRule(LinkRule{RefuseConnections: true})
	if refused, err := net.Dial("tcp", l.Addr()); err == nil { // the link may close it before Dial returns
		defer refused.Close()
		if err := (&lineConn{refused, bufio.NewReader(refused)}).roundTrip("refused", eventTimeout); err == nil || timedOut(err) {
			t.Errorf("a refused connection: got %v, want a reset", err)
		}
	}
}

func TestDatagrams(t *testing.T) {
	target, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	n := NewNetwork(3)
	defer n.Close()
	l, err := n.AddUDP("a>b", target.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	caller, err := net.Dial("udp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	send := func(rule LinkRule, count int) (received []string) {
		l.SetRule(rule)
		for i := range count {
			fmt.Fprint(caller, i)
			time.Sleep(time.Millisecond) // the socket's receive queue is short
		}
		buffer := make([]byte, 100)
		for {
			target.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			n, from, err := target.ReadFrom(buffer)
			if err != nil {
				return received
			}
			received = append(received, string(buffer[:n]))
			target.WriteTo(buffer[:n], from)
		}
	}
	if got := send(LinkRule{}, 50); len(got) != 50 || !slices.IsSortedFunc(got, func(a, b string) int { return len(a) - len(b) }) {
		t.Errorf("got %d datagrams, want 50 in order: %v", len(got), got)
	}
	caller.SetReadDeadline(time.Now().Add(eventTimeout))
	if _, err := caller.Read(make([]byte, 10)); err != nil {
		t.Errorf("no response datagram: %v", err)
	}
	if got := send(LinkRule{ToTarget: Impairment{LossRate: 0.3}}, 200); len(got) < 100 || len(got) > 180 {
		t.Errorf("got %d of 200 datagrams at a loss rate of 0.3, want 100 to 180", len(got))
	}
	if got := send(LinkRule{ToTarget: Impairment{DuplicateRate: 1}}, 20); len(got) != 40 {
		t.Errorf("got %d datagrams of 20 that are all duplicated, want 40", len(got))
	}
	if got := send(LinkRule{ToTarget: Impairment{ReorderRate: 0.3}}, 50); len(got) != 50 || slices.IsSortedFunc(got, func(a, b string) int { return len(a)*100 - len(b)*100 + strings.Compare(a, b) }) {
		t.Errorf("got %v, want 50 datagrams, some of them reordered", got)
	}
	if got := send(LinkRule{ToTarget: Impairment{Blocked: true}}, 20); len(got) != 0 {
		t.Errorf("got %d datagrams through a blocked direction, want none", len(got))
	}
}
