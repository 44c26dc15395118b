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

// watch opens a watch at the current address and delivers its updates until it ends; received
// reports whether anything arrived. If the watcher has no list, it fetches the full list first.
func (w *Watcher) watch(ctx context.Context, acceptStale bool) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := time.AfterFunc(watchTimeout, func() { cancel(errUnresponsive) })
	defer timeout.Stop()
	defer func() {
		if err != nil && context.Cause(ctx) != nil {
			err = context.Cause(ctx)
		}
	}()
	if !w.hasList {
		if err := w.fetchFullList(ctx, acceptStale); err != nil {
			return false, err
		}
		received = true
		timeout.Stop()
		if err := w.stagger(ctx); err != nil {
			return received, err
		}
		timeout.Reset(watchTimeout) // the full timeout for the watch, however long the call took
	}
	body, stale, err := w.open(ctx, w.url()+"?watch=1&from="+strconv.FormatUint(w.seq, 10), acceptStale)
	if err != nil {
		return received, err
	}
	defer body.Close()
	if stale && len(w.addrs) > 1 {
		// The other replicas are tried again, as often as if this one did not respond either.
		defer time.AfterFunc(w.maxDelay(), func() { cancel(errStale) }).Stop()
	}
	return w.readUpdates(body, received, func() { timeout.Reset(watchTimeout) })
}

// readUpdates delivers the updates of an open watch until it ends. It reports whether
// anything arrived, now or before; keepAlive is called whenever data arrives that proves
// the watch alive.
func (w *Watcher) readUpdates(body io.Reader, receivedBefore bool, keepAlive func()) (received bool, err error) {
	received = receivedBefore
	reader := &watchReader{body: body, bytesLeft: maxUpdateBytes, onHeartbeat: func(idle bool) {
		keepAlive()
		w.lastMessage = time.Now()
		if idle && !received {
			received = true
			// The watch is open and nothing has changed: an empty update notifies the owner that
			// the call succeeded.
			w.options.Deliver(ListUpdate{Seq: w.seq})
		}
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
			return received, err
		}
		if err := w.handleUpdate(text); err != nil {
			w.hasList = false
			return received, err
		}
		received = true
		if err := reader.endUpdate(updates.Buffered()); err != nil {
			return received, err
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
func (w *Watcher) fetchFullList(ctx context.Context, acceptStale bool) error {
	body, _, err := w.open(ctx, w.url(), acceptStale)
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
// list does not replace a later one, from any address, since changes that
// were already delivered must not be undone. Versions can be compared across addresses because
// no two groups of replicas share versions, and a later group has later versions.
func (w *Watcher) handleUpdate(text []byte) error {
	u, err := parseUpdate(text)
	if err != nil {
		return err
	}
	switch {
	case mutation.IgnoreListChanges && w.seq != 0:
		return nil
	case u.Full && w.sourceStale && u.Seq < w.seq && !mutation.TakeStaleLists:
		return fmt.Errorf("%w: got version %d, current version is %d", errStale, u.Seq, w.seq)
	case u.Full:
	case !w.hasList || u.Seq < w.seq:
		return fmt.Errorf("%w: got change to version %d, current version is %d", errGap, u.Seq, w.seq)
	case u.Seq == w.seq:
		u.Endpoints = nil
	}
	w.hasList, w.seq, w.lastMessage = true, u.Seq, time.Now()
	slog.Info("discovery: list update", "seq", u.Seq, "full", u.Full, "endpoints", len(u.Endpoints))
	w.options.Deliver(u)
	return nil
}
