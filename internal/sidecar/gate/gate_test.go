package gate

import (
	"bytes"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"barleywick/policy"
)

// An attempt sent after its deadline, a response after the shutdown deadline and the close of a connection
// with an unanswered request count as violations.
func TestViolationsAreCounted(t *testing.T) {
	g, now := New(), time.Now()
	fine := policy.SendFacts{ClientDeadline: g.SinceStart(now.Add(time.Second)), ShutdownDeadline: policy.NoLimit, RepeatDeadline: policy.NoLimit, ServerState: policy.Ready}
	late := fine
	late.ClientDeadline = g.SinceStart(now)
	g.CheckSent(fine, now, "fine")
	g.CheckSent(late, now.Add(stallAllowance/2), "stalled")
	if c := g.Counters(); len(c.Violated) != 0 {
		t.Errorf("got violations %v, want none", c.Violated)
	}
	g.CheckSent(late, now.Add(2*stallAllowance), "late")
	g.CheckAnswered(now, now.Add(2*stallAllowance), "late")
	g.CheckClosed(policy.CloseFacts{RequestRead: true}, "unanswered")
	if c := g.Counters(); len(c.Violated) != int(violationCount) {
		t.Errorf("got %v, want each rule once", c.Violated)
	}
}

// A request that arrives late in a graceful shutdown is subject to the shutdown deadline; an earlier one
// can use its whole client deadline.
func TestLateRequestsGetTheShutdownDeadline(t *testing.T) {
	g := New()
	if deadline := g.DeadlineFor(time.Now().Add(time.Hour)); !deadline.IsZero() {
		t.Errorf("before the shutdown: got deadline %v, want none", deadline)
	}
	g.Shutdown(2 * time.Second)
	now := time.Now()
	if deadline := g.DeadlineFor(now); !deadline.IsZero() {
		t.Errorf("arrival with the signal: got deadline %v, want none", deadline)
	}
	deadline := g.DeadlineFor(now.Add(lateRequestAfter))
	if left := deadline.Sub(now); left <= 0 || left > 2*time.Second {
		t.Errorf("late arrival: got a deadline %v after the signal, want at most 2s", left)
	}
	if g.MayStart(time.Second) != policy.Allowed || g.MayStart(3*time.Second) != policy.DeniedShutdown {
		t.Error("MayStart allowed a probe of 3s or denied one of 1s, with 2s left until the shutdown deadline")
	}
}

// The names of decisions and rules are metric label values and must not change.
func TestCounterNamesAreStable(t *testing.T) {
	g := New()
	for a := range actionCount {
		for d := range policy.NumDenials {
			g.record(a, d)
		}
	}
	for v := range violationCount {
		g.recordViolation(v, "x", policy.Allowed)
	}
	var want []string
	for _, a := range []string{"send", "close", "start"} {
		for _, d := range []string{
			"allowed", "answered", "client left", "late", "stopping", "attempts used up", "may have run", "window over",
			"server drains or is gone", "server is cold", "answer owed",
		} {
			want = append(want, a+": "+d)
		}
	}
	slices.Sort(want)
	c := g.Counters()
	if got := slices.Sorted(maps.Keys(c.Decided)); !slices.Equal(got, want) {
		t.Errorf("decisions: got %q, want %q", got, want)
	}
	want = []string{"attempt sent after its end", "closed over an unanswered request", "not done in time"}
	if got := slices.Sorted(maps.Keys(c.Violated)); !slices.Equal(got, want) {
		t.Errorf("violations: got %q, want %q", got, want)
	}
}

// With the JSON log format a violation must be logged with the names of the rule and of the reason, not
// with their numbers: slog's JSON handler does not call String on attribute values.
func TestViolationIsLoggedByName(t *testing.T) {
	var log bytes.Buffer
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.NewJSONHandler(&log, nil)))
	now := time.Now()
	New().CheckAnswered(now, now.Add(2*stallAllowance), "late")
	for _, want := range []string{`"rule":"not done in time"`, `"why":"`} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("got log %s, want it to contain %s", log.String(), want)
		}
	}
}
