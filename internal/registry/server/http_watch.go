package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	// watchLineTimeout is how long a watcher may take to accept a line: by then the next
	// heartbeat is due.
	watchLineTimeout = 2 * time.Second
	// watchHeartbeatInterval is the longest time without a line; an empty one is a
	// heartbeat by the protocol.
	watchHeartbeatInterval = 2 * time.Second
)

var errWatchTooSlow = errors.New("too far behind")

// acquireWatch takes one of the limited places for watches and long polls. Each success
// has to be followed by releaseWatch.
func (r *Replica) acquireWatch() bool {
	if r.openWatches.Add(1) > int64(r.config.Load().Limits.Watches) {
		r.openWatches.Add(-1)
		return false
	}
	return true
}

func (r *Replica) releaseWatch() { r.openWatches.Add(-1) }

// serveWatch serves one watch, from its call to its end.
func (r *Replica) serveWatch(w http.ResponseWriter, req *http.Request, query url.Values) {
	if !r.acquireWatch() {
		r.writeError(w, req, fmt.Errorf("%w: all watches are taken", errBusy))
		return
	}
	defer r.releaseWatch()
	var start watchPosition
	err := r.admitted(req, func() (err error) {
		start, err = r.startWatch(req.Context(), query)
		return err
	})
	if err != nil {
		r.writeError(w, req, err)
		return
	}
	out := watchWriter{w: w, control: http.NewResponseController(w)}
	out.begin(r.freshnessHeader())
	if err := r.streamWatch(req.Context(), start, out); err != nil {
		r.broadcaster.cutWatches.Add(1)
		slog.Info("registry: watch cut", "watcher", req.RemoteAddr, "err", err)
		panic(http.ErrAbortHandler) // the watcher must not take it for a proper end
	}
}

// startWatch returns the position at which the watch of a query begins.
func (r *Replica) startWatch(ctx context.Context, query url.Values) (watchPosition, error) {
	from := uint64(0)
	if text := query.Get("from"); text != "" {
		var err error
		if from, err = strconv.ParseUint(text, 10, 64); err != nil {
			return watchPosition{}, badRequest("from is %.32q, it must be a version", text)
		}
	}
	if !r.ready.Load() {
		return watchPosition{}, errNotReady
	}
	if err := r.awaitVersion(ctx, from); err != nil {
		return watchPosition{}, err
	}
	return r.stateMachine.beginWatch(from), nil
}

// watchWriter writes the lines of one watch.
type watchWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

func (o watchWriter) begin(freshness string) {
	o.control.SetReadDeadline(time.Time{}) // nothing more is read; net/http notices the end of the connection
	writeHeaders(o.w, freshness)
}

func (o watchWriter) writeLine(line []byte) error {
	o.control.SetWriteDeadline(time.Now().Add(watchLineTimeout))
	if _, err := o.w.Write(line); err != nil {
		return err
	}
	return o.control.Flush()
}

// streamWatch writes lines until the watch ends. It returns an error if the watch has to
// be cut.
func (r *Replica) streamWatch(ctx context.Context, at watchPosition, out watchWriter) error {
	sent := r.watchVersions.add()
	defer r.watchVersions.remove(sent)
	if err := out.writeLine(at.line); err != nil {
		return err
	}
	sent.Store(at.seq)
	heartbeat := time.NewTicker(watchHeartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-heartbeat.C:
			if err := out.writeLine([]byte("\n")); err != nil {
				return err
			}
			continue
		case <-at.next.published:
		}
		event := at.next
		switch {
		case event.final:
			return nil
		case r.broadcaster.tooFarBehind(event):
			return errWatchTooSlow
		case event.resync:
			at = r.stateMachine.beginWatch(at.seq)
		default:
			at = watchPosition{line: event.line, seq: event.seq, next: event.next}
		}
		if err := out.writeLine(at.line); err != nil {
			return err
		}
		sent.Store(at.seq)
		heartbeat.Reset(watchHeartbeatInterval)
	}
}

// awaitVersion waits for a version that a watcher has seen at another replica. If the
// leader does not know it either, it is of another history or was lost with the disks of
// a quorum: the watcher gets the full list then.
func (r *Replica) awaitVersion(ctx context.Context, from uint64) error {
	ctx, cancel := context.WithTimeout(ctx, queueTimeout)
	defer cancel()
	leaderHasIt := false
	for {
		seq, changed := r.stateMachine.listVersion()
		if from <= seq {
			return nil
		}
		if !leaderHasIt {
			newest, err := r.leaderListVersion()
			switch {
			case err != nil:
				return fmt.Errorf("version %d is not known here, and no leader can be asked: %w", from, err)
			case newest < from:
				return nil
			}
			leaderHasIt = true
			continue // it may have arrived meanwhile
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("version %d has not come here yet", from)
		}
	}
}
