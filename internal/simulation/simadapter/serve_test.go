package simadapter

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"barleywick/internal/simulation/simwire"
	"barleywick/policy"
)

const someSettings = `balancers=2
caps.may_cancel=true
caps.most_tries=3
classes.count=1
classes.0.aim_ms=500
classes.0.hard_limit_ms=1000
classes.0.semantics=free
discovery=ask
rules.ask_within_ms=10000
period_ms=5
`

// record builds one event record from its fields.
func record(code uint16, fields ...any) []byte {
	var f bytes.Buffer
	for _, v := range fields {
		if s, ok := v.(string); ok {
			v = []byte(s)
		}
		if err := binary.Write(&f, binary.LittleEndian, v); err != nil {
			panic(err)
		}
	}
	b := binary.LittleEndian.AppendUint16(nil, code)
	b = binary.LittleEndian.AppendUint32(b, uint32(f.Len()))
	return append(b, f.Bytes()...)
}

func open(inst uint32, seed uint64) []byte {
	return record(simwire.EventOpenInstance, inst, seed, uint32(len(someSettings)), someSettings)
}

func manifest(page uint16, addrs ...byte) []byte {
	fields := []any{page, uint32(len(addrs))}
	for _, a := range addrs {
		fields = append(fields, []byte{10, 0, 0, a, 80, 0}, uint8(0), uint8(0), uint16(0), uint8(simwire.StatusReady),
			float32(1), float64(0))
	}
	return record(simwire.EventManifest, fields...)
}

func fleet(inst uint32, kind uint8, page uint16) []byte {
	return record(simwire.EventFleet, inst, kind, uint32(1), page)
}

func ask(inst, job uint32) []byte {
	return record(simwire.EventAsk, inst, job, uint16(0), uint64(0), uint32(0), float64(800), float64(0), uint8(0))
}

func batch(number uint32, clock float64, records ...[]byte) []byte {
	body := slices.Concat(records...)
	b := binary.LittleEndian.AppendUint32(nil, number)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(clock))
	return append(b, body...)
}

// action is one action of a reply; rest holds its fields after the instance.
type action struct {
	code uint16
	inst uint32
	rest string
}

// actions serves a stream and returns the actions of all replies.
func actions(t *testing.T, in []byte) []action {
	t.Helper()
	var out bytes.Buffer
	if err := Serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	var all []action
	for b := out.Bytes(); len(b) > 0; {
		size := binary.LittleEndian.Uint32(b[4:])
		body := b[12 : 12+size]
		b = b[12+size:]
		for len(body) > 0 {
			rec, rest, err := simwire.NextRecord(body)
			if err != nil {
				t.Fatal(err)
			}
			inst, _ := rec.Instance()
			all = append(all, action{rec.Code, inst, string(rec.Fields[4:])})
			body = rest
		}
	}
	return all
}

func filterActions(all []action, code uint16, inst uint32) []action {
	return slices.DeleteFunc(slices.Clone(all), func(a action) bool { return a.code != code || a.inst != inst })
}

func TestEmptyBatchesAndEndOfInput(t *testing.T) {
	var out bytes.Buffer
	if err := Serve(bytes.NewReader(slices.Concat(batch(1, 0), batch(2, 5))), &out); err != nil || out.Len() != 24 {
		t.Fatalf("got %d bytes, error %v; want two empty replies", out.Len(), err)
	}
}

func TestListPageResolvedInEventOrder(t *testing.T) {
	all := actions(t, batch(1, 0,
		open(1, 5), manifest(3, 77), fleet(1, simwire.FleetCached, 3), ask(1, 100),
		open(2, 6), manifest(3, 88), fleet(2, simwire.FleetCached, 3), ask(2, 200)))
	for inst, want := range map[uint32]byte{1: 77, 2: 88} {
		sends := filterActions(all, simwire.ActionCallOut, inst)
		if len(sends) != 1 || sends[0].rest[7] != want {
			t.Errorf("instance %d: got sends %v, want one to .%d", inst, sends, want)
		}
		if len(filterActions(all, simwire.ActionTail, inst)) != 1 {
			t.Errorf("instance %d did not subscribe to its list", inst)
		}
	}
}

func TestRestartInOneBatch(t *testing.T) {
	all := actions(t, slices.Concat(
		batch(1, 0, open(1, 5), manifest(0, 7), fleet(1, simwire.FleetCached, 0), ask(1, 100)),
		batch(2, 5, record(simwire.EventCrashNow, uint32(1)), ask(1, 101), open(1, 6), fleet(1, simwire.FleetCached, 0), ask(1, 102)),
		batch(3, 10, record(simwire.EventFinished, uint32(1), uint32(100), uint8(0), []byte{10, 0, 0, 7, 80, 0}, uint16(simwire.OutcomeServed),
			float64(5), uint8(1), uint8(0))),
		batch(4, 15, record(simwire.EventCrashNow, uint32(1)), ask(1, 103))))
	sends := filterActions(all, simwire.ActionCallOut, 1)
	if len(sends) != 2 {
		t.Fatalf("got %d sends, want one before and one after the restart, and none while it was down", len(sends))
	}
}

func TestInstancesAreIndependent(t *testing.T) {
	build := func(insts ...uint32) []byte {
		var in []byte
		for n := range uint32(60) {
			var recs [][]byte
			for _, i := range insts {
				if n == 0 {
					recs = append(recs, open(i, uint64(i)), manifest(uint16(i), 1, 2, 3, 4), fleet(i, simwire.FleetFull, uint16(i)))
				}
				recs = append(recs, ask(i, 1000*i+n), record(simwire.EventWake, i, uint64(0)))
				if n > 4 {
					recs = append(recs, record(simwire.EventClientLeft, i, 1000*i+n-4))
				}
			}
			in = append(in, batch(n, float64(10*n), recs...)...)
		}
		return in
	}
	together := actions(t, build(1, 2))
	for _, i := range []uint32{1, 2} {
		separate := actions(t, build(i))
		mine := slices.DeleteFunc(slices.Clone(together), func(a action) bool { return a.inst != i })
		if !slices.Equal(separate, mine) || len(mine) < 60 {
			t.Fatalf("instance %d: got %d actions together with the other one and %d separately, want the same", i, len(mine), len(separate))
		}
	}
}

func TestUnknownRecordsAreIgnored(t *testing.T) {
	all := actions(t, batch(1, 0, record(4711, uint32(9), "anything"), open(1, 5), record(simwire.EventHeard, uint32(1), uint32(2), uint16(0)),
		manifest(0, 7), fleet(1, 99, 0), fleet(1, simwire.FleetCached, 0), ask(1, 100), ask(44, 100)))
	if len(filterActions(all, simwire.ActionCallOut, 1)) != 1 || slices.ContainsFunc(all, func(a action) bool { return a.inst == 44 }) {
		t.Fatalf("got actions %v, want one send of instance 1 and none of instance 44", all)
	}
}

func TestMalformedInputReturnsError(t *testing.T) {
	for name, in := range map[string][]byte{
		"truncated batch":    batch(1, 0, open(1, 5))[:30],
		"list never sent":    batch(1, 0, open(1, 5), fleet(1, simwire.FleetFull, 9)),
		"truncated record":   batch(1, 0, open(1, 5), record(simwire.EventAsk, uint32(1), uint32(3))),
		"unusable settings":  batch(1, 0, record(simwire.EventOpenInstance, uint32(1), uint64(1), uint32(11), "balancers=0")),
		"settings without =": batch(1, 0, record(simwire.EventOpenInstance, uint32(1), uint64(1), uint32(3), "abc")),
		"trailing bytes":     append(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, 1), 3), 0, 0, 0, 0, 1, 2, 3),
	} {
		err := Serve(bytes.NewReader(in), io.Discard)
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line", name, err)
		}
	}
}

func TestPanicIsReported(t *testing.T) {
	p := newProcess()
	p.reply.Begin(1)
	i := &instance{process: p, number: 4}
	if err := i.reportPanic(func() error { panic("index out of range") }); err != nil {
		t.Fatal(err)
	}
	rec, _, err := simwire.NextRecord(p.reply.Bytes()[12:])
	if err != nil || rec.Code != simwire.ActionDie || !strings.Contains(string(rec.Fields), "index out of range") {
		t.Fatalf("got record %+v, error %v; want a Die action with the text of the panic", rec, err)
	}
}

func TestEndings(t *testing.T) {
	for code, want := range map[uint16]policy.Ending{
		simwire.OutcomeServed: policy.Served, simwire.OutcomeErrored: policy.Errored, simwire.OutcomeRejected: policy.Rejected,
		simwire.OutcomeTimedOut: policy.TimedOut, simwire.OutcomeNoConnection: policy.NoConnection, simwire.OutcomeBroken: policy.Broken,
		simwire.OutcomeCancelled: policy.Cancelled, simwire.OutcomeNotSent: policy.NotSent, 999: policy.Errored,
	} {
		if got := endingFromCode(code); got != want {
			t.Errorf("code %d: got %v, want %v", code, got, want)
		}
	}
}

func TestEndpoints(t *testing.T) {
	got := endpoints([]simwire.Entry{
		{Upstream: 9, Area: 1, Cohort: 3, Status: simwire.StatusReady, Rating: 2.5, Boot: time.Second},
		{Status: simwire.StatusGone}, {Status: simwire.StatusDraining}, {Status: 77},
	})
	if got[0] != (policy.Endpoint{ID: 9, Zone: 1, Cell: 3, State: policy.Ready, Weight: 2.5, Started: time.Second}) ||
		got[1].State != policy.Removed || got[2].State != policy.Draining || got[3].State != policy.Draining {
		t.Fatalf("got endpoints %+v, want the first as it was sent, one removed and two draining", got)
	}
}
