// Package remoteadapter lets the emulator take its decisions from another program: a simadapter of this
// or of an earlier build, over the simulator's wire protocol. This allows two builds to be compared on the
// same scenario runs in simulated time.
package remoteadapter

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"

	"barleywick/internal/settings"
	"barleywick/internal/simulation/emulator"
	"barleywick/internal/simulation/simwire"
)

const (
	// stopTimeout bounds how long a program may take to exit after its input was closed.
	stopTimeout     = 5 * time.Second
	inputBufferSize = 1 << 16 // bytes
)

// Adapter is the client of an adapter program. It can be used for one scenario run at a time and is not
// safe for concurrent use.
type Adapter struct {
	out     io.Writer
	in      *simwire.Reader
	events  simwire.BatchWriter
	batches uint32          // number of batches sent
	running map[uint32]bool // instances that were started
	stop    func() error    // nil if there is no program to stop
	err     error           // the first error; nothing is sent after it
}

// Start starts an adapter program. It runs until Close is called or ctx is done.
func Start(ctx context.Context, program string) (*Adapter, error) {
	cmd := exec.CommandContext(ctx, program)
	cmd.Stderr = os.Stderr
	cmd.WaitDelay = stopTimeout
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the program must not outlive this process
	out, err := cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("adapter %s: %w", program, err)
	}
	in, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("adapter %s: %w", program, err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("adapter %s: %w", program, err)
	}
	a := New(out, in)
	a.stop = func() error {
		out.Close()
		if err := cmd.Wait(); err != nil {
			return fmt.Errorf("adapter %s: %w", program, err)
		}
		return nil
	}
	return a, nil
}

// New returns an Adapter that writes events to out and reads replies from in.
func New(out io.Writer, in io.Reader) *Adapter {
	r := simwire.NewReader(bufio.NewReaderSize(in, inputBufferSize))
	return &Adapter{out: out, in: r, running: make(map[uint32]bool)}
}

// Close stops the program, if Start started one, and returns the first error.
func (a *Adapter) Close() error {
	if a.stop == nil {
		return a.err
	}
	stop := a.stop
	a.stop = nil
	err := stop()
	if a.err != nil {
		return a.err // it may be the cause of the error of stop
	}
	return err
}

// Err returns the first error of the communication with the adapter.
func (a *Adapter) Err() error { return a.err }

// NewDecider returns a Decider that forwards events to the adapter and executes its actions.
func (a *Adapter) NewDecider(o emulator.DeciderOptions) (emulator.Decider, error) {
	if o.Config.Slots > 0 {
		return nil, errors.New("slots cannot be sent to an adapter: the simulator's protocol has no field for them")
	}
	text, err := json.Marshal(o.Scenario.Settings(o.Sidecar))
	if err != nil {
		return nil, err
	}
	s, err := settings.ParseJSON(text)
	if err != nil {
		return nil, err
	}
	i := &instance{
		adapter: a, number: uint32(o.Sidecar), host: o.Host, seed: o.Seed, settings: s.Text(),
		requests: make(map[uint32]*request),
	}
	return i, a.err
}

// exchange sends a batch of events and returns the reply; ok is false after an error, which Err returns.
func (a *Adapter) exchange(now time.Duration, write func(*simwire.BatchWriter)) (reply simwire.Reply, ok bool) {
	if a.err != nil {
		return reply, false
	}
	a.batches++
	a.events.Begin(a.batches, now)
	write(&a.events)
	if _, err := a.out.Write(a.events.Bytes()); err != nil {
		a.fail(err)
		return reply, false
	}
	reply, err := a.in.ReadReply()
	switch {
	case errors.Is(err, io.EOF):
		a.err = errors.New("adapter: closed its output before replying")
	case err != nil:
		a.fail(err)
	case reply.Number != a.batches:
		a.err = fmt.Errorf("adapter: reply to batch %d has batch number %d", a.batches, reply.Number)
	}
	return reply, a.err == nil
}

// fail records an error, after which nothing is sent to the adapter.
func (a *Adapter) fail(err error) { a.err = fmt.Errorf("adapter: %w", err) }
