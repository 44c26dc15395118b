// Package simadapter plays the decision module on the simulator's wire: it hosts many
// instances, each a policy.Balancer of its own. It decides nothing itself.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"barleywick/internal/settings"
	"barleywick/internal/simulation/simwire"
	"barleywick/policy"
)

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	h := newHost()
	r := simwire.NewReader(bufio.NewReaderSize(in, 1<<16))
	for {
		b, err := r.ReadBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		h.reply.Begin(b.Number)
		if err := h.batch(b); err != nil {
			return fmt.Errorf("batch %d: %w", b.Number, err)
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// process holds the instances of this process and what they share: the numbered
// lists of the wire and the reply under way.
type process struct {
	reply     simwire.ReplyWriter
	lists     map[uint16][]policy.Endpoint
	instances map[uint32]*instance
}

func newHost() *process {
	return &process{lists: make(map[uint16][]policy.Endpoint), instances: make(map[uint32]*instance)}
}

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

func (i *instance) Wake(d time.Duration)     { i.host.reply.SetAlarm(i.number, d, 0) }
func (i *instance) Probe(to policy.ServerID) { i.host.reply.Inspect(i.number, simwire.Upstream(to)) }
func (i *instance) WatchList()               { i.host.reply.Tail(i.number, true) }

// batch hands the events of one batch to their instances, in order.
func (h *process) batch(b simwire.Batch) error {
	body := b.Body
	for range b.Records {
		rec, rest, err := simwire.NextRecord(body)
		if err != nil {
			return err
		}
		body = rest
		if err := h.record(b.Clock, rec); err != nil {
			return err
		}
	}
	if len(body) > 0 {
		return fmt.Errorf("%d bytes behind the last record", len(body))
	}
	return nil
}

func (h *process) record(now time.Duration, rec simwire.Record) error {
	switch rec.Code {
	case simwire.EventManifest:
		page, entries, err := rec.Manifest()
		if err != nil {
			return err
		}
		h.lists[page] = servers(entries)
		return nil
	case simwire.EventOpenInstance, simwire.EventCrashNow, simwire.EventFleet, simwire.EventAsk, simwire.EventFinished, simwire.EventWake,
		simwire.EventClientLeft, simwire.EventHeaders, simwire.EventCheckResult:
	default:
		return nil // a code of a later version, or one that the module has no use for
	}
	number, err := rec.Instance()
	if err != nil {
		return err
	}
	switch rec.Code {
	case simwire.EventOpenInstance:
		return h.open(now, number, rec)
	case simwire.EventCrashNow:
		delete(h.instances, number)
		return nil
	}
	i := h.instances[number]
	if i == nil || i.balancer == nil {
		return nil // not running: nothing may be done for it
	}
	return i.event(now, rec)
}

// open starts an instance anew.
func (h *process) open(now time.Duration, number uint32, rec simwire.Record) error {
	seed, info, err := rec.OpenInstance()
	if err != nil {
		return err
	}
	s, err := settings.ParseLines(info)
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	config, err := s.PolicyConfig()
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	i := &instance{host: h, number: number, loadColumns: s.LoadColumns()}
	h.instances[number] = i
	return i.reportPanic(func() error {
		b, err := policy.New(config, seed, i)
		if err != nil {
			return fmt.Errorf("instance %d: %w", number, err)
		}
		i.balancer = b
		b.Start(now)
		return nil
	})
}

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

func ending(code uint16) policy.Ending {
	switch code {
	case simwire.OutcomeServed:
		return policy.Served
	case simwire.OutcomeRejected:
		return policy.Rejected
	case simwire.OutcomeTimedOut:
		return policy.TimedOut
	case simwire.OutcomeNoConnection:
		return policy.NoConnection
	case simwire.OutcomeBroken:
		return policy.Broken
	case simwire.OutcomeCancelled:
		return policy.Cancelled
	case simwire.OutcomeNotSent:
		return policy.NotSent
	}
	return policy.Errored // it may have run, as may whatever is not known
}

func servers(entries []simwire.Entry) []policy.Endpoint {
	list := make([]policy.Endpoint, len(entries))
	for i, e := range entries {
		list[i] = policy.Endpoint{
			ID: policy.ServerID(e.Upstream), Zone: int(e.Area), Cell: int(e.Cohort), Weight: e.Rating, Started: e.Boot,
		}
		switch e.Status {
		case simwire.StatusReady:
			list[i].State = policy.Ready
		case simwire.StatusGone:
			list[i].State = policy.Removed
		default:
			list[i].State = policy.Draining // nothing new, whatever it is
		}
	}
	return list
}
