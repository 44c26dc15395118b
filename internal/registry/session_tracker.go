package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// SessionTracker measures how long ago each session was renewed. It belongs to the leader
// and is not replicated: a new leader begins with a new one, in which every session has
// its full time to live. It is told the time and reads no clock.
type SessionTracker struct {
	floor      float64
	window     time.Duration
	sessions   map[string]trackedSession // by host
	peaks      []sessionCount            // of the window: the counts fall, the newest is last
	expiryHeld bool
}

// trackedSession is when a session was renewed last, and for how long.
type trackedSession struct {
	session   string
	ttl       time.Duration
	renewedAt time.Time
}

// sessionCount is how many sessions there were at a time.
type sessionCount struct {
	at time.Time
	n  int
}

// NewSessionTracker makes a tracker. Of the sessions that there were within the window, a
// part of at least floor never expires: if that many stop renewing at once, the fault is
// more likely in this group than in all of them.
func NewSessionTracker(floor float64, window time.Duration) *SessionTracker {
	return &SessionTracker{floor: floor, window: window, sessions: make(map[string]trackedSession)}
}

// SetFloor changes the floor and reports whether it differs from the one before.
func (t *SessionTracker) SetFloor(floor float64) (changed bool) {
	changed = floor != t.floor
	t.floor = floor
	return changed
}

// Len returns how many sessions are tracked.
func (t *SessionTracker) Len() int { return len(t.sessions) }

// Sync follows the registrations of the state. A host that is new, or has another session
// or time to live, has its full time from now on.
func (t *SessionTracker) Sync(registrations []Registration, now time.Time) {
	present := make(map[string]bool, len(registrations))
	for _, r := range registrations {
		if r.Session == "" || r.TTLMS <= 0 {
			continue
		}
		present[r.Host] = true
		ttl := time.Duration(r.TTLMS) * time.Millisecond
		if known, ok := t.sessions[r.Host]; !ok || known.session != r.Session || known.ttl != ttl {
			t.sessions[r.Host] = trackedSession{r.Session, ttl, now}
		}
	}
	maps.DeleteFunc(t.sessions, func(host string, _ trackedSession) bool { return !present[host] })
	t.recordPeak(now)
}

// Renew records that a session was renewed. It returns false if the host has no such
// session.
func (t *SessionTracker) Renew(host, session string, now time.Time) bool {
	known, ok := t.sessions[host]
	if !ok || known.session != session {
		return false
	}
	known.renewedAt = now
	t.sessions[host] = known
	return true
}

// recordPeak keeps the highest count of sessions within the window: a queue whose counts
// fall from front to back.
func (t *SessionTracker) recordPeak(now time.Time) {
	n := len(t.sessions)
	for len(t.peaks) > 0 && t.peaks[len(t.peaks)-1].n <= n {
		t.peaks = t.peaks[:len(t.peaks)-1]
	}
	t.peaks = append(t.peaks, sessionCount{now, n})
	for len(t.peaks) > 1 && now.Sub(t.peaks[0].at) > t.window {
		t.peaks = slices.Delete(t.peaks, 0, 1)
	}
}

// Expired returns the sessions whose instances are to be removed, ordered by host. It
// returns none, and held is true, while too many have expired at once; changed says that
// this has just begun or ended.
func (t *SessionTracker) Expired(now time.Time) (expired []SessionRef, held, changed bool) {
	t.recordPeak(now)
	for host, s := range t.sessions {
		if now.Sub(s.renewedAt) >= s.ttl {
			expired = append(expired, SessionRef{host, s.session})
		}
	}
	slices.SortFunc(expired, func(a, b SessionRef) int { return cmp.Compare(a.Host, b.Host) })
	alive := len(t.sessions) - len(expired)
	if held = float64(alive) < t.floor*float64(t.peaks[0].n); held {
		expired = nil
	}
	changed, t.expiryHeld = held != t.expiryHeld, held
	return expired, held, changed
}
