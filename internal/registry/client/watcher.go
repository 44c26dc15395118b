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

	"barleywick/internal/registry"
)

// WatcherOptions are what a Watcher needs.
type WatcherOptions struct {
	Addrs     []string         // of one service: replicas that share their versions
	LastKnown *ListUpdate      // the list as last held; nil where there is none
	Deliver   func(ListUpdate) // takes the news, in order
	Seed      uint64           // spreads watchers over replicas and in time
	Grace     time.Duration    // in which the owner has to act on a change; 0: not known
	// MaxStagger is how long after a call for the whole list the watch is opened at the latest: where many
	// watchers call at once, those that have no list yet go first.
	MaxStagger time.Duration

	// Polls are the owner's calls, where it decides when to ask for the list; nil
	// where the watch is to be opened again whenever it ends.
	Polls  <-chan struct{}
	OnLoss func(ListLoss) // then tells it that its call failed or the watch has ended
}

// Watcher follows the list.
type Watcher struct {
	WatcherOptions
	client      *http.Client
	rng         *rand.Rand
	current     int       // the address in use
	lastMessage time.Time // the last word: a list, or a sign of life
	hasList     bool      // a list is held: changes may build on it
	seq         uint64    // its version

	addrChanges chan []string // the addresses to go on with; holds the latest alone
}

// NewWatcher makes a Watcher; Follow sets it to work.
func NewWatcher(o WatcherOptions) *Watcher {
	w := &Watcher{
		WatcherOptions: o,
		rng:            rand.New(rand.NewPCG(o.Seed, 2)),
		addrChanges:    make(chan []string, 1),
		lastMessage:    time.Now(),
		client: &http.Client{Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: watchTimeout, KeepAlive: -1}).DialContext,
			ResponseHeaderTimeout: watchTimeout,
			MaxConnsPerHost:       maxConnsPerAddr,
			DisableCompression:    true,
		}},
	}
	w.current = w.rng.IntN(len(o.Addrs))
	if o.LastKnown != nil {
		w.hasList, w.seq = true, o.LastKnown.Seq
	}
	return w
}

func (w *Watcher) url() string { return "http://" + w.Addrs[w.current] + registry.ListPath }

// SetAddrs makes Follow go on at other addresses, at once. It must not be called concurrently.
func (w *Watcher) SetAddrs(addrs []string) {
	select {
	case <-w.addrChanges: // not taken yet, and out of date
	default:
	}
	w.addrChanges <- addrs
}

// useAddrs turns to other addresses. Their versions may have nothing to do with those
// that were counted so far: only their whole list is to be built on.
func (w *Watcher) useAddrs(addrs []string) {
	slog.Info("discovery: moved", "to", strings.Join(addrs, " "))
	w.client.CloseIdleConnections()
	w.Addrs, w.current, w.hasList = addrs, w.rng.IntN(len(addrs)), false
}

// nextReplica turns to the nextReplica replica, whose versions are those of the last one.
func (w *Watcher) nextReplica() { w.current = (w.current + 1) % len(w.Addrs) }

// Follow watches the list until ctx ends. When a watch ends or falls silent it
// opens the next one soon, at the next address, or when the owner asks, where
// asking is the owner's. The list that was held stays in force until there is another.
func (w *Watcher) Follow(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	pause, down, atOnce, filled := minReopenDelay, false, false, false
	moved := false // discovery has moved, and was not heard since
	for ctx.Err() == nil {
		if w.Polls != nil && !atOnce {
			select {
			case <-w.Polls:
			case addrs := <-w.addrChanges:
				w.useAddrs(addrs)
				moved = true
			case <-ctx.Done():
				return
			}
		}
		called := time.Now()
		heard, addrs, err := w.watchUntilMoved(ctx)
		if ctx.Err() != nil {
			return
		}
		if atOnce = addrs != nil; atOnce {
			w.useAddrs(addrs)
			pause, down, moved = minReopenDelay, false, true
			continue
		}
		if heard {
			pause, down, moved = minReopenDelay, false, false
		}
		// Each failure is told: when the next call may come depends on how this one failed.
		if down = !heard && down; down {
			slog.Warn("discovery: call failed", "at", w.Addrs[w.current], "err", err, "seq", w.seq, "took", time.Since(called))
		} else {
			slog.Warn("discovery: watch ended", "at", w.Addrs[w.current], "err", err, "seq", w.seq, "took", time.Since(called))
			down = true
		}
		// What was missed counts as told already: the whole list is called for at once,
		// but not over and over.
		if filled = errors.Is(err, errGap) && !filled; filled {
			atOnce = true
			continue
		}
		w.nextReplica()
		if w.Polls != nil {
			select {
			case <-w.Polls: // a call meant for the watch that has ended
			default:
			}
			loss := lossOf(err, moved)
			loss.SinceLastMessage = time.Since(w.lastMessage)
			w.OnLoss(loss)
			continue
		}
		select {
		case <-time.After(jitter(w.rng, pause)):
			pause = min(2*pause, w.maxReopen())
		case addrs := <-w.addrChanges:
			w.useAddrs(addrs)
			pause, down = minReopenDelay, false
		case <-ctx.Done():
		}
	}
}

// maxReopen is the longest pause before a watch is opened again. Where lists are pushed, all that
// discovery had meanwhile counts as told once it is back: a third of the grace is for the
// longest pause, which is half as much again, and the rest for the call.
func (w *Watcher) maxReopen() time.Duration {
	if w.Grace <= 0 {
		return maxReopenDelay
	}
	return max(minReopenDelay, min(maxReopenDelay, w.Grace/3))
}

// jitter is a pause of about d, so that callers do not act as one.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + rng.Float64()))
}

// watchUntilMoved watches until the watch ends or discovery moves to other addresses.
// When it returns, nothing more comes from the old ones.
func (w *Watcher) watchUntilMoved(ctx context.Context) (heard bool, addrs []string, err error) {
	ctx, leave := context.WithCancelCause(ctx)
	defer leave(nil)
	over, turned := make(chan struct{}), make(chan []string, 1)
	go func() {
		defer close(turned)
		select {
		case addrs := <-w.addrChanges:
			leave(errAddrsChanged)
			turned <- addrs
		case <-over:
		}
	}()
	heard, err = w.watchAnyReplica(ctx)
	close(over)
	return heard, <-turned, err
}

// watchAnyReplica watches at the first address, from the one in use on, that takes the
// watch. A replica that says it is stale is the last resort: it is watched where all
// the others are stale too or out of reach.
func (w *Watcher) watchAnyReplica(ctx context.Context) (heard bool, err error) {
	if len(w.Addrs) == 1 {
		return w.watch(ctx, true)
	}
	stale := -1
	for range w.Addrs {
		if heard, err = w.watch(ctx, false); heard || ctx.Err() != nil {
			return heard, err
		}
		if errors.Is(err, errStale) {
			stale = w.current
		}
		w.nextReplica()
	}
	if stale < 0 {
		return false, err
	}
	w.current = stale
	return w.watch(ctx, true)
}

const (
	// watchTimeout ends a watch: an empty line comes every 2 s while nothing changes.
	watchTimeout = 3 * time.Second
	// What is out of reach is tried again soon, but not at once, and not by all
	// watchers in step: each pause is between a half and one and a half of these.
	minReopenDelay = 100 * time.Millisecond
	maxReopenDelay = time.Second
	maxUpdateBytes = 4 << 20
	// maxConnsPerAddr is how many a watcher may hold to one address: a watch, and a
	// call for the whole list.
	maxConnsPerAddr = 2
)
