package registry

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"barleywick/internal/rollout"
	"barleywick/internal/testing/fixture"
)

// The files of testdata/396a775 were written by the code of that commit: the
// commands of a Raft log, the result of each, snapshots of intermediate states, and
// a body of each API message. Stored and sent data must remain compatible with them.

// readTrimmed reads a recorded file without its final line break.
func readTrimmed(t testing.TB, name string) []byte {
	t.Helper()
	return bytes.TrimSuffix(fixture.Read(t, name), []byte("\n"))
}

func readLines(t testing.TB, name string) []string {
	t.Helper()
	return strings.Split(string(readTrimmed(t, name)), "\n")
}

// recordedResult is the result of a command. Change is the list update that watchers got.
type recordedResult struct {
	Version uint64          `json:"version"`
	Seq     uint64          `json:"seq"`
	Changed []string        `json:"changed"`
	Token   uint64          `json:"token"`
	Place   int             `json:"place"`
	Error   string          `json:"error"`
	Change  json.RawMessage `json:"change"`
}

// replay applies the recorded log up to, but excluding, the first command for which
// stop returns true. It applies the whole log if stop is nil.
func replay(t testing.TB, stop func(Command) bool) *State {
	t.Helper()
	s := NewState()
	results := readLines(t, "results.jsonl")
	for i, line := range readLines(t, "commands.jsonl") {
		var c Command
		if err := json.Unmarshal([]byte(line), &c); err != nil {
			t.Fatalf("command %d: %v", i, err)
		}
		if stop != nil && stop(c) {
			return s
		}
		before := s.Seq()
		r := s.Apply(c)
		got := recordedResult{Version: r.Version, Seq: r.Seq, Changed: r.ChangedHosts, Token: r.Token, Place: r.QueuePosition}
		if r.Err != nil {
			got.Error = r.Err.Error()
		}
		if s.Seq() != before {
			var err error
			if got.Change, err = json.Marshal(s.ChangesSince(before)); err != nil {
				t.Fatal(err)
			}
		}
		text, err := json.Marshal(got)
		if err != nil {
			t.Fatal(err)
		}
		if string(text) != results[i] {
			t.Fatalf("command %d, %s:\ngot  %s\nwant %s", i, line, text, results[i])
		}
	}
	return s
}

func marshal(t testing.TB, v any) []byte {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestRecordedCommandsRoundTrip(t *testing.T) {
	seen := make(map[Op]bool)
	for i, line := range readLines(t, "commands.jsonl") {
		var c Command
		if err := json.Unmarshal([]byte(line), &c); err != nil {
			t.Fatalf("command %d: %v", i, err)
		}
		if got := marshal(t, c); string(got) != line {
			t.Errorf("command %d:\ngot  %s\nwant %s", i, got, line)
		}
		seen[c.Op] = true
	}
	for _, op := range []Op{
		OpFoundGroup, OpRegister, OpMark, OpRemove, OpExpireSessions, OpPutRecord, OpDeleteRecord, OpRestore, OpPolicyStep,
		OpAcquireLease, OpReleaseLease, OpExpireClaims, OpRequestYield, OpOpenGrants,
	} {
		if !seen[op] {
			t.Errorf("the recorded log has no command %q", op)
		}
	}
}

// Replaying the recorded log yields the recorded state, and the recorded result of
// every command.
func TestRecordedLogYieldsRecordedState(t *testing.T) {
	for name, stop := range map[string]func(Command) bool{
		"backup.json":         func(c Command) bool { return c.Op == OpAcquireLease },
		"state.json":          func(c Command) bool { return c.Op == OpExpireClaims && c.Term == 4 },
		"state_restored.json": nil,
	} {
		s := replay(t, stop)
		if got, want := marshal(t, s), readTrimmed(t, name); !bytes.Equal(got, want) {
			t.Errorf("%s:\ngot  %s\nwant %s", name, got, want)
		}
	}
	if got, want := marshal(t, replay(t, nil).FullList()), readTrimmed(t, "list.json"); !bytes.Equal(got, want) {
		t.Errorf("list:\ngot  %s\nwant %s", got, want)
	}
}

func TestRecordedSnapshotsRoundTrip(t *testing.T) {
	for _, name := range []string{"backup.json", "state.json", "state_restored.json", "state_without_leases.json"} {
		text := readTrimmed(t, name)
		s := NewState()
		if err := json.Unmarshal(text, s); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if got := marshal(t, s); !bytes.Equal(got, text) {
			t.Errorf("%s:\ngot  %s\nwant %s", name, got, text)
		}
		if got := marshal(t, s.Clone()); !bytes.Equal(got, text) {
			t.Errorf("%s, its clone:\ngot  %s\nwant %s", name, got, text)
		}
	}
}

// A snapshot from before leases and the policy existed is decoded without any.
func TestSnapshotWithoutLeasesIsRead(t *testing.T) {
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(readTrimmed(t, "state.json"), &parts); err != nil {
		t.Fatal(err)
	}
	delete(parts, "leases")
	delete(parts, "policy")
	s := NewState()
	if err := json.Unmarshal(marshal(t, parts), s); err != nil {
		t.Fatal(err)
	}
	if got, want := marshal(t, s), readTrimmed(t, "state_without_leases.json"); !bytes.Equal(got, want) {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// Checks the decoded contents of a recorded snapshot field by field, since a round trip
// does not detect matching errors in encoding and decoding.
func TestRecordedSnapshotContents(t *testing.T) {
	s := NewState()
	if err := json.Unmarshal(readTrimmed(t, "state.json"), s); err != nil {
		t.Fatal(err)
	}
	if s.Group() != "prenota-nord" || s.FirstVersion() != 1843200002048000 || s.Seq() != 1843200002048014 {
		t.Errorf("got group %q, versions %d to %d, want prenota-nord, 1843200002048000 to 1843200002048014", s.Group(), s.FirstVersion(), s.Seq())
	}
	hosts := make([]string, 0, s.Len())
	for _, r := range s.Registrations() {
		hosts = append(hosts, r.Host)
	}
	if want := []string{"s-1", "s-3", "s-4", "s-5", "s-6"}; !slices.Equal(hosts, want) {
		t.Errorf("hosts: got %v, want %v", hosts, want)
	}
	block := 3
	want := Registration{
		Instance: Instance{Host: "s-1", Dial: "127.0.0.1:7070", Site: "milano-a", Class: "m2", Block: &block, Health: HealthDraining, Share: 1.5, BornMS: 5},
		Session:  "session-1", TTLMS: 5000, Machine: "m-1", Version: 1843200002048007, ReportedHealth: HealthUp,
	}
	got, _ := s.Registration("s-1")
	if !got.Instance.equal(want.Instance) {
		t.Errorf("got %+v, want %+v", got.Instance, want.Instance)
	}
	got.Instance, want.Instance = Instance{}, Instance{}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for host, by := range map[string]string{"s-1": "ops-a", "s-3": "ops-a", "s-5": "ops-a", "s-6": "drain m-1"} {
		if got := s.Marks()[host]; got != by {
			t.Errorf("mark of %s: got %q, want %q", host, got, by)
		}
	}
	if r, _ := s.Record("drain:m-1"); string(r.Value) != `{"step":"marked"}` || r.Version != 1843200002048001 || r.AtMS != 1_800_000_031_000 {
		t.Errorf("record drain:m-1: got %q, version %d, written at %d; want step marked, version 1843200002048001, written at 1800000031000", r.Value, r.Version, r.AtMS)
	}
	if keys := s.RecordKeys(); !slices.Equal(keys, []string{"drain:m-1", "fenced", "member:r1"}) {
		t.Errorf("got record keys %v, want drain:m-1, fenced and member:r1", keys)
	}
	checkRecordedLeases(t, s.Leases())
	checkRecordedRollout(t, s.Rollout().Status())
}

func checkRecordedLeases(t *testing.T, leases *Leases) {
	t.Helper()
	if leases.GrantsClosed() || leases.LastToken() != 1843200002048006 || leases.Version() != 1843200002048024 {
		t.Errorf("got grants closed %v, last token %d, version %d, want open, 1843200002048006, 1843200002048024", leases.GrantsClosed(), leases.LastToken(), leases.Version())
	}
	drains, _ := leases.Lease("drains")
	if g := drains.Grant; g == nil || g.ID != "claim-k1-drains" || g.Holder != (Holder{"k1", 7}) || g.TTLMS != 4000 || g.Token != 1843200002048001 {
		t.Errorf("lease drains: got grant %+v, want the one of claim-k1-drains with token 1843200002048001", g)
	}
	if !drains.YieldRequested || drains.NextHolder != "k3" || len(drains.Queue) != 2 || drains.Queue[1].ID != "claim-k3-drains-later" || drains.Queue[1].Incarnation != 3 {
		t.Errorf("lease drains: got %+v, want a yield request for k3 and two queued claims, claim-k3-drains-later last", drains)
	}
	if health, _ := leases.Lease("health"); !health.Paused || health.Grant != nil || len(health.Queue) != 1 {
		t.Errorf("lease health: got %+v, want it paused, without a grant, with one queued claim", health)
	}
	ended := LeaseCommand{Name: "drains", Claim: Claim{ID: "claim-k3-drains", Holder: Holder{"k3", 2}, TTLMS: 4000}, Wait: true}
	state := NewState()
	state.group, state.leases = "g", leases.Clone()
	if r := state.Apply(Command{Op: OpAcquireLease, Lease: &ended}); r.Err == nil || r.Err.Error() != "the claim has ended: claim claim-k3-drains" {
		t.Errorf("ended claim: got error %v, want ErrClaimEnded for claim-k3-drains", r.Err)
	}
	tracker := NewClaimTracker(time.Minute)
	tracker.Sync(leases, time.Unix(0, 0))
	if tracker.Len() != 7 {
		t.Errorf("got %d tracked claims, want 7", tracker.Len())
	}
}

func checkRecordedRollout(t *testing.T, status rollout.Status) {
	t.Helper()
	if status.Stage != rollout.StageCanary || status.Change == nil || status.Change.By != "ops-b" || len(status.Roster) != 2 || len(status.History) != 3 {
		t.Errorf("got rollout %+v, want the canary stage of a change by ops-b, 2 in the roster, 3 in the history", status)
	}
}

// Each recorded API message is decoded strictly, as by the server, and encoded to the
// same bytes.
func TestRecordedMessagesRoundTrip(t *testing.T) {
	types := map[string]func() any{
		"register": func() any { return new(RegisterRequest) }, "renew": func() any { return new(RenewRequest) }, "mark": func() any { return new(MarkRequest) },
		"put": func() any { return new(PutRequest) }, "acquire": func() any { return new(AcquireRequest) }, "release": func() any { return new(ReleaseRequest) },
		"ask": func() any { return new(YieldRequest) }, "renewals": func() any { return new(RenewClaimsRequest) }, "policy": func() any { return new(PolicyRequest) },
		"list": func() any { return new(ListUpdate) }, "instances": func() any { return new(RegistrationsResponse) }, "write": func() any { return new(WriteResponse) },
		"record": func() any { return new(Record) }, "claim": func() any { return new(ClaimStatus) }, "renewed": func() any { return new(RenewClaimsResponse) },
		"leases": func() any { return new(LeasesResponse) }, "member": func() any { return new(ReplicaInfo) }, "status": func() any { return new(StatusResponse) },
	}
	seen := make(map[string]bool)
	for _, line := range readLines(t, "api.jsonl") {
		var x struct {
			Name string          `json:"name"`
			Body json.RawMessage `json:"body"`
		}
		if err := json.Unmarshal([]byte(line), &x); err != nil {
			t.Fatal(err)
		}
		seen[x.Name] = true
		message := types[x.Name]()
		d := json.NewDecoder(bytes.NewReader(x.Body))
		d.DisallowUnknownFields()
		if err := d.Decode(message); err != nil {
			t.Errorf("%s: %v", line, err)
		}
		if got := marshal(t, message); !bytes.Equal(got, x.Body) {
			t.Errorf("%s:\ngot  %s\nwant %s", x.Name, got, x.Body)
		}
	}
	if len(seen) != len(types) {
		t.Errorf("%d messages are recorded, want %d", len(seen), len(types))
	}
}
