package registry

import (
	"encoding/json"
	"fmt"
	"maps"

	"barleywick/internal/mutation"
)

// leasesSnapshot is the leases as a snapshot holds them.
type leasesSnapshot struct {
	LastToken    uint64            `json:"token"`
	Version      uint64            `json:"version"`
	GrantsClosed bool              `json:"shut,omitempty"`
	Leases       map[string]*Lease `json:"all,omitempty"`
	EndedClaims  []string          `json:"ended,omitempty"`
}

// MarshalJSON writes the leases for a snapshot.
func (ls *Leases) MarshalJSON() ([]byte, error) {
	return json.Marshal(leasesSnapshot{
		LastToken:    ls.lastToken,
		Version:      ls.version,
		GrantsClosed: ls.grantsClosed,
		Leases:       ls.leases,
		EndedClaims:  ls.endedClaims,
	})
}

// UnmarshalJSON reads a snapshot. It returns an error, and leaves ls unchanged, if the
// contents are inconsistent.
func (ls *Leases) UnmarshalJSON(text []byte) error {
	var snapshot leasesSnapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		return fmt.Errorf("leases: %w", err)
	}
	if err := snapshot.check(); err != nil {
		return fmt.Errorf("leases: %w", err)
	}
	read := newLeases(0)
	read.lastToken, read.version = snapshot.LastToken, snapshot.Version
	read.grantsClosed, read.endedClaims = snapshot.GrantsClosed, snapshot.EndedClaims
	maps.Copy(read.leases, snapshot.Leases)
	*ls = *read
	return nil
}

// check returns an error if the snapshot cannot be that of leases.
func (s *leasesSnapshot) check() error {
	if s.LastToken > MaxVersion || len(s.EndedClaims) > maxEndedClaims || len(s.Leases) > maxLeases {
		return fmt.Errorf("token %d, %d leases, %d that ended", s.LastToken, len(s.Leases), len(s.EndedClaims))
	}
	for name, l := range s.Leases {
		if l == nil || l.Name != name || l.Version > s.Version || len(l.Queue) > maxQueue || l.Grant != nil && l.Grant.Token > s.LastToken {
			return fmt.Errorf("%.64q is broken", name)
		}
	}
	return nil
}

// keepOverRestore keeps the leases when a backup is restored: they concern processes that
// run now. Tokens and versions go on above the backup's, which may be that of an earlier
// group of the same name. Leases of that group may not have run out, which is why a group
// that was founded to restore into does not grant any yet (grantsClosed).
func (ls *Leases) keepOverRestore(backup *Leases) {
	if mutation.RestoreLowerToken {
		ls.lastToken = backup.lastToken
		return
	}
	ls.lastToken = min(max(ls.lastToken, backup.lastToken)+1, MaxVersion)
	ls.version = max(ls.version, backup.version) + 1
}
