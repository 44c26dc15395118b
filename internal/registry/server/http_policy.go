package server

import (
	"net/http"

	"barleywick/internal/registry"
	"barleywick/internal/rollout"
)

// servePolicyStep takes a step of a change of policy, and answers with what the member that
// it names is to act by from then on.
func (r *Replica) servePolicyStep(w http.ResponseWriter, q *http.Request) error {
	var b registry.PolicyRequest
	if err := decode(w, q, maxBody, &b); err != nil {
		return err
	}
	if err := r.requireLeader(); err != nil {
		return err
	}
	b.AtMS = 0 // the leader's to say
	if _, err := r.apply(registry.Command{Op: registry.OpPolicyStep, PolicyStep: &b.Command, Fence: b.Fence}); err != nil {
		return err
	}
	var v rollout.View
	r.stateMachine.view(func(s *registry.State) { v = s.Rollout().View(b.Member) })
	r.answer(w, registry.ReadLinearizable, v)
	return nil
}

// servePolicyStatus tells how the policy and its change stand.
func (r *Replica) servePolicyStatus(w http.ResponseWriter, q *http.Request) error {
	read, err := r.awaitChange(q, func(s *registry.State) uint64 { return s.Rollout().Version() })
	if err != nil {
		return err
	}
	var st rollout.Status
	r.stateMachine.view(func(s *registry.State) { st = s.Rollout().Status() })
	r.answer(w, read, st)
	return nil
}

// servePolicyView tells a member what to act by.
func (r *Replica) servePolicyView(w http.ResponseWriter, q *http.Request) error {
	m := rollout.Member{Name: q.URL.Query().Get("member")}
	var err error
	if m.Incarnation, err = queryUint(q, "incarnation"); err != nil {
		return err
	}
	if err := registry.CheckName("member", m.Name); err != nil {
		return badRequest("%v", err)
	}
	read, err := r.awaitChange(q, func(s *registry.State) uint64 { return s.Rollout().Version() })
	if err != nil {
		return err
	}
	var v rollout.View
	r.stateMachine.view(func(s *registry.State) { v = s.Rollout().View(m) })
	r.answer(w, read, v)
	return nil
}
