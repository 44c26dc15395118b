package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"barleywick/internal/mutation"
)

// ClaimTracker measures how long ago each claim was renewed. Like a SessionTracker it
// belongs to the leader and is not replicated: a new leader begins with a new one, in
// which every claim has its full time to live. It is told the time and reads no clock.
type ClaimTracker struct {
	synced         bool          // it has followed the leases once
	syncedVersion  uint64        // the leases' version that it followed last
	maxTTL         time.Duration // the longest time to live that a claim may have
	claims         map[ClaimRef]trackedClaim
	grantsClosedAt time.Time // when it first saw that no leases are granted yet; zero: they are
}

// trackedClaim is when a claim was renewed last, and for how long.
type trackedClaim struct {
	ttl       time.Duration
	renewedAt time.Time
	granted   bool
	expired   bool // its end is on its way through the log: it can no longer be renewed
}

// NewClaimTracker makes a tracker for a group in which no claim lives longer than maxTTL
// without a renewal.
func NewClaimTracker(maxTTL time.Duration) *ClaimTracker {
	return &ClaimTracker{maxTTL: maxTTL, claims: make(map[ClaimRef]trackedClaim)}
}

// Clone returns a copy.
func (t *ClaimTracker) Clone() *ClaimTracker {
	c := *t
	c.claims = maps.Clone(t.claims)
	return &c
}

// Len returns how many claims are tracked.
func (t *ClaimTracker) Len() int { return len(t.claims) }

// Sync follows the claims of the state. A claim that is new, or has been granted its
// lease since the last call, has its full time to live from now on.
func (t *ClaimTracker) Sync(leases *Leases, now time.Time) {
	if t.synced && t.syncedVersion == leases.version {
		return
	}
	t.syncedVersion = leases.version
	if !leases.grantsClosed {
		t.grantsClosedAt = time.Time{}
	} else if t.grantsClosedAt.IsZero() {
		t.grantsClosedAt = now
	}
	present := make(map[ClaimRef]bool, len(t.claims))
	for name, l := range leases.leases {
		if l.Grant != nil {
			present[t.track(name, l.Grant.Claim, true, now)] = true
		}
		for _, queued := range l.Queue {
			present[t.track(name, queued, false, now)] = true
		}
	}
	maps.DeleteFunc(t.claims, func(ref ClaimRef, _ trackedClaim) bool { return !present[ref] })
	t.synced = true
}

// track follows one claim of the state.
func (t *ClaimTracker) track(lease string, claim Claim, granted bool, now time.Time) ClaimRef {
	ref := ClaimRef{lease, claim.ID}
	if known, ok := t.claims[ref]; ok && known.granted == granted {
		return ref
	}
	ttl := time.Duration(claim.TTLMS) * time.Millisecond
	renewedAt := now
	if mutation.ShortenLeasesOnElection && !t.synced {
		renewedAt = now.Add(-ttl * 3 / 4)
	}
	t.claims[ref] = trackedClaim{ttl: ttl, renewedAt: renewedAt, granted: granted}
	return ref
}

// renew records that a claim was renewed. It returns false if the claim is not tracked,
// or has expired already.
func (t *ClaimTracker) renew(lease, claimID string, at time.Time) bool {
	ref := ClaimRef{lease, claimID}
	claim, ok := t.claims[ref]
	if !ok || claim.expired {
		return false
	}
	if at.After(claim.renewedAt) {
		claim.renewedAt = at
		t.claims[ref] = claim
	}
	return true
}

// RenewClaims renews claims of one holder as of a time, and returns how each stands. Only
// a leader may call it, after it has verified its leadership later than that time: a
// replica that leads afterwards begins later, and gives every claim its full time.
func (t *ClaimTracker) RenewClaims(leases *Leases, holder Holder, claims []ClaimRef, at time.Time) []ClaimStatus {
	t.Sync(leases, at)
	statuses := make([]ClaimStatus, len(claims))
	for i, ref := range claims {
		statuses[i] = t.renewClaim(leases, holder, ref, at)
	}
	return statuses
}

func (t *ClaimTracker) renewClaim(leases *Leases, holder Holder, ref ClaimRef, at time.Time) ClaimStatus {
	status := ClaimStatus{Lease: ref.Lease, ClaimID: ref.ClaimID}
	standing, err := leases.standing(ref.Lease, Claim{ID: ref.ClaimID, Holder: holder})
	switch {
	case err != nil:
		status.Ended = true
	case standing.yieldRequested: // not renewed
		status.YieldRequested, status.NextHolder = true, standing.nextHolder
	case !t.renew(ref.Lease, standing.claimID, at):
		status.Ended = true
	default:
		status.Token, status.QueuePosition = standing.token, standing.queuePosition
	}
	return status
}

// TakeExpired returns the claims whose time to live is over, in order, and whether the
// group may open its grants. The caller ends these claims: they can no longer be renewed.
func (t *ClaimTracker) TakeExpired(now time.Time) (expired []ClaimRef, openGrants bool) {
	for ref, claim := range t.claims {
		if now.Sub(claim.renewedAt) >= claim.ttl {
			claim.expired = true
			t.claims[ref] = claim
			expired = append(expired, ref)
		}
	}
	slices.SortFunc(expired, compareClaimRefs)
	openGrants = !t.grantsClosedAt.IsZero() && now.Sub(t.grantsClosedAt) >= t.maxTTL
	return expired, openGrants
}

// Visit calls visit for every claim, in order, with a text that tells claims apart which
// will fare differently, and no others.
func (t *ClaimTracker) Visit(now time.Time, visit func(ref ClaimRef, state string)) {
	for _, ref := range slices.SortedFunc(maps.Keys(t.claims), compareClaimRefs) {
		claim := t.claims[ref]
		visit(ref, fmt.Sprint(now.Sub(claim.renewedAt), claim.ttl, claim.granted, claim.expired))
	}
}

func compareClaimRefs(a, b ClaimRef) int {
	return cmp.Or(cmp.Compare(a.Lease, b.Lease), cmp.Compare(a.ClaimID, b.ClaimID))
}
