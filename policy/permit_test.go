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

// A request that comes as the process ends is sent at once and answered in the process's time; one
// that comes when that is over is refused.
func TestRequestIsAnsweredBeforeTheProcessEnds(t *testing.T) {
	h := newFakeHost()
	b, err := New(testConfig(), 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0)
	b.List(0, ListFull, ready(1, 2, 3))
	b.Request(0, Request{ID: 1, TimeLeft: time.Second, ShutdownIn: 300 * ms})
	if len(h.sends) != 1 || h.sends[0].timeout > 300*ms {
		t.Fatalf("sends %+v, want one that is given up within 300 ms", h.sends)
	}
	for now := 10 * ms; now < 300*ms; now += 10 * ms {
		if b.Wake(now); len(h.refused)+len(h.failed) > 0 {
			t.Fatalf("answered at %v already", now)
		}
	}
	if b.Wake(310 * ms); len(h.refused)+len(h.failed) != 1 {
		t.Errorf("%d refused and %d failed when the process has to be done", len(h.refused), len(h.failed))
	}
}

// The wall clock may be set by an hour while a process runs.
func TestStartIsReadOnTheClockThatItWasWrittenBy(t *testing.T) {
	const now = 100 * time.Hour
	for name, x := range map[string]struct{ listed, step, want time.Duration }{
		"long ago":                         {0, time.Hour, 0},
		"no step":                          {now - time.Minute, 0, now - time.Minute},
		"ahead of this clock":              {now + time.Minute, 0, now},
		"set ahead, started after it":      {now + time.Hour - time.Second, time.Hour, now - time.Second},
		"set ahead, started before it":     {now - time.Minute, time.Hour, now - time.Minute},
		"set back, started after it":       {now - time.Hour - time.Second, -time.Hour, now - time.Second},
		"set back, started a while before": {now - 2*time.Hour, -time.Hour, now - time.Hour},
	} {
		if got := StartedAt(x.listed, now, x.step); got != x.want {
			t.Errorf("%s: %v before now, want %v", name, now-got, now-x.want)
		}
	}
}

// Where the list was lost in plain sight each balancer of a large fleet calls soon, as what it missed
// counts as told otherwise; those whose calls are turned away use all of the time that is left.
func TestCallsOfALargeFleetUseTheTimeLeft(t *testing.T) {
	const fleet, due = 300, notificationDeadline + 3*time.Second
	second := make([]int, due/time.Second+1) // calls, by the second in which they come
	for seed := range uint64(fleet) {
		cfg := testConfig()
		cfg.PollList, cfg.Balancers, cfg.DrainGrace = true, fleet, 3*time.Second
		h := newFakeHost()
		b, err := New(cfg, seed, h)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		b.ListLost(0, ListLoss{Reached: true})
		var calls []time.Duration
		for now := 10 * ms; now < due; now += 10 * ms {
			before := h.watches
			if b.Wake(now); h.watches > before {
				calls = append(calls, now)
				b.ListLost(now, ListLoss{Reached: true})
			}
		}
		if len(calls) < 2 || calls[0] > firstPollWithin+20*ms || calls[len(calls)-1] < due-3*time.Second {
			t.Fatalf("seed %d: calls at %v, want the first by %v and the last near %v", seed, calls, firstPollWithin, due)
		}
		second[calls[1]/time.Second]++
	}
	for at, n := range second {
		if n > fleet/4 {
			t.Errorf("%d of %d balancers call again in second %d", n, fleet, at)
		}
	}
}

// Few balancers subscribe at once, many one after the other and all in time.
func TestSubscriptionsOfALargeFleetAreStaggered(t *testing.T) {
	for balancers, want := range map[int]time.Duration{5: 0, 25: 0, 80: 2200 * ms, 300: maxStagger, 900: maxStagger} {
		if got := SubscribeDelay(balancers); got != want {
			t.Errorf("%d balancers: %v, want %v", balancers, got, want)
		}
	}
}
