package lease

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/testing/fixture"
)

// The files in testdata/396a775 were written by the code of that commit.

// sessionStep is a call of a session and the state of the session after it.
type sessionStep struct {
	Claim  int                   `json:"claim"` // each claim has its own session
	Call   string                `json:"call"`
	Answer *registry.ClaimStatus `json:"answer"`
	SentMS int64                 `json:"sent_ms"`
	NowMS  int64                 `json:"now_ms"`

	Held     bool   `json:"held"`
	Ended    bool   `json:"ended"`
	Token    uint64 `json:"token"`
	Deadline int64  `json:"until_ns"`
	Age      int64  `json:"age_ns"`
	Yield    bool   `json:"yield"`
	YieldTo  string `json:"to"`
	Act      string `json:"act"` // an act of one second: "may", "lapsed" or "short"
}

// call makes the step's call.
func (x sessionStep) call(t *testing.T, s *Session, sent, now time.Duration) {
	t.Helper()
	switch x.Call {
	case "acquire sent":
		s.AcquireSent(now)
	case "acquired":
		s.Acquired(*x.Answer, now)
	case "renewed":
		s.Renewed(*x.Answer, sent, now)
	case "yield":
		s.RequestYield("k9")
	case "resign":
		s.Resign()
	case "look":
	default:
		t.Fatalf("unknown call %q", x.Call)
	}
}

// observe returns the step with the current state of the session.
func (x sessionStep) observe(s *Session, now time.Duration) sessionStep {
	x.Held, x.Ended, x.Token = s.Held(now), s.Ended(now), s.Token()
	x.Deadline, x.Age = int64(s.Deadline()), int64(s.Age(now))
	x.YieldTo, x.Yield = s.YieldRequested()
	switch err := s.CheckAct(now, time.Second); {
	case err == nil:
		x.Act = "may"
	case errors.Is(err, ErrLapsed):
		x.Act = "lapsed"
	case errors.Is(err, ErrInsufficientTime):
		x.Act = "short"
	}
	return x
}

func TestSessionsDecideAsEarlierVersion(t *testing.T) {
	text := fixture.Read(t, "sessions.jsonl")
	var s *Session
	claim, steps := -1, 0
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); steps++ {
		var want sessionStep
		if err := json.Unmarshal(lines.Bytes(), &want); err != nil {
			t.Fatal(err)
		}
		if want.Claim != claim {
			claim = want.Claim
			s = &Session{LeaseName: "l", ClaimID: "claim-1", Holder: registry.Holder{Name: "k", Incarnation: 3}, TTL: 6 * time.Second}
		}
		now := time.Duration(want.NowMS) * time.Millisecond
		want.call(t, s, time.Duration(want.SentMS)*time.Millisecond, now)
		if got := want.observe(s, now); got != want {
			t.Errorf("step %d: got %+v, want %+v", steps, got, want)
		}
	}
	if steps != 300 {
		t.Errorf("got %d steps, want 300", steps)
	}
}

func TestMessagesOfEarlierVersion(t *testing.T) {
	text := fixture.Read(t, "messages.json")
	var messages map[string]json.RawMessage
	if err := json.Unmarshal(text, &messages); err != nil {
		t.Fatal(err)
	}
	types := map[string]any{
		"acquire request":  new(registry.AcquireRequest),
		"acquire answer":   new(registry.ClaimStatus),
		"queued answer":    new(registry.ClaimStatus),
		"renewals request": new(registry.RenewClaimsRequest),
		"renewals answer":  new(registry.RenewClaimsResponse),
		"release request":  new(registry.ReleaseRequest),
		"yield request":    new(registry.YieldRequest),
		"pause request":    new(registry.YieldRequest),
		"fence":            new(registry.Fence),
		"leases":           new(registry.LeasesResponse),
		"snapshot":         new(registry.Leases),
	}
	for name, message := range types {
		old, ok := messages[name]
		if !ok {
			t.Errorf("%s: missing", name)
			continue
		}
		strict := json.NewDecoder(bytes.NewReader(old))
		strict.DisallowUnknownFields()
		if err := strict.Decode(message); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		text, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		var want bytes.Buffer
		if err := json.Compact(&want, old); err != nil {
			t.Fatal(err)
		}
		if string(text) != want.String() {
			t.Errorf("%s: got %s, want %s", name, text, want.String())
		}
	}
	if len(messages) != len(types) {
		t.Errorf("got %d messages, want %d", len(messages), len(types))
	}

	leases := types["leases"].(*registry.LeasesResponse).Leases
	list, _ := types["snapshot"].(*registry.Leases).List()
	if !reflect.DeepEqual(leases, list) {
		t.Errorf("the snapshot lists %+v, want %+v", list, leases)
	}
	var granted []string
	for _, l := range leases {
		if l.Grant != nil {
			granted = append(granted, l.Name+"="+l.Grant.Name)
		}
	}
	if got, want := strings.Join(granted, " "), "policy=k1 seat:n1=n1"; got != want {
		t.Errorf("granted: got %q, want %q", got, want)
	}
	status := types["renewals answer"].(*registry.RenewClaimsResponse).Claims
	if len(status) != 2 || !status[0].YieldRequested || status[0].NextHolder != "k3" || !status[1].Ended {
		t.Errorf("response to renewals: got %+v, want a yield request to k3 and an ended claim", status)
	}
}
