package rollout

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"barleywick/internal/configfile"
	"barleywick/internal/testing/fixture"
)

// The files in testdata/396a775 were written by the code of that commit.

// transcriptLine is a command, with the state, the views and the decisions after it.
type transcriptLine struct {
	Command   json.RawMessage            `json:"command"`
	Error     string                     `json:"error"`
	State     json.RawMessage            `json:"state"`
	Status    json.RawMessage            `json:"status"`
	Views     map[string]json.RawMessage `json:"views"`     // by NAME/INCARNATION
	Decisions map[string]json.RawMessage `json:"decisions"` // the leader's, by its time in ms
	Follower  followerOutput             `json:"follower"`  // of n0
}

type followerOutput struct {
	Active    json.RawMessage `json:"active"`
	Acting    bool            `json:"acting"`
	Fatal     string          `json:"fatal"`
	Next      json.RawMessage `json:"next"`
	Epoch     uint64          `json:"epoch"`
	Stage     string          `json:"stage"`
	Refused   string          `json:"refused"`
	Reports   string          `json:"reports"`
	Effective json.RawMessage `json:"policy"`
}

func readTranscript(t *testing.T) (lines []transcriptLine) {
	t.Helper()
	scanner := bufio.NewScanner(bytes.NewReader(fixture.ReadGzip(t, fixture.Folder+"/transcript.jsonl.gz")))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var l transcriptLine
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			t.Fatal(err)
		}
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		t.Fatal(err)
	}
	if len(lines) != 115 {
		t.Fatalf("got %d lines, want 115", len(lines))
	}
	return lines
}

// sameJSON compares the encoding of a value with that of the earlier version.
func sameJSON(t *testing.T, what string, old json.RawMessage, value any) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, old) {
		t.Errorf("%s: got\n%s, want\n%s", what, text, old)
	}
}

func strictJSON(t *testing.T, text []byte, value any) {
	t.Helper()
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		t.Fatalf("got error %v decoding %s, want none", err, text)
	}
}

func TestCommandsOfEarlierVersion(t *testing.T) {
	ops := make(map[Op]int)
	s := New(100)
	for i, l := range readTranscript(t) {
		var c Command
		strictJSON(t, l.Command, &c)
		sameJSON(t, fmt.Sprintf("command %d", i), l.Command, c)
		ops[c.Op]++
		message := ""
		if err := s.Apply(c); err != nil {
			message = err.Error()
		}
		if message != l.Error {
			t.Errorf("command %d: got %q, want %q", i, message, l.Error)
		}
		sameJSON(t, fmt.Sprintf("state %d", i), l.State, s)
		sameJSON(t, fmt.Sprintf("status %d", i), l.Status, s.Status())
		for key, old := range l.Views {
			name, incarnation, _ := strings.Cut(key, "/")
			n, err := strconv.ParseUint(incarnation, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			sameJSON(t, fmt.Sprintf("view %d of %s", i, key), old, s.View(Member{name, n}))
		}
	}
	for _, op := range []Op{OpJoin, OpLeave, OpAck, OpEvict, OpPropose, OpAbort, OpAdvance, OpReport} {
		if ops[op] == 0 {
			t.Errorf("no command has the operation %s", op)
		}
	}
}

func TestStoredStatesOfEarlierVersion(t *testing.T) {
	stages := make(map[Stage]int)
	for i, l := range readTranscript(t) {
		s := New(0)
		if err := json.Unmarshal(l.State, s); err != nil {
			t.Fatalf("state %d: %v", i, err)
		}
		sameJSON(t, fmt.Sprintf("state %d", i), l.State, s)
		sameJSON(t, fmt.Sprintf("status %d", i), l.Status, s.Status())
		var st Status
		strictJSON(t, l.Status, &st)
		sameJSON(t, fmt.Sprintf("status %d", i), l.Status, st)
		stages[st.Stage]++
		for key, old := range l.Views {
			var v View
			strictJSON(t, old, &v)
			sameJSON(t, fmt.Sprintf("view %d of %s", i, key), old, v)
		}
	}
	want := map[Stage]int{StageSettled: 22, StagePreparing: 29, StageJoint: 16, StageCommitted: 12, StageCanary: 36}
	if !maps.Equal(stages, want) {
		t.Errorf("got stages %v, want %v", stages, want)
	}
}

func TestLeaderDecidesAsEarlierVersion(t *testing.T) {
	decided := 0
	for i, l := range readTranscript(t) {
		var st Status
		strictJSON(t, l.Status, &st)
		var c Command
		strictJSON(t, l.Command, &c)
		for _, after := range []int64{0, 5_000, 31_000, 700_000} {
			now := c.AtMS + after
			old, want := l.Decisions[strconv.FormatInt(now, 10)]
			next, got := Decide(st, now)
			if got != want {
				t.Errorf("decision %d after %d ms: got %v, want %v", i, after, got, want)
				continue
			}
			if want {
				decided++
				sameJSON(t, fmt.Sprintf("decision %d after %d ms", i, after), withCorrectedReason(t, old, st), next)
			}
		}
	}
	if decided != 126 {
		t.Errorf("got %d decisions, want 126", decided)
	}
}

// withCorrectedReason returns the decision that is expected in place of one of the earlier
// version. That version gave too few requests as the reason of every abort of confirmed canaries
// at the deadline, also where there were enough. All other decisions are unchanged.
func withCorrectedReason(t *testing.T, old json.RawMessage, st Status) json.RawMessage {
	t.Helper()
	const tooFew = "too few requests at those that went ahead to compare them"
	worse, enough := CompareCanaries(st)
	by, reason := "its time-out", "those that went ahead were as good as the others, and were not compared in time"
	if worse != "" {
		by, reason = "those that went ahead", worse
	}
	var fields map[string]any
	if err := json.Unmarshal(old, &fields); err != nil {
		t.Fatal(err)
	}
	if fields["reason"] != tooFew || !enough {
		return old
	}
	return json.RawMessage(fmt.Sprintf(`{"verb":"abort","number":%v,"by":%q,"reason":%q}`, fields["number"], by, reason))
}

func TestFollowerDecidesAsEarlierVersion(t *testing.T) {
	f := &Follower{Self: Member{"n0", 1}, Supports: func(d *Document) error {
		if d.Tenants[0].Slots > 100 {
			return errors.New("tenants[0].slots is more than this process bears")
		}
		return d.Check()
	}}
	for i, l := range readTranscript(t) {
		var v View
		strictJSON(t, l.Views["n0/1"], &v)
		f.HandleView(v)
		active, acting := f.Active()
		var stored ActivePolicy // as the policy store encodes it
		strictJSON(t, l.Follower.Active, &stored)
		if !reflect.DeepEqual(active, stored) || acting != l.Follower.Acting {
			t.Errorf("view %d: got %+v, %v, want %+v, %v", i, active, acting, stored, l.Follower.Acting)
		}
		sameJSON(t, fmt.Sprintf("active policy %d", i), l.Follower.Active, active)
		sameJSON(t, fmt.Sprintf("effective policy %d", i), l.Follower.Effective, active.Effective())
		if f.Fatal() != nil || l.Follower.Fatal != "" {
			t.Errorf("view %d: got fatal error %v, want %q", i, f.Fatal(), l.Follower.Fatal)
		}
		next, ok := f.NextCommand()
		if want := l.Follower.Next != nil; ok != want {
			t.Errorf("view %d: got a command: %v, want %v", i, ok, want)
		} else if ok {
			sameJSON(t, fmt.Sprintf("command %d", i), l.Follower.Next, next)
		}
		epoch, stage, refused := f.Summary()
		if epoch != l.Follower.Epoch || string(stage) != l.Follower.Stage || refused != l.Follower.Refused {
			t.Errorf("view %d: got %d, %s, %q, want %d, %s, %q", i, epoch, stage, refused, l.Follower.Epoch, l.Follower.Stage, l.Follower.Refused)
		}
		change, wanted := f.ReportsRequested()
		if got := fmt.Sprint(change, " ", wanted); got != l.Follower.Reports {
			t.Errorf("view %d: got reports %q, want %q", i, got, l.Follower.Reports)
		}
		if ok && i%2 == 1 {
			f.HandleResult(next, nil)
		}
	}
}

func TestRestoreAsEarlierVersion(t *testing.T) {
	text := fixture.Read(t, "restored.json")
	var states map[string]json.RawMessage
	if err := json.Unmarshal(text, &states); err != nil {
		t.Fatal(err)
	}
	backup, s := New(0), New(40)
	if err := json.Unmarshal(states["backup"], backup); err != nil {
		t.Fatal(err)
	}
	s.Restore(backup)
	sameJSON(t, "restored", states["restored"], s)
}

func TestDocumentsOfEarlierVersion(t *testing.T) {
	text := fixture.Read(t, "documents.json")
	var file struct {
		Documents []struct {
			JSON     json.RawMessage `json:"json"`
			TOML     string          `json:"toml"`
			Check    string          `json:"check"`
			Checksum string          `json:"checksum"`
			Diff     []string        `json:"diff"`     // to the next document
			Stricter json.RawMessage `json:"stricter"` // of it and the next document
		} `json:"documents"`
		Later      json.RawMessage `json:"later"` // with a field of a later version
		LaterCheck string          `json:"later_check"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	if len(file.Documents) != 28 {
		t.Fatalf("got %d documents, want 28", len(file.Documents))
	}
	read := func(text json.RawMessage) *Document {
		d := new(Document)
		if err := json.Unmarshal(text, d); err != nil {
			t.Fatal(err)
		}
		return d
	}
	compact := func(text json.RawMessage) json.RawMessage {
		var b bytes.Buffer
		if err := json.Compact(&b, text); err != nil {
			t.Fatal(err)
		}
		return b.Bytes()
	}
	for i, x := range file.Documents {
		d := read(x.JSON)
		next := read(file.Documents[(i+1)%len(file.Documents)].JSON)
		sameJSON(t, fmt.Sprintf("document %d", i), compact(x.JSON), d)
		written, err := toml.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		if string(written) != x.TOML {
			t.Errorf("document %d: got\n%s, want\n%s", i, written, x.TOML)
		}
		fromTOML := new(Document)
		if err := configfile.DecodeTOML([]byte(x.TOML), fromTOML); err != nil {
			t.Errorf("document %d: %v", i, err)
		}
		// TOML decodes an empty list where JSON has null, so the checksums differ there.
		if got := fromTOML.Checksum(); got != x.Checksum && len(d.Tenants) > 0 {
			t.Errorf("document %d read from TOML: got checksum %s, want %s", i, got, x.Checksum)
		}
		message := ""
		if err := d.Check(); err != nil {
			message = err.Error()
		}
		if message != x.Check {
			t.Errorf("document %d: got %q, want %q", i, message, x.Check)
		}
		if got := d.Checksum(); got != x.Checksum {
			t.Errorf("document %d: got checksum %s, want %s", i, got, x.Checksum)
		}
		if got := Diff(d, next); !slices.Equal(got, x.Diff) {
			t.Errorf("document %d: got difference %q, want %q", i, got, x.Diff)
		}
		sameJSON(t, fmt.Sprintf("stricter of document %d and the next", i), compact(x.Stricter), Stricter(d, next))
	}
	if err := read(file.Later).Check(); err == nil || err.Error() != file.LaterCheck {
		t.Errorf("a field of a later version: got %v, want %q", err, file.LaterCheck)
	}
}
