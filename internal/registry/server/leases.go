package server

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/rollout"
)

// maxLongPoll is how long a call for the leases may wait for a change: under the time
// that a call has.
const maxLongPoll = 5 * time.Second

// syncLeasesLocked lets the clock follow the claims of the state. The lock is held.
func (r *Replica) syncLeasesLocked(now time.Time) {
	r.stateMachine.view(func(s *registry.State) { r.leases.Sync(s.Leases(), now) })
}

// expireClaims ends the claims whose time is up.
func (r *Replica) expireClaims(now time.Time, term uint64) {
	r.mu.Lock()
	r.syncLeasesLocked(now)
	ended, open := r.leases.TakeExpired(now)
	r.mu.Unlock()
	if open {
		if _, err := r.apply(registry.Command{Op: registry.OpOpenGrants, Lease: new(registry.LeaseCommand), Term: term}); err != nil {
			slog.Warn("leases: grants cannot begin", "err", err)
			return
		}
		slog.Info("leases: grants begin")
	}
	if len(ended) == 0 {
		return
	}
	if _, err := r.apply(registry.Command{Op: registry.OpExpireClaims, Lease: &registry.LeaseCommand{Expired: ended}, Term: term}); err != nil {
		slog.Warn("leases: claims whose time is up are not ended", "err", err) // the next look tries again
		return
	}
	r.ended.Add(uint64(len(ended)))
	for _, e := range ended {
		slog.Info("leases: a claim's time is up", "lease", e.Lease, "claim", e.ClaimID)
	}
}

// renewClaims notes signs of life that came at a time. A leader has to make sure that
// it was one after that time: whoever leads next begins later than that and gives
// every claim its full time, so none can end before its holder's count does.
func (r *Replica) renewClaims(of registry.Holder, claims []registry.ClaimRef, at time.Time) ([]registry.ClaimStatus, error) {
	r.mu.Lock()
	err, clock := r.requireLeaderLocked(), r.leases
	r.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err := r.verifyLeadership(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.requireLeaderLocked(); err != nil {
		return nil, err
	}
	if r.leases != clock { // it led, lost that and leads again: what was made sure of is of the past
		return nil, errNewLeader
	}
	var answers []registry.ClaimStatus
	r.stateMachine.view(func(s *registry.State) { answers = r.leases.RenewClaims(s.Leases(), of, claims, at) })
	for _, a := range answers {
		if a.Token != 0 || a.QueuePosition != 0 {
			r.renewals.Add(1)
		}
	}
	return answers, nil
}

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

// writeResult answers with what became of a write.
func (r *Replica) writeResult(w http.ResponseWriter, result registry.Result, err error) error {
	if err == nil {
		r.answer(w, registry.ReadLinearizable, registry.WriteResponse{Version: result.Version, Seq: result.Seq})
	}
	return err
}

// longPoll serves a call that may wait for a change. What waits is bounded as watches are.
func (r *Replica) longPoll(call func(w http.ResponseWriter, q *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if r.openWatches.Add(1) > int64(r.config.Load().Limits.Watches) {
			r.openWatches.Add(-1)
			r.writeError(w, q, errBusy)
			return
		}
		defer r.openWatches.Add(-1)
		if err := call(w, q); err != nil {
			r.writeError(w, q, err)
		}
	}
}

// queryUint reads a queryUint of a call's query; 0 where it is left out.
func queryUint(q *http.Request, name string) (uint64, error) {
	text := q.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 53)
	if err != nil {
		return 0, badRequest("%s is %.32q, it must be a whole number", name, text)
	}
	return n, nil
}

// awaitChange waits until a version is later than the call's after=, for its wait_ms= at most,
// and says how fresh what is read then is.
func (r *Replica) awaitChange(q *http.Request, version func(s *registry.State) uint64) (read string, err error) {
	after, err := queryUint(q, "after")
	if err != nil {
		return "", err
	}
	wait, err := queryUint(q, "wait_ms")
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(q.Context(), min(maxLongPoll, time.Duration(wait)*time.Millisecond))
	defer cancel()
	for ctx.Err() == nil {
		var now uint64
		var news <-chan struct{}
		r.stateMachine.view(func(s *registry.State) { now, news = version(s), r.stateMachine.leasesOrPolicyChanged })
		if now > after {
			break
		}
		select {
		case <-news:
		case <-ctx.Done():
		}
	}
	return r.fresh(q.URL.Query())
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
