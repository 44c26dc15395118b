package policy

import (
	"testing"
	"time"
)

// Each fact alone must deny a send. If several apply, the first one is returned.
func TestEachFactDeniesASend(t *testing.T) {
	allowed := SendFacts{Now: 10, ClientDeadline: 20, ShutdownDeadline: NoLimit, RepeatDeadline: NoLimit, ServerState: Ready, MaxAttempts: 3}
	if got := allowed.Decide(); got != Allowed {
		t.Fatalf("got %v, want allowed", got)
	}
	for want, change := range map[Denial]func(*SendFacts){
		DeniedAnswered:       func(s *SendFacts) { s.Answered = true },
		DeniedClientGone:     func(s *SendFacts) { s.ClientGone = true },
		DeniedDeadlinePassed: func(s *SendFacts) { s.ClientDeadline = s.Now },
		DeniedShutdown:       func(s *SendFacts) { s.ShutdownDeadline = s.Now },
		DeniedAttemptLimit:   func(s *SendFacts) { s.Attempts = s.MaxAttempts },
		DeniedNotRepeatable:  func(s *SendFacts) { s.MayHaveRun = true },
		DeniedRepeatWindow:   func(s *SendFacts) { s.MayHaveRun, s.Repeatable, s.RepeatDeadline = true, true, s.Now },
		DeniedServerNotReady: func(s *SendFacts) { s.ServerState = Draining },
		DeniedSlowStart:      func(s *SendFacts) { s.SlowStartExhausted = true },
	} {
		s := allowed
		change(&s)
		if got := s.Decide(); got != want {
			t.Errorf("got %v, want %v", got, want)
		}
		s.Answered = true
		if got := s.Decide(); got != DeniedAnswered {
			t.Errorf("%v, and answered: got %v, want %v", want, got, DeniedAnswered)
		}
	}
	another := allowed
	another.InFlight = 1
	if got := another.Decide(); got != DeniedAttemptLimit {
		t.Errorf("one attempt in flight: got %v, want %v", got, DeniedAttemptLimit)
	}
	for d := range NumDenials {
		if d.String() == "" || d.String() == "unknown" {
			t.Errorf("denial %d has no text", int(d))
		}
	}
}

func TestCloseIsDeniedWhileAResponseIsOutstanding(t *testing.T) {
	for want, all := range map[Denial][]CloseFacts{
		Allowed:                   {{}, {Answered: true}, {RequestRead: true, Answered: true}},
		DeniedResponseOutstanding: {{RequestRead: true}, {InProgress: true}, {InProgress: true, RequestRead: true, Answered: true}},
	} {
		for _, c := range all {
			if got := c.Decide(); got != want {
				t.Errorf("%+v: got %v, want %v", c, got, want)
			}
		}
	}
}

func TestStartIsDeniedIfItMayOutlastTheShutdown(t *testing.T) {
	for maxDuration, want := range map[time.Duration]Denial{5: Allowed, 6: DeniedShutdown} {
		if got := (StartFacts{Now: 10, ShutdownDeadline: 15, MaxDuration: maxDuration}).Decide(); got != want {
			t.Errorf("duration %d with 5 left: got %v, want %v", maxDuration, got, want)
		}
	}
	if got := (StartFacts{Now: 10, ShutdownDeadline: NoLimit, MaxDuration: time.Hour}).Decide(); got != Allowed {
		t.Errorf("without a shutdown: got %v, want allowed", got)
	}
}

// A process must finish before the platform kills it, which happens 0.7 s plus the longest deadline after the
// termination signal.
func TestShutdownEndsBeforeTheKill(t *testing.T) {
	for longest, kill := range map[time.Duration]time.Duration{
		500 * ms: 1200 * ms, 1900 * ms: 2600 * ms, 3 * time.Second: 3700 * ms, 6 * time.Second: 3700 * ms, 0: 3700 * ms,
	} {
		got := ShutdownTimeout([]Class{{Deadline: longest}, {Deadline: longest / 2}})
		if got <= 0 || got > kill-200*ms {
			t.Errorf("longest deadline %v: got a timeout of %v, want a positive one at least 200 ms before the kill after %v", longest, got, kill)
		}
	}
}
