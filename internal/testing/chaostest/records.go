package chaostest

import (
	"barleywick/internal/registry"
	"barleywick/internal/testing/linearizability"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// recordCall is a call on a record.
type recordCall struct {
	key, value, read string
	started, ended   time.Duration
	completed        bool
}

// acknowledgedWrite is a write that was acknowledged.
type acknowledgedWrite struct {
	value   string
	version uint64
}

// writeRecords keeps records and reads them, each write naming the version that it replaces.
func (r *run) writeRecords(ctx context.Context) {
	for n := 1; sleep(ctx, r.jitter(150*time.Millisecond)); n++ {
		key := fmt.Sprint("torture-", r.randomInt(recordKeys))
		in, cancel := context.WithTimeout(ctx, actionTimeout)
		read := r.beginCall(key, "")
		was, err := r.registry.Record(in, key)
		if errors.Is(err, registry.ErrNotFound) {
			was, err = registry.Record{}, nil
		}
		if err == nil {
			r.completeCall(read, string(was.Value))
			value := fmt.Sprint(n)
			write := r.beginCall(key, value)
			if v, err := r.registry.Put(in, key, []byte(value), &was.Version); err == nil {
				r.completeCall(write, "")
				r.mu.Lock()
				r.acknowledged[key] = append(r.acknowledged[key], acknowledgedWrite{value, v})
				r.mu.Unlock()
			}
		}
		cancel()
	}
}

func (r *run) beginCall(key, value string) *recordCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := &recordCall{key: key, value: value, started: time.Since(r.startedAt)}
	r.calls = append(r.calls, o)
	return o
}

func (r *run) completeCall(o *recordCall, got string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.read, o.ended, o.completed = got, time.Since(r.startedAt), true
}

// checkLinearizability holds the history of each record against a register.
func (r *run) checkLinearizability(ops []*recordCall) {
	calls := make([]linearizability.Operation, len(ops))
	for i, o := range ops {
		calls[i] = linearizability.Operation{Key: o.key, Written: o.value, Read: o.read, Start: o.started, End: o.ended, Completed: o.completed}
	}
	for key, of := range linearizability.GroupByKey(calls) {
		r.count("calls on records", uint64(len(of)))
		switch linearizability.Check(of, 30*time.Second) {
		case porcupine.Illegal:
			r.violated("%s: the history of %d calls is not linearizable", key, len(of))
		case porcupine.Unknown:
			r.recordEvent("promise", "%s: a history of %d calls is too long to be judged", key, len(of))
			r.count("histories not judged", 1)
		}
	}
}
