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
	actIn     = 10 * time.Second // for one action
	drainIn   = 20 * time.Second
	changeIn  = 15 * time.Second
	recordSet = 8
)

// draw is the operators' luck.
func (r *run) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

func (r *run) around(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.draw(int(d)))
}

// policies proposes changes of policy, and aborts some.
func (r *run) policies(ctx context.Context) {
	for n := 1; pause(ctx, r.around(5*time.Second)); n++ {
		in, cancel := context.WithTimeout(ctx, actIn)
		st, err := r.client.PolicyStatus(in, 0, 0)
		if err == nil {
			step := rollout.Command{
				Op: rollout.OpPropose, BaseEpoch: st.Epoch, By: "operator", Reason: fmt.Sprint("change ", n), WithinMS: changeIn.Milliseconds(),
				Document: &rollout.Document{FormatVersion: 1, Mode: rollout.ModeCarry, Tenants: []rollout.Tenant{{Name: "t", Slots: 8 + n%8, QueuePlaces: 2}}},
			}
			if st.Change != nil && r.draw(3) == 0 {
				step = rollout.Command{Op: rollout.OpAbort, ChangeNumber: st.Change.Number, By: "operator", Reason: "an operator's word"}
			}
			if _, err = r.client.ApplyPolicyStep(in, step, nil); err == nil {
				r.line("operator", "%s a policy", step.Op)
				r.saw("policies "+string(step.Op), 1)
			}
		}
		cancel()
	}
}

// flow is the drain's workflow of an operator, whose drains keepers run.
func (r *run) flow() *drain.Workflow {
	c := &drain.Config{Registry: r.addrs(), Floor: drain.Floor{Default: 1}, Sidecars: len(r.sidecars), MaxRequestMS: waits.Milliseconds(), LeaseMS: 5000}
	return c.WorkflowWith(r.client, "operator", 200*time.Millisecond, func(drain.Event) {})
}

// machines hands drains over and takes them back.
func (r *run) machines(ctx context.Context) {
	for pause(ctx, r.around(6*time.Second)) {
		machine := fmt.Sprint("m", r.draw((r.o.Servers+1)/2))
		in, cancel := context.WithTimeout(ctx, actIn)
		what, err := "drain", error(nil)
		if r.draw(2) == 0 {
			err = r.flow().HandOver(in, machine, time.Now().Add(drainIn))
		} else {
			what, err = "undrain", r.flow().Undrain(in, machine)
		}
		cancel()
		if err == nil {
			r.line("operator", "%s %s", what, machine)
			r.saw(what+"s", 1)
		}
	}
}

// handovers asks holders of tasks to leave.
func (r *run) handovers(ctx context.Context) {
	for pause(ctx, r.around(8*time.Second)) {
		in, cancel := context.WithTimeout(ctx, actIn)
		all, err := r.client.Leases(in, 0, 0)
		if err == nil && len(all.Leases) > 0 {
			l := all.Leases[r.draw(len(all.Leases))]
			if l.Grant != nil && len(l.Queue) > 0 && r.client.RequestYield(in, l.Name, registry.YieldRequest{Yield: true}) == nil {
				r.line("operator", "%s is to leave %s", l.Grant.Name, l.Name)
				r.saw("hand-overs", 1)
			}
		}
		cancel()
	}
}

// operation is a call on a record.
type operation struct {
	key, value, got string
	call, ret       time.Duration
	done            bool
}

// written is a write that was acknowledged.
type written struct {
	value   string
	version uint64
}

// writes keeps records and reads them, each write naming the version that it replaces.
func (r *run) writes(ctx context.Context) {
	for n := 1; pause(ctx, r.around(150*time.Millisecond)); n++ {
		key := fmt.Sprint("torture-", r.draw(recordSet))
		in, cancel := context.WithTimeout(ctx, actIn)
		read := r.op(key, "")
		was, err := r.client.Record(in, key)
		if errors.Is(err, registry.ErrNotFound) {
			was, err = registry.Record{}, nil
		}
		if err == nil {
			r.returned(read, string(was.Value))
			value := fmt.Sprint(n)
			write := r.op(key, value)
			if v, err := r.client.Put(in, key, []byte(value), &was.Version); err == nil {
				r.returned(write, "")
				r.mu.Lock()
				r.acked[key] = append(r.acked[key], written{value, v})
				r.mu.Unlock()
			}
		}
		cancel()
	}
}

func (r *run) op(key, value string) *operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := &operation{key: key, value: value, call: time.Since(r.began)}
	r.ops = append(r.ops, o)
	return o
}

func (r *run) returned(o *operation, got string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.got, o.ret, o.done = got, time.Since(r.began), true
}
