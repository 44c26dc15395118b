package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"barleywick/internal/mutation"
)

// LeaseClock counts for how long each claim has given no sign of life. As Sessions
// it is the leader's alone: a new leader begins one of its own, in which every claim
// has its full time before it. Time is told to it; it reads no clock.
type LeaseClock struct {
	followed uint64        // the leases' version that it follows
	longest  time.Duration // the longest time that a claim may have
	last     map[ClaimEnd]counted
	shutAt   time.Time // when it first saw that no lease is granted yet
	began    bool
}

type counted struct {
	ttl     time.Duration
	at      time.Time
	granted bool
	ending  bool // its end is on its way through the log: no renewal is taken any more
}

// NewLeaseClock makes one for a group in which no claim has more than this time.
func NewLeaseClock(longest time.Duration) *LeaseClock {
	return &LeaseClock{longest: longest, last: make(map[ClaimEnd]counted)}
}

// Clone returns a copy.
func (c *LeaseClock) Clone() *LeaseClock {
	d := *c
	d.last = make(map[ClaimEnd]counted, len(c.last))
	for k, v := range c.last {
		d.last[k] = v
	}
	return &d
}

// Follow takes the claims of the state over. One that is new, or has been granted
// its lease since, has its full time from now on.
func (c *LeaseClock) Follow(s *Leases, now time.Time) {
	if c.began && c.followed == s.version {
		return
	}
	c.followed = s.version
	if !s.shut {
		c.shutAt = time.Time{}
	} else if c.shutAt.IsZero() {
		c.shutAt = now
	}
	there := make(map[ClaimEnd]bool, len(c.last))
	note := func(name string, claim Claim, granted bool) {
		k := ClaimEnd{name, claim.ID}
		there[k] = true
		if was, ok := c.last[k]; ok && was.granted == granted {
			return
		}
		at := now
		if mutation.ForgetfulLeader && !c.began {
			at = now.Add(-time.Duration(claim.TTLMS) * time.Millisecond * 3 / 4)
		}
		c.last[k] = counted{ttl: time.Duration(claim.TTLMS) * time.Millisecond, at: at, granted: granted}
	}
	for name, l := range s.all {
		if l.Grant != nil {
			note(name, l.Grant.Claim, true)
		}
		for _, w := range l.Line {
			note(name, w, false)
		}
	}
	for k := range c.last {
		if !there[k] {
			delete(c.last, k)
		}
	}
	c.began = true
}

// Renew notes a sign of life that came at a time. It is false where the claim is not
// followed, or its end has been decided.
func (c *LeaseClock) Renew(name, claim string, at time.Time) bool {
	k := ClaimEnd{name, claim}
	was, ok := c.last[k]
	if !ok || was.ending {
		return false
	}
	if at.After(was.at) {
		was.at = at
		c.last[k] = was
	}
	return true
}

// Answer tells claims of one process how they stand, and notes the sign of life that
// came with them at a time. Only a leader may that has made sure, after that time,
// that it is one: whoever leads next begins later and gives every claim its full time.
func (c *LeaseClock) Answer(s *Leases, of Holder, claims []ClaimEnd, at time.Time) []ClaimAnswer {
	c.Follow(s, at)
	answers := make([]ClaimAnswer, len(claims))
	for i, k := range claims {
		a := ClaimAnswer{Name: k.Name, Claim: k.Claim}
		stand, err := s.Stand(k.Name, Claim{ID: k.Claim, Holder: of})
		switch {
		case err != nil:
			a.Gone = true
		case stand.Leave:
			a.Leave, a.To = true, stand.To
		case !c.Renew(k.Name, stand.Claim, at):
			a.Gone = true // its end is on its way
		default:
			a.Token, a.Place = stand.Token, stand.Place
		}
		answers[i] = a
	}
	return answers
}

// Due returns the claims whose time is up, and whether grants may begin. Whoever
// takes them has them ended: a renewal that comes meanwhile comes too late.
func (c *LeaseClock) Due(now time.Time) (ended []ClaimEnd, open bool) {
	for k, v := range c.last {
		if now.Sub(v.at) >= v.ttl {
			v.ending = true
			c.last[k] = v
			ended = append(ended, k)
		}
	}
	slices.SortFunc(ended, func(a, b ClaimEnd) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Claim, b.Claim))
	})
	return ended, !c.shutAt.IsZero() && now.Sub(c.shutAt) >= c.longest
}

// Each tells how every claim stands, in a text that says what will become of it and
// nothing else.
func (c *LeaseClock) Each(now time.Time, tell func(k ClaimEnd, how string)) {
	keys := slices.SortedFunc(maps.Keys(c.last), func(a, b ClaimEnd) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Claim, b.Claim))
	})
	for _, k := range keys {
		v := c.last[k]
		tell(k, fmt.Sprint(now.Sub(v.at), v.ttl, v.granted, v.ending))
	}
}

// Live returns how many claims are followed.
func (c *LeaseClock) Live() int { return len(c.last) }
