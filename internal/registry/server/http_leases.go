package server

import (
	"errors"
	"log/slog"
	"net/http"
	"time"

	"barleywick/internal/registry"
)

var errLeaseRate = errors.New("rate of lease commands exceeds leases.writes_per_s")

// applyLeaseCommand applies a lease command, subject to the rate limit on lease commands.
func (r *Replica) applyLeaseCommand(op registry.Op, c *registry.LeaseCommand) (registry.Result, error) {
	if err := registry.CheckName("lease", c.Name); err != nil {
		return registry.Result{}, badRequest("%v", err)
	}
	if err := r.requireLeader(); err != nil {
		return registry.Result{}, err
	}
	if !r.leaseWriteLimiter.Allow() {
		return registry.Result{}, errLeaseRate
	}
	return r.apply(registry.Command{Op: op, Lease: c})
}

// writeLeaseCommand is applyLeaseCommand, and writes the result as the response.
func (r *Replica) writeLeaseCommand(w http.ResponseWriter, op registry.Op, c *registry.LeaseCommand) error {
	result, err := r.applyLeaseCommand(op, c)
	if err != nil {
		return err
	}
	writeResult(w, result)
	return nil
}

func (r *Replica) serveAcquire(w http.ResponseWriter, req *http.Request) error {
	var body registry.AcquireRequest
	if err := decodeBody(w, req, &body); err != nil {
		return err
	}
	if rules := r.config.Load().Leases; body.TTLMS < rules.MinTTLMS || body.TTLMS > rules.MaxTTLMS {
		return badRequest("ttl_ms is %d, it must lie between %d and %d", body.TTLMS, rules.MinTTLMS, rules.MaxTTLMS)
	}
	lease := req.PathValue("name")
	result, err := r.applyLeaseCommand(registry.OpAcquireLease, &registry.LeaseCommand{Name: lease, Claim: body.Claim, Wait: body.Wait})
	if err != nil {
		return err
	}
	if result.Token != 0 {
		r.counters.grantedLeases.Add(1)
		slog.Info("lease: granted", "lease", lease, "holder", body.Claim.Name, "token", result.Token)
	}
	writeResponse(w, registry.ReadLinearizable, registry.ClaimStatus{
		Lease: lease, ClaimID: body.ID, Token: result.Token, QueuePosition: result.QueuePosition,
	})
	return nil
}

func (r *Replica) serveRelease(w http.ResponseWriter, req *http.Request) error {
	var body registry.ReleaseRequest
	if err := decodeBody(w, req, &body); err != nil {
		return err
	}
	return r.writeLeaseCommand(w, registry.OpReleaseLease, &registry.LeaseCommand{
		Name:       req.PathValue("name"),
		Claim:      registry.Claim{ID: body.ClaimID, Holder: body.Holder},
		NextHolder: body.NextHolder,
	})
}

func (r *Replica) serveYieldRequest(w http.ResponseWriter, req *http.Request) error {
	var body registry.YieldRequest
	if err := decodeBody(w, req, &body); err != nil {
		return err
	}
	if !body.Yield && body.Pause == nil {
		return badRequest("leave or pause is needed")
	}
	return r.writeLeaseCommand(w, registry.OpRequestYield, &registry.LeaseCommand{
		Name: req.PathValue("name"), Yield: body.Yield, NextHolder: body.NextHolder, Pause: body.Pause,
	})
}

func (r *Replica) serveRenewals(w http.ResponseWriter, req *http.Request) error {
	arrived := time.Now()
	var body registry.RenewClaimsRequest
	if err := decodeBody(w, req, &body); err != nil {
		return err
	}
	if len(body.Claims) > registry.MaxRenewals {
		return badRequest("claims: %d are named, %d at most", len(body.Claims), registry.MaxRenewals)
	}
	statuses, err := r.renewClaims(body.Holder, body.Claims, arrived)
	if err != nil {
		return err
	}
	writeResponse(w, registry.ReadLinearizable, registry.RenewClaimsResponse{Claims: statuses})
	return nil
}

func (r *Replica) serveLeases(w http.ResponseWriter, req *http.Request) error {
	freshness, err := r.awaitChange(req, func(s *registry.State) uint64 { return s.Leases().Version() })
	if err != nil {
		return err
	}
	var response registry.LeasesResponse
	r.stateMachine.view(func(s *registry.State) {
		response.Leases, response.Version = s.Leases().List()
		response.GrantsClosed = s.Leases().GrantsClosed()
	})
	writeResponse(w, freshness, response)
	return nil
}
