package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"barleywick/internal/registry"
)

// serveWatch is one watch, from its call to its end.
func (r *Replica) serveWatch(w http.ResponseWriter, q *http.Request, query url.Values) {
	if r.openWatches.Add(1) > int64(r.config.Load().Limits.Watches) {
		r.openWatches.Add(-1)
		r.writeError(w, q, fmt.Errorf("%w: all watches are taken", errBusy))
		return
	}
	defer r.openWatches.Add(-1)
	var line []byte
	var seq uint64
	var at *watchEvent
	err := r.limited(q, func() error {
		from := uint64(0)
		if text := query.Get("from"); text != "" {
			var err error
			if from, err = strconv.ParseUint(text, 10, 64); err != nil {
				return badRequest("from is %.32q, it must be a version", text)
			}
		}
		if !r.ready.Load() {
			return errNotReady
		}
		if err := r.awaitVersion(q.Context(), from); err != nil {
			return err
		}
		line, seq, at = r.stateMachine.beginWatch(from)
		return nil
	})
	if err != nil {
		r.writeError(w, q, err)
		return
	}
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Time{}) // nothing more is read; net/http notices the end
	w.Header().Set(registry.ReadHeader, r.readHeader())
	w.Header().Set("Content-Type", "application/json")
	put := func(text []byte) error {
		rc.SetWriteDeadline(time.Now().Add(watchLineTimeout))
		if _, err := w.Write(text); err != nil {
			return err
		}
		return rc.Flush()
	}
	sent := r.watchVersions.add()
	defer r.watchVersions.remove(sent)
	if err := r.watch(q.Context(), line, seq, at, sent, put); err != nil {
		r.broadcaster.cutWatches.Add(1)
		slog.Info("watch cut", "of", q.RemoteAddr, "err", err)
		panic(http.ErrAbortHandler) // it must not pass for a good end
	}
}

// watch writes lines until the watch ends; an error is for one that is cut.
func (r *Replica) watch(ctx context.Context, line []byte, seq uint64, at *watchEvent, sent *atomic.Uint64, put func([]byte) error) error {
	if err := put(line); err != nil {
		return err
	}
	sent.Store(seq)
	empty := time.NewTicker(watchHeartbeatInterval)
	defer empty.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-empty.C:
			if err := put([]byte("\n")); err != nil {
				return err
			}
			continue
		case <-at.published:
		}
		switch {
		case at.final:
			return nil
		case r.broadcaster.tooFarBehind(at):
			return errors.New("too far behind")
		case at.resync:
			line, seq, at = r.stateMachine.beginWatch(seq)
		default:
			line, seq, at = at.line, at.seq, at.next
		}
		if err := put(line); err != nil {
			return err
		}
		sent.Store(seq)
		empty.Reset(watchHeartbeatInterval)
	}
}

// awaitVersion waits for a version that a watcher has seen at another replica. If
// the leader does not know it either, it is of another history, or lost with the
// disks of a quorum: the watcher gets the whole list.
func (r *Replica) awaitVersion(ctx context.Context, from uint64) error {
	ctx, cancel := context.WithTimeout(ctx, queueTimeout)
	defer cancel()
	known := false // the leader has it
	for {
		seq, moved := r.stateMachine.listVersion()
		if from <= seq {
			return nil
		}
		if !known {
			newest, err := r.leaderListVersion()
			switch {
			case err != nil:
				return fmt.Errorf("version %d is not known here, and no leader can be asked: %w", from, err)
			case newest < from:
				return nil
			}
			known = true
			continue // it may have come meanwhile
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return fmt.Errorf("version %d has not come here yet", from)
		}
	}
}
