package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"barleywick/internal/mutation"
)

// ClaimTracker counts for how long each claim has given no sign of life. As Sessions
// it is the leader's alone: a new leader begins one of its own, in which every claim
// has its full time before it. Time is told to it; it reads no clock.
type ClaimTracker struct {
	syncedVersion  uint64        // the leases' version that it follows
	maxTTL         time.Duration // the longest time that a claim may have
	claims         map[ClaimRef]trackedClaim
	grantsClosedAt time.Time // when it first saw that no lease is granted yet
	synced         bool
}

type trackedClaim struct {
	ttl     time.Duration
	at      time.Time
	granted bool
	ending  bool // its end is on its way through the log: no renewal is taken any more
}

// NewClaimTracker makes one for a group in which no claim has more than this time.
func NewClaimTracker(longest time.Duration) *ClaimTracker {
	return &ClaimTracker{maxTTL: longest, claims: make(map[ClaimRef]trackedClaim)}
}

// Clone returns a copy.
func (c *ClaimTracker) Clone() *ClaimTracker {
	d := *c
	d.claims = make(map[ClaimRef]trackedClaim, len(c.claims))
	for k, v := range c.claims {
		d.claims[k] = v
	}
	return &d
}

// Sync takes the claims of the state over. One that is new, or has been granted
// its lease since, has its full time from now on.
func (c *ClaimTracker) Sync(s *Leases, now time.Time) {
	if c.synced && c.syncedVersion == s.version {
		return
	}
	c.syncedVersion = s.version
	if !s.grantsClosed {
		c.grantsClosedAt = time.Time{}
	} else if c.grantsClosedAt.IsZero() {
		c.grantsClosedAt = now
	}
	there := make(map[ClaimRef]bool, len(c.claims))
	note := func(name string, claim Claim, granted bool) {
		k := ClaimRef{name, claim.ID}
		there[k] = true
		if was, ok := c.claims[k]; ok && was.granted == granted {
			return
		}
		at := now
		if mutation.ForgetfulLeader && !c.synced {
			at = now.Add(-time.Duration(claim.TTLMS) * time.Millisecond * 3 / 4)
		}
		c.claims[k] = trackedClaim{ttl: time.Duration(claim.TTLMS) * time.Millisecond, at: at, granted: granted}
	}
	for name, l := range s.leases {
		if l.Grant != nil {
			note(name, l.Grant.Claim, true)
		}
		for _, w := range l.Queue {
			note(name, w, false)
		}
	}
	for k := range c.claims {
		if !there[k] {
			delete(c.claims, k)
		}
	}
	c.synced = true
}

// renew notes a sign of life that came at a time. It is false where the claim is not
// followed, or its end has been decided.
func (c *ClaimTracker) renew(name, claim string, at time.Time) bool {
	k := ClaimRef{name, claim}
	was, ok := c.claims[k]
	if !ok || was.ending {
		return false
	}
	if at.After(was.at) {
		was.at = at
		c.claims[k] = was
	}
	return true
}

// RenewClaims tells claims of one process how they stand, and notes the sign of life that
// came with them at a time. Only a leader may that has made sure, after that time,
// that it is one: whoever leads next begins later and gives every claim its full time.
func (c *ClaimTracker) RenewClaims(s *Leases, of Holder, claims []ClaimRef, at time.Time) []ClaimStatus {
	c.Sync(s, at)
	answers := make([]ClaimStatus, len(claims))
	for i, k := range claims {
		a := ClaimStatus{Lease: k.Lease, ClaimID: k.ClaimID}
		stand, err := s.standing(k.Lease, Claim{ID: k.ClaimID, Holder: of})
		switch {
		case err != nil:
			a.Ended = true
		case stand.Leave:
			a.YieldRequested, a.NextHolder = true, stand.To
		case !c.renew(k.Lease, stand.Claim, at):
			a.Ended = true // its end is on its way
		default:
			a.Token, a.QueuePosition = stand.Token, stand.Place
		}
		answers[i] = a
	}
	return answers
}

// TakeExpired returns the claims whose time is up, and whether grants may begin. Whoever
// takes them has them ended: a renewal that comes meanwhile comes too late.
func (c *ClaimTracker) TakeExpired(now time.Time) (ended []ClaimRef, open bool) {
	for k, v := range c.claims {
		if now.Sub(v.at) >= v.ttl {
			v.ending = true
			c.claims[k] = v
			ended = append(ended, k)
		}
	}
	slices.SortFunc(ended, func(a, b ClaimRef) int {
		return cmp.Or(cmp.Compare(a.Lease, b.Lease), cmp.Compare(a.ClaimID, b.ClaimID))
	})
	return ended, !c.grantsClosedAt.IsZero() && now.Sub(c.grantsClosedAt) >= c.maxTTL
}

// Visit tells how every claim stands, in a text that says what will become of it and
// nothing else.
func (c *ClaimTracker) Visit(now time.Time, tell func(k ClaimRef, how string)) {
	keys := slices.SortedFunc(maps.Keys(c.claims), func(a, b ClaimRef) int {
		return cmp.Or(cmp.Compare(a.Lease, b.Lease), cmp.Compare(a.ClaimID, b.ClaimID))
	})
	for _, k := range keys {
		v := c.claims[k]
		tell(k, fmt.Sprint(now.Sub(v.at), v.ttl, v.granted, v.ending))
	}
}

// Len returns how many claims are followed.
func (c *ClaimTracker) Len() int { return len(c.claims) }
