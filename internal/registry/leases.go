package registry

import (
	"fmt"
	"maps"
	"slices"

	"barleywick/internal/mutation"
)

const (
	maxLeases      = 4096
	maxQueue       = 64   // who waits for one lease
	maxEndedClaims = 1024 // claims remembered as ended, so that a late call does not begin one again
	minClaimID     = 8    // characters of a claim's id: it has to be unlike all others
)

// Leases is the part of the state machine that is about leases. When a claim's time
// is up is not its to know: the leader counts (LeaseClock) and says so by LeaseEnd.
type Leases struct {
	leases       map[string]*Lease
	lastToken    uint64 // the last one given
	version      uint64 // of the last change of any lease
	grantsClosed bool   // no lease is granted yet: leases that nobody here knows of may not have run out
	endedClaims  []string
}

// newLeases makes an empty one, whose tokens and versions begin after a number.
func newLeases(after uint64) *Leases {
	return &Leases{leases: make(map[string]*Lease), lastToken: after, version: after}
}

// Clone returns a copy that shares nothing that changes.
func (s *Leases) Clone() *Leases {
	c := *s
	c.leases = make(map[string]*Lease, len(s.leases))
	for name, l := range s.leases {
		c.leases[name] = l.clone()
	}
	c.endedClaims = slices.Clone(s.endedClaims)
	return &c
}

// apply carries one command out.
func (s *Leases) apply(op Op, c *LeaseCommand) Result {
	if c == nil {
		return failed(fmt.Errorf("%w: no lease is named", ErrInvalid))
	}
	switch op {
	case OpOpenGrants:
		s.openGrants()
		return Result{Version: s.version}
	case OpExpireClaims:
		for _, e := range c.Expired {
			if l := s.leases[e.Lease]; l != nil {
				s.endClaim(l, e.ClaimID)
			}
		}
		return Result{Version: s.version}
	}
	if err := CheckName("lease", c.Name); err != nil {
		return failed(fmt.Errorf("%w: %w", ErrInvalid, err))
	}
	switch op {
	case OpAcquireLease:
		return s.acquire(c)
	case OpReleaseLease:
		return s.release(c)
	case OpRequestYield:
		return s.requestYield(c)
	}
	return failed(fmt.Errorf("%w: operation %.32q", ErrInvalid, op))
}

func checkClaim(c Claim) error {
	if err := CheckName("holder", c.Name); err != nil {
		return err
	}
	if err := CheckName("claim", c.ID); err != nil {
		return err
	}
	switch {
	case len(c.ID) < minClaimID:
		return fmt.Errorf("claim has %d characters, at least %d are needed: no two claims may ever be alike", len(c.ID), minClaimID)
	case c.Incarnation > MaxVersion:
		return fmt.Errorf("incarnation is %d, %d at most", c.Incarnation, uint64(MaxVersion))
	case c.TTLMS <= 0:
		return fmt.Errorf("ttl_ms is %d, it must be above 0", c.TTLMS)
	}
	return nil
}

// acquire takes a claim in. The same claim again is told how it stands.
func (s *Leases) acquire(c *LeaseCommand) Result {
	if err := checkClaim(c.Claim); err != nil {
		return failed(fmt.Errorf("%w: %w", ErrInvalid, err))
	}
	if slices.Contains(s.endedClaims, c.Claim.ID) {
		return failed(fmt.Errorf("%w: claim %s", ErrClaimEnded, c.Claim.ID))
	}
	l := s.leases[c.Name]
	if l == nil {
		if len(s.leases) >= maxLeases {
			return failed(fmt.Errorf("%w: there are %d leases", ErrLimitReached, len(s.leases)))
		}
		l = &Lease{Name: c.Name}
	}
	if r, ok := l.position(c.Claim); ok {
		return r
	}
	// Of two processes with one name the newer one counts. It gets no lease before the
	// older one's time is up: that one may still act.
	for _, other := range l.claims() {
		if other.Name == c.Claim.Name && other.Incarnation > c.Claim.Incarnation {
			return failed(fmt.Errorf("%w: a later process named %s has a claim on %s", ErrConflict, other.Name, c.Name))
		}
	}
	if l.Grant != nil && !c.Wait {
		return failed(fmt.Errorf("%w: %s holds %s", ErrLeaseHeld, l.Grant.Name, l.Name))
	}
	if (l.Paused || s.grantsClosed) && !c.Wait {
		return failed(fmt.Errorf("%w: %s cannot be granted now (paused, or the group began or was restored lately)", ErrLeaseHeld, l.Name))
	}
	for _, other := range slices.Clone(l.Queue) {
		if other.Name == c.Claim.Name {
			s.removeClaim(l, other.ID)
		}
	}
	if len(l.Queue) >= maxQueue {
		return failed(fmt.Errorf("%w: %d wait for %s", ErrLimitReached, len(l.Queue), l.Name))
	}
	if l.grantable(s.grantsClosed) && s.lastToken >= MaxVersion {
		return failed(fmt.Errorf("%w: the tokens are used up", ErrLimitReached))
	}
	s.leases[c.Name] = l
	l.Queue = append(l.Queue, c.Claim)
	s.touch(l)
	s.grantNext(l)
	r, _ := l.position(c.Claim)
	return r
}

// grantNext gives a free lease to the one that was named, or else to who waits longest.
func (s *Leases) grantNext(l *Lease) {
	if l.grantable(s.grantsClosed) && len(l.Queue) > 0 && s.lastToken < MaxVersion {
		i := max(0, slices.IndexFunc(l.Queue, func(c Claim) bool { return c.Name == l.NextHolder }))
		s.lastToken++
		l.Grant = &Grant{Claim: l.Queue[i], Token: s.lastToken}
		l.Queue = slices.Delete(l.Queue, i, i+1)
		l.YieldRequested, l.NextHolder = false, ""
		s.touch(l)
	}
	if l.Grant == nil && len(l.Queue) == 0 && !l.Paused {
		delete(s.leases, l.Name)
	}
}

func (s *Leases) touch(l *Lease) {
	s.version++
	l.Version = s.version
}

// removeClaim takes a claim out and remembers that it has ended.
func (s *Leases) removeClaim(l *Lease, id string) bool {
	if l.Grant != nil && l.Grant.ID == id {
		l.Grant, l.YieldRequested = nil, false
	} else if i := slices.IndexFunc(l.Queue, func(c Claim) bool { return c.ID == id }); i >= 0 {
		l.Queue = slices.Delete(l.Queue, i, i+1)
	} else {
		return false
	}
	s.endedClaims = append(s.endedClaims, id)
	if over := len(s.endedClaims) - maxEndedClaims; over > 0 {
		s.endedClaims = slices.Delete(s.endedClaims, 0, over)
	}
	s.touch(l)
	return true
}

// endClaim ends a claim, and grants the lease to the next.
func (s *Leases) endClaim(l *Lease, id string) {
	if s.removeClaim(l, id) {
		s.grantNext(l)
	}
}

// release gives a claim up. It ends that claim and no other: one that comes late
// finds its claim ended and changes nothing.
func (s *Leases) release(c *LeaseCommand) Result {
	l := s.leases[c.Name]
	if mutation.LooseRelease && l != nil && l.Grant != nil {
		c.Claim = l.Grant.Claim
	}
	if l == nil || slices.Contains(s.endedClaims, c.Claim.ID) {
		return Result{Version: s.version}
	}
	r, known := l.position(c.Claim)
	switch {
	case !known:
		return failed(fmt.Errorf("%w: no claim %.64s on %s", ErrNotFound, c.Claim.ID, c.Name))
	case r.Err != nil:
		return r
	case c.NextHolder != "" && !l.hasQueued(c.NextHolder):
		return Result{Version: l.Version, Err: fmt.Errorf("%w: %.64s does not wait for %s", ErrNotFound, c.NextHolder, c.Name)}
	}
	if c.NextHolder != "" {
		l.NextHolder = c.NextHolder
	}
	s.endClaim(l, c.Claim.ID)
	return Result{Version: s.version}
}

// requestYield notes what an operator wants of a lease. Nothing is taken from its holder: it
// is told at its next renewal, which does not prolong its time, and gives it up.
func (s *Leases) requestYield(c *LeaseCommand) Result {
	l := s.leases[c.Name]
	switch {
	case l != nil:
	case c.Pause == nil || !*c.Pause:
		return failed(fmt.Errorf("%w: lease %s", ErrNotFound, c.Name))
	case len(s.leases) >= maxLeases:
		return failed(fmt.Errorf("%w: there are %d leases", ErrLimitReached, len(s.leases)))
	default:
		l = &Lease{Name: c.Name}
	}
	switch {
	case c.NextHolder != "" && !l.hasQueued(c.NextHolder):
		return Result{Version: l.Version, Err: fmt.Errorf("%w: %.64s does not wait for %s", ErrNotFound, c.NextHolder, c.Name)}
	case c.Yield && l.Grant == nil:
		return Result{Version: l.Version, Err: fmt.Errorf("%w: nobody holds %s", ErrNotFound, c.Name)}
	}
	s.leases[c.Name] = l
	was := *l
	if c.Pause != nil {
		l.Paused = *c.Pause
		l.YieldRequested = l.Paused && l.Grant != nil
	}
	if c.Yield {
		l.YieldRequested, l.NextHolder = true, c.NextHolder
	}
	if was.Paused != l.Paused || was.YieldRequested != l.YieldRequested || was.NextHolder != l.NextHolder {
		s.touch(l)
	}
	version := l.Version
	s.grantNext(l)
	return Result{Version: version}
}

// openGrants lets grants begin.
func (s *Leases) openGrants() {
	if !s.grantsClosed {
		return
	}
	s.grantsClosed = false
	s.version++
	for _, name := range slices.Sorted(maps.Keys(s.leases)) {
		s.grantNext(s.leases[name])
	}
}

// GrantsClosed says that no lease is granted yet.
func (s *Leases) GrantsClosed() bool { return s.grantsClosed }

// checkFence says why a command with a fence is not to be carried out.
func (s *Leases) checkFence(f *Fence) error {
	if f == nil || mutation.FenceOff {
		return nil
	}
	l := s.leases[f.Lease]
	switch {
	case l == nil || l.Grant == nil:
		return fmt.Errorf("%w: nobody holds %.64s, token %d has ended", ErrFenced, f.Lease, f.Token)
	case l.Grant.Token != f.Token:
		return fmt.Errorf("%w: %s has token %d, not %d", ErrFenced, f.Lease, l.Grant.Token, f.Token)
	}
	return nil
}

// standing tells a claim how it stands; ErrGone says that it has ended or never was.
func (s *Leases) standing(name string, c Claim) (claimStanding, error) {
	l := s.leases[name]
	if l == nil {
		return claimStanding{}, fmt.Errorf("%w: claim %.64s on %.64s", ErrClaimEnded, c.ID, name)
	}
	if g := l.Grant; mutation.OldIncarnation && g != nil && g.Name == c.Name {
		return claimStanding{Token: g.Token, Claim: g.ID}, nil
	}
	r, known := l.position(c)
	switch {
	case !known:
		return claimStanding{}, fmt.Errorf("%w: claim %.64s on %.64s", ErrClaimEnded, c.ID, name)
	case r.Err != nil:
		return claimStanding{}, r.Err
	}
	return claimStanding{Token: r.Token, Place: r.QueuePosition, Leave: r.Token != 0 && l.YieldRequested, To: l.NextHolder, Claim: c.ID}, nil
}

// claimStanding is how a claim stands: it holds its lease with a token, or waits at a place.
type claimStanding struct {
	Token uint64
	Place int
	Leave bool   // the holder is asked to give it up
	To    string // to this one
	Claim string
}

// List returns all leases by name, and their version.
func (s *Leases) List() ([]Lease, uint64) {
	all := make([]Lease, 0, len(s.leases))
	for _, name := range slices.Sorted(maps.Keys(s.leases)) {
		all = append(all, *s.leases[name].clone())
	}
	return all, s.version
}

// Lease returns one lease.
func (s *Leases) Lease(name string) (Lease, bool) {
	if l := s.leases[name]; l != nil {
		return *l.clone(), true
	}
	return Lease{}, false
}

// Version returns the version of the last change.
func (s *Leases) Version() uint64 { return s.version }

// LastToken returns the last token that was given.
func (s *Leases) LastToken() uint64 { return s.lastToken }
