package policy

import (
	"testing"
	"time"
)

// Each fact alone denies, and the first that does is the reason given.
func TestSendingIsDeniedByEachFact(t *testing.T) {
	fine := SendFacts{Now: 10, ClientDeadline: 20, ShutdownDeadline: NoLimit, RepeatDeadline: NoLimit, ServerState: Ready, MaxAttempts: 3}
	if got := fine.Decide(); got != Allowed {
		t.Fatalf("a send that nothing is against: %v", got)
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
		s := fine
		change(&s)
		if got := s.Decide(); got != want {
			t.Errorf("%v: got %v", want, got)
		}
		s.Answered = true
		if got := s.Decide(); got != DeniedAnswered {
			t.Errorf("%v, and answered: got %v", want, got)
		}
	}
	out := fine
	out.InFlight = 1
	if got := out.Decide(); got != DeniedAttemptLimit {
		t.Errorf("one is out: got %v", got)
	}
	for d := range NumDenials {
		if d.String() == "" || d.String() == "unknown" {
			t.Errorf("denial %d has no name", int(d))
		}
	}
}

func TestClosingOwesWhatWasRead(t *testing.T) {
	for want, all := range map[Denial][]CloseFacts{
		Allowed:            {{}, {Answered: true}, {RequestRead: true, Answered: true}},
		DeniedResponseOwed: {{RequestRead: true}, {InProgress: true}, {InProgress: true, RequestRead: true, Answered: true}},
	} {
		for _, c := range all {
			if got := c.Decide(); got != want {
				t.Errorf("%+v: %v, want %v", c, got, want)
			}
		}
	}
}

func TestStartingLeavesTimeToEnd(t *testing.T) {
	for takes, want := range map[time.Duration]Denial{5: Allowed, 6: DeniedShutdown} {
		if got := (StartFacts{Now: 10, ShutdownDeadline: 15, MaxDuration: takes}).Decide(); got != want {
			t.Errorf("takes %d of 5: %v, want %v", takes, got, want)
		}
	}
	if got := (StartFacts{Now: 10, ShutdownDeadline: NoLimit, MaxDuration: time.Hour}).Decide(); got != Allowed {
		t.Errorf("without an end: %v", got)
	}
}

// A process is done before the platform kills it: the longest deadline and 0.7 s after the signal.
func TestStopWithinTheKill(t *testing.T) {
	for longest, kill := range map[time.Duration]time.Duration{
		500 * ms: 1200 * ms, 1900 * ms: 2600 * ms, 3 * time.Second: 3700 * ms, 6 * time.Second: 3700 * ms, 0: 3700 * ms,
	} {
		got := ShutdownTimeout([]Class{{Deadline: longest}, {Deadline: longest / 2}})
		if got <= 0 || got > kill-200*ms {
			t.Errorf("longest deadline %v: done within %v, the kill comes after %v", longest, got, kill)
		}
	}
}
