package model

import (
	"fmt"
	"strings"
	"time"
)

// Counts is what a judge has seen.
type Counts struct {
	Steps, Grants, Acts, Writes, Refused, Faults int
}

func (c *Counts) add(d Counts) {
	c.Steps += d.Steps
	c.Grants += d.Grants
	c.Acts += d.Acts
	c.Writes += d.Writes
	c.Refused += d.Refused
	c.Faults += d.Faults
}

// checker knows nothing of how leases work: it is told which token was given to whom,
// who says at a moment that it may act, and which writes took effect.
type checker struct {
	Counts
	claimByToken map[uint64]string // token -> claim
	highestToken uint64
	newestToken  []uint64 // by lease: the token of the last grant
	violation    error
}

// checkInvariants is what the judge sees after each step.
func (w *World) checkInvariants() error {
	for j := range w.Leases {
		if l, _ := w.state.Leases().Lease(leaseName(j)); l.Grant != nil {
			if err := w.checker.checkGrant(j, l.Grant.Token, l.Grant.ID); err != nil {
				return err
			}
		}
	}
	if w.checker.violation != nil {
		return w.checker.violation
	}
	for j := range w.Leases {
		var may []string
		for i, h := range w.holders {
			if t := h.sessions[j]; t != nil {
				one := *t // asking must not change it
				if one.CheckAct(w.holderClock(i), time.Millisecond) == nil {
					may = append(may, fmt.Sprintf("k%d with token %d", i, t.Token()))
				}
			}
		}
		if w.checker.Acts += len(may); len(may) > 1 {
			return fmt.Errorf("two may act under lease %d at %v: %s", j, w.now, strings.Join(may, ", "))
		}
	}
	return nil
}

// checkGrant notes a grant: tokens only grow, and each is one claim's.
func (j *checker) checkGrant(lease int, token uint64, claim string) error {
	switch owner, known := j.claimByToken[token]; {
	case known && owner != claim:
		return fmt.Errorf("token %d was given to %s and to %s", token, owner, claim)
	case known:
	case token <= j.highestToken:
		return fmt.Errorf("token %d was given after %d", token, j.highestToken)
	default:
		j.claimByToken[token], j.highestToken, j.newestToken[lease] = claim, token, token
		j.Grants++
	}
	return nil
}

// checkWrite notes a write. One that takes effect is its writer's, under the newest grant of
// the lease: else an older holder's act has come after a newer one began.
func (j *checker) checkWrite(m message, err error) {
	switch {
	case err != nil:
		j.Refused++
	case m.token < j.newestToken[m.lease] || j.claimByToken[m.token] != m.claim.ID:
		j.violation = fmt.Errorf("a write of %s under lease %d took effect with token %d, the newest is %d", m.claim.ID, m.lease, m.token, j.newestToken[m.lease])
	default:
		j.Writes++
	}
}
