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

// mostWait is how long a call for the leases may wait for a change: under the time
// that a call has.
const mostWait = 5 * time.Second

// followLeases lets the clock follow the claims of the state. The lock is held.
func (r *Replica) followLeases(now time.Time) {
	r.machine.read(func(s *registry.State) { r.leases.Sync(s.Leases(), now) })
}

// endLeases ends the claims whose time is up.
func (r *Replica) endLeases(now time.Time, term uint64) {
	r.mu.Lock()
	r.followLeases(now)
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

// renewLeases notes signs of life that came at a time. A leader has to make sure that
// it was one after that time: whoever leads next begins later than that and gives
// every claim its full time, so none can end before its holder's count does.
func (r *Replica) renewLeases(of registry.Holder, claims []registry.ClaimRef, at time.Time) ([]registry.ClaimStatus, error) {
	r.mu.Lock()
	err, clock := r.leadsLocked(), r.leases
	r.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err := r.certain(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.leadsLocked(); err != nil {
		return nil, err
	}
	if r.leases != clock { // it led, lost that and leads again: what was made sure of is of the past
		return nil, errNewLeader
	}
	var answers []registry.ClaimStatus
	r.machine.read(func(s *registry.State) { answers = r.leases.RenewClaims(s.Leases(), of, claims, at) })
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
		return bad("claims: %d are named, %d at most", len(b.Claims), registry.MaxRenewals)
	}
	answers, err := r.renewLeases(b.Holder, b.Claims, at)
	if err != nil {
		return err
	}
	r.answer(w, registry.ReadLinearizable, registry.RenewClaimsResponse{Claims: answers})
	return nil
}

// leaseWrite has a command on a lease carried out.
func (r *Replica) leaseWrite(op registry.Op, c *registry.LeaseCommand) (registry.Result, error) {
	if err := registry.CheckName("lease", c.Name); err != nil {
		return registry.Result{}, bad("%v", err)
	}
	if err := r.leads(); err != nil {
		return registry.Result{}, err
	}
	if !r.leaseRate.Allow() {
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
		return bad("ttl_ms is %d, it must lie between %d and %d", b.TTLMS, rules.MinTTLMS, rules.MaxTTLMS)
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
	return r.wrote(w, result, err)
}

func (r *Replica) serveAsk(w http.ResponseWriter, q *http.Request) error {
	var b registry.YieldRequest
	if err := decode(w, q, maxBody, &b); err != nil {
		return err
	}
	if !b.Yield && b.Pause == nil {
		return bad("leave or pause is needed")
	}
	result, err := r.leaseWrite(registry.OpRequestYield, &registry.LeaseCommand{Name: q.PathValue("name"), Yield: b.Yield, NextHolder: b.NextHolder, Pause: b.Pause})
	return r.wrote(w, result, err)
}

// wrote answers with what became of a write.
func (r *Replica) wrote(w http.ResponseWriter, result registry.Result, err error) error {
	if err == nil {
		r.answer(w, registry.ReadLinearizable, registry.WriteResponse{Version: result.Version, Seq: result.Seq})
	}
	return err
}

// waiting serves a call that may wait for a change. What waits is bounded as watches are.
func (r *Replica) waiting(call func(w http.ResponseWriter, q *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if r.watches.Add(1) > int64(r.config.Load().Limits.Watches) {
			r.watches.Add(-1)
			r.fail(w, q, errBusy)
			return
		}
		defer r.watches.Add(-1)
		if err := call(w, q); err != nil {
			r.fail(w, q, err)
		}
	}
}

// number reads a number of a call's query; 0 where it is left out.
func number(q *http.Request, name string) (uint64, error) {
	text := q.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 53)
	if err != nil {
		return 0, bad("%s is %.32q, it must be a whole number", name, text)
	}
	return n, nil
}

// await waits until a version is later than the call's after=, for its wait_ms= at most,
// and says how fresh what is read then is.
func (r *Replica) await(q *http.Request, version func(s *registry.State) uint64) (read string, err error) {
	after, err := number(q, "after")
	if err != nil {
		return "", err
	}
	wait, err := number(q, "wait_ms")
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(q.Context(), min(mostWait, time.Duration(wait)*time.Millisecond))
	defer cancel()
	for ctx.Err() == nil {
		var now uint64
		var news <-chan struct{}
		r.machine.read(func(s *registry.State) { now, news = version(s), r.machine.news })
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

// listLeases lists the leases.
func (r *Replica) listLeases(w http.ResponseWriter, q *http.Request) error {
	read, err := r.await(q, func(s *registry.State) uint64 { return s.Leases().Version() })
	if err != nil {
		return err
	}
	var a registry.LeasesResponse
	r.machine.read(func(s *registry.State) {
		a.Leases, a.Version = s.Leases().List()
		a.GrantsClosed = s.Leases().GrantsClosed()
	})
	r.answer(w, read, a)
	return nil
}

// servePolicy takes a step of a change of policy, and answers with what the member that
// it names is to act by from then on.
func (r *Replica) servePolicy(w http.ResponseWriter, q *http.Request) error {
	var b registry.PolicyRequest
	if err := decode(w, q, maxBody, &b); err != nil {
		return err
	}
	if err := r.leads(); err != nil {
		return err
	}
	b.AtMS = 0 // the leader's to say
	if _, err := r.apply(registry.Command{Op: registry.OpPolicyStep, PolicyStep: &b.Command, Fence: b.Fence}); err != nil {
		return err
	}
	var v rollout.View
	r.machine.read(func(s *registry.State) { v = s.Rollout().View(b.Member) })
	r.answer(w, registry.ReadLinearizable, v)
	return nil
}

// listPolicy tells how the policy and its change stand.
func (r *Replica) listPolicy(w http.ResponseWriter, q *http.Request) error {
	read, err := r.await(q, func(s *registry.State) uint64 { return s.Rollout().Version() })
	if err != nil {
		return err
	}
	var st rollout.Status
	r.machine.read(func(s *registry.State) { st = s.Rollout().Status() })
	r.answer(w, read, st)
	return nil
}

// viewPolicy tells a member what to act by.
func (r *Replica) viewPolicy(w http.ResponseWriter, q *http.Request) error {
	m := rollout.Member{Name: q.URL.Query().Get("member")}
	var err error
	if m.Incarnation, err = number(q, "incarnation"); err != nil {
		return err
	}
	if err := registry.CheckName("member", m.Name); err != nil {
		return bad("%v", err)
	}
	read, err := r.await(q, func(s *registry.State) uint64 { return s.Rollout().Version() })
	if err != nil {
		return err
	}
	var v rollout.View
	r.machine.read(func(s *registry.State) { v = s.Rollout().View(m) })
	r.answer(w, read, v)
	return nil
}
