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
	// watchLineTimeout is the write timeout of a line. It equals the heartbeat interval: when
	// it expires the next heartbeat is due.
	watchLineTimeout = 2 * time.Second
	// watchHeartbeatInterval is the maximum time between two lines; in the protocol an empty
	// line is a heartbeat.
	watchHeartbeatInterval = 2 * time.Second
)

var errWatchTooSlow = errors.New("watcher is too many events behind")

// serveWatch serves one watch until it ends.
func (r *Replica) serveWatch(w http.ResponseWriter, req *http.Request, query url.Values) {
	if !r.openWatches.acquire(r.config.Load().Limits.Watches) {
		r.writeError(w, req, fmt.Errorf("%w: all watches are taken", errBusy))
		return
	}
	defer r.openWatches.release()
	var start watchPosition
	err := r.runAdmitted(req, func() (err error) {
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
		panic(http.ErrAbortHandler) // aborts the chunked response: the watcher must not see a regular end
	}
}

// startWatch returns the position at which a watch starts, from its query.
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
	o.control.SetReadDeadline(time.Time{}) // nothing more is read; net/http detects the end of the connection
	writeHeaders(o.w, freshness)
}

func (o watchWriter) writeLine(line []byte) error {
	o.control.SetWriteDeadline(time.Now().Add(watchLineTimeout))
	if _, err := o.w.Write(line); err != nil {
		return err
	}
	return o.control.Flush()
}

// streamWatch writes lines until the watch ends. It returns an error if the watch has to be
// aborted.
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

// awaitVersion waits for a list version that a watcher has received from another replica. If
// the leader does not have it either, the version belongs to another history or was lost
// with the disks of a quorum; awaitVersion then returns nil, and the watch starts with the
// full list.
func (r *Replica) awaitVersion(ctx context.Context, from uint64) error {
	ctx, cancel := context.WithTimeout(ctx, queueTimeout)
	defer cancel()
	leaderHasVersion := false
	for {
		seq, changed := r.stateMachine.listVersion()
		if from <= seq {
			return nil
		}
		if !leaderHasVersion {
			leaderVersion, err := r.leaderListVersion()
			switch {
			case err != nil:
				return fmt.Errorf("version %d is later than this replica's version %d, and the leader's version is unknown: %w", from, seq, err)
			case leaderVersion < from:
				return nil
			}
			leaderHasVersion = true
			continue // the version may have been applied meanwhile
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("this replica has version %d, version %d has not arrived yet", seq, from)
		}
	}
}
