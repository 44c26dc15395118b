package shutdown

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// An end that takes longer than its bound is cut off, and the log names the step in which
// it hung; one that ends in time is not.
func TestShutdownIsCutOffAtItsTimeout(t *testing.T) {
	for name, x := range map[string]struct {
		duration time.Duration
		cutOff   bool
	}{"in time": {9 * time.Second, false}, "too late": {11 * time.Second, true}} {
		synctest.Test(t, func(t *testing.T) {
			var log bytes.Buffer
			defer slog.SetDefault(slog.Default())
			slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
			var statuses []int
			s := begin("registry", 10*time.Second, func(status int) { statuses = append(statuses, status) })
			failed := errors.New("failed")
			if err := s.Step("first", func() error { return failed }); !errors.Is(err, failed) {
				t.Errorf("%s: the step's error is %v, want %v", name, err, failed)
			}
			_ = s.Step("second", func() error {
				time.Sleep(x.duration)
				return nil
			})
			s.End()
			synctest.Wait()
			if got := len(statuses) > 0; got != x.cutOff {
				t.Errorf("%s: cut off: got %v want %v", name, got, x.cutOff)
			}
			if cut := strings.Contains(log.String(), `msg="shutdown: cut off" program=registry step=second`); cut != x.cutOff {
				t.Errorf("%s: the log names the step: got %v want %v:\n%s", name, cut, x.cutOff, log.String())
			}
		})
	}
}

// An end that is over just after its bound does not overtake the cut-off, which writes the stacks
// and exits with its status: the caller would exit with 0.
func TestLateEndWaitsForCutOffToExit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer slog.SetDefault(slog.Default())
		slog.SetDefault(slog.New(slog.DiscardHandler))
		exited := make(chan struct{})
		s := begin("registry", 10*time.Second, func(int) {
			time.Sleep(5 * time.Second) // stands for what comes before the exit
			close(exited)
		})
		time.Sleep(11 * time.Second)
		s.End()
		select {
		case <-exited:
		default:
			t.Error("the end returned while it was being cut off")
			<-exited
		}
	})
}

// stuckLog is a log whose reader takes nothing, as a full pipe or a disk that hangs.
type stuckLog struct{ released chan struct{} }

func (l stuckLog) Write(text []byte) (int, error) {
	<-l.released
	return len(text), nil
}

// A process whose log takes nothing any more is cut off at its bound all the same.
func TestCutOffDoesNotWaitForTheLog(t *testing.T) {
	log := stuckLog{make(chan struct{})}
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.NewTextHandler(log, nil)))
	defer close(log.released)
	exited := make(chan struct{}, 1)
	s := begin("registry", 100*time.Millisecond, func(int) { exited <- struct{}{} })
	go func() { _ = s.Step("first", func() error { return nil }) }() // waits for the log
	select {
	case <-exited:
	case <-time.After(10 * time.Second):
		t.Error("the process has not exited 10 s after a bound of 100 ms")
	}
}
