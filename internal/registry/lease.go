package registry

import (
	"fmt"
	"slices"
)

// Holder is a process that claims leases. Of two with one name the one with the
// higher incarnation started later.
type Holder struct {
	Name        string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
}

// Claim is one wish for a lease, from the asking to its end. Its id is the caller's
// to choose and never used again: a call that is repeated names the same claim, so
// it is carried out once.
type Claim struct {
	ID string `json:"claim"`
	Holder
	TTLMS int64 `json:"ttl_ms"`
}

// Grant is a claim that holds its lease. Its token is higher than that of every
// grant before, of any lease.
type Grant struct {
	Claim
	Token uint64 `json:"token"`
}

// Lease is the state of one lease.
type Lease struct {
	Name           string  `json:"name"`
	Grant          *Grant  `json:"grant,omitempty"`
	Queue          []Claim `json:"line,omitempty"`    // who waits, in the order of arrival
	YieldRequested bool    `json:"leave,omitempty"`   // the holder is asked to give it up
	NextHolder     string  `json:"to,omitempty"`      // and the next one is to be this one
	Paused         bool    `json:"paused,omitempty"`  // nobody is to hold it
	Version        uint64  `json:"version,omitempty"` // of the leases when it last changed
}

// ClaimRef is a claim that is over.
type ClaimRef struct {
	Lease   string `json:"name"`
	ClaimID string `json:"claim"`
}

// Fence makes a command conditional on a grant: it is refused unless the token is
// that of the lease's grant at this very moment.
type Fence struct {
	Lease string `json:"lease"`
	Token uint64 `json:"token"`
}

func (l *Lease) clone() *Lease {
	c := *l
	if l.Grant != nil {
		g := *l.Grant
		c.Grant = &g
	}
	c.Queue = slices.Clone(l.Queue)
	return &c
}

// claims are all claims on a lease.
func (l *Lease) claims() []Claim {
	all := slices.Clone(l.Queue)
	if l.Grant != nil {
		all = append(all, l.Grant.Claim)
	}
	return all
}

// position tells a claim how it stands, if it is known.
func (l *Lease) position(c Claim) (Result, bool) {
	if g := l.Grant; g != nil && g.ID == c.ID {
		if g.Holder != c.Holder {
			return failed(fmt.Errorf("%w: the claim is another process's", ErrConflict)), true
		}
		return Result{Version: l.Version, Token: g.Token}, true
	}
	for i, w := range l.Queue {
		if w.ID == c.ID {
			if w.Holder != c.Holder {
				return failed(fmt.Errorf("%w: the claim is another process's", ErrConflict)), true
			}
			return Result{Version: l.Version, QueuePosition: i + 1}, true
		}
	}
	return Result{}, false
}

func (l *Lease) grantable(shut bool) bool { return l.Grant == nil && !l.Paused && !shut }

func (l *Lease) hasQueued(name string) bool {
	return slices.ContainsFunc(l.Queue, func(c Claim) bool { return c.Name == name })
}
