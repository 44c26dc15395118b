package system

import (
	"barleywick/internal/registry"
	"barleywick/internal/rollout"
	"context"
	"fmt"
	"time"
)

// proposePolicies is an operator who proposes changes of policy, and aborts some.
func (w *world) proposePolicies(t *task) {
	c := w.newClient(t)
	for {
		t.sleep(t.jitter(2 * time.Second))
		if w.settling {
			continue
		}
		var st rollout.Status
		if c.readStale(func(s *registry.State) { st = s.Rollout().Status() }) != nil {
			continue
		}
		w.proposals++
		slots := 1 + w.proposals%maxFirstSlots
		if w.rng.IntN(6) == 0 {
			slots += maxFirstSlots
		}
		step := rollout.Command{
			Op: rollout.OpPropose, BaseEpoch: st.Epoch, By: "operator", Reason: fmt.Sprint(w.proposals), WithinMS: 3000,
			Document: &rollout.Document{FormatVersion: 1, Mode: rollout.ModeCarry, Tenants: []rollout.Tenant{{Name: "t", Slots: slots, QueuePlaces: 1}}},
		}
		if st.Change != nil && w.rng.IntN(3) == 0 {
			step = rollout.Command{Op: rollout.OpAbort, ChangeNumber: st.Change.Number, By: "operator", Reason: "an operator's word"}
		}
		w.recordStep("operator: " + string(step.Op))
		_, _ = c.apply(registry.Command{Op: registry.OpPolicyStep, PolicyStep: &step})
	}
}

// drainMachines is an operator who hands drains over, and takes drainMachines back into service.
func (w *world) drainMachines(t *task) {
	c := w.newClient(t)
	for {
		t.sleep(t.jitter(1500 * time.Millisecond))
		if w.settling {
			continue
		}
		flow := w.newWorkflow(t, c, "operator", nil)
		machine := fmt.Sprint("m", w.rng.IntN(3))
		if w.rng.IntN(3) > 0 {
			w.recordStep("operator: drain")
			_ = flow.HandOver(context.Background(), machine, t.time().Add(20*time.Second))
			continue
		}
		w.recordStep("operator: undrain")
		if flow.Undrain(context.Background(), machine) == nil {
			w.startServers(machine)
		}
	}
}

// startServers starts what a drain has stopped.
func (w *world) startServers(machine string) {
	for _, s := range w.servers {
		if s.machine == machine {
			s.stopped = false
		}
	}
}

// writeRecords is a user who keeps records and reads them.
func (w *world) writeRecords(t *task) {
	c := w.newClient(t)
	for n := 1; ; n++ {
		t.sleep(t.jitter(300 * time.Millisecond))
		if w.settling {
			continue
		}
		key := fmt.Sprint("record-", w.rng.IntN(recordKeys))
		if w.rng.IntN(3) == 0 {
			op := w.checker.beginCall(w, key, "")
			var got registry.Record
			if c.readVerified(func(s *registry.State) { got, _ = s.Record(key) }) == nil {
				op.complete(w, string(got.Value), true)
			}
			continue
		}
		// Each names the version that it replaces: one that comes twice does nothing then.
		var was registry.Record
		if c.readVerified(func(s *registry.State) { was, _ = s.Record(key) }) != nil {
			continue
		}
		value := fmt.Sprint(n)
		op := w.checker.beginCall(w, key, value)
		v, err := c.Put(context.Background(), key, []byte(value), &was.Version)
		op.complete(w, "", err == nil)
		if err == nil {
			w.checker.recordAcknowledged(key, value, v)
		}
	}
}
