package model

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"barleywick/internal/registry"
)

type kind int

const (
	acquire kind = iota
	renewal
	release
	write
	answer // to an acquire or a renewal
)

var kindNames = []string{"acquire", "renewal", "release", "write", "answer"}

// message is one call or answer on its way.
type message struct {
	kind       kind
	holder     int
	lease      int
	claim      registry.Claim
	sentAt     time.Duration // by the holder's clock
	token      uint64        // of a write
	answer     registry.ClaimStatus
	toAcquire  bool // the answer is to an acquire
	duplicated bool
}

// pendingVerification is a renewal that came to a leader, which now makes sure that it leads.
type pendingVerification struct {
	message
	receivedAt time.Time
	leader     int
}

func (w *World) send(k kind, i, j int) {
	h := w.holders[i]
	t := h.sessions[j]
	now := w.holderClock(i)
	if k == acquire {
		t.AcquireSent(now)
	}
	m := message{kind: k, holder: i, lease: j, sentAt: now}
	m.claim = registry.Claim{ID: t.ClaimID, Holder: h.identity, TTLMS: w.TTL.Milliseconds()}
	m.token = t.Token()
	w.network = append(w.network, m)
}

// deliver lets a message come to where it goes.
func (w *World) deliver(i int) {
	m := w.network[i]
	w.network = slices.Delete(w.network, i, i+1)
	name := leaseName(m.lease)
	switch m.kind {
	case acquire:
		r := w.state.Apply(registry.Command{Op: registry.OpAcquireLease, Lease: &registry.LeaseCommand{Name: name, Claim: m.claim, Wait: true}})
		w.follow()
		a := registry.ClaimStatus{Lease: name, ClaimID: m.claim.ID, Token: r.Token, QueuePosition: r.QueuePosition, Ended: errors.Is(r.Err, registry.ErrClaimEnded)}
		w.network = append(w.network, message{kind: answer, holder: m.holder, lease: m.lease, claim: m.claim, answer: a, toAcquire: true})
	case renewal:
		w.verifications = append(w.verifications, pendingVerification{m, w.leaderClock(), w.leader})
	case release:
		w.state.Apply(registry.Command{Op: registry.OpReleaseLease, Lease: &registry.LeaseCommand{Name: name, Claim: m.claim}})
		w.follow()
	case write:
		r := w.state.Apply(registry.Command{
			Op: registry.OpPutRecord, Key: name, Value: fmt.Append(nil, m.token, m.sentAt), Fence: &registry.Fence{Lease: name, Token: m.token},
		})
		w.checker.checkWrite(m, r.Err)
	case answer:
		if t := w.holders[m.holder].sessions[m.lease]; t != nil && t.ClaimID == m.claim.ID && t.Holder == m.claim.Holder {
			if m.toAcquire {
				t.Acquired(m.answer, w.holderClock(m.holder))
			} else {
				t.Renewed(m.answer, m.sentAt, w.holderClock(m.holder))
			}
		}
	}
}

// finishVerification ends a leader's check: it fails where another leads since the call came.
func (w *World) finishVerification(i int) {
	c := w.verifications[i]
	w.verifications = slices.Delete(w.verifications, i, i+1)
	if c.leader != w.leader {
		return
	}
	a := w.clock.RenewClaims(w.state.Leases(), c.claim.Holder, []registry.ClaimRef{{Lease: leaseName(c.lease), ClaimID: c.claim.ID}}, c.receivedAt)
	w.network = append(w.network, message{kind: answer, holder: c.holder, lease: c.lease, claim: c.claim, sentAt: c.sentAt, answer: a[0]})
}
