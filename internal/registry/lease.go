package registry

import (
	"fmt"
	"slices"
)

// Holder identifies a process that claims leases. Of two processes with the same name, the
// one with the higher incarnation started later.
type Holder struct {
	Name        string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
}

// Claim is a process's request for a lease, held or queued. The caller chooses a unique ID
// and never reuses it, so that a repeated call refers to the same claim and is idempotent.
type Claim struct {
	ID string `json:"claim"`
	Holder
	TTLMS int64 `json:"ttl_ms"`
}

// check returns an error if a new claim is invalid.
func (c Claim) check() error {
	if err := CheckName("holder", c.Name); err != nil {
		return err
	}
	if err := CheckName("claim", c.ID); err != nil {
		return err
	}
	switch {
	case len(c.ID) < minClaimIDLength:
		return fmt.Errorf("claim has %d characters, at least %d are needed: no two claims may ever be alike", len(c.ID), minClaimIDLength)
	case c.Incarnation > MaxVersion:
		return fmt.Errorf("incarnation is %d, %d at most", c.Incarnation, uint64(MaxVersion))
	case c.TTLMS <= 0:
		return fmt.Errorf("ttl_ms is %d, it must be above 0", c.TTLMS)
	}
	return nil
}

// ClaimRef identifies a claim on a lease.
type ClaimRef struct {
	Lease   string `json:"name"`
	ClaimID string `json:"claim"`
}

// Grant is a claim that holds its lease. Its fencing token is higher than those of all
// earlier grants of any lease.
type Grant struct {
	Claim
	Token uint64 `json:"token"`
}

// Fence makes a command conditional on a grant: when the command is applied, it is rejected
// unless the token is that of the lease's current grant.
type Fence struct {
	Lease string `json:"lease"`
	Token uint64 `json:"token"`
}

// Lease is the state of one lease.
type Lease struct {
	Name           string  `json:"name"`
	Grant          *Grant  `json:"grant,omitempty"`
	Queue          []Claim `json:"line,omitempty"`    // queued claims, in order of arrival
	YieldRequested bool    `json:"leave,omitempty"`   // the holder is asked to yield the lease
	NextHolder     string  `json:"to,omitempty"`      // the queued holder that is granted the lease next; empty: the first
	Paused         bool    `json:"paused,omitempty"`  // the holder is asked to yield, and the lease is not granted until it is resumed
	Version        uint64  `json:"version,omitempty"` // Leases.version at the last change of this lease
}

func (l *Lease) clone() *Lease {
	c := *l
	if l.Grant != nil {
		grant := *l.Grant
		c.Grant = &grant
	}
	c.Queue = slices.Clone(l.Queue)
	return &c
}

// claims returns all claims on the lease.
func (l *Lease) claims() []Claim {
	all := slices.Clone(l.Queue)
	if l.Grant != nil {
		all = append(all, l.Grant.Claim)
	}
	return all
}

// position returns the token or the queue position of a claim, and whether the lease has
// a claim with that ID. It returns an error if that claim belongs to another process.
func (l *Lease) position(c Claim) (r Result, found bool, err error) {
	if g := l.Grant; g != nil && g.ID == c.ID {
		if g.Holder != c.Holder {
			return Result{}, true, conflict("the claim is another process's")
		}
		return Result{Version: l.Version, Token: g.Token}, true, nil
	}
	i := l.queueIndex(c.ID)
	if i < 0 {
		return Result{}, false, nil
	}
	if l.Queue[i].Holder != c.Holder {
		return Result{}, true, conflict("the claim is another process's")
	}
	return Result{Version: l.Version, QueuePosition: i + 1}, true, nil
}

// queueIndex returns the index of a claim in the queue, or -1.
func (l *Lease) queueIndex(claimID string) int {
	return slices.IndexFunc(l.Queue, func(c Claim) bool { return c.ID == claimID })
}

// hasQueued reports whether a holder with that name is queued for the lease.
func (l *Lease) hasQueued(holder string) bool {
	return slices.ContainsFunc(l.Queue, func(c Claim) bool { return c.Name == holder })
}
