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
	floor  float64
	within time.Duration
	last   map[string]heard // by host
	most   []sample         // how many sessions there were, the newest last
	held   bool
}

type heard struct {
	session string
	ttl     time.Duration
	at      time.Time
}

type sample struct {
	at time.Time
	n  int
}

// NewSessionTracker makes one. Of the sessions that there were within a time, a part of
// at least floor is never removed for its silence: where that many fall silent at
// once, the fault is more likely here than with them.
func NewSessionTracker(floor float64, within time.Duration) *SessionTracker {
	return &SessionTracker{floor: floor, within: within, last: make(map[string]heard)}
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
		if h, ok := s.last[e.Host]; !ok || h.session != e.Session || h.ttl != ttl {
			s.last[e.Host] = heard{e.Session, ttl, now}
		}
	}
	for host := range s.last {
		if !there[host] {
			delete(s.last, host)
		}
	}
	s.count(now)
}

// Renew notes a sign of life. It is false where the host has no such session.
func (s *SessionTracker) Renew(host, session string, now time.Time) bool {
	h, ok := s.last[host]
	if !ok || h.session != session {
		return false
	}
	h.at = now
	s.last[host] = h
	return true
}

// count keeps the most sessions there were within the time, as a queue whose
// numbers fall from front to back.
func (s *SessionTracker) count(now time.Time) {
	n := len(s.last)
	for len(s.most) > 0 && s.most[len(s.most)-1].n <= n {
		s.most = s.most[:len(s.most)-1]
	}
	s.most = append(s.most, sample{now, n})
	for len(s.most) > 1 && now.Sub(s.most[0].at) > s.within {
		s.most = slices.Delete(s.most, 0, 1)
	}
}

// Expired returns the sessions that have ended and may be removed. held tells that
// there are more, or all, that are held back as too many ended at once; changed,
// that this has just begun or ended.
func (s *SessionTracker) Expired(now time.Time) (ended []SessionRef, held, changed bool) {
	s.count(now)
	for host, h := range s.last {
		if now.Sub(h.at) >= h.ttl {
			ended = append(ended, SessionRef{host, h.session})
		}
	}
	slices.SortFunc(ended, func(a, b SessionRef) int { return cmp.Compare(a.Host, b.Host) })
	if held = float64(len(s.last)-len(ended)) < s.floor*float64(s.most[0].n); held {
		ended = nil
	}
	changed, s.held = held != s.held, held
	return ended, held, changed
}

// Len returns how many sessions are followed.
func (s *SessionTracker) Len() int { return len(s.last) }
