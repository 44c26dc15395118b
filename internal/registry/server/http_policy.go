package server

import (
	"net/http"

	"barleywick/internal/registry"
	"barleywick/internal/rollout"
)

func policyVersion(s *registry.State) uint64 { return s.Rollout().Version() }

// servePolicyStep applies a step of a rollout, and responds with the policy view of the
// member that the step names.
func (r *Replica) servePolicyStep(w http.ResponseWriter, req *http.Request) error {
	var body registry.PolicyRequest
	if err := decodeBody(w, req, &body); err != nil {
		return err
	}
	if err := r.requireLeader(); err != nil {
		return err
	}
	body.AtMS = 0 // set by the leader; a value from the caller is ignored
	if _, err := r.apply(registry.Command{Op: registry.OpPolicyStep, PolicyStep: &body.Command, Fence: body.Fence}); err != nil {
		return err
	}
	writeResponse(w, registry.ReadLinearizable, r.policyView(body.Member))
	return nil
}

// servePolicyStatus responds with the fleet policy and the state of its rollout.
func (r *Replica) servePolicyStatus(w http.ResponseWriter, req *http.Request) error {
	freshness, err := r.awaitChange(req, policyVersion)
	if err != nil {
		return err
	}
	var status rollout.Status
	r.stateMachine.view(func(s *registry.State) { status = s.Rollout().Status() })
	writeResponse(w, freshness, status)
	return nil
}

// servePolicyView responds with the policy view of one member.
func (r *Replica) servePolicyView(w http.ResponseWriter, req *http.Request) error {
	incarnation, err := queryUint(req, "incarnation")
	if err != nil {
		return err
	}
	name := req.URL.Query().Get("member")
	if err := registry.CheckName("member", name); err != nil {
		return badRequest("%v", err)
	}
	freshness, err := r.awaitChange(req, policyVersion)
	if err != nil {
		return err
	}
	writeResponse(w, freshness, r.policyView(rollout.Member{Name: name, Incarnation: incarnation}))
	return nil
}

func (r *Replica) policyView(m rollout.Member) (view rollout.View) {
	r.stateMachine.view(func(s *registry.State) { view = s.Rollout().View(m) })
	return view
}
