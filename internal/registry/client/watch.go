package client

import (
	"barleywick/internal/mutation"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"
)

const (
	// watchTimeout ends a watch on which nothing arrives. While there are no changes, the
	// service sends an empty line every 2 s.
	watchTimeout   = 3 * time.Second
	maxUpdateBytes = 4 << 20
)

// callResult describes how a call ended. Only a call of the owner for the full list ends without an error.
type callResult struct {
	err      error
	fullList bool          // the call for the full list failed; otherwise the watch ended
	listed   bool          // the full list was delivered
	opened   bool          // the watch was accepted
	received bool          // anything arrived on the watch
	changed  bool          // a change arrived on the watch
	openFor  time.Duration // how long the watch was open

	unproven bool // it had only heartbeats, and so had the established watch before
}

// arrived reports whether anything arrived.
func (r callResult) arrived() bool { return r.listed || r.received }

// established reports whether the list was complete until the last message of the watch.
func (r callResult) established() bool { return r.changed || r.openFor >= establishedAfter }

// limitSilence returns a context that ends with errUnresponsive unless restart is called within watchTimeout, and again
// within watchTimeout of each call.
func limitSilence(ctx context.Context) (limited context.Context, restart func(), stop func()) {
	limited, cancel := context.WithCancelCause(ctx)
	timeout := time.AfterFunc(watchTimeout, func() { cancel(errUnresponsive) })
	return limited, func() { timeout.Reset(watchTimeout) }, func() {
		timeout.Stop()
		cancel(nil)
	}
}

// causeOf returns the reason for which a context has ended instead of the error that its end has caused.
func causeOf(ctx context.Context, err error) error {
	if err != nil && context.Cause(ctx) != nil {
		return context.Cause(ctx)
	}
	return err
}

// fetch fetches the full list from the current replica and delivers it.
func (w *Watcher) fetch(ctx context.Context, acceptStale bool, source updateSource) (result callResult) {
	ctx, _, stop := limitSilence(ctx)
	defer stop()
	err := causeOf(ctx, w.fetchFullList(ctx, acceptStale, source))
	if err == nil {
		w.listNeeded, w.onlyHeartbeats = false, false
	}
	return callResult{err: err, fullList: err != nil, listed: err == nil}
}

// watch opens a watch at the current replica and delivers its updates until it ends. If the watcher needs the full
// list, it fetches that first.
func (w *Watcher) watch(ctx context.Context, acceptStale bool) (result callResult) {
	if !w.hasList || w.listNeeded {
		result = w.fetch(ctx, acceptStale, fromListForWatch)
		if result.err != nil {
			w.listNeeded = false // the next call tries a watch, if there is a list
			return result
		}
		if result.err = w.stagger(ctx); result.err != nil {
			return result
		}
	}
	w.follow(ctx, acceptStale, &result)
	if result.established() {
		result.unproven = w.onlyHeartbeats && !result.changed
		w.onlyHeartbeats = !result.changed
	}
	return result
}

// follow opens a watch and delivers its updates until it ends.
func (w *Watcher) follow(ctx context.Context, acceptStale bool, result *callResult) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, restartTimeout, stop := limitSilence(ctx)
	defer stop()
	body, stale, err := w.open(ctx, w.url()+"?watch=1&from="+strconv.FormatUint(w.seq, 10), acceptStale)
	if err != nil {
		result.err = causeOf(ctx, err)
		return
	}
	defer body.Close()
	result.opened = true
	if stale && len(w.addrs) > 1 {
		// The other replicas are tried again, as often as if this one did not respond either.
		defer time.AfterFunc(w.maxDelay(), func() { cancel(errStale) }).Stop()
	}
	opened := time.Now()
	result.err = causeOf(ctx, w.readUpdates(body, result, restartTimeout))
	result.openFor = time.Since(opened)
	w.record.setOpen(time.Now(), false)
}

// readUpdates delivers the updates of an open watch until it ends. keepAlive is called for each heartbeat (see
// watchReader).
func (w *Watcher) readUpdates(body io.Reader, result *callResult, keepAlive func()) error {
	reader := &watchReader{body: body, bytesLeft: maxUpdateBytes, onHeartbeat: func(idle bool) {
		keepAlive()
		w.record.message(time.Now())
		w.record.setOpen(time.Now(), true)
		if idle && !result.arrived() {
			// The watch is open and nothing has changed: an empty update notifies the owner that
			// the call succeeded.
			w.options.Deliver(ListUpdate{Seq: w.seq})
		}
		result.received = result.received || idle
	}}
	updates := json.NewDecoder(reader)
	for {
		var text json.RawMessage
		if err := updates.Decode(&text); err != nil {
			var syntax *json.SyntaxError
			if errors.As(err, &syntax) {
				err = fmt.Errorf("%w: %w", errGap, err)
			}
			w.hasList = w.hasList && !errors.Is(err, errGap)
			return err
		}
		before := w.seq
		if err := w.handleUpdate(text, fromWatch); err != nil {
			w.hasList = false
			return err
		}
		result.received = true
		result.changed = result.changed || w.seq > before
		if err := reader.endUpdate(updates.Buffered()); err != nil {
			return err
		}
	}
}

// stagger waits for a random time between half of MaxStagger and MaxStagger.
func (w *Watcher) stagger(ctx context.Context) error {
	if w.options.MaxStagger <= 0 {
		return nil
	}
	select {
	case <-time.After(time.Duration((1 + w.rng.Float64()) / 2 * float64(w.options.MaxStagger))):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fetchFullList requests the full list and delivers it.
func (w *Watcher) fetchFullList(ctx context.Context, acceptStale bool, source updateSource) error {
	body, _, err := w.open(ctx, w.url(), acceptStale)
	if err != nil {
		return err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, maxUpdateBytes))
	if err != nil {
		return err
	}
	return w.handleUpdate(text, source)
}

// updateSource says what a list update came by.
type updateSource int

const (
	fromWatch        updateSource = iota
	fromListForWatch              // the call for the full list before a watch
	fromListCall                  // a call of the owner for the full list
)

// open makes a call and returns the body of its response and whether the response is stale.
func (w *Watcher) open(ctx context.Context, url string, acceptStale bool) (body io.ReadCloser, stale bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, false, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, false, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, false, fmt.Errorf("status %d", resp.StatusCode)
	}
	stale = isStale(resp)
	if stale && !acceptStale {
		resp.Body.Close()
		return nil, true, errStale
	}
	w.sourceStale = stale
	return resp.Body, stale, nil
}

// handleUpdate delivers one update. Changes apply in order, and only to the list that they
// follow; changes to the version that the watcher already has are delivered empty. A stale
// list does not replace a later one, even if that came from other addresses, since changes that
// were already delivered must not be undone. Versions can be compared across addresses because
// no two groups of replicas share versions, and a later group has later versions. A replica may
// lag behind the one that delivered the current list, so a call for the full list does not replace
// a list of several replicas with an earlier one either.
func (w *Watcher) handleUpdate(text []byte, source updateSource) error {
	u, err := parseUpdate(text)
	if err != nil {
		return err
	}
	lags := w.sourceStale || (w.hasList && source != fromWatch && len(w.addrs) > 1)
	switch {
	case mutation.IgnoreListChanges && w.seq != 0:
		return nil
	case u.Full && lags && u.Seq < w.seq && !mutation.TakeStaleLists:
		return fmt.Errorf("%w: got version %d, current version is %d", errStale, u.Seq, w.seq)
	case u.Full:
	case !w.hasList || u.Seq < w.seq:
		return fmt.Errorf("%w: got change to version %d, current version is %d", errGap, u.Seq, w.seq)
	case u.Seq == w.seq:
		u.Endpoints = nil
	}
	u.Fetched = source == fromListCall
	w.hasList, w.seq = true, u.Seq
	w.record.message(time.Now())
	slog.Info("discovery: list update", "seq", u.Seq, "full", u.Full, "endpoints", len(u.Endpoints))
	w.options.Deliver(u)
	return nil
}
