package server

import (
	"fmt"
	"log/slog"
	"time"

	"barleywick/internal/registry"
)

// syncSessionsLocked lets the sessions be those of the state. The lock is held.
func (r *Replica) syncSessionsLocked(now time.Time) {
	var entries []registry.Registration
	var seq uint64
	r.stateMachine.view(func(s *registry.State) {
		if seq = s.Seq(); seq != r.followed { // every change of a session is one of the list's version
			entries = s.Registrations()
		}
	})
	if seq != r.followed {
		r.followed = seq
		r.sessions.Sync(entries, now)
	}
}

// expireSessions removes the instances whose sessions have ended, unless too many have at once.
func (r *Replica) expireSessions(now time.Time, term uint64) {
	r.mu.Lock()
	if rules := r.config.Load().Sessions; r.sessions.SetFloor(rules.Floor) {
		slog.Info("sessions: another floor", "floor", rules.Floor)
	}
	r.syncSessionsLocked(now)
	ended, held, changed := r.sessions.Expired(now)
	r.held = held
	live := r.sessions.Len()
	r.mu.Unlock()
	if changed && held {
		slog.Warn("sessions: too many have ended at once: none is removed until they renew or are removed by hand", "of", live)
	} else if changed {
		slog.Info("sessions: removals go on")
	}
	if len(ended) == 0 {
		return
	}
	if _, err := r.apply(registry.Command{Op: registry.OpExpireSessions, ExpiredSessions: ended, Term: term}); err != nil {
		slog.Warn("sessions: not removed", "err", err)
		return
	}
	r.expired.Add(uint64(len(ended)))
	hosts := make([]string, len(ended))
	for i, e := range ended {
		hosts[i] = e.Host
	}
	slog.Info("sessions: removed for their silence", "hosts", hosts)
}

// renewSession notes a sign of life. Only a leader may, and one is a leader no longer
// than its lease: a replica that was cut off takes no word for another's.
func (r *Replica) renewSession(host, session string, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.requireLeaderLocked(); err != nil {
		return err
	}
	var entry registry.Registration
	r.stateMachine.view(func(s *registry.State) { entry, _ = s.Registration(host) })
	if session == "" || entry.Session != session { // the state may be ahead of what is followed
		return fmt.Errorf("%w: host %.64s has no such session: register again", registry.ErrNotFound, host)
	}
	if !r.sessions.Renew(host, session, now) {
		r.syncSessionsLocked(now) // it was registered a moment ago, and has its full time
	}
	return nil
}
