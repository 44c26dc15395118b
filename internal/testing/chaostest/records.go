package chaostest

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"barleywick/internal/registry"
	"barleywick/internal/testing/linearizability"
	"barleywick/internal/testing/wait"
)

const (
	recordKeys          = 8
	recordWriteInterval = 150 * time.Millisecond
	// historyTimeout bounds the linearizability check of one record's history.
	historyTimeout = 30 * time.Second
)

// recordCall is a call that reads or writes a record.
type recordCall struct {
	key, value, read string
	started, ended   time.Duration
	completed        bool
}

// acknowledgedWrite is a write that the registry has acknowledged.
type acknowledgedWrite struct {
	value   string
	version uint64
}

// writeRecords acts as a user who reads and writes records. Each write is conditional on the version read.
func (r *run) writeRecords(ctx context.Context) {
	for n := 1; wait.Sleep(ctx, r.drawInterval(recordWriteInterval)); n++ {
		r.writeRecord(ctx, fmt.Sprint("chaos-", r.randomInt(recordKeys)), fmt.Sprint(n))
	}
}

// writeRecord reads a record and replaces it by a value.
func (r *run) writeRecord(ctx context.Context, key, value string) {
	ctx, cancel := context.WithTimeout(ctx, actionTimeout)
	defer cancel()
	read := r.beginCall(key, "")
	current, err := r.registry.Record(ctx, key)
	if errors.Is(err, registry.ErrNotFound) {
		current, err = registry.Record{}, nil
	}
	if err != nil {
		return
	}
	r.completeCall(read, string(current.Value))
	write := r.beginCall(key, value)
	version, err := r.registry.Put(ctx, key, []byte(value), &current.Version)
	if err != nil {
		return
	}
	r.completeCall(write, "")
	r.mu.Lock()
	r.acknowledged[key] = append(r.acknowledged[key], acknowledgedWrite{value, version})
	r.mu.Unlock()
}

// beginCall records the start of a call.
func (r *run) beginCall(key, value string) *recordCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &recordCall{key: key, value: value, started: time.Since(r.startedAt)}
	r.calls = append(r.calls, c)
	return c
}

// completeCall records the successful end of a call.
func (r *run) completeCall(c *recordCall, read string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.read, c.ended, c.completed = read, time.Since(r.startedAt), true
}

// checkLinearizability checks the calls on each record against a sequential register.
func (r *run) checkLinearizability(calls []*recordCall) {
	operations := make([]linearizability.Operation, len(calls))
	for i, c := range calls {
		operations[i] = linearizability.Operation{Key: c.key, Written: c.value, Read: c.read, Start: c.started, End: c.ended, Completed: c.completed}
	}
	for key, history := range linearizability.GroupByKey(operations) {
		r.count("calls on records", uint64(len(history)))
		switch linearizability.Check(history, historyTimeout) {
		case porcupine.Illegal:
			r.violated("%s: the history of %d calls is not linearizable", key, len(history))
		case porcupine.Unknown:
			r.recordEvent(InvariantEvent, "%s: the check of the history of %d calls timed out", key, len(history))
			r.count("histories not judged", 1)
		}
	}
}
