package registry

import (
	"maps"
	"slices"

	"barleywick/internal/mutation"
)

const (
	maxLeases      = 4096
	maxQueue       = 64   // claims that wait for one lease
	maxEndedClaims = 1024 // ended claims that are remembered, so that a late call does not begin one again
	minClaimID     = 8    // characters of a claim's ID, which has to be unlike all others
)

// Leases is the part of the state machine that concerns leases. It does not know when the
// time to live of a claim is over: the leader does (ClaimTracker) and ends it with
// OpExpireClaims.
type Leases struct {
	leases    map[string]*Lease
	lastToken uint64 // the last fencing token that was given
	version   uint64 // counts the changes of all leases
	// grantsClosed holds grants back in a new group: leases that an earlier group of the
	// same name granted may not have run out.
	grantsClosed bool
	endedClaims  []string // the IDs of the claims that ended last, the newest last
}

// newLeases returns no leases; tokens and versions begin after a number.
func newLeases(after uint64) *Leases {
	return &Leases{leases: make(map[string]*Lease), lastToken: after, version: after}
}

// Clone returns a copy that shares nothing that changes.
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

// Lease returns one lease.
func (ls *Leases) Lease(name string) (Lease, bool) {
	if l := ls.leases[name]; l != nil {
		return *l.clone(), true
	}
	return Lease{}, false
}

// Version returns the version of the last change.
func (ls *Leases) Version() uint64 { return ls.version }

// LastToken returns the last fencing token that was given.
func (ls *Leases) LastToken() uint64 { return ls.lastToken }

// GrantsClosed reports whether the group does not grant leases yet.
func (ls *Leases) GrantsClosed() bool { return ls.grantsClosed }

// apply carries out one command.
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

// leaseOrNew returns a lease, or a new one that does not belong to the state yet.
func (ls *Leases) leaseOrNew(name string) (*Lease, error) {
	if l := ls.leases[name]; l != nil {
		return l, nil
	}
	if len(ls.leases) >= maxLeases {
		return nil, limitReached("there are %d leases", len(ls.leases))
	}
	return &Lease{Name: name}, nil
}

// acquire adds a claim. If it is there already, the result says how it stands.
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
	if r, known, err := l.position(c.Claim); known {
		return r, err
	}
	if err := ls.checkAcquire(l, c); err != nil {
		return Result{}, err
	}
	// A process that has started again replaces the claims of its earlier incarnation in
	// the queue.
	for _, other := range slices.Clone(l.Queue) {
		if other.Name == c.Claim.Name {
			ls.removeClaim(l, other.ID)
		}
	}
	if len(l.Queue) >= maxQueue {
		return Result{}, limitReached("%d wait for %s", len(l.Queue), l.Name)
	}
	if ls.grantable(l) && ls.lastToken >= MaxVersion {
		return Result{}, limitReached("the tokens are used up")
	}
	ls.leases[c.Name] = l
	l.Queue = append(l.Queue, c.Claim)
	ls.touch(l)
	ls.grantNext(l)
	r, _, err := l.position(c.Claim)
	return r, err
}

// checkAcquire returns an error if a new claim may not be added to the lease.
func (ls *Leases) checkAcquire(l *Lease, c *LeaseCommand) error {
	// Of two processes with the same name the newer one counts. It gets no lease before the
	// claim of the older one expires: that process may still act.
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

// release ends a claim and no other: a call that comes late finds its claim ended and
// changes nothing.
func (ls *Leases) release(c *LeaseCommand) (Result, error) {
	l := ls.leases[c.Name]
	if mutation.ReleaseAnyGrant && l != nil && l.Grant != nil {
		c.Claim = l.Grant.Claim
	}
	if l == nil || ls.hasEnded(c.Claim.ID) {
		return Result{Version: ls.version}, nil
	}
	r, known, err := l.position(c.Claim)
	switch {
	case !known:
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

// requestYield records what an operator wants of a lease. It takes nothing from the
// holder, who learns of it at the next renewal. That renewal does not extend the
// holder's time.
func (ls *Leases) requestYield(c *LeaseCommand) (Result, error) {
	pauses := c.Pause != nil && *c.Pause
	if ls.leases[c.Name] == nil && !pauses {
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
		return Result{Version: l.Version}, notFound("nobody holds %s", c.Name)
	}
	ls.leases[c.Name] = l
	before := *l
	if c.Pause != nil {
		l.Paused = pauses
		l.YieldRequested = pauses && l.Grant != nil
	}
	if c.Yield {
		l.YieldRequested, l.NextHolder = true, c.NextHolder
	}
	if before.Paused != l.Paused || before.YieldRequested != l.YieldRequested || before.NextHolder != l.NextHolder {
		ls.touch(l)
	}
	version := l.Version
	ls.grantNext(l)
	return Result{Version: version}, nil
}

// openGrants lets a new group begin to grant leases.
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

// expireClaims ends claims, and grants their leases to the next.
func (ls *Leases) expireClaims(expired []ClaimRef) {
	for _, ref := range expired {
		if l := ls.leases[ref.Lease]; l != nil {
			ls.endClaim(l, ref.ClaimID)
		}
	}
}

// endClaim ends a claim, and grants the lease to the next.
func (ls *Leases) endClaim(l *Lease, id string) {
	if ls.removeClaim(l, id) {
		ls.grantNext(l)
	}
}

// removeClaim removes a claim from the lease and remembers that it has ended. It reports
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
	ls.touch(l)
	return true
}

// hasEnded reports whether a claim is remembered as ended.
func (ls *Leases) hasEnded(claimID string) bool { return slices.Contains(ls.endedClaims, claimID) }

// grantable reports whether the next claim in the queue may have the lease.
func (ls *Leases) grantable(l *Lease) bool { return l.Grant == nil && !l.Paused && !ls.grantsClosed }

// grantNext grants a free lease to the holder that was named, or else to the claim that
// has waited longest. It removes a lease that nobody claims.
func (ls *Leases) grantNext(l *Lease) {
	if ls.grantable(l) && len(l.Queue) > 0 && ls.lastToken < MaxVersion {
		i := max(0, slices.IndexFunc(l.Queue, func(c Claim) bool { return c.Name == l.NextHolder }))
		ls.lastToken++
		l.Grant = &Grant{Claim: l.Queue[i], Token: ls.lastToken}
		l.Queue = slices.Delete(l.Queue, i, i+1)
		l.YieldRequested, l.NextHolder = false, ""
		ls.touch(l)
	}
	if l.Grant == nil && len(l.Queue) == 0 && !l.Paused {
		delete(ls.leases, l.Name)
	}
}

// touch gives a lease that has changed the next version.
func (ls *Leases) touch(l *Lease) {
	ls.version++
	l.Version = ls.version
}

// checkFence returns an error if a command with this fence must be rejected.
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

// claimStanding is how a claim stands: it holds its lease with a token, or is queued.
type claimStanding struct {
	token          uint64
	queuePosition  int
	yieldRequested bool   // the holder is asked to release the lease
	nextHolder     string // to this one
	claimID        string
}

// standing returns how a claim stands. The error is ErrClaimEnded if the claim has ended
// or never existed.
func (ls *Leases) standing(name string, c Claim) (claimStanding, error) {
	l := ls.leases[name]
	if l == nil {
		return claimStanding{}, reject(ErrClaimEnded, "claim %.64s on %.64s", c.ID, name)
	}
	if g := l.Grant; mutation.RenewByOlderIncarnation && g != nil && g.Name == c.Name {
		return claimStanding{token: g.Token, claimID: g.ID}, nil
	}
	r, known, err := l.position(c)
	switch {
	case !known:
		return claimStanding{}, reject(ErrClaimEnded, "claim %.64s on %.64s", c.ID, name)
	case err != nil:
		return claimStanding{}, err
	}
	return claimStanding{
		token:          r.Token,
		queuePosition:  r.QueuePosition,
		yieldRequested: r.Token != 0 && l.YieldRequested,
		nextHolder:     l.NextHolder,
		claimID:        c.ID,
	}, nil
}
