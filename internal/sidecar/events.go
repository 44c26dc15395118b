package sidecar

import (
	"barleywick/internal/mutation"
	"barleywick/internal/overload"
	"barleywick/internal/registry/client"
	"barleywick/internal/sidecar/outcome"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

// event is a message to the event loop. Only the types in this file implement it.
type event interface {
	// handle is called by the event loop, in the order in which the events were posted.
	handle(l *eventLoop)
}

// Events of requests and attempts.
type (
	requestArrived     struct{ request *request }
	clientDisconnected struct{ request *request }
	attemptEnded       struct {
		attempt  *attempt
		ending   policy.Ending
		response *upstream.Response // with policy.Served
	}
)

// Events of booking servers.
type (
	probeCompleted struct {
		probe *pendingProbe
		ok    bool
		load  policy.LoadReport
	}
	endpointsListed struct{ listing client.ListUpdate }
	listingLost     struct{ loss client.ListLoss }
)

// Events of a hand-over, in the predecessor and in the successor.
type (
	handoverStarted struct {
		reserved chan<- []policy.BulkheadCapacity // receives the capacity that this process keeps
	}
	predecessorReported struct{ reserved []policy.BulkheadCapacity }
)

// Events of the fleet.
type (
	fleetPolicyReceived struct {
		limits policy.FleetLimits
		done   chan<- struct{} // closed when the limits are in effect
	}
	adviceReceived      struct{ advice policy.OverloadAdvice }
	sidecarCountChanged struct{ sidecars int }
)

// Queries to the event loop.
type (
	statusRequested struct{ status chan<- Status }
	// digestRequested requests the counts since the previous digest.
	digestRequested struct{ digest chan<- overload.Digest }
)

func (e requestArrived) handle(l *eventLoop) { l.admitRequest(e.request) }

func (e clientDisconnected) handle(l *eventLoop) {
	r := e.request
	if r.id == 0 || r.closed {
		r.dropResponse()
		return
	}
	l.closeRequest(r)
	l.observers.requestEnded(r, outcome.ClientDisconnected)
	if mutation.IgnoreClientEnd {
		return
	}
	l.balancer.ClientGone(l.clock.now, r.id)
}

func (e attemptEnded) handle(l *eventLoop) { l.endAttempt(e.attempt, e.ending, e.response) }

func (e probeCompleted) handle(l *eventLoop) {
	p := e.probe
	p.done, p.answered, p.load = true, e.ok, e.load
	l.deliverProbes(p.endpoint)
}

func (e endpointsListed) handle(l *eventLoop) {
	l.endpoints.updatedAt = l.clock.now
	kind := policy.ListDelta
	switch {
	case e.listing.Fetched:
		kind = policy.ListFetched
	case e.listing.Full:
		kind = policy.ListFull
	}
	l.applyListing(kind, e.listing)
}

func (e listingLost) handle(l *eventLoop) { l.balancer.ListLost(l.clock.now, policy.ListLoss(e.loss)) }

func (e handoverStarted) handle(l *eventLoop) {
	e.reserved <- l.balancer.HandOver(l.expectedRequests())
}

func (e predecessorReported) handle(l *eventLoop) {
	l.balancer.ReserveForPredecessor(l.clock.now, e.reserved)
}

func (e fleetPolicyReceived) handle(l *eventLoop) {
	l.balancer.SetFleetLimits(l.clock.now, e.limits)
	close(e.done)
}

func (e adviceReceived) handle(l *eventLoop) { l.balancer.Advise(l.clock.now, e.advice) }

func (e sidecarCountChanged) handle(l *eventLoop) { l.balancer.SetFleetSize(e.sidecars) }

func (e statusRequested) handle(l *eventLoop) { e.status <- l.status() }

func (e digestRequested) handle(l *eventLoop) { e.digest <- l.digest() }
