package client

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"barleywick/internal/mutation"
	"barleywick/internal/registry"
)

const (
	// minReopenDelay and maxReopenDelay bound the delay before a watch is opened again. Jitter
	// multiplies a delay by a factor between 0.5 and 1.5, so that watchers do not call in step.
	minReopenDelay = 100 * time.Millisecond
	maxReopenDelay = time.Second
	// maxConnsPerAddr allows for a watch and a call for the full list.
	maxConnsPerAddr = 2
)

// WatcherOptions are the options of a Watcher.
type WatcherOptions struct {
	Addrs      []string         // replicas of one service, which share its versions
	LastKnown  *ListUpdate      // the last list received earlier; nil if there is none
	Deliver    func(ListUpdate) // called with each update, in order
	Seed       uint64           // spreads watchers over replicas and in time
	DrainGrace time.Duration    // time within which the owner has to act on a change; 0: unknown
	// MaxStagger is the maximum delay between the call for the full list and the opening of
	// the watch. If many watchers call at once, those without a list are served first.
	MaxStagger time.Duration

	// Polls delivers the owner's requests to call the service, if the owner decides when to do
	// so. If it is nil, the watch is opened again whenever it ends, after a call for the full list
	// if nothing proves that the list is complete.
	Polls <-chan Call
	// OnLoss is called when a call requested by Polls has failed, or its watch has ended.
	OnLoss func(ListLoss)
}

// Call is a call of the discovery service.
type Call int

const (
	// CallWatch opens a watch. A watcher without a list fetches the full list first.
	CallWatch Call = iota
	// CallFullList fetches the full list. It ends a watch.
	CallFullList
)

// Watcher watches the endpoint list.
type Watcher struct {
	options     WatcherOptions
	client      *http.Client
	rng         *rand.Rand
	addrs       []string
	current     int    // index of the address in use
	hasList     bool   // a list was delivered to which changes may apply
	seq         uint64 // version of that list
	sourceStale bool   // the response being read is declared stale

	listNeeded     bool // the full list is fetched before the next watch
	onlyHeartbeats bool // the last established watch had no change, and no full list has arrived since
	record         *watchRecord

	addrChanges chan []string // the latest addresses that Follow has not received yet
}

// NewWatcher returns a watcher. Follow runs it.
func NewWatcher(o WatcherOptions) *Watcher {
	w := &Watcher{
		options:     o,
		addrs:       o.Addrs,
		rng:         rand.New(rand.NewPCG(o.Seed, 2)),
		addrChanges: make(chan []string, 1),
		record:      newWatchRecord(time.Now()),
		client: &http.Client{Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: watchTimeout, KeepAlive: -1}).DialContext,
			ResponseHeaderTimeout: watchTimeout,
			MaxConnsPerHost:       maxConnsPerAddr,
			DisableCompression:    true,
		}},
	}
	w.current = w.rng.IntN(len(w.addrs))
	if o.LastKnown != nil {
		w.hasList, w.seq = true, o.LastKnown.Seq
	}
	return w
}

// Status describes what the watcher's list rests on now. It may be called concurrently.
func (w *Watcher) Status() WatchStatus { return w.record.status(time.Now()) }

// SetAddrs makes Follow switch to other addresses immediately. It must not be called
// concurrently.
func (w *Watcher) SetAddrs(addrs []string) {
	select {
	case <-w.addrChanges: // not received yet, and outdated
	default:
	}
	w.addrChanges <- addrs
}

// useAddrs switches to other addresses. Their versions may be unrelated to the previous
// ones, so the watcher needs the full list from them first.
func (w *Watcher) useAddrs(addrs []string) {
	slog.Info("discovery: addresses changed", "addrs", strings.Join(addrs, " "))
	w.client.CloseIdleConnections()
	w.addrs, w.current, w.hasList = addrs, w.rng.IntN(len(addrs)), false
}

// useNextReplica switches to the next replica of the service, which has the same versions.
func (w *Watcher) useNextReplica() { w.current = (w.current + 1) % len(w.addrs) }

func (w *Watcher) url() string { return "http://" + w.addrs[w.current] + registry.ListPath }

// followState is the state that Follow keeps between watches.
type followState struct {
	call         Call          // the next call
	delay        time.Duration // before the next watch is opened
	skipWait     bool          // the next call is made immediately
	refetching   bool          // the next call, or the last one, fetches the full list after a gap
	addrsChanged bool          // the addresses have changed, and nothing has arrived from the new ones
}

// Follow watches the list until ctx ends. When a watch ends or times out, it opens the next
// one at the next address, after a short delay or when the owner polls. The list that was
// delivered last remains valid until the next one.
func (w *Watcher) Follow(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	s := followState{delay: minReopenDelay}
	for ctx.Err() == nil {
		if w.options.Polls != nil && !s.skipWait {
			w.awaitPoll(ctx, &s)
		}
		if ctx.Err() != nil {
			return
		}
		w.followOnce(ctx, &s)
	}
}

// awaitPoll waits for the owner's next poll or for a change of addresses.
func (w *Watcher) awaitPoll(ctx context.Context, s *followState) {
	select {
	case s.call = <-w.options.Polls:
	case addrs := <-w.addrChanges:
		w.useAddrs(addrs)
		s.call, s.addrsChanged = CallWatch, true
	case <-ctx.Done():
	}
}

// followOnce makes one call. Unless the owner decides when to poll, it then waits until the
// next watch may be opened.
func (w *Watcher) followOnce(ctx context.Context, s *followState) {
	begin := time.Now()
	result, addrs := w.callUntilAddrsChange(ctx, s.call)
	if ctx.Err() != nil {
		return
	}
	s.call, s.skipWait = CallWatch, false
	if addrs != nil {
		w.useAddrs(addrs)
		s.delay, s.skipWait, s.addrsChanged = minReopenDelay, true, true
		return
	}
	s.addrsChanged = s.addrsChanged && !result.arrived()
	if result.received {
		s.delay = minReopenDelay
	}
	if result.err == nil {
		return
	}
	w.logEnd(result, time.Since(begin))
	if errors.Is(result.err, errSuperseded) {
		w.useNextReplica()
		s.call, s.skipWait = CallFullList, true
		return
	}
	// By the protocol, missed changes count as notified, so the full list is fetched
	// immediately, but only once in a row.
	if s.refetching = errors.Is(result.err, errGap) && !result.fullList && !s.refetching; s.refetching {
		s.skipWait = true
		return
	}
	if mutation.StayOnEndedWatch {
		<-ctx.Done()
		return
	}
	w.useNextReplica()
	if w.options.Polls != nil {
		w.reportLoss(result, s.addrsChanged)
		return
	}
	w.listNeeded = !result.fullList && (result.unproven || !result.established())
	w.awaitReopening(ctx, s)
}

// logEnd logs each end of a watch and each failed call, since the kind of failure determines
// when the next call may be made.
func (w *Watcher) logEnd(result callResult, took time.Duration) {
	event, call := "discovery: call failed", "watch"
	if result.received {
		event = "discovery: watch ended"
	}
	if result.fullList {
		call = "list"
	}
	slog.Warn(event, "call", call, "at", w.addrs[w.current], "err", result.err, "seq", w.seq, "took", took)
}

// reportLoss notifies the owner how its call failed or its watch ended.
func (w *Watcher) reportLoss(result callResult, addrsChanged bool) {
	select {
	case <-w.options.Polls: // a poll that was requested while the ended watch was open
	default:
	}
	w.options.OnLoss(classifyLoss(result, addrsChanged, w.Status().ListAge))
}

// awaitReopening waits until the next watch may be opened.
func (w *Watcher) awaitReopening(ctx context.Context, s *followState) {
	select {
	case <-time.After(jitter(w.rng, s.delay)):
		s.delay = min(2*s.delay, w.maxDelay())
	case addrs := <-w.addrChanges:
		w.useAddrs(addrs)
		s.delay = minReopenDelay
	case <-ctx.Done():
	}
}

// maxDelay returns the longest delay before a watch is opened again. Once the service is
// reachable again, all changes that it had meanwhile count as notified, and the grace starts.
// The delay may take a third of the grace, half of it with jitter; the remainder is for the
// call.
func (w *Watcher) maxDelay() time.Duration {
	if w.options.DrainGrace <= 0 {
		return maxReopenDelay
	}
	return max(minReopenDelay, min(maxReopenDelay, w.options.DrainGrace/3))
}

// jitter returns a random duration between 0.5 d and 1.5 d, so that callers do not act in step.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + rng.Float64()))
}

// callUntilAddrsChange makes a call, which lasts until it ends, until the owner requests the full
// list, or until SetAddrs provides other addresses, which it returns. After it has returned, no update from the old addresses is delivered.
func (w *Watcher) callUntilAddrsChange(ctx context.Context, call Call) (result callResult, addrs []string) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	ended, newAddrs := make(chan struct{}), make(chan []string, 1)
	go func() {
		defer close(newAddrs)
		if addrs := w.awaitInterruption(ended, call, stop); addrs != nil {
			newAddrs <- addrs
		}
	}()
	if call == CallFullList {
		result = w.callAnyReplica(ctx, func(acceptStale bool) callResult { return w.fetch(ctx, acceptStale, fromListCall) })
	} else {
		result = w.callAnyReplica(ctx, func(acceptStale bool) callResult { return w.watch(ctx, acceptStale) })
	}
	close(ended)
	return result, <-newAddrs
}

// awaitInterruption stops a call when it has to end early, and returns the new addresses if that is the reason. It
// returns nil when the call has ended.
func (w *Watcher) awaitInterruption(ended <-chan struct{}, call Call, stop context.CancelCauseFunc) (addrs []string) {
	polls := w.options.Polls
	if call == CallFullList {
		polls = nil // a poll waits for the end of the call
	}
	for {
		select {
		case addrs := <-w.addrChanges:
			stop(errAddrsChanged)
			return addrs
		case next := <-polls:
			if next == CallFullList {
				stop(errSuperseded)
				polls = nil
			}
		case <-ended:
			return nil
		}
	}
}

// callAnyReplica makes a call at the first replica, starting with the current one, that accepts
// it. A replica that declares itself stale is used only if all others are stale as well or cannot
// be reached.
func (w *Watcher) callAnyReplica(ctx context.Context, call func(acceptStale bool) callResult) (result callResult) {
	if len(w.addrs) == 1 {
		return call(true)
	}
	stale := -1
	for range w.addrs {
		if result = call(false); result.arrived() || ctx.Err() != nil {
			return result
		}
		if errors.Is(result.err, errStale) {
			stale = w.current
		}
		w.useNextReplica()
	}
	if stale < 0 {
		return result
	}
	w.current = stale
	return call(true)
}
