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
	// so. If it is nil, the watch is opened again whenever it ends.
	Polls <-chan struct{}
	// OnLoss is called when a call requested by Polls has failed, or its watch has ended.
	OnLoss func(ListLoss)
}

// Watcher watches the endpoint list.
type Watcher struct {
	options     WatcherOptions
	client      *http.Client
	rng         *rand.Rand
	addrs       []string
	current     int       // index of the address in use
	lastMessage time.Time // when the last update or heartbeat arrived
	hasList     bool      // a list was delivered to which changes may apply
	seq         uint64    // version of that list
	sourceStale bool      // the response being read is declared stale

	addrChanges chan []string // the latest addresses that Follow has not received yet
}

// NewWatcher returns a watcher. Follow runs it.
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
	delay        time.Duration // before the next watch is opened
	failed       bool          // the last watch has ended, and nothing has arrived since
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
	case <-w.options.Polls:
	case addrs := <-w.addrChanges:
		w.useAddrs(addrs)
		s.addrsChanged = true
	case <-ctx.Done():
	}
}

// followOnce runs one watch. Unless the owner decides when to poll, it then waits until the
// next watch may be opened.
func (w *Watcher) followOnce(ctx context.Context, s *followState) {
	begin := time.Now()
	received, addrs, err := w.watchUntilAddrsChange(ctx)
	if ctx.Err() != nil {
		return
	}
	if s.skipWait = addrs != nil; s.skipWait {
		w.useAddrs(addrs)
		s.delay, s.failed, s.addrsChanged = minReopenDelay, false, true
		return
	}
	if received {
		s.delay, s.failed, s.addrsChanged = minReopenDelay, false, false
	}
	w.logEnd(err, s.failed, time.Since(begin))
	s.failed = true
	// By the protocol, missed changes count as notified, so the full list is fetched
	// immediately, but only once in a row.
	if s.refetching = errors.Is(err, errGap) && !s.refetching; s.refetching {
		s.skipWait = true
		return
	}
	if mutation.StayOnEndedWatch {
		<-ctx.Done()
		return
	}
	w.useNextReplica()
	if w.options.Polls != nil {
		w.reportLoss(err, s.addrsChanged)
		return
	}
	w.awaitReopening(ctx, s)
}

// logEnd logs each end of a watch and each failed call, since the kind of failure determines
// when the next call may be made.
func (w *Watcher) logEnd(err error, failedBefore bool, took time.Duration) {
	event := "discovery: watch ended"
	if failedBefore {
		event = "discovery: call failed"
	}
	slog.Warn(event, "at", w.addrs[w.current], "err", err, "seq", w.seq, "took", took)
}

// reportLoss notifies the owner how its call failed or its watch ended.
func (w *Watcher) reportLoss(err error, addrsChanged bool) {
	select {
	case <-w.options.Polls: // a poll that was requested while the ended watch was open
	default:
	}
	w.options.OnLoss(classifyLoss(err, addrsChanged, time.Since(w.lastMessage)))
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

// watchUntilAddrsChange watches until the watch ends or SetAddrs provides other addresses,
// which it returns. After it has returned, no update from the old addresses is delivered.
func (w *Watcher) watchUntilAddrsChange(ctx context.Context) (received bool, addrs []string, err error) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	ended, newAddrs := make(chan struct{}), make(chan []string, 1)
	go func() {
		defer close(newAddrs)
		select {
		case addrs := <-w.addrChanges:
			stop(errAddrsChanged)
			newAddrs <- addrs
		case <-ended:
		}
	}()
	received, err = w.watchAnyReplica(ctx)
	close(ended)
	return received, <-newAddrs, err
}

// watchAnyReplica watches at the first replica, starting with the current one, that accepts
// the watch. A replica that declares itself stale is used only if all others are stale as
// well or cannot be reached.
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
