package remoteadapter

import (
	"barleywick/internal/simulation/simwire"
	"barleywick/policy"
	"errors"
	"fmt"
	"io"
	"time"
)

// instance is one start of a sidecar.
type instance struct {
	adapter *Adapter
	number  uint32
	host    policy.Host
	seed    uint64
	info    []byte
	list    uint32 // its version
	tries   map[uint32]*attemptRecord
}

// attemptRecord are what the wire says again of a request's attempts.
type attemptRecord struct {
	to          []simwire.Upstream
	at          []time.Duration
	ended       int
	requestOver bool
}

// batch sends one event and carries out the actions that come back.
func (i *instance) batch(now time.Duration, write func(*simwire.BatchWriter)) {
	a := i.adapter
	if a.err != nil {
		return
	}
	a.number++
	a.events.Begin(a.number, now)
	write(&a.events)
	if _, err := a.out.Write(a.events.Bytes()); err != nil {
		a.err = fmt.Errorf("adapter: %w", err)
		return
	}
	answer, err := a.in.ReadReply()
	switch {
	case errors.Is(err, io.EOF):
		a.err = errors.New("adapter: it ended")
		return
	case err != nil:
		a.err = fmt.Errorf("adapter: %w", err)
		return
	case answer.Number != a.number:
		a.err = fmt.Errorf("adapter: answers batch %d with the number %d", a.number, answer.Number)
		return
	}
	body := answer.Body
	for range answer.Records {
		var record simwire.Record
		if record, body, err = simwire.NextRecord(body); err == nil {
			var act simwire.Action
			if act, err = record.Action(); err == nil {
				err = i.perform(now, act)
			}
		}
		if err != nil {
			a.err = fmt.Errorf("adapter: %w", err)
			return
		}
	}
}

// perform carries an action out.
func (i *instance) perform(now time.Duration, a simwire.Action) error {
	if a.Inst != i.number {
		return fmt.Errorf("an action for instance %d without an event for it", a.Inst)
	}
	t := i.tries[a.Job]
	switch a.Code {
	case simwire.ActionCallOut, simwire.ActionRecall:
		if t == nil {
			return fmt.Errorf("action %d for request %d, which is not known", a.Code, a.Job)
		}
	case simwire.ActionPushBack, simwire.ActionLose:
		if t == nil {
			return nil // ended a moment ago, which the wire forgives
		}
	}
	switch a.Code {
	case simwire.ActionCallOut:
		t.to, t.at = append(t.to, a.To), append(t.at, now)
		patience := a.Time
		if patience == 0 {
			patience = time.Hour // until the client gives up
		}
		i.host.Send(policy.RequestID(a.Job), policy.ServerID(a.To), patience, 0)
	case simwire.ActionPushBack:
		t.requestOver = true
		i.host.Refuse(policy.RequestID(a.Job), a.Time)
		i.forget(a.Job)
	case simwire.ActionLose:
		t.requestOver = true
		i.host.Fail(policy.RequestID(a.Job))
		i.forget(a.Job)
	case simwire.ActionRecall:
		i.host.Cancel(policy.RequestID(a.Job), int(a.Hop))
	case simwire.ActionSetAlarm:
		i.host.Wake(a.Time)
	case simwire.ActionInspect:
		i.host.Probe(policy.ServerID(a.To))
	case simwire.ActionTail:
		if a.On {
			i.host.WatchList()
		}
	case simwire.ActionDie:
		return fmt.Errorf("the decision code has failed: %.200s", a.Text)
	}
	return nil // a log line, or what a later version says
}

// forget lets go of a request that is over and has no attempt out.
func (i *instance) forget(job uint32) {
	if t := i.tries[job]; t != nil && t.requestOver && t.ended == len(t.to) {
		delete(i.tries, job)
	}
}

// Start opens the instance; one that was open under its number is dead.
func (i *instance) Start(now time.Duration) {
	i.batch(now, func(e *simwire.BatchWriter) {
		if i.adapter.alive[i.number] {
			e.CrashNow(i.number)
		}
		i.adapter.alive[i.number] = true
		e.OpenInstance(i.number, i.seed, i.info)
	})
}

// Request brings a request.
func (i *instance) Request(now time.Duration, q policy.Request) {
	job := uint32(q.ID)
	i.tries[job] = &attemptRecord{}
	ask := simwire.Ask{Job: job, Key: q.AffinityKey, Tenant: uint32(q.Tenant), Left: q.TimeLeft, Hint: q.ExpectedWork, Kind: uint8(q.Class)}
	if q.ExpectedWork > 0 {
		ask.Bits |= simwire.AskBitHint
	}
	if q.ClientRetry {
		ask.Bits |= simwire.AskBitRepeat
	}
	i.batch(now, func(e *simwire.BatchWriter) { e.Ask(i.number, ask) })
}

// endings are the module's endings as the wire has them.
var endings = map[policy.Ending]uint16{
	policy.Served: simwire.OutcomeServed, policy.Errored: simwire.OutcomeErrored, policy.Rejected: simwire.OutcomeRejected, policy.TimedOut: simwire.OutcomeTimedOut,
	policy.NoConnection: simwire.OutcomeNoConnection, policy.Broken: simwire.OutcomeBroken, policy.Cancelled: simwire.OutcomeCancelled, policy.NotSent: simwire.OutcomeNotSent,
}

// Outcome tells of an attempt's end.
func (i *instance) Outcome(now time.Duration, o policy.Outcome) {
	job := uint32(o.ID)
	f := simwire.Finished{Job: job, Hop: uint8(o.Attempt), Ending: endings[o.Ending], Settled: o.Settled}
	if t := i.tries[job]; t != nil && o.Attempt < len(t.to) {
		f.Upstream, f.Took = t.to[o.Attempt], now-t.at[o.Attempt]
		t.ended++
		t.requestOver = t.requestOver || o.Settled
	}
	i.batch(now, func(e *simwire.BatchWriter) { e.Finished(i.number, f) })
	i.forget(job)
}

// ClientGone tells that a client has left.
func (i *instance) ClientGone(now time.Duration, id policy.RequestID) {
	if t := i.tries[uint32(id)]; t != nil {
		t.requestOver = true
	}
	i.batch(now, func(e *simwire.BatchWriter) { e.ClientLeft(i.number, uint32(id)) })
	i.forget(uint32(id))
}

// Wake tells that a timer is due.
func (i *instance) Wake(now time.Duration) {
	i.batch(now, func(e *simwire.BatchWriter) { e.Wake(i.number, 0) })
}

// Probed tells of a probe's end.
func (i *instance) Probed(now time.Duration, id policy.ServerID, ok bool, l policy.LoadReport) {
	ending, report := uint16(simwire.OutcomeNoConnection), simwire.LoadReport{}
	if ok {
		ending = simwire.OutcomeServed
		report = simwire.LoadReport{Count: 3, Values: [4]float32{float32(l.Queued), float32(l.Utilization), float32(l.ServedPerSecond)}} // as Settings names the columns
	}
	i.batch(now, func(e *simwire.BatchWriter) { e.CheckResult(i.number, simwire.Upstream(id), ending, 0, report) })
}

// List tells news of the server list.
func (i *instance) List(now time.Duration, kind policy.ListKind, servers []policy.Endpoint) {
	states := map[policy.EndpointState]uint8{policy.Removed: simwire.StatusGone, policy.Draining: simwire.StatusDraining, policy.Ready: simwire.StatusReady}
	entries := make([]simwire.Entry, len(servers))
	for n, s := range servers {
		entries[n] = simwire.Entry{
			Upstream: simwire.Upstream(s.ID), Area: uint8(s.Zone), Cohort: uint16(s.Cell), Status: states[s.State], Rating: s.Weight, Boot: s.Started,
		}
	}
	i.list++
	i.batch(now, func(e *simwire.BatchWriter) {
		if kind != policy.ListFailed {
			e.Manifest(0, entries)
		}
		e.Fleet(i.number, map[policy.ListKind]uint8{
			policy.ListFull: simwire.FleetFull, policy.ListDelta: simwire.FleetDelta, policy.ListCached: simwire.FleetCached, policy.ListFailed: simwire.FleetFailed,
		}[kind], i.list, 0)
	})
}
