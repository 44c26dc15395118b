// Package shutdown limits the time that a process takes to shut down, and logs the steps. A process that
// hangs in its shutdown is killed by its platform later without a trace of the cause. This package ends
// the process earlier and logs the step in which it hung.
package shutdown

import (
	"context"
	"log/slog"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// statusCutOff is the exit status of a process whose shutdown timed out.
const statusCutOff = 1

// cutOffLogTime is how long logging may take after the timeout. The process then exits without the log
// lines, because writing them blocks if the reader of the log has stopped reading.
const cutOffLogTime = time.Second

// maxStacks limits the goroutine stacks that are logged after the timeout, in bytes.
const maxStacks = 1 << 20

// Sequence is the shutdown of a process: consecutive steps that together are limited by a timeout.
type Sequence struct {
	program   string
	timeout   time.Duration
	startedAt time.Time
	timer     *time.Timer
	exit      func(status int)
	exited    chan struct{} // closed after exit returns, which it does only in tests
	ended     atomic.Bool

	mu   sync.Mutex
	step string // in progress; empty between two steps
}

// Begin starts the shutdown of a program. If End is not called within the timeout, the step in progress is
// logged with the stacks of all goroutines, and the process exits with status 1.
func Begin(program string, timeout time.Duration) *Sequence {
	return begin(program, timeout, os.Exit)
}

// Guard calls Begin once ctx is done. The caller calls the returned function when the program has ended.
func Guard(ctx context.Context, program string, timeout time.Duration) (ended func()) {
	begun := make(chan *Sequence, 1)
	stop := context.AfterFunc(ctx, func() { begun <- Begin(program, timeout) })
	return func() {
		if !stop() {
			(<-begun).End()
		}
	}
}

// Await returns the result of a call that cannot be cancelled, such as a read from a disk that may hang.
// If stop is done first, Await returns stop's error and leaves the call running in its goroutine.
func Await[T any](stop context.Context, call func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	returned := make(chan result, 1)
	go func() {
		value, err := call()
		returned <- result{value, err}
	}()
	select {
	case r := <-returned:
		return r.value, r.err
	case <-stop.Done():
		var zero T
		return zero, stop.Err()
	}
}

func begin(program string, timeout time.Duration, exit func(status int)) *Sequence {
	s := &Sequence{program: program, timeout: timeout, startedAt: time.Now(), exit: exit, exited: make(chan struct{})}
	s.timer = time.AfterFunc(timeout, s.cutOff)
	return s
}

// Step runs one step and logs how long it took.
func (s *Sequence) Step(name string, run func() error) error {
	s.setStep(name)
	startedAt := time.Now()
	err := run()
	slog.Info("shutdown: step ended", "program", s.program, "step", name, "took", time.Since(startedAt).Round(time.Millisecond), "err", err)
	s.setStep("")
	return err
}

// End reports that the shutdown is complete. If the timeout has already fired it does not return, so that
// the process does not exit with a different status.
func (s *Sequence) End() {
	if s.ended.Swap(true) {
		return
	}
	slog.Info("shutdown: ended", "program", s.program, "took", time.Since(s.startedAt).Round(time.Millisecond))
	if !s.timer.Stop() { // after logging: if writing to the log blocks, the timeout still fires
		<-s.exited
	}
}

func (s *Sequence) setStep(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step = name
}

// cutOff exits the process when the timeout fires.
func (s *Sequence) cutOff() {
	forcedExit := time.AfterFunc(cutOffLogTime, func() { s.exit(statusCutOff) })
	s.mu.Lock()
	step := s.step
	s.mu.Unlock()
	slog.Error("shutdown: cut off", "program", s.program, "step", step, "bound", s.timeout)
	stacks := make([]byte, maxStacks)
	_, _ = os.Stderr.Write(stacks[:runtime.Stack(stacks, true)]) // there is no other place to report a failure
	forcedExit.Stop()
	s.exit(statusCutOff)
	close(s.exited)
}
