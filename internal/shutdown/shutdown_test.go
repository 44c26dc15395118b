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

// A shutdown that takes longer than its timeout is cut off, and the log names the step in which it hung. A
// shutdown that completes within the timeout is not cut off.
func TestShutdownIsCutOffAtItsTimeout(t *testing.T) {
	for name, x := range map[string]struct {
		duration time.Duration
		cutOff   bool
	}{"within the timeout": {9 * time.Second, false}, "after the timeout": {11 * time.Second, true}} {
		synctest.Test(t, func(t *testing.T) {
			var log bytes.Buffer
			defer slog.SetDefault(slog.Default())
			slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
			var statuses []int
			s := begin("registry", 10*time.Second, func(status int) { statuses = append(statuses, status) })
			failed := errors.New("failed")
			if err := s.Step("first", func() error { return failed }); !errors.Is(err, failed) {
				t.Errorf("%s: Step: got error %v, want %v", name, err, failed)
			}
			_ = s.Step("second", func() error {
				time.Sleep(x.duration)
				return nil
			})
			s.End()
			synctest.Wait()
			if got := len(statuses) > 0; got != x.cutOff {
				t.Errorf("%s: got cut off %v, want %v", name, got, x.cutOff)
			}
			if cut := strings.Contains(log.String(), `msg="shutdown: cut off" program=registry step=second`); cut != x.cutOff {
				t.Errorf("%s: got the step named in the log %v, want %v:\n%s", name, cut, x.cutOff, log.String())
			}
		})
	}
}

// A shutdown that completes just after its timeout must not return before cutOff has written the stacks and
// exited with its status: otherwise the caller would exit with status 0.
func TestLateEndWaitsForCutOffToExit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer slog.SetDefault(slog.Default())
		slog.SetDefault(slog.New(slog.DiscardHandler))
		exited := make(chan struct{})
		s := begin("registry", 10*time.Second, func(int) {
			time.Sleep(5 * time.Second) // simulates the logging before the exit
			close(exited)
		})
		time.Sleep(11 * time.Second)
		s.End()
		select {
		case <-exited:
		default:
			t.Error("End returned while the shutdown was being cut off")
			<-exited
		}
	})
}

// stuckLog is a log writer that blocks, like a full pipe or a hanging disk.
type stuckLog struct{ released chan struct{} }

func (l stuckLog) Write(text []byte) (int, error) {
	<-l.released
	return len(text), nil
}

// A process whose log blocks is nevertheless cut off at its timeout.
func TestCutOffDoesNotWaitForTheLog(t *testing.T) {
	log := stuckLog{make(chan struct{})}
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.NewTextHandler(log, nil)))
	defer close(log.released)
	exited := make(chan struct{}, 1)
	s := begin("registry", 100*time.Millisecond, func(int) { exited <- struct{}{} })
	go func() { _ = s.Step("first", func() error { return nil }) }() // blocks on the log
	select {
	case <-exited:
	case <-time.After(10 * time.Second):
		t.Error("the process has not exited within 10 s, want 100 ms")
	}
}
