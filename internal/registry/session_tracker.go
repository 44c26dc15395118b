package registry

import (
	"cmp"
	"slices"
	"time"
)

// SessionTracker counts how long ago each session was renewed. It is the leader's alone
// and not replicated: a new leader begins one of its own, in which every session
// has its full time to live before it. Time is told to it; it reads no clock.
type SessionTracker struct {
	floor      float64
	window     time.Duration
	sessions   map[string]trackedSession // by host
	peaks      []sessionCount            // how many sessions there were, the newest last
	expiryHeld bool
}

type trackedSession struct {
	session string
	ttl     time.Duration
	at      time.Time
}

type sessionCount struct {
	at time.Time
	n  int
}

// NewSessionTracker makes one. Of the sessions that there were within a time, a part of
// at least floor is never removed for its silence: where that many fall silent at
// once, the fault is more likely here than with them.
func NewSessionTracker(floor float64, within time.Duration) *SessionTracker {
	return &SessionTracker{floor: floor, window: within, sessions: make(map[string]trackedSession)}
}

// SetFloor puts another floor in force, and says whether it is another.
func (s *SessionTracker) SetFloor(floor float64) bool {
	changed := floor != s.floor
	s.floor = floor
	return changed
}

// Sync takes the entries of the state over. What is new, or has another session
// or time to live, has its full time from now on; what has left is forgotten.
func (s *SessionTracker) Sync(entries []Registration, now time.Time) {
	there := make(map[string]bool, len(entries))
	for _, e := range entries {
		if e.Session == "" || e.TTLMS <= 0 {
			continue
		}
		there[e.Host] = true
		ttl := time.Duration(e.TTLMS) * time.Millisecond
		if h, ok := s.sessions[e.Host]; !ok || h.session != e.Session || h.ttl != ttl {
			s.sessions[e.Host] = trackedSession{e.Session, ttl, now}
		}
	}
	for host := range s.sessions {
		if !there[host] {
			delete(s.sessions, host)
		}
	}
	s.recordPeak(now)
}

// Renew notes a sign of life. It is false where the host has no such session.
func (s *SessionTracker) Renew(host, session string, now time.Time) bool {
	h, ok := s.sessions[host]
	if !ok || h.session != session {
		return false
	}
	h.at = now
	s.sessions[host] = h
	return true
}

// recordPeak keeps the most sessions there were within the time, as a queue whose
// numbers fall from front to back.
func (s *SessionTracker) recordPeak(now time.Time) {
	n := len(s.sessions)
	for len(s.peaks) > 0 && s.peaks[len(s.peaks)-1].n <= n {
		s.peaks = s.peaks[:len(s.peaks)-1]
	}
	s.peaks = append(s.peaks, sessionCount{now, n})
	for len(s.peaks) > 1 && now.Sub(s.peaks[0].at) > s.window {
		s.peaks = slices.Delete(s.peaks, 0, 1)
	}
}

// Expired returns the sessions that have ended and may be removed. held tells that
// there are more, or all, that are held back as too many ended at once; changed,
// that this has just begun or ended.
func (s *SessionTracker) Expired(now time.Time) (ended []SessionRef, held, changed bool) {
	s.recordPeak(now)
	for host, h := range s.sessions {
		if now.Sub(h.at) >= h.ttl {
			ended = append(ended, SessionRef{host, h.session})
		}
	}
	slices.SortFunc(ended, func(a, b SessionRef) int { return cmp.Compare(a.Host, b.Host) })
	if held = float64(len(s.sessions)-len(ended)) < s.floor*float64(s.peaks[0].n); held {
		ended = nil
	}
	changed, s.expiryHeld = held != s.expiryHeld, held
	return ended, held, changed
}

// Len returns how many sessions are followed.
func (s *SessionTracker) Len() int { return len(s.sessions) }
