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
	// minReopenDelay and maxReopenDelay bound the pause before a watch is opened again. With
	// jitter a pause is between a half and one and a half of its length, so that watchers do
	// not call in step.
	minReopenDelay = 100 * time.Millisecond
	maxReopenDelay = time.Second
	// maxConnsPerAddr leaves room for a watch and a call for the full list.
	maxConnsPerAddr = 2
)

// WatcherOptions configure a Watcher.
type WatcherOptions struct {
	Addrs     []string         // of one service: replicas that share their versions
	LastKnown *ListUpdate      // the list as last held; nil if there is none
	Deliver   func(ListUpdate) // is called with each update, in order
	Seed      uint64           // spreads watchers over replicas and in time
	Grace     time.Duration    // in which the owner has to act on a change; 0: not known
	// MaxStagger is how long after a call for the full list the watch is opened at the
	// latest. Where many watchers call at once, those without a list go first.
	MaxStagger time.Duration

	// Polls delivers the owner's calls, if the owner decides when to poll for the list. If it
	// is nil, the watch is opened again whenever it ends.
	Polls <-chan struct{}
	// OnLoss is called when such a call has failed, or its watch has ended.
	OnLoss func(ListLoss)
}

// Watcher follows the endpoint list.
type Watcher struct {
	options     WatcherOptions
	client      *http.Client
	rng         *rand.Rand
	addrs       []string
	current     int       // the address in use
	lastMessage time.Time // when the last update or heartbeat arrived
	hasList     bool      // changes may apply to a list that was delivered
	seq         uint64    // the version of that list
	readsStale  bool      // the answer that is read says that it is stale

	addrChanges chan []string // new addresses that Follow has not taken yet: the latest only
}

// NewWatcher makes a watcher. Follow runs it.
func NewWatcher(o WatcherOptions) *Watcher {
	w := &Watcher{
		options:     o,
		addrs:       o.Addrs,
		rng:         rand.New(rand.NewPCG(o.Seed, 2)),
		addrChanges: make(chan []string, 1),
		lastMessage: time.Now(),
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

// SetAddrs makes Follow go on at other addresses, at once. It must not be called
// concurrently.
func (w *Watcher) SetAddrs(addrs []string) {
	select {
	case <-w.addrChanges: // not taken yet, and out of date
	default:
	}
	w.addrChanges <- addrs
}

// useAddrs changes to other addresses. Their versions may have nothing to do with the
// versions so far, so the watcher needs their full list first.
func (w *Watcher) useAddrs(addrs []string) {
	slog.Info("discovery: addresses changed", "addrs", strings.Join(addrs, " "))
	w.client.CloseIdleConnections()
	w.addrs, w.current, w.hasList = addrs, w.rng.IntN(len(addrs)), false
}

// useNextReplica changes to the next replica, which shares its versions with the last one.
func (w *Watcher) useNextReplica() { w.current = (w.current + 1) % len(w.addrs) }

func (w *Watcher) url() string { return "http://" + w.addrs[w.current] + registry.ListPath }

// followState is what Follow remembers from one watch to the next.
type followState struct {
	delay   time.Duration // before the next watch is opened
	failed  bool          // nothing has arrived since the last watch ended
	callNow bool          // the next call is not to wait
	refetch bool          // the last call was made to fill a gap
	moved   bool          // the addresses have changed, and nothing has arrived from the new ones
}

// Follow watches the list until ctx ends. When a watch ends, or nothing arrives any more,
// it opens the next one soon, at the next address, or when the owner polls. The list that
// was delivered last stays valid until there is another.
func (w *Watcher) Follow(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	s := followState{delay: minReopenDelay}
	for ctx.Err() == nil {
		if w.options.Polls != nil && !s.callNow {
			w.awaitPoll(ctx, &s)
		}
		if ctx.Err() != nil {
			return
		}
		w.followOnce(ctx, &s)
	}
}

// awaitPoll waits for the owner's next call. A change of addresses needs none.
func (w *Watcher) awaitPoll(ctx context.Context, s *followState) {
	select {
	case <-w.options.Polls:
	case addrs := <-w.addrChanges:
		w.useAddrs(addrs)
		s.moved = true
	case <-ctx.Done():
	}
}

// followOnce follows one watch, and waits until the next one may be opened if that is not
// the owner's to decide.
func (w *Watcher) followOnce(ctx context.Context, s *followState) {
	begin := time.Now()
	received, addrs, err := w.watchUntilMoved(ctx)
	if ctx.Err() != nil {
		return
	}
	if s.callNow = addrs != nil; s.callNow {
		w.useAddrs(addrs)
		s.delay, s.failed, s.moved = minReopenDelay, false, true
		return
	}
	if received {
		s.delay, s.failed, s.moved = minReopenDelay, false, false
	}
	w.logEnd(err, s.failed, time.Since(begin))
	s.failed = true
	// Changes that were missed count as notified, so the full list is fetched at once, but
	// not over and over.
	if s.refetch = errors.Is(err, errGap) && !s.refetch; s.refetch {
		s.callNow = true
		return
	}
	if mutation.StayOnEndedWatch {
		<-ctx.Done()
		return
	}
	w.useNextReplica()
	if w.options.Polls != nil {
		w.reportLoss(err, s.moved)
		return
	}
	w.awaitReopening(ctx, s)
}

// logEnd logs each end of a watch and each failed call: how the last one failed decides
// when the next may come.
func (w *Watcher) logEnd(err error, failedBefore bool, took time.Duration) {
	event := "discovery: watch ended"
	if failedBefore {
		event = "discovery: call failed"
	}
	slog.Warn(event, "at", w.addrs[w.current], "err", err, "seq", w.seq, "took", took)
}

// reportLoss tells the owner how its call failed or its watch ended.
func (w *Watcher) reportLoss(err error, moved bool) {
	select {
	case <-w.options.Polls: // a call that was meant for the watch that has ended
	default:
	}
	w.options.OnLoss(lossOf(err, moved, time.Since(w.lastMessage)))
}

// awaitReopening waits until the next watch may be opened.
func (w *Watcher) awaitReopening(ctx context.Context, s *followState) {
	select {
	case <-time.After(jitter(w.rng, s.delay)):
		s.delay = min(2*s.delay, w.maxDelay())
	case addrs := <-w.addrChanges:
		w.useAddrs(addrs)
		s.delay, s.failed = minReopenDelay, false
	case <-ctx.Done():
	}
}

// maxDelay returns the longest delay before a watch is opened again. All changes that the
// service had meanwhile count as notified once it is back. A third of the grace is for the
// longest delay, which jitter makes half as long again, and the rest is for the call.
func (w *Watcher) maxDelay() time.Duration {
	if w.options.Grace <= 0 {
		return maxReopenDelay
	}
	return max(minReopenDelay, min(maxReopenDelay, w.options.Grace/3))
}

// jitter returns a random duration around d, so that callers do not act in step.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + rng.Float64()))
}

// watchUntilMoved watches until the watch ends or SetAddrs names other addresses, which it
// returns. When it has returned, no update comes from the old ones any more.
func (w *Watcher) watchUntilMoved(ctx context.Context) (received bool, addrs []string, err error) {
	ctx, leave := context.WithCancelCause(ctx)
	defer leave(nil)
	ended, moved := make(chan struct{}), make(chan []string, 1)
	go func() {
		defer close(moved)
		select {
		case addrs := <-w.addrChanges:
			leave(errAddrsChanged)
			moved <- addrs
		case <-ended:
		}
	}()
	received, err = w.watchAnyReplica(ctx)
	close(ended)
	return received, <-moved, err
}

// watchAnyReplica watches at the first replica, from the current one on, that accepts the
// watch. A replica that says it is stale is watched only if all others are stale, too, or
// cannot be reached.
func (w *Watcher) watchAnyReplica(ctx context.Context) (received bool, err error) {
	if len(w.addrs) == 1 {
		return w.watch(ctx, true)
	}
	stale := -1
	for range w.addrs {
		if received, err = w.watch(ctx, false); received || ctx.Err() != nil {
			return received, err
		}
		if errors.Is(err, errStale) {
			stale = w.current
		}
		w.useNextReplica()
	}
	if stale < 0 {
		return false, err
	}
	w.current = stale
	return w.watch(ctx, true)
}
