package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// SessionTracker measures the time since each session's last renewal. It belongs to the
// leader and is not replicated: a new leader starts with a new tracker, in which every
// session has its full time to live. The caller passes the current time; the tracker
// reads no clock.
type SessionTracker struct {
	floor      float64
	window     time.Duration
	sessions   map[string]trackedSession // by host
	peaks      []sessionCount            // within the window, in order of time, with strictly decreasing counts
	expiryHeld bool
}

// trackedSession is a session's time to live and its last renewal.
type trackedSession struct {
	session   string
	ttl       time.Duration
	renewedAt time.Time
}

// sessionCount is the number of sessions at a time.
type sessionCount struct {
	at time.Time
	n  int
}

// NewSessionTracker returns a tracker. Expiry is suspended while it would leave fewer than
// the fraction floor of the highest number of sessions within the window: if so many
// instances stop renewing at once, the fault is more likely in this group than in all of
// the instances.
func NewSessionTracker(floor float64, window time.Duration) *SessionTracker {
	return &SessionTracker{floor: floor, window: window, sessions: make(map[string]trackedSession)}
}

// SetFloor changes the floor and reports whether the new value differs from the old one.
func (t *SessionTracker) SetFloor(floor float64) (changed bool) {
	changed = floor != t.floor
	t.floor = floor
	return changed
}

// Len returns the number of tracked sessions.
func (t *SessionTracker) Len() int { return len(t.sessions) }

// Sync updates the tracked sessions from the registrations of the state. A host that is new,
// or has another session or time to live, has its full time to live starting now.
func (t *SessionTracker) Sync(registrations []Registration, now time.Time) {
	present := make(map[string]bool, len(registrations))
	for _, r := range registrations {
		if r.Session == "" || r.TTLMS <= 0 {
			continue
		}
		present[r.Host] = true
		ttl := time.Duration(r.TTLMS) * time.Millisecond
		if tracked, ok := t.sessions[r.Host]; !ok || tracked.session != r.Session || tracked.ttl != ttl {
			t.sessions[r.Host] = trackedSession{r.Session, ttl, now}
		}
	}
	maps.DeleteFunc(t.sessions, func(host string, _ trackedSession) bool { return !present[host] })
	t.recordPeak(now)
}

// Renew records a renewal. It returns false if the host has no such session.
func (t *SessionTracker) Renew(host, session string, now time.Time) bool {
	tracked, ok := t.sessions[host]
	if !ok || tracked.session != session {
		return false
	}
	tracked.renewedAt = now
	t.sessions[host] = tracked
	return true
}

// recordPeak maintains the maximum number of sessions within the window, as a queue whose
// counts decrease from front to back.
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

// Expired returns the sessions whose instances are to be removed, ordered by host. While
// too many sessions have expired at once, it returns none and held is true; changed reports
// whether held differs from the previous call.
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
