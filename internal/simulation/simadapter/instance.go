package simadapter

import (
	"barleywick/internal/settings"
	"barleywick/internal/simulation/simwire"
	"barleywick/policy"
	"fmt"
	"time"
)

// instance is one sidecar; it carries out its Balancer's decisions.
type instance struct {
	host        *process
	number      uint32
	loadColumns settings.LoadColumns
	balancer    *policy.Balancer
	logAt       time.Duration // when the counters are written next
}

// counterLogInterval is how often an instance's counters go to the log.
const counterLogInterval = 10 * time.Second

func (i *instance) Send(id policy.RequestID, to policy.ServerID, timeout, _ time.Duration) {
	i.host.reply.CallOut(i.number, uint32(id), simwire.Upstream(to), timeout)
}

func (i *instance) Refuse(id policy.RequestID, pause time.Duration) {
	i.host.reply.PushBack(i.number, uint32(id), pause)
}

func (i *instance) Fail(id policy.RequestID) { i.host.reply.Lose(i.number, uint32(id)) }

func (i *instance) Cancel(id policy.RequestID, attempt int) {
	i.host.reply.Recall(i.number, uint32(id), uint8(attempt))
}

func (i *instance) Wake(d time.Duration) { i.host.reply.SetAlarm(i.number, d, 0) }

func (i *instance) Probe(to policy.ServerID) { i.host.reply.Inspect(i.number, simwire.Upstream(to)) }

func (i *instance) WatchList() { i.host.reply.Tail(i.number, true) }

// reportPanic reports a panic in the module with the wire's own fault action.
func (i *instance) reportPanic(f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			i.host.reply.Die(i.number, fmt.Sprintf("panic: %v", p))
			i.balancer = nil
		}
	}()
	return f()
}

// event hands one event to the instance's Balancer.
func (i *instance) event(now time.Duration, rec simwire.Record) error {
	if now >= i.logAt {
		if i.logAt > 0 { // not at the first event: there is nothing to tell yet
			i.host.reply.WriteLog(i.number, fmt.Sprintf("counters %+v", i.balancer.Counters()))
		}
		i.logAt = now + counterLogInterval
	}
	return i.reportPanic(func() error { return i.dispatch(now, rec) })
}

func (i *instance) dispatch(now time.Duration, rec simwire.Record) error {
	switch rec.Code {
	case simwire.EventAsk:
		a, err := rec.Ask()
		if err != nil {
			return err
		}
		r := policy.Request{ID: policy.RequestID(a.Job), Class: int(a.Kind), Tenant: int(a.Tenant), TimeLeft: a.Left, AffinityKey: a.Key}
		r.ClientRetry = a.Bits&simwire.AskBitRepeat != 0
		if a.Bits&simwire.AskBitHint != 0 {
			r.ExpectedWork = a.Hint
		}
		i.balancer.Request(now, r)
	case simwire.EventFinished:
		f, err := rec.Finished()
		if err != nil {
			return err
		}
		i.balancer.Outcome(now, policy.Outcome{
			ID: policy.RequestID(f.Job), Attempt: int(f.Hop), Ending: ending(f.Ending), Settled: f.Settled,
		})
	case simwire.EventWake:
		i.balancer.Wake(now)
	case simwire.EventClientLeft:
		job, err := rec.Job()
		if err != nil {
			return err
		}
		i.balancer.ClientGone(now, policy.RequestID(job))
	case simwire.EventHeaders:
		job, err := rec.Job()
		if err != nil {
			return err
		}
		i.balancer.StreamBegun(policy.RequestID(job))
	case simwire.EventCheckResult:
		up, end, report, err := rec.CheckResult()
		if err != nil {
			return err
		}
		i.balancer.Probed(now, policy.ServerID(up), end == simwire.OutcomeServed, i.loadColumns.LoadReport(report.Value))
	case simwire.EventFleet:
		kind, _, page, err := rec.Fleet()
		if err != nil {
			return err
		}
		return i.fleet(now, kind, page)
	}
	return nil
}

func (i *instance) fleet(now time.Duration, kind uint8, page uint16) error {
	var k policy.ListKind
	switch kind {
	case simwire.FleetFull:
		k = policy.ListFull
	case simwire.FleetDelta:
		k = policy.ListDelta
	case simwire.FleetCached:
		k = policy.ListCached
	case simwire.FleetFailed:
		i.balancer.List(now, policy.ListFailed, nil)
		return nil
	default:
		return nil // a kind of a later version
	}
	list, ok := i.host.lists[page]
	if !ok {
		return fmt.Errorf("instance %d: list %d was never sent", i.number, page)
	}
	i.balancer.List(now, k, list)
	return nil
}
