package registry

import (
	"encoding/json"
	"fmt"
	"maps"

	"barleywick/internal/mutation"
)

// leasesSnapshot is the JSON encoding of Leases in a snapshot.
type leasesSnapshot struct {
	LastToken    uint64            `json:"token"`
	Version      uint64            `json:"version"`
	GrantsClosed bool              `json:"shut,omitempty"`
	Leases       map[string]*Lease `json:"all,omitempty"`
	EndedClaims  []string          `json:"ended,omitempty"`
}

// MarshalJSON encodes the leases for a snapshot.
func (ls *Leases) MarshalJSON() ([]byte, error) {
	return json.Marshal(leasesSnapshot{
		LastToken:    ls.lastToken,
		Version:      ls.version,
		GrantsClosed: ls.grantsClosed,
		Leases:       ls.leases,
		EndedClaims:  ls.endedClaims,
	})
}

// UnmarshalJSON decodes a snapshot. If the contents are inconsistent, it returns an error
// and leaves ls unchanged.
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

// check returns an error if the contents are inconsistent or exceed a limit.
func (s *leasesSnapshot) check() error {
	if s.LastToken > MaxVersion || len(s.EndedClaims) > maxEndedClaims || len(s.Leases) > maxLeases {
		return fmt.Errorf("limit exceeded: last token is %d, with %d leases and %d ended claims", s.LastToken, len(s.Leases), len(s.EndedClaims))
	}
	for name, l := range s.Leases {
		if l == nil || l.Name != name || l.Version > s.Version || len(l.Queue) > maxQueue || l.Grant != nil && l.Grant.Token > s.LastToken {
			return fmt.Errorf("lease %.64q is inconsistent", name)
		}
	}
	return nil
}

// preserveOnRestore keeps the current leases when a backup is restored, since they belong to
// running processes. Tokens and versions continue above those of the backup, which may come
// from an earlier group of the same name. That group's leases may not have expired yet, so a
// group that was founded for the restore does not grant leases at first (grantsClosed).
func (ls *Leases) preserveOnRestore(backup *Leases) {
	if mutation.RestoreLowerToken {
		ls.lastToken = backup.lastToken
		return
	}
	ls.lastToken = min(max(ls.lastToken, backup.lastToken)+1, MaxVersion)
	ls.version = max(ls.version, backup.version) + 1
}
