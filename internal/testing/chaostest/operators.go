package chaostest

import (
	"context"
	"fmt"
	"time"

	"barleywick/internal/drain"
	"barleywick/internal/registry"
	"barleywick/internal/rollout"
	"barleywick/internal/testing/wait"
)

const (
	// actionTimeout bounds one action of an operator.
	actionTimeout  = 10 * time.Second
	drainTimeout   = 20 * time.Second
	rolloutTimeout = 15 * time.Second

	// The mean intervals between an operator's actions.
	policyInterval = 5 * time.Second
	drainInterval  = 6 * time.Second
	yieldInterval  = 8 * time.Second

	drainClaimMS      = 5000
	drainPollInterval = 200 * time.Millisecond
	operatorName      = "operator"
)

// randomInt draws a number in [0, n) for an operator's action.
func (r *run) randomInt(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// drawInterval draws a duration between 0.5 and 1.5 times a mean.
func (r *run) drawInterval(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(r.randomInt(int(mean)))
}

// proposePolicies acts as an operator who proposes policies and aborts some of the rollouts.
func (r *run) proposePolicies(ctx context.Context) {
	for n := 1; wait.Sleep(ctx, r.drawInterval(policyInterval)); n++ {
		r.proposePolicy(ctx, n)
	}
}

// proposePolicy proposes a policy, or with a probability of 1/3 aborts the rollout in progress, if any.
func (r *run) proposePolicy(ctx context.Context, n int) {
	ctx, cancel := context.WithTimeout(ctx, actionTimeout)
	defer cancel()
	st, err := r.registry.PolicyStatus(ctx, 0, 0)
	if err != nil {
		return
	}
	step := rollout.Command{
		Op: rollout.OpPropose, BaseEpoch: st.Epoch, By: operatorName, Reason: fmt.Sprint("change ", n), WithinMS: rolloutTimeout.Milliseconds(),
		Document: &rollout.Document{FormatVersion: 1, Mode: rollout.ModeCarry, Tenants: []rollout.Tenant{{Name: "t", Slots: 8 + n%8, QueuePlaces: 2}}},
	}
	if st.Change != nil && r.randomInt(3) == 0 {
		step = rollout.Command{Op: rollout.OpAbort, ChangeNumber: st.Change.Number, By: operatorName, Reason: "request of the operator"}
	}
	if _, err = r.registry.ApplyPolicyStep(ctx, step, nil); err == nil {
		r.recordEvent(OperatorEvent, "%s a policy", step.Op)
		r.count("policies "+string(step.Op), 1)
	}
}

// drainWorkflow returns the workflow of an operator who hands drains over to the controllers.
func (r *run) drainWorkflow() *drain.Workflow {
	c := &drain.Config{
		Registry: r.registryAddrs(), Floor: drain.Floor{Default: 1}, Sidecars: len(r.sidecars),
		MaxRequestMS: requestTimeout.Milliseconds(), LeaseMS: drainClaimMS,
	}
	return c.WorkflowWith(r.registry, operatorName, drainPollInterval, func(drain.Event) {})
}

// drainMachines acts as an operator who hands drains of machines over to the controllers, and
// returns machines to service.
func (r *run) drainMachines(ctx context.Context) {
	for wait.Sleep(ctx, r.drawInterval(drainInterval)) {
		machine := machineName(r.randomInt((r.options.Servers + 1) / serversPerMachine))
		action, err := r.drainOrUndrain(ctx, machine)
		if err == nil {
			r.recordEvent(OperatorEvent, "%s %s", action, machine)
			r.count(action+"s", 1)
		}
	}
}

// drainOrUndrain hands over a machine's drain or returns the machine to service. It returns the action's name.
func (r *run) drainOrUndrain(ctx context.Context, machine string) (action string, err error) {
	ctx, cancel := context.WithTimeout(ctx, actionTimeout)
	defer cancel()
	if r.randomInt(2) == 0 {
		return "drain", r.drainWorkflow().HandOver(ctx, machine, time.Now().Add(drainTimeout))
	}
	return "undrain", r.drainWorkflow().Undrain(ctx, machine)
}

// requestYields acts as an operator who requests that holders release leases for which others wait.
func (r *run) requestYields(ctx context.Context) {
	for wait.Sleep(ctx, r.drawInterval(yieldInterval)) {
		r.requestYield(ctx)
	}
}

// requestYield requests that the holder of a random lease release it, if there is a queued claim for it.
func (r *run) requestYield(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, actionTimeout)
	defer cancel()
	list, err := r.registry.Leases(ctx, 0, 0)
	if err != nil || len(list.Leases) == 0 {
		return
	}
	l := list.Leases[r.randomInt(len(list.Leases))]
	if l.Grant == nil || len(l.Queue) == 0 {
		return
	}
	if r.registry.RequestYield(ctx, l.Name, registry.YieldRequest{Yield: true}) == nil {
		r.recordEvent(OperatorEvent, "%s has to release lease %s", l.Grant.Name, l.Name)
		r.count("hand-overs", 1)
	}
}
