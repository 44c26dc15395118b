package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"barleywick/internal/mutation"
)

// ClaimTracker measures the time since each claim's last renewal. Like a SessionTracker it
// belongs to the leader and is not replicated: a new leader starts with a new tracker, in
// which every claim has its full time to live. The caller passes the current time; the
// tracker reads no clock.
type ClaimTracker struct {
	synced         bool          // Sync has been called at least once
	syncedVersion  uint64        // the leases' version at the last Sync
	maxTTL         time.Duration // the maximum time to live of a claim
	claims         map[ClaimRef]trackedClaim
	grantsClosedAt time.Time // when Sync first found the grants closed; zero: they are open
}

// trackedClaim is a claim's time to live and its last renewal.
type trackedClaim struct {
	ttl       time.Duration
	renewedAt time.Time
	granted   bool
	expired   bool // the command that ends it is being committed: it can no longer be renewed
}

// NewClaimTracker returns a tracker for a group in which no claim's time to live exceeds
// maxTTL.
func NewClaimTracker(maxTTL time.Duration) *ClaimTracker {
	return &ClaimTracker{maxTTL: maxTTL, claims: make(map[ClaimRef]trackedClaim)}
}

// Clone returns an independent copy of the tracker.
func (t *ClaimTracker) Clone() *ClaimTracker {
	c := *t
	c.claims = maps.Clone(t.claims)
	return &c
}

// Len returns the number of tracked claims.
func (t *ClaimTracker) Len() int { return len(t.claims) }

// Sync updates the tracked claims from the state. A claim that is new, or was granted its
// lease since the last call, has its full time to live starting now.
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

// track starts or continues to track one claim of the state.
func (t *ClaimTracker) track(lease string, claim Claim, granted bool, now time.Time) ClaimRef {
	ref := ClaimRef{lease, claim.ID}
	if tracked, ok := t.claims[ref]; ok && tracked.granted == granted {
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

// renew records a renewal. It returns false if the claim is not tracked or has already
// expired.
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

// RenewClaims renews claims of one holder as of a time, and returns their statuses. Only
// a leader may call it, and only after it has verified its leadership at a moment later
// than that time: any later leader then starts its tracker after the renewal and gives
// every claim its full time to live.
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
	state, err := leases.claimState(ref.Lease, Claim{ID: ref.ClaimID, Holder: holder})
	switch {
	case err != nil:
		status.Ended = true
	case state.yieldRequested: // not renewed
		status.YieldRequested, status.NextHolder = true, state.nextHolder
	case !t.renew(ref.Lease, state.claimID, at):
		status.Ended = true
	default:
		status.Token, status.QueuePosition = state.token, state.queuePosition
	}
	return status
}

// TakeExpired returns the expired claims, sorted, and whether the group may start to grant
// leases. The caller has to end these claims: they can no longer be renewed.
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

// Visit calls visit for every claim, in order, with a text that differs between two claims
// if and only if the tracker may treat them differently.
func (t *ClaimTracker) Visit(now time.Time, visit func(ref ClaimRef, state string)) {
	for _, ref := range slices.SortedFunc(maps.Keys(t.claims), compareClaimRefs) {
		claim := t.claims[ref]
		visit(ref, fmt.Sprint(now.Sub(claim.renewedAt), claim.ttl, claim.granted, claim.expired))
	}
}

func compareClaimRefs(a, b ClaimRef) int {
	return cmp.Or(cmp.Compare(a.Lease, b.Lease), cmp.Compare(a.ClaimID, b.ClaimID))
}
