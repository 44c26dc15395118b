// Package client follows the list of booking servers and writes to it. It speaks
// the protocol's list and watch, with our own registry and with anybody else's,
// and the registry's write interface. It does not link what the registry's
// replicas are made of: a sidecar carries none of that.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"barleywick/internal/registry"
)

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
