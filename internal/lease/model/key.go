package model

import (
	"fmt"
	"slices"

	"barleywick/internal/registry"
)

// Key tells states apart: two with the same key have the same future. Times stand
// relative to now and tokens relative to the last one, so that states meet again.
func (w *World) Key(text []byte) []byte {
	last := w.state.Leases().LastToken()
	ids := make(map[string]int) // claims by the order in which they are met
	id := func(claim string) int {
		if _, ok := ids[claim]; !ok {
			ids[claim] = len(ids)
		}
		return ids[claim]
	}
	token := func(t uint64) uint64 {
		if t == 0 {
			return 0
		}
		return last - t + 1
	}
	text = fmt.Appendln(text, w.now, w.leader, w.duplicates, w.losses, w.restores, w.restarts)
	for i, h := range w.holders {
		now := w.holderClock(i)
		text = fmt.Appendln(text, h.identity)
		for _, t := range h.sessions {
			if t == nil || t.Ended(now) {
				text = append(text, '-')
				continue
			}
			text = fmt.Appendln(text, id(t.ClaimID), token(t.Token()), max(-1, t.Deadline()-now), t.Age(now))
		}
	}
	all, _ := w.state.Leases().List()
	for _, l := range all {
		text = append(text, l.Name...)
		if g := l.Grant; g != nil {
			text = fmt.Appendln(text, "held", id(g.ID), token(g.Token), g.Holder)
		}
		for _, c := range l.Queue {
			text = fmt.Appendln(text, "waits", id(c.ID), c.Holder)
		}
	}
	lines := make([]string, 0, len(w.network)+len(w.verifications))
	for _, m := range w.network {
		ago := w.holderClock(m.holder) - m.sentAt
		if m.kind != renewal && m.kind != answer || m.toAcquire {
			ago = 0 // only what a renewal's answer carries is counted from
		}
		lines = append(lines, fmt.Sprintln("m", m.kind, m.holder, m.lease, id(m.claim.ID), m.claim.Incarnation, ago, token(m.token), token(m.answer.Token), m.answer.Ended, m.answer.QueuePosition > 0, m.toAcquire, m.duplicated))
	}
	for _, c := range w.verifications {
		lines = append(lines, fmt.Sprintln("v", c.holder, c.lease, id(c.claim.ID), c.claim.Incarnation, w.holderClock(c.holder)-c.sentAt, w.leaderClock().Sub(c.receivedAt), w.leader-c.leader))
	}
	slices.Sort(lines)
	for _, l := range lines {
		text = append(text, l...)
	}
	w.clock.Visit(w.leaderClock(), func(k registry.ClaimRef, line string) {
		text = fmt.Appendln(text, k.Lease, id(k.ClaimID), line)
	})
	for _, t := range w.checker.newestToken {
		text = fmt.Appendln(text, token(t))
	}
	return text
}
