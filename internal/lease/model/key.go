package model

import (
	"fmt"
	"slices"
	"strings"

	"barleywick/internal/registry"
)

// keyWriter writes the key of one state. Claims are numbered in the order in which they
// are written, and tokens are relative to the last one, so that equivalent states have equal keys.
type keyWriter struct {
	text      []byte
	claims    map[string]int
	lastToken uint64
}

func (k *keyWriter) line(values ...any) { k.text = fmt.Appendln(k.text, values...) }

func (k *keyWriter) claim(id string) int {
	n, ok := k.claims[id]
	if !ok {
		n = len(k.claims)
		k.claims[id] = n
	}
	return n
}

func (k *keyWriter) token(t uint64) uint64 {
	if t == 0 {
		return 0
	}
	return k.lastToken - t + 1
}

// Key appends a key of the state to text: two states with the same key have the same possible
// next steps. Times are relative to now.
func (w *World) Key(text []byte) []byte {
	k := &keyWriter{text: text, claims: make(map[string]int), lastToken: w.state.Leases().LastToken()}
	k.line(w.now, w.leader, w.duplicates, w.losses, w.restores, w.restarts)
	w.holdersKey(k)
	w.leasesKey(k)
	w.networkKey(k)
	w.tracker.Visit(w.leaderClock(), func(ref registry.ClaimRef, status string) {
		k.line(ref.Lease, k.claim(ref.ClaimID), status)
	})
	for _, t := range w.checker.newestToken {
		k.line(k.token(t))
	}
	return k.text
}

func (w *World) holdersKey(k *keyWriter) {
	for i, h := range w.holders {
		now := w.holderClock(i)
		k.line(h.identity)
		for _, s := range h.sessions {
			if s == nil || s.Ended(now) {
				k.text = append(k.text, '-')
				continue
			}
			k.line(k.claim(s.ClaimID), k.token(s.Token()), max(-1, s.Deadline()-now), s.Age(now))
		}
	}
}

func (w *World) leasesKey(k *keyWriter) {
	leases, _ := w.state.Leases().List()
	for _, l := range leases {
		k.text = append(k.text, l.Name...)
		if g := l.Grant; g != nil {
			k.line("held", k.claim(g.ID), k.token(g.Token), g.Holder)
		}
		for _, c := range l.Queue {
			k.line("waits", k.claim(c.ID), c.Holder)
		}
	}
}

// networkKey writes the messages and the renewals that are being verified. Their order
// does not matter, so the lines are sorted.
func (w *World) networkKey(k *keyWriter) {
	lines := make([]string, 0, len(w.network)+len(w.verifications))
	for _, m := range w.network {
		age := w.holderClock(m.holder) - m.sentAt
		if m.kind != renewal && m.kind != answer || m.toAcquire {
			age = 0 // the send time matters only for a renewal and the answer to one
		}
		lines = append(lines, fmt.Sprintln(
			"m", m.kind, m.holder, m.lease, k.claim(m.claim.ID), m.claim.Incarnation, age, k.token(m.token),
			k.token(m.answer.Token), m.answer.Ended, m.answer.QueuePosition > 0, m.toAcquire, m.duplicated,
		))
	}
	for _, v := range w.verifications {
		lines = append(lines, fmt.Sprintln(
			"v", v.holder, v.lease, k.claim(v.claim.ID), v.claim.Incarnation,
			w.holderClock(v.holder)-v.sentAt, w.leaderClock().Sub(v.receivedAt), w.leader-v.leader,
		))
	}
	slices.Sort(lines)
	k.text = append(k.text, strings.Join(lines, "")...)
}
