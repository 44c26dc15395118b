package server

import (
	"fmt"
	"log/slog"
	"time"

	"barleywick/internal/registry"
)

// syncSessionsLocked updates the session tracker with sessions that were added to or removed
// from the state. The caller must hold r.leadership.mu.
func (r *Replica) syncSessionsLocked(now time.Time) {
	l := &r.leadership
	var registrations []registry.Registration
	var seq uint64
	r.stateMachine.view(func(s *registry.State) {
		if seq = s.Seq(); seq != l.sessionsVersion { // every change of a session increments the list's version
			registrations = s.Registrations()
		}
	})
	if seq != l.sessionsVersion {
		l.sessionsVersion = seq
		l.sessions.Sync(registrations, now)
	}
}

// expireSessions removes the instances whose sessions have expired, unless too many
// sessions have expired at once.
func (r *Replica) expireSessions(now time.Time, term uint64) {
	l := &r.leadership
	l.mu.Lock()
	if floor := r.config.Load().Sessions.Floor; l.sessions.SetFloor(floor) {
		slog.Info("registry: session floor changed", "floor", floor)
	}
	r.syncSessionsLocked(now)
	expired, held, changed := l.sessions.Expired(now)
	l.expiryHeld = held
	live := l.sessions.Len()
	l.mu.Unlock()
	switch {
	case changed && held:
		slog.Warn("registry: session expiry held back, too many have ended at once", "sessions", live)
	case changed:
		slog.Info("registry: session expiry resumed")
	}
	if len(expired) == 0 {
		return
	}
	if _, err := r.apply(registry.Command{Op: registry.OpExpireSessions, ExpiredSessions: expired, Term: term}); err != nil {
		slog.Warn("registry: expired sessions not removed", "err", err) // retried on the next tick
		return
	}
	r.counters.expiredInstances.Add(uint64(len(expired)))
	hosts := make([]string, len(expired))
	for i, session := range expired {
		hosts[i] = session.Host
	}
	slog.Info("registry: expired sessions removed", "hosts", hosts)
}

// renewSession renews the session of an instance. Only the leader may do so, and a replica
// remains the leader no longer than its Raft leader lease: a partitioned replica renews no
// session.
func (r *Replica) renewSession(host, session string, now time.Time) error {
	l := &r.leadership
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := r.requireLeaderLocked(); err != nil {
		return err
	}
	var registered registry.Registration
	r.stateMachine.view(func(s *registry.State) { registered, _ = s.Registration(host) })
	if session == "" || registered.Session != session { // the state is checked as it may be ahead of the tracker
		return fmt.Errorf("%w: host %.64s has no such session: register again", registry.ErrNotFound, host)
	}
	if !l.sessions.Renew(host, session, now) {
		r.syncSessionsLocked(now) // not tracked yet: it was just registered, and gets its full TTL
	}
	return nil
}
