package system

import (
	"context"
	"fmt"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/rollout"
)

// proposePolicies simulates an operator who proposes policies and aborts some of the rollouts.
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
		slots := 1 + w.proposals%firstSidecarMaxSlots
		if w.rng.IntN(6) == 0 {
			slots += firstSidecarMaxSlots
		}
		step := rollout.Command{
			Op: rollout.OpPropose, BaseEpoch: st.Epoch, By: "operator", Reason: fmt.Sprint(w.proposals), WithinMS: 3000,
			Document: &rollout.Document{FormatVersion: 1, Mode: rollout.ModeCarry, Tenants: []rollout.Tenant{{Name: "t", Slots: slots, QueuePlaces: 1}}},
		}
		if st.Change != nil && w.rng.IntN(3) == 0 {
			step = rollout.Command{Op: rollout.OpAbort, ChangeNumber: st.Change.Number, By: "operator", Reason: "request of the operator"}
		}
		w.recordStep("operator: " + string(step.Op))
		_, _ = c.apply(registry.Command{Op: registry.OpPolicyStep, PolicyStep: &step})
	}
}

// drainMachines simulates an operator who hands over drains of machines, and undrains machines.
func (w *world) drainMachines(t *task) {
	c := w.newClient(t)
	for {
		t.sleep(t.jitter(1500 * time.Millisecond))
		if w.settling {
			continue
		}
		workflow := w.newWorkflow(t, c, "operator", nil)
		machine := fmt.Sprint("m", w.rng.IntN(3))
		if w.rng.IntN(3) > 0 {
			w.recordStep("operator: drain")
			_ = workflow.HandOver(context.Background(), machine, t.time().Add(20*time.Second))
			continue
		}
		w.recordStep("operator: undrain")
		if workflow.Undrain(context.Background(), machine) == nil {
			w.startServers(machine)
		}
	}
}

// startServers starts all servers of a machine that a drain has stopped.
func (w *world) startServers(machine string) {
	for _, s := range w.servers {
		if s.machine == machine {
			s.stopped = false
		}
	}
}

// writeRecords simulates a user who writes and reads records.
func (w *world) writeRecords(t *task) {
	c := w.newClient(t)
	for n := 1; ; n++ {
		t.sleep(t.jitter(300 * time.Millisecond))
		if w.settling {
			continue
		}
		key := fmt.Sprint("record-", w.rng.IntN(recordKeys))
		if w.rng.IntN(3) == 0 {
			call := w.checker.beginCall(w, key, "")
			var got registry.Record
			if c.readVerified(func(s *registry.State) { got, _ = s.Record(key) }) == nil {
				call.complete(w, string(got.Value), true)
			}
			continue
		}
		// Each write is conditional on the version that it replaces, so a retry is applied at most once.
		var current registry.Record
		if c.readVerified(func(s *registry.State) { current, _ = s.Record(key) }) != nil {
			continue
		}
		value := fmt.Sprint(n)
		call := w.checker.beginCall(w, key, value)
		version, err := c.Put(context.Background(), key, []byte(value), &current.Version)
		call.complete(w, "", err == nil)
		if err == nil {
			w.checker.recordAcknowledged(key, value, version)
		}
	}
}
