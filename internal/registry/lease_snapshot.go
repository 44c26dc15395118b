package registry

import (
	"encoding/json"
	"fmt"
	"maps"

	"barleywick/internal/mutation"
)

type leasesSnapshot struct {
	Token   uint64            `json:"token"`
	Version uint64            `json:"version"`
	Shut    bool              `json:"shut,omitempty"`
	All     map[string]*Lease `json:"all,omitempty"`
	Ended   []string          `json:"ended,omitempty"`
}

// MarshalJSON writes the leases for a snapshot.
func (s *Leases) MarshalJSON() ([]byte, error) {
	return json.Marshal(leasesSnapshot{s.lastToken, s.version, s.grantsClosed, s.leases, s.endedClaims})
}

// UnmarshalJSON reads a snapshot. What cannot be right is refused.
func (s *Leases) UnmarshalJSON(text []byte) error {
	var i leasesSnapshot
	if err := json.Unmarshal(text, &i); err != nil {
		return fmt.Errorf("leases: %w", err)
	}
	if i.Token > MaxVersion || len(i.Ended) > maxEndedClaims || len(i.All) > maxLeases {
		return fmt.Errorf("leases: token %d, %d leases, %d that ended", i.Token, len(i.All), len(i.Ended))
	}
	for name, l := range i.All {
		if l == nil || l.Name != name || l.Version > i.Version || len(l.Queue) > maxQueue || l.Grant != nil && l.Grant.Token > i.Token {
			return fmt.Errorf("leases: %.64q is broken", name)
		}
	}
	fresh := newLeases(0)
	fresh.lastToken, fresh.version, fresh.grantsClosed, fresh.endedClaims = i.Token, i.Version, i.Shut, i.Ended
	maps.Copy(fresh.leases, i.All)
	*s = *fresh
	return nil
}

// keepOverRestore brings the leases over a restore of the list: they are about processes
// that live now, and stay. Tokens go on above the backup's, which may be another
// group's of this name. That one's leases may not have run out: a group that was
// founded for it grants none yet (Leases.shut).
func (s *Leases) keepOverRestore(backup *Leases) {
	if mutation.RestoredToken {
		s.lastToken = backup.lastToken
		return
	}
	s.lastToken = min(max(s.lastToken, backup.lastToken)+1, MaxVersion)
	s.version = max(s.version, backup.version) + 1
}
