package registry

import (
	"fmt"
	"maps"
	"slices"
)

// mark marks hosts draining for somebody, or takes that back: all or none. A mark
// stays while its host is away: a server that starts again on a machine that is
// being drained gets nothing.
func (s *State) mark(c Command) Result {
	hosts := c.Hosts
	if c.Host != "" {
		hosts = append(slices.Clone(hosts), c.Host)
	}
	if len(hosts) == 0 || c.MarkedBy == "" || len(c.MarkedBy) > maxNameLength {
		return failed(fmt.Errorf("%w: a mark needs hosts and who sets it", ErrInvalid))
	}
	if c.IfRecord != "" {
		if rec := s.records[c.IfRecord]; rec == nil || rec.Version != c.IfRecordVersion {
			return failed(fmt.Errorf("%w: record %s is not at version %d any more", ErrConflict, c.IfRecord, c.IfRecordVersion))
		}
	}
	for _, h := range hosts {
		e := s.registrations[h]
		by, marked := s.marks[h]
		switch {
		case c.Draining && e == nil && !marked:
			return failed(fmt.Errorf("%w: host %.64s", ErrNotFound, h))
		case marked && by != c.MarkedBy:
			return Result{Version: e.versionOrZero(), Err: fmt.Errorf("%w: host %s is marked by %s", ErrConflict, h, by)}
		case c.Draining && !marked && len(s.marks) >= maxMarks:
			return failed(fmt.Errorf("%w: %d hosts are marked", ErrLimitReached, len(s.marks)))
		}
		if len(hosts) == 1 {
			if err := checkVersion(c.IfVersion, e); err != nil && (c.Draining != marked) {
				return Result{Version: e.versionOrZero(), Err: err}
			}
		}
	}
	var changed []string
	for _, h := range hosts {
		e := s.registrations[h]
		health := HealthDraining
		if c.Draining {
			s.marks[h] = c.MarkedBy
		} else if delete(s.marks, h); e != nil {
			health = e.ReportedHealth
		}
		if e != nil && e.Health != health {
			e.Health = health
			changed = append(changed, h)
		}
	}
	s.bumpVersion(changed...)
	return Result{Version: s.registrations[hosts[len(hosts)-1]].versionOrZero(), ChangedHosts: changed}
}

// Marks returns who marked which hosts draining.
func (s *State) Marks() map[string]string { return maps.Clone(s.marks) }
