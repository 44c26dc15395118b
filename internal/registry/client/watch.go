// Package client follows the list of booking servers and writes to it. It speaks
// the protocol's list and watch, with our own registry and with anybody else's,
// and the registry's write interface. It does not link what the registry's
// replicas are made of: a sidecar carries none of that.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"barleywick/internal/registry"
)

// ListUpdate is discovery's news of the upstreams: the whole list or what changed.
type ListUpdate struct {
	Seq       uint64     `json:"seq"`
	Full      bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Endpoint is one upstream as a reader takes it: a field of the wrong kind makes this
// entry unusable and no other.
type Endpoint struct {
	Host      string  `json:"host"`
	Dial      string  `json:"dial"`
	Site      string  `json:"site"`
	Block     *int    `json:"block"`
	Health    string  `json:"health"`
	Share     float64 `json:"share"`
	BornMS    float64 `json:"born_ms"`
	Malformed bool    `json:"-"` // it names a host, and the rest cannot be read
}

// UnmarshalJSON keeps a wrong entry from spoiling the list it stands in: it keeps its
// name alone, for a host that a whole list names has not gone, or none, and such entries
// are passed over.
func (e *Endpoint) UnmarshalJSON(text []byte) error {
	type plain Endpoint
	var p plain
	if err := json.Unmarshal(text, &p); err != nil {
		var named struct {
			Host string `json:"host"`
		}
		if json.Unmarshal(text, &named) != nil {
			named.Host = ""
		}
		*e = Endpoint{Host: named.Host, Malformed: true}
		return nil
	}
	*e = Endpoint(p)
	return nil
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

// errGap says that a change was missed or could not be read: only the whole list helps.
var errGap = errors.New("gap in the list")

// errStale says that another replica may know more.
var errStale = errors.New("the replica has no leader")

// errUpdateTooLong says that a listing is longer than any that there is.
var errUpdateTooLong = fmt.Errorf("%w: over %d bytes", errGap, maxUpdateBytes)

// errAddrsChanged ends a watch at addresses that are not discovery's any more.
var errAddrsChanged = errors.New("discovery has moved")

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

// ListLoss is how a call failed or a watch ended.
type ListLoss struct {
	Unresponsive bool // nothing was heard for a while
	Reached      bool // discovery was there, and turned the call away or broke it off
	Moved        bool // discovery has moved, and was not heard since
	// SinceLastMessage is how long ago the last word came, a list or a sign of life.
	SinceLastMessage time.Duration
}

// errUnresponsive ends a watch or a call on which nothing comes any more.
var errUnresponsive = errors.New("silent")

// lossOf tells from its error how a call failed.
func lossOf(err error, moved bool) ListLoss {
	var network *net.OpError
	refused := errors.As(err, &network) && network.Op == "dial"
	silent := errors.Is(err, errUnresponsive) || errors.Is(err, os.ErrDeadlineExceeded)
	return ListLoss{Unresponsive: silent, Reached: !refused && !silent, Moved: moved}
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

// watch opens one watch and passes on what it brings until it ends; heard tells
// whether any line came. Where no list is held, it asks for the whole list first.
func (w *Watcher) watch(ctx context.Context, stale bool) (heard bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := time.AfterFunc(watchTimeout, func() { cancel(errUnresponsive) })
	defer patience.Stop()
	defer func() {
		if err != nil && context.Cause(ctx) != nil {
			err = context.Cause(ctx)
		}
	}()
	if !w.hasList {
		if err := w.fetchFullList(ctx, stale); err != nil {
			return false, err
		}
		heard = true
		patience.Stop()
		if err := w.stagger(ctx); err != nil {
			return heard, err
		}
		patience.Reset(watchTimeout) // the watch has its own time, however long the call took
	}
	body, err := w.open(ctx, w.url()+"?watch=1&from="+strconv.FormatUint(w.seq, 10), stale)
	if err != nil {
		return heard, err
	}
	defer body.Close()
	in := &watchReader{body: body, budget: maxUpdateBytes, onHeartbeat: func(idle bool) {
		patience.Reset(watchTimeout)
		w.lastMessage = time.Now()
		if idle && !heard {
			heard = true
			w.Deliver(ListUpdate{Seq: w.seq}) // the watch is up and nothing has changed: the owner's call went well
		}
	}}
	for listings := json.NewDecoder(in); ; {
		var text json.RawMessage
		if err := listings.Decode(&text); err != nil {
			var syntax *json.SyntaxError
			if errors.As(err, &syntax) {
				err = fmt.Errorf("%w: %w", errGap, err)
			}
			w.hasList = w.hasList && !errors.Is(err, errGap)
			return heard, err
		}
		if err := w.handleUpdate(text); err != nil {
			w.hasList = false
			return heard, err
		}
		heard = true
		in.updateDone(listings.Buffered())
	}
}

// stagger waits for half to all of the time that the watch may come later than the list.
func (w *Watcher) stagger(ctx context.Context) error {
	if w.MaxStagger <= 0 {
		return nil
	}
	select {
	case <-time.After(time.Duration((1 + w.rng.Float64()) / 2 * float64(w.MaxStagger))):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// watchReader reads a watch. A listing may stand on one line or on several and come in pieces;
// between listings empty lines come. Both are signs of life, but an empty line in a listing
// that does not go on is none: a watch that ends in the middle would never be opened again.
type watchReader struct {
	body        io.Reader
	inUpdate    bool            // a listing has begun
	budget      int             // what it may still bring
	onHeartbeat func(idle bool) // takes a sign of life; idle: an empty line between listings
}

func (p *watchReader) Read(b []byte) (int, error) {
	n, err := p.body.Read(b)
	if n == 0 {
		return n, err
	}
	blank := len(bytes.TrimSpace(b[:n])) == 0
	if !blank {
		if p.budget -= n; p.budget < 0 {
			return 0, errUpdateTooLong
		}
		p.inUpdate = true
	}
	if !blank || !p.inUpdate {
		p.onHeartbeat(blank)
	}
	return n, err
}

// updateDone takes that a listing is whole, and what was read behind it.
func (p *watchReader) updateDone(behind io.Reader) {
	rest, _ := io.ReadAll(behind) // it is in memory
	p.inUpdate = len(bytes.TrimSpace(rest)) > 0
	p.budget = maxUpdateBytes - len(rest)
}

// fetchFullList asks for the whole list.
func (w *Watcher) fetchFullList(ctx context.Context, stale bool) error {
	body, err := w.open(ctx, w.url(), stale)
	if err != nil {
		return err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, maxUpdateBytes))
	if err != nil {
		return err
	}
	return w.handleUpdate(text)
}

func (w *Watcher) open(ctx context.Context, url string, stale bool) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	if !stale && strings.HasPrefix(resp.Header.Get(registry.ReadHeader), registry.ReadStale) {
		resp.Body.Close()
		return nil, errStale
	}
	return resp.Body, nil
}

// handleUpdate passes on one piece of news. Changes apply in order and only on top of
// the list they follow; what was had already is passed over.
func (w *Watcher) handleUpdate(text []byte) error {
	var said struct {
		Seq   *uint64         `json:"seq"`
		Whole bool            `json:"whole"`
		Hosts json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(text, &said); err != nil {
		return fmt.Errorf("%w: %w", errGap, err)
	}
	// A list that leaves out what it consists of would pass for an empty one.
	if said.Seq == nil || said.Hosts == nil {
		return fmt.Errorf("%w: without seq or hosts", errGap)
	}
	l := ListUpdate{Seq: *said.Seq, Full: said.Whole}
	if err := json.Unmarshal(said.Hosts, &l.Endpoints); err != nil {
		return fmt.Errorf("%w: hosts: %w", errGap, err)
	}
	switch {
	case l.Full:
	case !w.hasList || l.Seq < w.seq:
		return fmt.Errorf("%w: change to version %d, held is %d", errGap, l.Seq, w.seq)
	case l.Seq == w.seq:
		l.Endpoints = nil
	}
	w.hasList, w.seq, w.lastMessage = true, l.Seq, time.Now()
	slog.Info("discovery: list", "seq", l.Seq, "whole", l.Full, "hosts", len(l.Endpoints))
	w.Deliver(l)
	return nil
}
