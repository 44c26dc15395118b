// Package remoteadapter lets the emulator use the decisions of another program: a simadapter, of this
// build or of an earlier one, over the simulator's wire. So two builds can be compared in simulated
// time on the same scenario runs.
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
	// stopTimeout is how long a program may take to end after its input has ended.
	stopTimeout     = 5 * time.Second
	inputBufferSize = 1 << 16 // bytes
)

// Adapter is a program at the other end of the wire. It can be used for one scenario run at a time and
// is not safe for concurrent use.
type Adapter struct {
	out     io.Writer
	in      *simwire.Reader
	events  simwire.BatchWriter
	batches uint32          // sent so far
	running map[uint32]bool // by instance
	stop    func() error    // nil if there is no program to stop
	err     error           // the first error, after which nothing is sent any more
}

// Start starts an adapter's program. Close ends it, and so does the end of ctx.
func Start(ctx context.Context, program string) (*Adapter, error) {
	cmd := exec.CommandContext(ctx, program)
	cmd.Stderr = os.Stderr
	cmd.WaitDelay = stopTimeout
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this process
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

// New returns an Adapter at the other end of two streams.
func New(out io.Writer, in io.Reader) *Adapter {
	r := simwire.NewReader(bufio.NewReaderSize(in, inputBufferSize))
	return &Adapter{out: out, in: r, running: make(map[uint32]bool)}
}

// Close ends the adapter and returns its first error.
func (a *Adapter) Close() error {
	if a.stop == nil {
		return a.err
	}
	stop := a.stop
	a.stop = nil
	err := stop()
	if a.err != nil {
		return a.err // which may be the cause of the other one
	}
	return err
}

// Err returns the first error.
func (a *Adapter) Err() error { return a.err }

// NewDecider makes a Decider that uses the adapter's decisions.
func (a *Adapter) NewDecider(o emulator.DeciderOptions) (emulator.Decider, error) {
	if o.Config.Slots > 0 {
		return nil, errors.New("slots cannot be said on the simulator's wire: only a module of this program can be given them")
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

// exchange sends a batch of events and returns the reply. After an error, which Err returns, there is none.
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
		a.err = errors.New("adapter: it ended")
	case err != nil:
		a.fail(err)
	case reply.Number != a.batches:
		a.err = fmt.Errorf("adapter: answers batch %d with the number %d", a.batches, reply.Number)
	}
	return reply, a.err == nil
}

// fail records an error.
func (a *Adapter) fail(err error) { a.err = fmt.Errorf("adapter: %w", err) }
