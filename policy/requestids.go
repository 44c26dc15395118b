package policy

import "time"

// requestIDRetention is how long the id of a request that may have run is remembered: longer than any server
// may take for it, and than any client's timeout.
const requestIDRetention = 5 * time.Minute

// RequestIDs decides whether a request with a given id may be sent. An id must not be in use twice at a time, and
// one whose request may have run must not come again, unless its class is safe to repeat. Ids are given as
// keys, which their owner computes. RequestIDs is not safe for concurrent use.
type RequestIDs struct {
	maxRemembered int
	open          map[uint64]struct{} // requests that are in progress, or an attempt of theirs is
	remembered    map[uint64]struct{} // requests that have ended and may have run
	order         []rememberedID      // of remembered; a ring of at most maxRemembered entries
	oldest        int                 // index in order
	count         int                 // of the entries in order
}

// rememberedID is an id with the time until which it is remembered.
type rememberedID struct {
	key   uint64
	until time.Duration
}

// NewRequestIDs returns a RequestIDs that remembers up to maxRemembered ids. Beyond that it forgets the oldest.
func NewRequestIDs(maxRemembered int) *RequestIDs {
	return &RequestIDs{
		maxRemembered: max(maxRemembered, 1),
		open:          make(map[uint64]struct{}), remembered: make(map[uint64]struct{}),
	}
}

// InUse reports whether a request with this id must not be sent.
func (ids *RequestIDs) InUse(key uint64) bool {
	_, isOpen := ids.open[key]
	_, mayHaveRun := ids.remembered[key]
	return isOpen || mayHaveRun
}

// Reserve marks an id as open. It returns false if the id must not be used.
func (ids *RequestIDs) Reserve(now time.Duration, key uint64) bool {
	ids.forgetExpired(now)
	if ids.InUse(key) {
		return false
	}
	ids.open[key] = struct{}{}
	return true
}

// Release reports that a request and all of its attempts have ended. mayHaveRun means that an attempt may have
// had an effect that must not occur again.
func (ids *RequestIDs) Release(now time.Duration, key uint64, mayHaveRun bool) {
	delete(ids.open, key)
	ids.forgetExpired(now)
	if !mayHaveRun {
		return
	}
	if ids.count == ids.maxRemembered {
		ids.forgetOldest()
	}
	ids.remembered[key] = struct{}{}
	ids.push(rememberedID{key: key, until: now + requestIDRetention})
}

// push adds an entry behind the newest.
func (ids *RequestIDs) push(entry rememberedID) {
	if ids.count == len(ids.order) {
		ids.grow()
	}
	ids.order[(ids.oldest+ids.count)%len(ids.order)] = entry
	ids.count++
}

// grow makes room in order for further entries.
func (ids *RequestIDs) grow() {
	const initialSize = 64
	larger := make([]rememberedID, min(max(2*len(ids.order), initialSize), ids.maxRemembered))
	n := copy(larger, ids.order[ids.oldest:])
	copy(larger[n:], ids.order[:ids.oldest])
	ids.order, ids.oldest = larger, 0
}

func (ids *RequestIDs) forgetExpired(now time.Duration) {
	for ids.count > 0 && ids.order[ids.oldest].until <= now {
		ids.forgetOldest()
	}
}

func (ids *RequestIDs) forgetOldest() {
	delete(ids.remembered, ids.order[ids.oldest].key)
	ids.oldest = (ids.oldest + 1) % len(ids.order)
	ids.count--
}

// MayHaveRun reports whether an attempt with this ending may have had an effect.
func (e Ending) MayHaveRun() bool {
	switch e {
	case Rejected, NoConnection, NotSent:
		return false
	}
	return true
}
