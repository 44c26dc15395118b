package registry

import (
	"maps"
	"slices"

	"barleywick/internal/mutation"
)

const (
	maxLeases        = 4096
	maxQueue         = 64   // claims queued for one lease
	maxEndedClaims   = 1024 // IDs of ended claims that are kept, so that a delayed call does not make the claim again
	minClaimIDLength = 8    // bytes of a claim's ID, which has to be unique
)

// Leases is the part of the state machine for leases. It does not measure the time to live
// of claims: the leader does (ClaimTracker), and ends expired claims with OpExpireClaims.
type Leases struct {
	leases    map[string]*Lease
	lastToken uint64 // the last fencing token issued
	version   uint64 // incremented with every change of a lease
	// grantsClosed suspends grants in a new group: leases granted by an earlier group of the
	// same name may not have expired yet.
	grantsClosed bool
	endedClaims  []string // IDs of the claims that ended most recently, the latest at the end
}

// newLeases returns an empty set of leases, whose tokens and versions start after initial.
func newLeases(initial uint64) *Leases {
	return &Leases{leases: make(map[string]*Lease), lastToken: initial, version: initial}
}

// Clone returns a copy that shares no mutable data.
func (ls *Leases) Clone() *Leases {
	c := *ls
	c.leases = make(map[string]*Lease, len(ls.leases))
	for name, l := range ls.leases {
		c.leases[name] = l.clone()
	}
	c.endedClaims = slices.Clone(ls.endedClaims)
	return &c
}

// List returns all leases ordered by name, and their version.
func (ls *Leases) List() ([]Lease, uint64) {
	all := make([]Lease, 0, len(ls.leases))
	for _, name := range slices.Sorted(maps.Keys(ls.leases)) {
		all = append(all, *ls.leases[name].clone())
	}
	return all, ls.version
}

// Lease returns the lease with a name.
func (ls *Leases) Lease(name string) (Lease, bool) {
	if l := ls.leases[name]; l != nil {
		return *l.clone(), true
	}
	return Lease{}, false
}

// Version returns the version of the leases, which every change increments.
func (ls *Leases) Version() uint64 { return ls.version }

// LastToken returns the last fencing token issued.
func (ls *Leases) LastToken() uint64 { return ls.lastToken }

// GrantsClosed reports whether the group, being new, does not grant leases yet.
func (ls *Leases) GrantsClosed() bool { return ls.grantsClosed }

// apply applies one command.
func (ls *Leases) apply(op Op, c *LeaseCommand) (Result, error) {
	if c == nil {
		return Result{}, invalid("no lease is named")
	}
	switch op {
	case OpOpenGrants:
		ls.openGrants()
		return Result{Version: ls.version}, nil
	case OpExpireClaims:
		ls.expireClaims(c.Expired)
		return Result{Version: ls.version}, nil
	}
	if err := CheckName("lease", c.Name); err != nil {
		return Result{}, invalid("%w", err)
	}
	switch op {
	case OpAcquireLease:
		return ls.acquire(c)
	case OpReleaseLease:
		return ls.release(c)
	case OpRequestYield:
		return ls.requestYield(c)
	}
	return Result{}, invalid("operation %.32q", op)
}

// leaseOrNew returns the lease with a name, or a new one that is not part of the state yet.
func (ls *Leases) leaseOrNew(name string) (*Lease, error) {
	if l := ls.leases[name]; l != nil {
		return l, nil
	}
	if len(ls.leases) >= maxLeases {
		return nil, limitReached("%d leases exist, no more can be added", len(ls.leases))
	}
	return &Lease{Name: name}, nil
}

// acquire adds a claim. If the claim exists already, the result has its token or its
// queue position.
func (ls *Leases) acquire(c *LeaseCommand) (Result, error) {
	if err := c.Claim.check(); err != nil {
		return Result{}, invalid("%w", err)
	}
	if ls.hasEnded(c.Claim.ID) {
		return Result{}, reject(ErrClaimEnded, "claim %s", c.Claim.ID)
	}
	l, err := ls.leaseOrNew(c.Name)
	if err != nil {
		return Result{}, err
	}
	if r, found, err := l.position(c.Claim); found {
		return r, err
	}
	if err := ls.checkAcquire(l, c); err != nil {
		return Result{}, err
	}
	// A restarted process replaces the claims of its earlier incarnation in the queue.
	for _, other := range slices.Clone(l.Queue) {
		if other.Name == c.Claim.Name {
			ls.removeClaim(l, other.ID)
		}
	}
	if len(l.Queue) >= maxQueue {
		return Result{}, limitReached("%d wait for %s", len(l.Queue), l.Name)
	}
	if ls.grantable(l) && ls.lastToken >= MaxVersion {
		return Result{}, limitReached("no fencing token is left")
	}
	ls.leases[c.Name] = l
	l.Queue = append(l.Queue, c.Claim)
	ls.bumpVersion(l)
	ls.grantNext(l)
	r, _, err := l.position(c.Claim)
	return r, err
}

// checkAcquire returns an error if a new claim may not be added to the lease.
func (ls *Leases) checkAcquire(l *Lease, c *LeaseCommand) error {
	// Of two processes with the same name the later one takes precedence. It is not granted
	// the lease before the claim of the earlier one expires, since that process may still
	// be running.
	for _, other := range l.claims() {
		if other.Name == c.Claim.Name && other.Incarnation > c.Claim.Incarnation {
			return conflict("a later process named %s has a claim on %s", other.Name, c.Name)
		}
	}
	if l.Grant != nil && !c.Wait {
		return reject(ErrLeaseHeld, "%s holds %s", l.Grant.Name, l.Name)
	}
	if (l.Paused || ls.grantsClosed) && !c.Wait {
		return reject(ErrLeaseHeld, "%s cannot be granted now (paused, or the group began or was restored lately)", l.Name)
	}
	return nil
}

// release ends the claim with the given ID and no other, so a delayed call for a claim that
// has already ended changes nothing.
func (ls *Leases) release(c *LeaseCommand) (Result, error) {
	l := ls.leases[c.Name]
	if mutation.ReleaseAnyGrant && l != nil && l.Grant != nil {
		c.Claim = l.Grant.Claim
	}
	if l == nil || ls.hasEnded(c.Claim.ID) {
		return Result{Version: ls.version}, nil
	}
	r, found, err := l.position(c.Claim)
	switch {
	case !found:
		return Result{}, notFound("no claim %.64s on %s", c.Claim.ID, c.Name)
	case err != nil:
		return r, err
	case c.NextHolder != "" && !l.hasQueued(c.NextHolder):
		return Result{Version: l.Version}, notFound("%.64s does not wait for %s", c.NextHolder, c.Name)
	}
	if c.NextHolder != "" {
		l.NextHolder = c.NextHolder
	}
	ls.endClaim(l, c.Claim.ID)
	return Result{Version: ls.version}, nil
}

// requestYield records an operator's request to yield, pause or resume a lease. It does not
// revoke the grant: the holder receives the request in response to its next renewal, which
// does not extend the claim.
func (ls *Leases) requestYield(c *LeaseCommand) (Result, error) {
	pause := c.Pause != nil && *c.Pause
	if ls.leases[c.Name] == nil && !pause {
		return Result{}, notFound("lease %s", c.Name)
	}
	l, err := ls.leaseOrNew(c.Name)
	if err != nil {
		return Result{}, err
	}
	switch {
	case c.NextHolder != "" && !l.hasQueued(c.NextHolder):
		return Result{Version: l.Version}, notFound("%.64s does not wait for %s", c.NextHolder, c.Name)
	case c.Yield && l.Grant == nil:
		return Result{Version: l.Version}, notFound("lease %s has no holder", c.Name)
	}
	ls.leases[c.Name] = l
	before := *l
	if c.Pause != nil {
		l.Paused = pause
		l.YieldRequested = pause && l.Grant != nil
	}
	if c.Yield {
		l.YieldRequested, l.NextHolder = true, c.NextHolder
	}
	if before.Paused != l.Paused || before.YieldRequested != l.YieldRequested || before.NextHolder != l.NextHolder {
		ls.bumpVersion(l)
	}
	version := l.Version
	ls.grantNext(l)
	return Result{Version: version}, nil
}

// openGrants lets a new group start to grant leases.
func (ls *Leases) openGrants() {
	if !ls.grantsClosed {
		return
	}
	ls.grantsClosed = false
	ls.version++
	for _, name := range slices.Sorted(maps.Keys(ls.leases)) {
		ls.grantNext(ls.leases[name])
	}
}

// expireClaims ends expired claims and grants their leases to the next in the queue.
func (ls *Leases) expireClaims(expired []ClaimRef) {
	for _, ref := range expired {
		if l := ls.leases[ref.Lease]; l != nil {
			ls.endClaim(l, ref.ClaimID)
		}
	}
}

// endClaim ends a claim and grants the lease to the next in the queue.
func (ls *Leases) endClaim(l *Lease, id string) {
	if ls.removeClaim(l, id) {
		ls.grantNext(l)
	}
}

// removeClaim removes a claim from the lease and adds its ID to the ended claims. It reports
// whether the lease had that claim.
func (ls *Leases) removeClaim(l *Lease, id string) bool {
	if l.Grant != nil && l.Grant.ID == id {
		l.Grant, l.YieldRequested = nil, false
	} else if i := l.queueIndex(id); i >= 0 {
		l.Queue = slices.Delete(l.Queue, i, i+1)
	} else {
		return false
	}
	ls.endedClaims = append(ls.endedClaims, id)
	if excess := len(ls.endedClaims) - maxEndedClaims; excess > 0 {
		ls.endedClaims = slices.Delete(ls.endedClaims, 0, excess)
	}
	ls.bumpVersion(l)
	return true
}

// hasEnded reports whether a claim is among the recently ended ones.
func (ls *Leases) hasEnded(claimID string) bool { return slices.Contains(ls.endedClaims, claimID) }

// grantable reports whether the lease can be granted to a queued claim.
func (ls *Leases) grantable(l *Lease) bool { return l.Grant == nil && !l.Paused && !ls.grantsClosed }

// grantNext grants a free lease to the queued claim of NextHolder, or else to the claim that
// has been queued longest. It removes a lease that has no claims, unless it is paused.
func (ls *Leases) grantNext(l *Lease) {
	if ls.grantable(l) && len(l.Queue) > 0 && ls.lastToken < MaxVersion {
		i := max(0, slices.IndexFunc(l.Queue, func(c Claim) bool { return c.Name == l.NextHolder }))
		ls.lastToken++
		l.Grant = &Grant{Claim: l.Queue[i], Token: ls.lastToken}
		l.Queue = slices.Delete(l.Queue, i, i+1)
		l.YieldRequested, l.NextHolder = false, ""
		ls.bumpVersion(l)
	}
	if l.Grant == nil && len(l.Queue) == 0 && !l.Paused {
		delete(ls.leases, l.Name)
	}
}

// bumpVersion assigns the next version to a lease that has changed.
func (ls *Leases) bumpVersion(l *Lease) {
	ls.version++
	l.Version = ls.version
}

// checkFence returns an error if there is a fence and its token is not that of the lease's
// current grant.
func (ls *Leases) checkFence(f *Fence) error {
	if f == nil || mutation.SkipFenceCheck {
		return nil
	}
	l := ls.leases[f.Lease]
	switch {
	case l == nil || l.Grant == nil:
		return reject(ErrFenced, "nobody holds %.64s, token %d has ended", f.Lease, f.Token)
	case l.Grant.Token != f.Token:
		return reject(ErrFenced, "%s has token %d, not %d", f.Lease, l.Grant.Token, f.Token)
	}
	return nil
}

// claimState is the state of a claim, which either holds its lease with a token or is queued.
type claimState struct {
	token          uint64
	queuePosition  int
	yieldRequested bool   // the holder is asked to yield the lease
	nextHolder     string // the holder that the lease is to be yielded to
	claimID        string
}

// claimState returns the state of a claim. The error is ErrClaimEnded if the claim has ended
// or never existed.
func (ls *Leases) claimState(name string, c Claim) (claimState, error) {
	l := ls.leases[name]
	if l == nil {
		return claimState{}, reject(ErrClaimEnded, "claim %.64s on %.64s", c.ID, name)
	}
	if g := l.Grant; mutation.RenewByOlderIncarnation && g != nil && g.Name == c.Name {
		return claimState{token: g.Token, claimID: g.ID}, nil
	}
	r, found, err := l.position(c)
	switch {
	case !found:
		return claimState{}, reject(ErrClaimEnded, "claim %.64s on %.64s", c.ID, name)
	case err != nil:
		return claimState{}, err
	}
	return claimState{
		token:          r.Token,
		queuePosition:  r.QueuePosition,
		yieldRequested: r.Token != 0 && l.YieldRequested,
		nextHolder:     l.NextHolder,
		claimID:        c.ID,
	}, nil
}
