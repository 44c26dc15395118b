package simadapter

import (
	"fmt"
	"time"

	"barleywick/internal/settings"
	"barleywick/internal/simulation/simwire"
	"barleywick/policy"
)

// counterLogInterval is the interval of an instance's counter log lines.
const counterLogInterval = 10 * time.Second

// instance is one simulated sidecar. It implements policy.Host for its Balancer.
type instance struct {
	process     *process
	number      uint32
	loadColumns settings.LoadColumns
	balancer    *policy.Balancer // nil after a panic
	nextLogAt   time.Duration    // 0 before the first event
}

// start creates and starts the Balancer.
func (i *instance) start(now time.Duration, config policy.Config, seed uint64) error {
	b, err := policy.New(config, seed, i)
	if err != nil {
		return fmt.Errorf("instance %d: %w", i.number, err)
	}
	i.balancer = b
	b.Start(now)
	return nil
}

// Send starts an attempt. The protocol has no field for the limit on its start, so that is dropped.
func (i *instance) Send(id policy.RequestID, to policy.ServerID, timeout, _ time.Duration) {
	i.process.reply.CallOut(i.number, uint32(id), simwire.Upstream(to), timeout)
}

// Refuse refuses a request.
func (i *instance) Refuse(id policy.RequestID, pause time.Duration) {
	i.process.reply.PushBack(i.number, uint32(id), pause)
}

// Fail fails a request.
func (i *instance) Fail(id policy.RequestID) { i.process.reply.Lose(i.number, uint32(id)) }

// Cancel cancels an attempt.
func (i *instance) Cancel(id policy.RequestID, attempt int) {
	i.process.reply.Recall(i.number, uint32(id), uint8(attempt))
}

// Wake sets a timer; its cookie is always 0, as an instance has one kind of timer.
func (i *instance) Wake(d time.Duration) { i.process.reply.SetAlarm(i.number, d, 0) }

// Probe probes a server.
func (i *instance) Probe(to policy.ServerID) { i.process.reply.Inspect(i.number, simwire.Upstream(to)) }

// WatchList subscribes to the endpoint list.
func (i *instance) WatchList() { i.process.reply.Tail(i.number, true) }

// FetchList subscribes to the endpoint list: in the simulator a subscription fails only if any call would.
func (i *instance) FetchList() { i.WatchList() }

// reportPanic calls f. If f panics, it reports the panic to the simulator and disables the instance.
func (i *instance) reportPanic(f func() error) error {
	defer func() {
		if p := recover(); p != nil {
			i.process.reply.Die(i.number, fmt.Sprintf("panic: %v", p))
			i.balancer = nil
		}
	}()
	return f()
}

// event passes an event to its handler. It logs the counters first if the interval has passed.
func (i *instance) event(now time.Duration, record simwire.Record, handle handler) error {
	if now >= i.nextLogAt {
		if i.nextLogAt > 0 { // nothing is counted before the first event
			i.process.reply.WriteLog(i.number, fmt.Sprintf("counters %+v", i.balancer.Counters()))
		}
		i.nextLogAt = now + counterLogInterval
	}
	return i.reportPanic(func() error { return handle(i, now, record) })
}

// handler decodes an event and passes it to an instance's Balancer.
type handler func(i *instance, now time.Duration, record simwire.Record) error

// handlers maps event codes to handlers.
var handlers = map[uint16]handler{
	simwire.EventAsk:         (*instance).ask,
	simwire.EventFinished:    (*instance).finished,
	simwire.EventWake:        (*instance).wake,
	simwire.EventClientLeft:  (*instance).clientLeft,
	simwire.EventHeaders:     (*instance).headers,
	simwire.EventCheckResult: (*instance).checkResult,
	simwire.EventFleet:       (*instance).fleet,
}

func (i *instance) ask(now time.Duration, record simwire.Record) error {
	a, err := record.Ask()
	if err != nil {
		return err
	}
	r := policy.Request{
		ID: policy.RequestID(a.Job), Class: int(a.Kind), Tenant: int(a.Tenant), TimeLeft: a.Left, AffinityKey: a.Key,
		ClientRetry: a.Bits&simwire.AskBitRepeat != 0,
	}
	if a.Bits&simwire.AskBitHint != 0 {
		r.ExpectedWork = a.Hint
	}
	i.balancer.Request(now, r)
	return nil
}

func (i *instance) finished(now time.Duration, record simwire.Record) error {
	f, err := record.Finished()
	if err != nil {
		return err
	}
	i.balancer.Outcome(now, policy.Outcome{
		ID: policy.RequestID(f.Job), Attempt: int(f.Hop), Ending: endingFromCode(f.Ending), Settled: f.Settled,
	})
	return nil
}

func (i *instance) wake(now time.Duration, _ simwire.Record) error {
	i.balancer.Wake(now)
	return nil
}

func (i *instance) clientLeft(now time.Duration, record simwire.Record) error {
	job, err := record.Job()
	if err != nil {
		return err
	}
	i.balancer.ClientGone(now, policy.RequestID(job))
	return nil
}

func (i *instance) headers(_ time.Duration, record simwire.Record) error {
	job, err := record.Job()
	if err != nil {
		return err
	}
	i.balancer.StreamStarted(policy.RequestID(job))
	return nil
}

func (i *instance) checkResult(now time.Duration, record simwire.Record) error {
	server, outcome, report, err := record.CheckResult()
	if err != nil {
		return err
	}
	ok := outcome == simwire.OutcomeServed
	i.balancer.Probed(now, policy.ServerID(server), ok, i.loadColumns.LoadReport(report.Value))
	return nil
}

func (i *instance) fleet(now time.Duration, record simwire.Record) error {
	kind, _, page, err := record.Fleet()
	if err != nil {
		return err
	}
	listKind, known := listKinds[kind]
	if !known {
		return nil // a kind from a later version of the protocol
	}
	if listKind == policy.ListFailed {
		i.balancer.List(now, listKind, nil)
		return nil
	}
	list, ok := i.process.lists[page]
	if !ok {
		return fmt.Errorf("instance %d: list %d was never sent", i.number, page)
	}
	i.balancer.List(now, listKind, list)
	return nil
}
