package remoteadapter

import (
	"time"

	"barleywick/internal/simulation/simwire"
	"barleywick/policy"
)

// instance is one run of a sidecar, from a start to a kill. It implements emulator.Decider: it sends
// each event to the adapter and executes the actions of the reply.
type instance struct {
	adapter     *Adapter
	number      uint32
	host        policy.Host
	seed        uint64
	settings    []byte
	listVersion uint32
	requests    map[uint32]*request // by the job id on the wire
}

// request is the state of a request that later messages on the wire need.
type request struct {
	attempts      []attempt
	endedAttempts int
	closed        bool // it has its answer, or its client has left
}

// attempt is an attempt in flight or completed.
type attempt struct {
	server simwire.Upstream
	sentAt time.Duration
}

// send sends an event and executes the actions of the reply.
func (i *instance) send(now time.Duration, write func(*simwire.BatchWriter)) {
	reply, ok := i.adapter.exchange(now, write)
	if !ok {
		return
	}
	if err := i.performAll(now, reply); err != nil {
		i.adapter.fail(err)
	}
}

// Start starts the instance. If one of the same number was started before, it is ended first.
func (i *instance) Start(now time.Duration) {
	i.send(now, func(w *simwire.BatchWriter) {
		if i.adapter.running[i.number] {
			w.CrashNow(i.number)
		}
		i.adapter.running[i.number] = true
		w.OpenInstance(i.number, i.seed, i.settings)
	})
}

// Request delivers a client's request.
func (i *instance) Request(now time.Duration, q policy.Request) {
	job := uint32(q.ID)
	i.requests[job] = new(request)
	ask := simwire.Ask{
		Job: job, Key: q.AffinityKey, Tenant: uint32(q.Tenant), Left: q.TimeLeft, Hint: q.ExpectedWork, Kind: uint8(q.Class),
	}
	if q.ExpectedWork > 0 {
		ask.Bits |= simwire.AskBitHint
	}
	if q.ClientRetry {
		ask.Bits |= simwire.AskBitRepeat
	}
	i.send(now, func(w *simwire.BatchWriter) { w.Ask(i.number, ask) })
}

// Outcome reports the end of an attempt.
func (i *instance) Outcome(now time.Duration, o policy.Outcome) {
	job := uint32(o.ID)
	finished := simwire.Finished{Job: job, Hop: uint8(o.Attempt), Ending: outcomes[o.Ending], Settled: o.Settled}
	if r := i.requests[job]; r != nil && o.Attempt < len(r.attempts) {
		a := r.attempts[o.Attempt]
		finished.Upstream, finished.Took = a.server, now-a.sentAt
		r.endedAttempts++
		r.closed = r.closed || o.Settled
	}
	i.send(now, func(w *simwire.BatchWriter) { w.Finished(i.number, finished) })
	i.forget(job)
}

// ClientGone reports that a client has left.
func (i *instance) ClientGone(now time.Duration, id policy.RequestID) {
	job := uint32(id)
	if r := i.requests[job]; r != nil {
		r.closed = true
	}
	i.send(now, func(w *simwire.BatchWriter) { w.ClientLeft(i.number, job) })
	i.forget(job)
}

// Wake reports that a timer is due.
func (i *instance) Wake(now time.Duration) {
	i.send(now, func(w *simwire.BatchWriter) { w.Wake(i.number, 0) })
}

// Probed reports the result of a probe.
func (i *instance) Probed(now time.Duration, id policy.ServerID, ok bool, l policy.LoadReport) {
	outcome, report := uint16(simwire.OutcomeNoConnection), simwire.LoadReport{}
	if ok {
		outcome, report = simwire.OutcomeServed, loadReport(l)
	}
	i.send(now, func(w *simwire.BatchWriter) { w.CheckResult(i.number, simwire.Upstream(id), outcome, 0, report) })
}

// List delivers a message about the endpoint list.
func (i *instance) List(now time.Duration, kind policy.ListKind, endpoints []policy.Endpoint) {
	i.listVersion++
	i.send(now, func(w *simwire.BatchWriter) {
		if kind != policy.ListFailed {
			w.Manifest(0, entries(endpoints))
		}
		w.Fleet(i.number, fleetKinds[kind], i.listVersion, 0)
	})
}

// forget deletes a request that is closed and has no attempt in flight.
func (i *instance) forget(job uint32) {
	if r := i.requests[job]; r != nil && r.closed && r.endedAttempts == len(r.attempts) {
		delete(i.requests, job)
	}
}
