package server

import (
	"errors"
	"log/slog"
	"net/http"
	"time"

	"barleywick/internal/registry"
)

func (r *Replica) serveRenewals(w http.ResponseWriter, q *http.Request) error {
	at := time.Now()
	var b registry.RenewClaimsRequest
	if err := decode(w, q, maxBody, &b); err != nil {
		return err
	}
	if len(b.Claims) > registry.MaxRenewals {
		return badRequest("claims: %d are named, %d at most", len(b.Claims), registry.MaxRenewals)
	}
	answers, err := r.renewClaims(b.Holder, b.Claims, at)
	if err != nil {
		return err
	}
	r.answer(w, registry.ReadLinearizable, registry.RenewClaimsResponse{Claims: answers})
	return nil
}

// leaseWrite has a command on a lease carried out.
func (r *Replica) leaseWrite(op registry.Op, c *registry.LeaseCommand) (registry.Result, error) {
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

var errLeaseRate = errors.New("more commands on leases than leases.writes_per_s")

func (r *Replica) serveAcquire(w http.ResponseWriter, q *http.Request) error {
	var b registry.AcquireRequest
	if err := decode(w, q, maxBody, &b); err != nil {
		return err
	}
	if rules := r.config.Load().Leases; b.TTLMS < rules.MinTTLMS || b.TTLMS > rules.MaxTTLMS {
		return badRequest("ttl_ms is %d, it must lie between %d and %d", b.TTLMS, rules.MinTTLMS, rules.MaxTTLMS)
	}
	name := q.PathValue("name")
	result, err := r.leaseWrite(registry.OpAcquireLease, &registry.LeaseCommand{Name: name, Claim: b.Claim, Wait: b.Wait})
	if err != nil {
		return err
	}
	if result.Token != 0 {
		r.granted.Add(1)
		slog.Info("leases: granted", "lease", name, "holder", b.Claim.Name, "token", result.Token)
	}
	r.answer(w, registry.ReadLinearizable, registry.ClaimStatus{Lease: name, ClaimID: b.ID, Token: result.Token, QueuePosition: result.QueuePosition})
	return nil
}

func (r *Replica) serveRelease(w http.ResponseWriter, q *http.Request) error {
	var b registry.ReleaseRequest
	if err := decode(w, q, maxBody, &b); err != nil {
		return err
	}
	claim := registry.Claim{ID: b.ClaimID, Holder: b.Holder}
	result, err := r.leaseWrite(registry.OpReleaseLease, &registry.LeaseCommand{Name: q.PathValue("name"), Claim: claim, NextHolder: b.NextHolder})
	return r.writeResult(w, result, err)
}

func (r *Replica) serveYieldRequest(w http.ResponseWriter, q *http.Request) error {
	var b registry.YieldRequest
	if err := decode(w, q, maxBody, &b); err != nil {
		return err
	}
	if !b.Yield && b.Pause == nil {
		return badRequest("leave or pause is needed")
	}
	result, err := r.leaseWrite(registry.OpRequestYield, &registry.LeaseCommand{Name: q.PathValue("name"), Yield: b.Yield, NextHolder: b.NextHolder, Pause: b.Pause})
	return r.writeResult(w, result, err)
}

// serveLeases lists the leases.
func (r *Replica) serveLeases(w http.ResponseWriter, q *http.Request) error {
	read, err := r.awaitChange(q, func(s *registry.State) uint64 { return s.Leases().Version() })
	if err != nil {
		return err
	}
	var a registry.LeasesResponse
	r.stateMachine.view(func(s *registry.State) {
		a.Leases, a.Version = s.Leases().List()
		a.GrantsClosed = s.Leases().GrantsClosed()
	})
	r.answer(w, read, a)
	return nil
}
