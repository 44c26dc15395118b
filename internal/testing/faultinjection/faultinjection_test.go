package faultinjection

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

const patience = 20 * time.Second

// echo answers each line with the same line, and counts them.
func echo(t *testing.T) (addr string, got chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	got = make(chan string, 100)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for lines := bufio.NewScanner(c); lines.Scan(); {
					got <- lines.Text()
					fmt.Fprintln(c, lines.Text())
				}
			}()
		}
	}()
	return ln.Addr().String(), got
}

// line is a connection over a link, with one line at a time.
type line struct {
	net.Conn
	lines *bufio.Reader
}

func dial(t *testing.T, l *Link) *line {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &line{c, bufio.NewReader(c)}
}

// ask sends a word and waits for its answer; in is how long.
func (c *line) ask(word string, in time.Duration) error {
	c.SetDeadline(time.Now().Add(in))
	if word != "" {
		if _, err := fmt.Fprintln(c, word); err != nil {
			return err
		}
	}
	_, err := c.lines.ReadString('\n')
	return err
}

const moment = 50 * time.Millisecond // in which nothing is to come

func silent(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func TestLink(t *testing.T) {
	target, got := echo(t)
	n := NewNetwork(1)
	defer n.Close()
	l, err := n.AddTCP("a>b", target)
	if err != nil {
		t.Fatal(err)
	}
	heard := func(want string) {
		t.Helper()
		select {
		case w := <-got:
			if w != want {
				t.Errorf("the far side got %q, want %q", w, want)
			}
		case <-time.After(patience):
			t.Fatalf("the far side does not get %q", want)
		}
	}
	c := dial(t, l)
	if err := c.ask("plain", patience); err != nil {
		t.Fatal(err)
	}
	heard("plain")

	l.SetRule(LinkRule{FromTarget: Impairment{Blocked: true}}) // deaf: it is delivered, and no answer comes
	if err := c.ask("deaf", moment); !silent(err) {
		t.Errorf("an answer over a cut: %v", err)
	}
	heard("deaf")
	l.SetRule(LinkRule{})
	if err := c.ask("", patience); err != nil { // it comes late
		t.Errorf("no answer after the cut: %v", err)
	}

	l.SetRule(LinkRule{ToTarget: Impairment{Blocked: true}})
	if err := c.ask("mute", moment); !silent(err) {
		t.Errorf("an answer over a cut: %v", err)
	}
	if late := dial(t, l); len(got) > 0 || late.ask("new", moment) == nil {
		t.Error("a cut lets something through")
	}
	l.SetRule(LinkRule{}) // now both come, on their two connections
	if a, b := <-got, <-got; a+b != "mutenew" && a+b != "newmute" {
		t.Errorf("after the cut came %q and %q", a, b)
	}
	if err := c.ask("", patience); err != nil {
		t.Error(err)
	}

	began := time.Now()
	l.SetRule(LinkRule{ToTarget: Impairment{Delay: 60 * time.Millisecond}, FromTarget: Impairment{BytesPerSecond: 200}})
	if err := c.ask("0123456789", patience); err != nil || time.Since(began) < 110*time.Millisecond {
		t.Errorf("late by 60 ms, and 11 bytes at 200 a second: %v, %v", time.Since(began), err)
	}
	l.SetRule(LinkRule{})

	l.DropResponses(1)
	if err := c.ask("answer lost", patience); err == nil || silent(err) {
		t.Errorf("a lost answer: %v", err)
	}
	for len(got) > 1 {
		<-got
	}
	if l.Dropped.Load() != 1 {
		t.Errorf("%d answers lost", l.Dropped.Load())
	}

	c = dial(t, l)
	if err := c.ask("again", patience); err != nil {
		t.Fatal(err)
	}
	l.Reset()
	if err := c.ask("reset", patience); err == nil || silent(err) {
		t.Errorf("a reset connection: %v", err)
	}
	l.SetRule(LinkRule{RefuseConnections: true})
	if refused, err := net.Dial("tcp", l.Addr()); err == nil { // it may be closed before the call has returned
		defer refused.Close()
		if err := (&line{refused, bufio.NewReader(refused)}).ask("refused", patience); err == nil || silent(err) {
			t.Errorf("a refused connection: %v", err)
		}
	}
}

func TestDatagrams(t *testing.T) {
	far, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	n := NewNetwork(3)
	defer n.Close()
	l, err := n.AddUDP("a>b", far.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err := net.Dial("udp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	send := func(r LinkRule, count int) (got []string) {
		l.SetRule(r)
		for i := range count {
			fmt.Fprint(near, i)
			time.Sleep(time.Millisecond) // as the socket's queue is short
		}
		text := make([]byte, 100)
		for {
			far.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			k, from, err := far.ReadFrom(text)
			if err != nil {
				return got
			}
			got = append(got, string(text[:k]))
			far.WriteTo(text[:k], from)
		}
	}
	if got := send(LinkRule{}, 50); len(got) != 50 || !slices.IsSortedFunc(got, func(a, b string) int { return len(a) - len(b) }) {
		t.Errorf("%d of 50 came: %v", len(got), got)
	}
	near.SetReadDeadline(time.Now().Add(patience))
	if _, err := near.Read(make([]byte, 10)); err != nil {
		t.Errorf("no answer: %v", err)
	}
	if got := send(LinkRule{ToTarget: Impairment{LossRate: 0.3}}, 200); len(got) < 100 || len(got) > 180 {
		t.Errorf("%d of 200 came at a loss of 0.3", len(got))
	}
	if got := send(LinkRule{ToTarget: Impairment{DuplicateRate: 1}}, 20); len(got) != 40 {
		t.Errorf("%d came of 20 that all come twice", len(got))
	}
	if got := send(LinkRule{ToTarget: Impairment{ReorderRate: 0.3}}, 50); len(got) != 50 || slices.IsSortedFunc(got, func(a, b string) int { return len(a)*100 - len(b)*100 + strings.Compare(a, b) }) {
		t.Errorf("none is overtaken: %v", got)
	}
	if got := send(LinkRule{ToTarget: Impairment{Blocked: true}}, 20); len(got) != 0 {
		t.Errorf("%d came over a cut", len(got))
	}
}

func TestProcess(t *testing.T) {
	p := &Process{Name: "p", NewCommand: func() *exec.Cmd { return exec.Command("sh", "-c", "echo up; exec sleep 1000") }}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	if err := p.Start(); err == nil {
		t.Error("started twice")
	}
	for _, s := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
		if err := p.Signal(s); err != nil {
			t.Error(err)
		}
	}
	for !strings.Contains(p.Output(), "up") {
		time.Sleep(time.Millisecond)
	}
	p.Kill()
	if p.Running() || p.Signal(syscall.SIGCONT) == nil {
		t.Error("a killed process is alive")
	}
	if err := p.Start(); err != nil || p.Starts != 2 {
		t.Errorf("start again: %v", err)
	}
	if err := p.Terminate(patience); err == nil { // sleep ends by the signal
		t.Error("it ended well")
	}
	if err := p.Terminate(patience); err != nil {
		t.Errorf("one that has ended: %v", err)
	}
}

func TestSchedule(t *testing.T) {
	p := Plan{
		Targets: []string{"r0", "r1", "r2", "k0", "k1"}, Count: 40, MeanInterval: time.Second, MinDuration: time.Second, MaxDuration: 5 * time.Second, MaxConcurrent: 3,
		QuorumGroup: []string{"r0", "r1", "r2"}, MaxQuorumFaults: 1,
	}
	s := p.Draw(7)
	if len(s) != 40 || !slices.Equal(s, p.Draw(7)) || slices.Equal(s, p.Draw(8)) {
		t.Errorf("%d faults drawn, or not by the seed", len(s))
	}
	for i, f := range s {
		busy := 0
		for _, g := range s[:i] {
			if strings.HasPrefix(g.Target, "r") && strings.HasPrefix(f.Target, "r") && g.Start+g.Duration > f.Start {
				busy++
			}
		}
		if busy > 0 {
			t.Errorf("%v begins while another replica is in trouble", f)
		}
	}
	again, err := ParseSchedule(s.String())
	if err != nil || !slices.Equal(again, s) {
		t.Errorf("read again: %v, %v", again, err)
	}
	for _, wrong := range []string{"1s cut k1", "1s melt k1 for 2s", "x cut k1 for 2s", "1s cut k1 for y"} {
		if _, err := ParseSchedule(wrong); err == nil {
			t.Errorf("%q is taken", wrong)
		}
	}
	// What fails needs two faults of forty.
	asked := 0
	small := Shrink(s, 500, func(part Schedule) bool {
		asked++
		return slices.Contains(part, s[3]) && slices.Contains(part, s[29])
	})
	if len(small) != 2 || asked > 500 {
		t.Errorf("shrunk to %v with %d asked", small, asked)
	}
	r := &Injector{Network: NewNetwork(1)}
	if _, err := r.Inject(Fault{Kind: Pause, Target: "nobody"}); err == nil {
		t.Error("a fault of a process that is not there")
	}
	if err := r.Run(t.Context(), Schedule{{Kind: Partition, Target: "k1", Duration: time.Millisecond}}); err != nil || r.Injected[Partition] != 1 {
		t.Errorf("%v, %v", err, r.Injected)
	}
}

var _ io.Writer = (*Process)(nil)
