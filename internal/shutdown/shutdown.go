// Package shutdown bounds the end of a process and logs its steps. A process that was told
// to end and hangs is worse than one that is cut off: its platform kills it some time later,
// and nobody knows in what it hung.
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

// statusCutOff is the exit status of a process whose end was cut off: it has failed.
const statusCutOff = 1

// cutOffLogTime is how long a cut-off may take to write its lines: whoever reads the log may
// take no more of it.
const cutOffLogTime = time.Second

// maxStacks bounds the goroutines' stacks that are logged when an end is cut off, in bytes.
const maxStacks = 1 << 20

// Sequence is the end of a process: steps, one after the other, within a bound.
type Sequence struct {
	program   string
	timeout   time.Duration
	startedAt time.Time
	timer     *time.Timer
	exit      func(status int)
	exited    chan struct{} // closed after exit, which returns in tests alone
	ended     atomic.Bool

	mu   sync.Mutex
	step string // that is under way; empty between two
}

// Begin starts the end of a program. If End is not called within the bound, the step that
// is under way is logged with the stacks of all goroutines, and the process exits.
func Begin(program string, bound time.Duration) *Sequence {
	return begin(program, bound, os.Exit)
}

// Guard bounds the end of a program that is to end once ctx is done. The caller calls ended
// when it has.
func Guard(ctx context.Context, program string, bound time.Duration) (ended func()) {
	begunSequence := make(chan *Sequence, 1)
	stop := context.AfterFunc(ctx, func() { begunSequence <- Begin(program, bound) })
	return func() {
		if !stop() {
			(<-begunSequence).End()
		}
	}
}

// Await runs a call that cannot be cancelled, such as a read from a disk that may hang, and
// returns its result. Once stop is done it returns stop's error, and the call goes on by itself.
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

func begin(program string, bound time.Duration, exit func(status int)) *Sequence {
	s := &Sequence{program: program, timeout: bound, startedAt: time.Now(), exit: exit, exited: make(chan struct{})}
	s.timer = time.AfterFunc(bound, s.cutOff)
	return s
}

// Step runs one step, and logs how long it took.
func (s *Sequence) Step(name string, run func() error) error {
	s.setStep(name)
	startedAt := time.Now()
	err := run()
	slog.Info("shutdown: step ended", "program", s.program, "step", name, "took", time.Since(startedAt).Round(time.Millisecond), "err", err)
	s.setStep("")
	return err
}

// End says that the last step has ended. If the end is being cut off it does not return, so that
// the process does not exit with another status.
func (s *Sequence) End() {
	if s.ended.Swap(true) {
		return
	}
	slog.Info("shutdown: ended", "program", s.program, "took", time.Since(s.startedAt).Round(time.Millisecond))
	if !s.timer.Stop() { // last: the log may be stuck
		<-s.exited
	}
}

func (s *Sequence) setStep(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step = name
}

// cutOff ends the process at the bound.
func (s *Sequence) cutOff() {
	forcedExit := time.AfterFunc(cutOffLogTime, func() { s.exit(statusCutOff) })
	s.mu.Lock()
	step := s.step
	s.mu.Unlock()
	slog.Error("shutdown: cut off", "program", s.program, "step", step, "bound", s.timeout)
	stacks := make([]byte, maxStacks)
	_, _ = os.Stderr.Write(stacks[:runtime.Stack(stacks, true)]) // nobody can be told if it fails
	forcedExit.Stop()
	s.exit(statusCutOff)
	close(s.exited)
}
