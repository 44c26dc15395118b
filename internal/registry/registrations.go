package registry

import (
	"fmt"
	"maps"
	"slices"
)

// Registration is an instance with what the list does not show of it.
type Registration struct {
	Instance
	Session        string `json:"session,omitempty"`
	TTLMS          int64  `json:"ttl_ms,omitempty"` // 0: without a session, for ever
	Machine        string `json:"machine"`          // the machine it runs on
	Version        uint64 `json:"version"`          // of the list when it last changed
	ReportedHealth Health `json:"asked"`            // what the instance says of itself, without a mark
}

func (e *Registration) versionOrZero() uint64 {
	if e == nil {
		return 0
	}
	return e.Version
}

func checkVersion(want *uint64, e *Registration) error {
	if want != nil && *want != e.versionOrZero() {
		return fmt.Errorf("%w: the entry has version %d, not %d", ErrConflict, e.versionOrZero(), *want)
	}
	return nil
}

// register takes an instance in. The same again changes nothing; another session
// may take a host over only if it started later, as after a restart, or if it says
// which version it replaces.
func (s *State) register(c Command) Result {
	if c.Instance == nil {
		return failed(fmt.Errorf("%w: no instance", ErrInvalid))
	}
	if err := c.Instance.Check(); err != nil {
		return failed(fmt.Errorf("%w: %w", ErrInvalid, err))
	}
	e := &Registration{Instance: *c.Instance, Session: c.Session, TTLMS: c.TTLMS, Machine: c.Machine, ReportedHealth: c.Instance.Health}
	if _, marked := s.marks[e.Host]; marked {
		e.Health = HealthDraining
	}
	was := s.registrations[e.Host]
	if was != nil {
		if was.Instance.equal(e.Instance) && was.Session == e.Session && was.TTLMS == e.TTLMS && was.Machine == e.Machine && was.ReportedHealth == e.ReportedHealth {
			return Result{Version: was.Version}
		}
		if was.Session != e.Session && c.IfVersion == nil && was.Session != "" && e.BornMS <= was.BornMS {
			return Result{Version: was.Version, Err: fmt.Errorf("%w: host %s", ErrHostTaken, e.Host)}
		}
	}
	if err := checkVersion(c.IfVersion, was); err != nil {
		return Result{Version: was.versionOrZero(), Err: err}
	}
	if was == nil && len(s.registrations) >= maxInstances {
		return failed(fmt.Errorf("%w: %d instances are registered", ErrLimitReached, len(s.registrations)))
	}
	s.registrations[e.Host] = e
	s.bumpVersion(e.Host) // even where the list does not show it: the entry's version has to move
	return Result{Version: e.Version, ChangedHosts: []string{e.Host}}
}

// remove takes an instance out, and its mark with it. One that is not there is
// out already.
func (s *State) remove(c Command) Result {
	if err := CheckName("host", c.Host); err != nil {
		return failed(fmt.Errorf("%w: %w", ErrInvalid, err))
	}
	e := s.registrations[c.Host]
	if e == nil {
		return Result{}
	}
	if err := checkVersion(c.IfVersion, e); err != nil {
		return Result{Version: e.Version, Err: err}
	}
	if c.Session != "" && c.Session != e.Session {
		return Result{Version: e.Version, Err: fmt.Errorf("%w: host %s", ErrHostTaken, c.Host)}
	}
	delete(s.registrations, c.Host)
	if c.Session == "" { // the operator's word, not the instance's own
		delete(s.marks, c.Host)
	}
	s.bumpVersion(c.Host)
	return Result{ChangedHosts: []string{c.Host}}
}

// expireSessions takes out those whose session is still the one that ended.
func (s *State) expireSessions(c Command) Result {
	var changed []string
	for _, x := range c.ExpiredSessions {
		if e := s.registrations[x.Host]; e != nil && e.Session == x.Session && e.Session != "" {
			delete(s.registrations, x.Host)
			changed = append(changed, x.Host)
		}
	}
	s.bumpVersion(changed...)
	return Result{ChangedHosts: changed}
}

// Len returns how many instances there are.
func (s *State) Len() int { return len(s.registrations) }

// Registrations returns all entries, by host.
func (s *State) Registrations() []Registration {
	all := make([]Registration, 0, len(s.registrations))
	for _, h := range slices.Sorted(maps.Keys(s.registrations)) {
		all = append(all, *s.registrations[h])
	}
	return all
}

// Registration returns one entry.
func (s *State) Registration(host string) (Registration, bool) {
	if e := s.registrations[host]; e != nil {
		return *e, true
	}
	return Registration{}, false
}
