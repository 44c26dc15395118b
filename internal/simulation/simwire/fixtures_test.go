package simwire

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

// recordedFrames reads the frames that were recorded at commit 396a775, by message name.
func recordedFrames(t *testing.T) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile("testdata/messages.txt")
	if err != nil {
		t.Fatal(err)
	}
	frames := make(map[string][]byte)
	for line := range strings.Lines(string(text)) {
		var name, digits string
		if _, err := fmt.Sscan(line, &name, &digits); err != nil {
			t.Fatal(err)
		}
		if frames[name], err = hex.DecodeString(digits); err != nil {
			t.Fatal(err)
		}
	}
	return frames
}

const (
	fixtureInstance = 3
	fixtureJob      = 0x5d3a91c4
	fixtureBatch    = 12
	fixtureClock    = 8412250 * time.Microsecond
	fixtureServer   = Upstream(0x1f93_074a120a)
	otherServer     = Upstream(0x1fbc_f211900a)
)

var fixtureEntries = []Entry{
	{Upstream: fixtureServer, Status: StatusReady, Rating: 1},
	{Upstream: otherServer, Area: 1, Family: 2, Cohort: 300, Status: StatusDraining, Rating: 1.5, Boot: 6100 * time.Millisecond},
	{Upstream: 1, Area: 255, Family: 255, Cohort: 65535, Status: StatusGone, Boot: 1},
}

// recordedEvent is a recorded kind of event: write encodes it, read decodes it, want is the decoded value.
type recordedEvent struct {
	write func(*BatchWriter)
	code  uint16
	read  func(Record) (any, error)
	want  any
}

func readCode(r Record) (any, error)     { return r.Code, nil }
func readInstance(r Record) (any, error) { return r.Instance() }
func readJob(r Record) (any, error)      { return r.Job() }
func readCookie(r Record) (any, error)   { return r.Cookie() }
func readAsk(r Record) (any, error)      { return r.Ask() }
func readFinished(r Record) (any, error) { return r.Finished() }

func readOpenInstance(r Record) (any, error) {
	seed, info, err := r.OpenInstance()
	return fmt.Sprintf("%x %s", seed, info), err
}

func readManifest(r Record) (any, error) {
	page, entries, err := r.Manifest()
	return fmt.Sprintf("%d %+v", page, entries), err
}

func readFleet(r Record) (any, error) {
	kind, version, page, err := r.Fleet()
	return [3]int{int(kind), int(version), int(page)}, err
}

func readCheckResult(r Record) (any, error) {
	server, outcome, report, err := r.CheckResult()
	return fmt.Sprintf("%x %d %v", uint64(server), outcome, report.Values[:report.Count]), err
}

func recordedEvents() map[string]recordedEvent {
	fullAsk := Ask{
		Job: fixtureJob, Bits: AskBitHint | AskBitRepeat, Key: 0x91f03b7c55d20a64, Tenant: 6,
		Left: 240 * time.Millisecond, Hint: 12 * time.Millisecond, Kind: 1,
	}
	bareAsk := Ask{Job: 1, Left: 1800500 * time.Microsecond}
	info := []byte("balancers=3\nzone=1\n")
	report := LoadReport{Count: 4, Values: [4]float32{0.5, 14.5, 140, 7}}
	events := map[string]recordedEvent{
		"OpenInstance": {
			func(e *BatchWriter) { e.OpenInstance(fixtureInstance, 0xfedcba9876543210, info) },
			EventOpenInstance, readOpenInstance, "fedcba9876543210 " + string(info),
		},
		"CrashNow": {func(e *BatchWriter) { e.CrashNow(fixtureInstance) }, EventCrashNow, readInstance, uint32(fixtureInstance)},
		"Manifest": {
			func(e *BatchWriter) { e.Manifest(7, fixtureEntries) },
			EventManifest, readManifest, fmt.Sprintf("7 %+v", fixtureEntries),
		},
		"Manifest-empty": {func(e *BatchWriter) { e.Manifest(15, nil) }, EventManifest, readManifest, "15 []"},
		"Ask":            {func(e *BatchWriter) { e.Ask(fixtureInstance, fullAsk) }, EventAsk, readAsk, fullAsk},
		"Ask-bare":       {func(e *BatchWriter) { e.Ask(fixtureInstance, bareAsk) }, EventAsk, readAsk, bareAsk},
		"ClientLeft":     {func(e *BatchWriter) { e.ClientLeft(fixtureInstance, 0x0e6f2b19) }, EventClientLeft, readJob, uint32(0x0e6f2b19)},
		"Wake":           {func(e *BatchWriter) { e.Wake(fixtureInstance, 77) }, EventWake, readCookie, uint64(77)},
		"CheckResult": {
			func(e *BatchWriter) {
				e.CheckResult(fixtureInstance, otherServer, OutcomeServed, 1400*time.Microsecond, report)
			},
			EventCheckResult, readCheckResult, "1fbcf211900a 100 [0.5 14.5 140 7]",
		},
		"CheckResult-failed": {
			func(e *BatchWriter) {
				e.CheckResult(fixtureInstance, otherServer, OutcomeNoConnection, 0, LoadReport{})
			},
			EventCheckResult, readCheckResult, "1fbcf211900a 304 []",
		},
	}
	for name, kind := range map[string]uint8{"full": FleetFull, "delta": FleetDelta, "cached": FleetCached, "failed": FleetFailed} {
		events["Fleet-"+name] = recordedEvent{
			func(e *BatchWriter) { e.Fleet(fixtureInstance, kind, 41, 7) }, EventFleet, readFleet, [3]int{int(kind), 41, 7},
		}
	}
	for name, code := range map[string]uint16{
		"served": OutcomeServed, "error": OutcomeErrored, "rejected": OutcomeRejected, "timeout": OutcomeTimedOut,
		"noconnection": OutcomeNoConnection, "broken": OutcomeBroken, "cancelled": OutcomeCancelled, "notsent": OutcomeNotSent,
	} {
		f := Finished{
			Job: fixtureJob, Hop: 2, Upstream: fixtureServer, Ending: code, Took: 18500 * time.Microsecond, Settled: code == OutcomeServed,
		}
		events["Finished-"+name] = recordedEvent{
			func(e *BatchWriter) { e.Finished(fixtureInstance, f) }, EventFinished, readFinished, f,
		}
	}
	return events
}

func TestEventsAreReadAndWrittenAsBefore(t *testing.T) {
	frames := recordedFrames(t)
	events := recordedEvents()
	events["none"] = recordedEvent{write: func(*BatchWriter) {}}
	events["several"] = recordedEvent{
		write: func(e *BatchWriter) {
			e.Manifest(0, fixtureEntries[:1])
			e.Fleet(fixtureInstance, FleetFull, 1, 0)
			e.Wake(4, 0)
		},
		code: EventManifest, read: readCode, want: uint16(EventManifest),
	}
	for name, event := range events {
		frame := frames["event-"+name]
		delete(frames, "event-"+name)
		var w BatchWriter
		w.Begin(fixtureBatch, fixtureClock)
		event.write(&w)
		if got := w.Bytes(); !bytes.Equal(got, frame) {
			t.Errorf("%s: written %x, want %x", name, got, frame)
		}
		batch, err := NewReader(bytes.NewReader(frame)).ReadBatch()
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if batch.Number != fixtureBatch || batch.Clock != fixtureClock {
			t.Errorf("%s: batch %d at %v, want %d at %v", name, batch.Number, batch.Clock, fixtureBatch, fixtureClock)
		}
		if event.read == nil {
			continue
		}
		record, _, err := NextRecord(batch.Body)
		if err != nil || record.Code != event.code {
			t.Fatalf("%s: code %d, error %v, want %d", name, record.Code, err, event.code)
		}
		if got, err := event.read(record); err != nil || !reflect.DeepEqual(got, event.want) {
			t.Errorf("%s: read %v, error %v, want %v", name, got, err, event.want)
		}
	}
	for name := range frames {
		if strings.HasPrefix(name, "event-") {
			t.Errorf("recorded frame %s is not checked", name)
		}
	}
}

func TestActionsAreReadAndWrittenAsBefore(t *testing.T) {
	frames := recordedFrames(t)
	for name, action := range map[string]struct {
		write func(*ReplyWriter)
		want  []Action
	}{
		"none": {func(*ReplyWriter) {}, nil},
		"CallOut": {
			func(w *ReplyWriter) { w.CallOut(fixtureInstance, fixtureJob, fixtureServer, 80*time.Millisecond) },
			[]Action{{Code: ActionCallOut, Instance: fixtureInstance, Job: fixtureJob, To: fixtureServer, Duration: 80 * time.Millisecond}},
		},
		"PushBack": {
			func(w *ReplyWriter) { w.PushBack(fixtureInstance, 0x0e6f2b19, 250*time.Millisecond) },
			[]Action{{Code: ActionPushBack, Instance: fixtureInstance, Job: 0x0e6f2b19, Duration: 250 * time.Millisecond}},
		},
		"Lose": {
			func(w *ReplyWriter) { w.Lose(fixtureInstance, 0x0e6f2b19) },
			[]Action{{Code: ActionLose, Instance: fixtureInstance, Job: 0x0e6f2b19}},
		},
		"Recall": {
			func(w *ReplyWriter) { w.Recall(fixtureInstance, fixtureJob, 1) },
			[]Action{{Code: ActionRecall, Instance: fixtureInstance, Job: fixtureJob, Hop: 1}},
		},
		"SetAlarm": {
			func(w *ReplyWriter) { w.SetAlarm(fixtureInstance, 500*time.Millisecond, 77) },
			[]Action{{Code: ActionSetAlarm, Instance: fixtureInstance, Duration: 500 * time.Millisecond, Cookie: 77}},
		},
		"Inspect": {
			func(w *ReplyWriter) { w.Inspect(fixtureInstance, fixtureServer) },
			[]Action{{Code: ActionInspect, Instance: fixtureInstance, To: fixtureServer}},
		},
		"Tail-on": {
			func(w *ReplyWriter) { w.Tail(fixtureInstance, true) },
			[]Action{{Code: ActionTail, Instance: fixtureInstance, On: true}},
		},
		"Tail-off": {
			func(w *ReplyWriter) { w.Tail(fixtureInstance, false) },
			[]Action{{Code: ActionTail, Instance: fixtureInstance}},
		},
		"WriteLog": {
			func(w *ReplyWriter) { w.WriteLog(fixtureInstance, "two servers known") },
			[]Action{{Code: ActionWriteLog, Instance: fixtureInstance, Text: "two servers known"}},
		},
		"Die": {
			func(w *ReplyWriter) { w.Die(fixtureInstance, "index out of range") },
			[]Action{{Code: ActionDie, Instance: fixtureInstance, Text: "index out of range"}},
		},
		"several": {
			func(w *ReplyWriter) {
				w.Tail(fixtureInstance, true)
				w.Lose(fixtureInstance, 9)
				w.SetAlarm(fixtureInstance, time.Second, 0)
			},
			[]Action{
				{Code: ActionTail, Instance: fixtureInstance, On: true}, {Code: ActionLose, Instance: fixtureInstance, Job: 9},
				{Code: ActionSetAlarm, Instance: fixtureInstance, Duration: time.Second},
			},
		},
	} {
		frame := frames["action-"+name]
		delete(frames, "action-"+name)
		var w ReplyWriter
		w.Begin(fixtureBatch)
		action.write(&w)
		if got := w.Bytes(); !bytes.Equal(got, frame) {
			t.Errorf("%s: written %x, want %x", name, got, frame)
		}
		reply, err := NewReader(bytes.NewReader(frame)).ReadReply()
		if err != nil || reply.Number != fixtureBatch || int(reply.Records) != len(action.want) {
			t.Fatalf("%s: reply %d with %d records, error %v", name, reply.Number, reply.Records, err)
		}
		var got []Action
		for body := reply.Body; len(body) > 0; {
			var record Record
			if record, body, err = NextRecord(body); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			a, err := record.Action()
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			got = append(got, a)
		}
		if !reflect.DeepEqual(got, action.want) {
			t.Errorf("%s: read %+v, want %+v", name, got, action.want)
		}
	}
	for name := range frames {
		if strings.HasPrefix(name, "action-") {
			t.Errorf("recorded frame %s is not checked", name)
		}
	}
}
