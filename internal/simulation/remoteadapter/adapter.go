// Package remoteadapter lets the emulator ask another program what to decide: an adapter,
// ours or an earlier build's, that plays decision modules on the simulator's wire.
// So two built programs can be compared in simulated time on the same days.
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

// Adapter is a program on the other end of the wire. One day at a time is played with
// it. It is not safe for concurrent use.
type Adapter struct {
	out    io.Writer
	in     *simwire.Reader
	events simwire.BatchWriter
	number uint32
	err    error // the first thing that went wrong; nothing is asked after it
	alive  map[uint32]bool
	stop   func() error
}

// stopTimeout is how long a program may take to end once its input has.
const stopTimeout = 5 * time.Second

// Start starts an adapter's program. It ends with Close, or when ctx does.
func Start(ctx context.Context, program string) (*Adapter, error) {
	cmd := exec.CommandContext(ctx, program)
	cmd.Stderr = os.Stderr
	cmd.WaitDelay = stopTimeout
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it never outlives its user
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

// New speaks with an adapter over a pair of streams.
func New(out io.Writer, in io.Reader) *Adapter {
	return &Adapter{out: out, in: simwire.NewReader(bufio.NewReaderSize(in, 1<<16)), alive: make(map[uint32]bool)}
}

// Close ends the adapter, and returns the first thing that went wrong with it.
func (a *Adapter) Close() error {
	if a.stop == nil {
		return a.err
	}
	end := a.stop
	a.stop = nil
	err := end()
	if a.err != nil {
		return a.err // which may be why it ended as it did
	}
	return err
}

// Err is the first thing that went wrong.
func (a *Adapter) Err() error { return a.err }

// NewDecider makes a Decider that asks the adapter.
func (a *Adapter) NewDecider(b emulator.DeciderOptions) (emulator.Decider, error) {
	if b.Config.Slots > 0 {
		return nil, errors.New("slots cannot be said on the simulator's wire: only a module of this program can be given them")
	}
	text, err := json.Marshal(b.Scenario.Settings(b.Sidecar))
	if err != nil {
		return nil, err
	}
	s, err := settings.ParseJSON(text)
	if err != nil {
		return nil, err
	}
	return &instance{adapter: a, number: uint32(b.Sidecar), host: b.Host, seed: b.Seed, info: s.Text(), tries: make(map[uint32]*attemptRecord)}, a.err
}
