package chaostest

import (
	"context"
	"errors"
	"fmt"
	"time"

	"barleywick/internal/drain"
	"barleywick/internal/registry"
	"barleywick/internal/rollout"
)

const (
	actionTimeout  = 10 * time.Second // for one action
	drainTimeout   = 20 * time.Second
	rolloutTimeout = 15 * time.Second
	recordKeys     = 8
)

// randomInt is the operators' luck.
func (r *run) randomInt(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

func (r *run) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.randomInt(int(d)))
}

// proposePolicies proposes changes of policy, and aborts some.
func (r *run) proposePolicies(ctx context.Context) {
	for n := 1; sleep(ctx, r.jitter(5*time.Second)); n++ {
		in, cancel := context.WithTimeout(ctx, actionTimeout)
		st, err := r.registry.PolicyStatus(in, 0, 0)
		if err == nil {
			step := rollout.Command{
				Op: rollout.OpPropose, BaseEpoch: st.Epoch, By: "operator", Reason: fmt.Sprint("change ", n), WithinMS: rolloutTimeout.Milliseconds(),
				Document: &rollout.Document{FormatVersion: 1, Mode: rollout.ModeCarry, Tenants: []rollout.Tenant{{Name: "t", Slots: 8 + n%8, QueuePlaces: 2}}},
			}
			if st.Change != nil && r.randomInt(3) == 0 {
				step = rollout.Command{Op: rollout.OpAbort, ChangeNumber: st.Change.Number, By: "operator", Reason: "an operator's word"}
			}
			if _, err = r.registry.ApplyPolicyStep(in, step, nil); err == nil {
				r.recordEvent("operator", "%s a policy", step.Op)
				r.count("policies "+string(step.Op), 1)
			}
		}
		cancel()
	}
}

// drainWorkflow is the drain's workflow of an operator, whose drains keepers run.
func (r *run) drainWorkflow() *drain.Workflow {
	c := &drain.Config{Registry: r.registryAddrs(), Floor: drain.Floor{Default: 1}, Sidecars: len(r.sidecars), MaxRequestMS: requestTimeout.Milliseconds(), LeaseMS: 5000}
	return c.WorkflowWith(r.registry, "operator", 200*time.Millisecond, func(drain.Event) {})
}

// drainMachines hands drains over and takes them back.
func (r *run) drainMachines(ctx context.Context) {
	for sleep(ctx, r.jitter(6*time.Second)) {
		machine := fmt.Sprint("m", r.randomInt((r.options.Servers+1)/2))
		in, cancel := context.WithTimeout(ctx, actionTimeout)
		what, err := "drain", error(nil)
		if r.randomInt(2) == 0 {
			err = r.drainWorkflow().HandOver(in, machine, time.Now().Add(drainTimeout))
		} else {
			what, err = "undrain", r.drainWorkflow().Undrain(in, machine)
		}
		cancel()
		if err == nil {
			r.recordEvent("operator", "%s %s", what, machine)
			r.count(what+"s", 1)
		}
	}
}

// requestYields asks holders of tasks to leave.
func (r *run) requestYields(ctx context.Context) {
	for sleep(ctx, r.jitter(8*time.Second)) {
		in, cancel := context.WithTimeout(ctx, actionTimeout)
		all, err := r.registry.Leases(in, 0, 0)
		if err == nil && len(all.Leases) > 0 {
			l := all.Leases[r.randomInt(len(all.Leases))]
			if l.Grant != nil && len(l.Queue) > 0 && r.registry.RequestYield(in, l.Name, registry.YieldRequest{Yield: true}) == nil {
				r.recordEvent("operator", "%s is to leave %s", l.Grant.Name, l.Name)
				r.count("hand-overs", 1)
			}
		}
		cancel()
	}
}

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
