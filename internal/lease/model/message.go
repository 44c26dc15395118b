package model

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"barleywick/internal/registry"
)

type messageKind int

const (
	acquire messageKind = iota
	renewal
	release
	write
	answer // to an acquire or a renewal
)

var kindNames = []string{"acquire", "renewal", "release", "write", "answer"}

// message is a call or an answer in flight.
type message struct {
	kind       messageKind
	holder     int
	lease      int
	claim      registry.Claim
	sentAt     time.Duration // by the holder's clock
	token      uint64        // of a write
	answer     registry.ClaimStatus
	toAcquire  bool // the call was an acquire
	duplicated bool
}

// pendingVerification is a renewal that arrived at a leader, which now verifies that it
// still leads.
type pendingVerification struct {
	message
	receivedAt time.Time
	leader     int
}

// send adds a holder's call to the network.
func (w *World) send(kind messageKind, holder, lease int) {
	h := w.holders[holder]
	s := h.sessions[lease]
	now := w.holderClock(holder)
	if kind == acquire {
		s.AcquireSent(now)
	}
	w.network = append(w.network, message{
		kind: kind, holder: holder, lease: lease, sentAt: now, token: s.Token(),
		claim: registry.Claim{ID: s.ClaimID, Holder: h.identity, TTLMS: w.TTL.Milliseconds()},
	})
}

// deliver delivers a message to its receiver.
func (w *World) deliver(i int) {
	m := w.network[i]
	w.network = slices.Delete(w.network, i, i+1)
	switch m.kind {
	case acquire:
		w.deliverAcquire(m)
	case renewal:
		w.verifications = append(w.verifications, pendingVerification{m, w.leaderClock(), w.leader})
	case release:
		w.state.Apply(registry.Command{Op: registry.OpReleaseLease, Lease: &registry.LeaseCommand{Name: leaseName(m.lease), Claim: m.claim}})
		w.syncTracker()
	case write:
		w.deliverWrite(m)
	case answer:
		w.deliverAnswer(m)
	}
}

func (w *World) deliverAcquire(m message) {
	name := leaseName(m.lease)
	r := w.state.Apply(registry.Command{Op: registry.OpAcquireLease, Lease: &registry.LeaseCommand{Name: name, Claim: m.claim, Wait: true}})
	w.syncTracker()
	status := registry.ClaimStatus{
		Lease: name, ClaimID: m.claim.ID, Token: r.Token, QueuePosition: r.QueuePosition, Ended: errors.Is(r.Err, registry.ErrClaimEnded),
	}
	w.network = append(w.network, message{kind: answer, holder: m.holder, lease: m.lease, claim: m.claim, answer: status, toAcquire: true})
}

func (w *World) deliverWrite(m message) {
	name := leaseName(m.lease)
	r := w.state.Apply(registry.Command{
		Op: registry.OpPutRecord, Key: name, Value: fmt.Append(nil, m.token, m.sentAt), Fence: &registry.Fence{Lease: name, Token: m.token},
	})
	w.checker.checkWrite(m, r.Err)
}

// deliverAnswer passes an answer to the session that made the call, if the holder still has it.
func (w *World) deliverAnswer(m message) {
	s := w.holders[m.holder].sessions[m.lease]
	if s == nil || s.ClaimID != m.claim.ID || s.Holder != m.claim.Holder {
		return
	}
	now := w.holderClock(m.holder)
	if m.toAcquire {
		s.Acquired(m.answer, now)
	} else {
		s.Renewed(m.answer, m.sentAt, now)
	}
}

// finishVerification answers a renewal, unless another leader was elected since it
// arrived.
func (w *World) finishVerification(i int) {
	v := w.verifications[i]
	w.verifications = slices.Delete(w.verifications, i, i+1)
	if v.leader != w.leader {
		return
	}
	refs := []registry.ClaimRef{{Lease: leaseName(v.lease), ClaimID: v.claim.ID}}
	statuses := w.tracker.RenewClaims(w.state.Leases(), v.claim.Holder, refs, v.receivedAt)
	w.network = append(w.network, message{kind: answer, holder: v.holder, lease: v.lease, claim: v.claim, sentAt: v.sentAt, answer: statuses[0]})
}
