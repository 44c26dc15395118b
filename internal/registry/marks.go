package registry

import (
	"maps"
	"slices"
)

// mark sets or clears the drain marks of all the hosts or, on an error, of none. A mark persists
// when its instance is removed, so that a server that restarts on a machine that is being
// drained gets no requests.
func (s *State) mark(c Command) (Result, error) {
	hosts := c.Hosts
	if c.Host != "" {
		hosts = append(slices.Clone(hosts), c.Host)
	}
	if err := s.checkMarkCommand(c, hosts); err != nil {
		return Result{}, err
	}
	for _, host := range hosts {
		if r, err := s.checkMark(c, host); err != nil {
			return r, err
		}
	}
	if len(hosts) == 1 {
		if r, err := s.checkMarkVersion(c, hosts[0]); err != nil {
			return r, err
		}
	}
	var changed []string
	for _, host := range hosts {
		if s.setMark(host, c.MarkedBy, c.Draining) {
			changed = append(changed, host)
		}
	}
	s.bumpVersion(changed...)
	last := s.registrations[hosts[len(hosts)-1]]
	return Result{Version: last.versionOrZero(), ChangedHosts: changed}, nil
}

// checkMarkCommand checks the parts of a command that do not depend on a single host.
func (s *State) checkMarkCommand(c Command, hosts []string) error {
	if len(hosts) == 0 || c.MarkedBy == "" || len(c.MarkedBy) > maxNameLength {
		return invalid("a mark needs hosts and who sets it")
	}
	if c.IfRecord == "" {
		return nil
	}
	if record := s.records[c.IfRecord]; record == nil || record.Version != c.IfRecordVersion {
		return conflict("record %s is not at version %d any more", c.IfRecord, c.IfRecordVersion)
	}
	return nil
}

// checkMark returns an error if the mark of one host cannot be set or cleared.
func (s *State) checkMark(c Command, host string) (Result, error) {
	current := s.registrations[host]
	by, marked := s.marks[host]
	switch {
	case c.Draining && current == nil && !marked:
		return Result{}, notFound("host %.64s", host)
	case marked && by != c.MarkedBy:
		return Result{Version: current.versionOrZero()}, conflict("host %s is marked by %s", host, by)
	case c.Draining && !marked && len(s.marks) >= maxMarks:
		return Result{}, limitReached("%d hosts are marked", len(s.marks))
	}
	return Result{}, nil
}

// checkMarkVersion checks the expected version of a command with one host. The version is
// ignored if the mark is already in the requested state: the command is a repetition.
func (s *State) checkMarkVersion(c Command, host string) (Result, error) {
	current := s.registrations[host]
	if _, marked := s.marks[host]; c.Draining == marked {
		return Result{}, nil
	}
	if err := current.checkVersion(c.IfVersion); err != nil {
		return Result{Version: current.versionOrZero()}, err
	}
	return Result{}, nil
}

// setMark sets or clears the mark of one host and reports whether that changes the list.
func (s *State) setMark(host, by string, draining bool) (changed bool) {
	if draining {
		s.marks[host] = by
	} else {
		delete(s.marks, host)
	}
	r := s.registrations[host]
	if r == nil {
		return false
	}
	health := HealthDraining
	if !draining {
		health = r.ReportedHealth
	}
	changed = r.Health != health
	r.Health = health
	return changed
}

// Marks returns the drain marks: by host, who set the mark.
func (s *State) Marks() map[string]string { return maps.Clone(s.marks) }
