package model

import (
	"fmt"
	"strings"
	"time"
)

// Counts are the numbers of events that the checker has checked.
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

// checker checks invariants without any code of leases. It observes which token was granted to
// which claim, which holders may act at a moment, and which writes took effect.
type checker struct {
	Counts
	claimByToken map[uint64]string
	highestToken uint64
	newestToken  []uint64 // by lease: the token of the last grant
	violation    error    // found between two steps
}

func newChecker(leases int, highestToken uint64) checker {
	return checker{claimByToken: make(map[uint64]string), highestToken: highestToken, newestToken: make([]uint64, leases)}
}

// checkInvariants checks the world after a step.
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
		acting := w.acting(j)
		w.checker.Acts += len(acting)
		if len(acting) > 1 {
			return fmt.Errorf("two holders may act under lease %d at %v: %s", j, w.now, strings.Join(acting, ", "))
		}
	}
	return nil
}

// acting lists the holders that may act under a lease now.
func (w *World) acting(lease int) (holders []string) {
	for i, h := range w.holders {
		if h.sessions[lease] == nil {
			continue
		}
		s := *h.sessions[lease] // a copy, because CheckAct may change the session
		if s.CheckAct(w.holderClock(i), time.Millisecond) == nil {
			holders = append(holders, fmt.Sprintf("k%d with token %d", i, s.Token()))
		}
	}
	return holders
}

// checkGrant checks that tokens increase, and that each belongs to one claim.
func (c *checker) checkGrant(lease int, token uint64, claim string) error {
	switch owner, known := c.claimByToken[token]; {
	case known && owner != claim:
		return fmt.Errorf("token %d was granted to %s and to %s", token, owner, claim)
	case known:
	case token <= c.highestToken:
		return fmt.Errorf("token %d was granted after %d, want a higher one", token, c.highestToken)
	default:
		c.claimByToken[token], c.highestToken, c.newestToken[lease] = claim, token, token
		c.Grants++
	}
	return nil
}

// checkWrite checks that a write which took effect was made under the newest grant of its
// lease. With an older token, it took effect after the lease was granted again.
func (c *checker) checkWrite(m message, err error) {
	switch {
	case err != nil:
		c.Refused++
	case m.token < c.newestToken[m.lease] || c.claimByToken[m.token] != m.claim.ID:
		c.violation = fmt.Errorf("a write of %s under lease %d took effect with token %d, the newest is %d", m.claim.ID, m.lease, m.token, c.newestToken[m.lease])
	default:
		c.Writes++
	}
}
