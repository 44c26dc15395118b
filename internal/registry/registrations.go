package registry

import (
	"maps"
	"slices"
)

// Registration is an instance with the properties that are not part of the list.
type Registration struct {
	Instance
	Session        string `json:"session,omitempty"`
	TTLMS          int64  `json:"ttl_ms,omitempty"` // 0: no session; the registration does not expire
	Machine        string `json:"machine"`          // machine on which the instance runs
	Version        uint64 `json:"version"`          // version of the list at the last change
	ReportedHealth Health `json:"asked"`            // health reported by the instance, regardless of a drain mark
}

// versionOrZero returns the registration's version, or 0 if there is no registration.
func (r *Registration) versionOrZero() uint64 {
	if r == nil {
		return 0
	}
	return r.Version
}

// checkVersion returns an error if the registration does not have the version expected by
// a command; nil accepts any version.
func (r *Registration) checkVersion(expected *uint64) error {
	if expected != nil && *expected != r.versionOrZero() {
		return conflict("the entry has version %d, not %d", r.versionOrZero(), *expected)
	}
	return nil
}

// sameAs compares two registrations of a host, apart from their versions.
func (r *Registration) sameAs(other *Registration) bool {
	return r.Instance.equal(other.Instance) && r.Session == other.Session && r.TTLMS == other.TTLMS &&
		r.Machine == other.Machine && r.ReportedHealth == other.ReportedHealth
}

// preventsTakeover reports whether the session of r excludes a registration by another
// session, which may take over the host only if its instance started later.
func (r *Registration) preventsTakeover(other *Registration) bool {
	return r.Session != other.Session && r.Session != "" && other.BornMS <= r.BornMS
}

// newRegistration returns the registration requested by a command.
func (s *State) newRegistration(c Command) *Registration {
	r := &Registration{Instance: *c.Instance, Session: c.Session, TTLMS: c.TTLMS, Machine: c.Machine, ReportedHealth: c.Instance.Health}
	if _, marked := s.marks[r.Host]; marked {
		r.Health = HealthDraining
	}
	return r
}

// register adds an instance or changes its registration. A repetition changes nothing.
func (s *State) register(c Command) (Result, error) {
	if c.Instance == nil {
		return Result{}, invalid("no instance")
	}
	if err := c.Instance.Check(); err != nil {
		return Result{}, invalid("%w", err)
	}
	next, current := s.newRegistration(c), s.registrations[c.Instance.Host]
	if current != nil {
		if current.sameAs(next) {
			return Result{Version: current.Version}, nil
		}
		if c.IfVersion == nil && current.preventsTakeover(next) {
			return Result{Version: current.Version}, reject(ErrHostTaken, "host %s", next.Host)
		}
	}
	if err := current.checkVersion(c.IfVersion); err != nil {
		return Result{Version: current.versionOrZero()}, err
	}
	if current == nil && len(s.registrations) >= maxInstances {
		return Result{}, limitReached("%d instances are registered, no more can be added", len(s.registrations))
	}
	s.registrations[next.Host] = next
	// The registration's version advances even if the list shows no difference.
	s.bumpVersion(next.Host)
	return Result{Version: next.Version, ChangedHosts: []string{next.Host}}, nil
}

// remove removes an instance. Removing one that is not registered succeeds.
func (s *State) remove(c Command) (Result, error) {
	if err := CheckName("host", c.Host); err != nil {
		return Result{}, invalid("%w", err)
	}
	current := s.registrations[c.Host]
	if current == nil {
		return Result{}, nil
	}
	if err := current.checkVersion(c.IfVersion); err != nil {
		return Result{Version: current.Version}, err
	}
	if c.Session != "" && c.Session != current.Session {
		return Result{Version: current.Version}, reject(ErrHostTaken, "host %s", c.Host)
	}
	delete(s.registrations, c.Host)
	if c.Session == "" { // an operator removes the host permanently; an instance that removes itself may register again
		delete(s.marks, c.Host)
	}
	s.bumpVersion(c.Host)
	return Result{ChangedHosts: []string{c.Host}}, nil
}

// expireSessions removes the instances that still have one of the expired sessions.
func (s *State) expireSessions(c Command) Result {
	var changed []string
	for _, expired := range c.ExpiredSessions {
		r := s.registrations[expired.Host]
		if r != nil && r.Session == expired.Session && r.Session != "" {
			delete(s.registrations, expired.Host)
			changed = append(changed, expired.Host)
		}
	}
	s.bumpVersion(changed...)
	return Result{ChangedHosts: changed}
}

// Len returns the number of registered instances.
func (s *State) Len() int { return len(s.registrations) }

// Registrations returns all registrations, ordered by host.
func (s *State) Registrations() []Registration {
	all := make([]Registration, 0, len(s.registrations))
	for _, host := range slices.Sorted(maps.Keys(s.registrations)) {
		all = append(all, *s.registrations[host])
	}
	return all
}

// Registration returns the registration of a host.
func (s *State) Registration(host string) (Registration, bool) {
	if r := s.registrations[host]; r != nil {
		return *r, true
	}
	return Registration{}, false
}
