package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"barleywick/internal/membership"
	"barleywick/internal/registry"
)

const (
	maxBody                = 64 << 10 // of a write
	maxBackup              = 8 << 20
	maxHeader              = 16 << 10
	callTimeout            = 10 * time.Second // for a whole call, its wait for a turn included
	queueTimeout           = time.Second      // for a turn, and for a version that is on its way
	headerTimeout          = 2 * time.Second
	idleTimeout            = 30 * time.Second
	watchLineTimeout       = 2 * time.Second // for a watch to take a line: the next empty one is due by then
	watchHeartbeatInterval = 2 * time.Second // an empty line, by the protocol
	// retryAfterBase is when a caller that was refused is to try again, more or less: all
	// are refused together, and should not come back so.
	retryAfterBase = time.Second
)

// Handler serves the protocol and the write interface.
func (r *Replica) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+registry.ListPath, r.serveList)
	at := func(method, path string, h func(w http.ResponseWriter, q *http.Request) error) {
		mux.HandleFunc(method+" "+registry.APIPath+path, func(w http.ResponseWriter, q *http.Request) {
			if err := r.limited(q, func() error { return h(w, q) }); err != nil {
				r.writeError(w, q, err)
			}
		})
	}
	at("GET", "instances", r.serveEntries)
	at("PUT", "instances/{host}", r.serveRegister)
	at("POST", "instances/{host}/renew", r.serveRenew)
	at("DELETE", "instances/{host}", r.serveRemove)
	at("POST", "marks", r.serveMark)
	at("GET", "records", r.serveRecords)
	at("GET", "records/{key}", r.serveRecord)
	at("PUT", "records/{key}", r.servePutRecord)
	at("DELETE", "records/{key}", r.serveDeleteRecord)
	at("POST", "leases/{name}/acquire", r.serveAcquire)
	at("POST", "leases/{name}/release", r.serveRelease)
	at("POST", "leases/{name}/ask", r.serveYieldRequest)
	at("POST", "renewals", r.serveRenewals)
	mux.HandleFunc("GET "+registry.APIPath+"leases", r.longPoll(r.serveLeases))
	at("POST", "policy", r.servePolicyStep)
	mux.HandleFunc("GET "+registry.APIPath+"policy", r.longPoll(r.servePolicyStatus))
	mux.HandleFunc("GET "+registry.APIPath+"policy/view", r.longPoll(r.servePolicyView))
	mux.HandleFunc("GET "+registry.APIPath+"term", r.serveTerm)
	at("PUT", "members/{id}", r.serveAddMember)
	at("DELETE", "members/{id}", r.serveRemoveMember)
	at("GET", "backup", r.serveBackup)
	at("POST", "restore", r.serveRestore)
	at("GET", "status", r.serveStatus)
	mux.HandleFunc(registry.APIPath+membership.ViewPath, r.serveMembership)
	mux.HandleFunc("GET /health/ready", func(w http.ResponseWriter, q *http.Request) {
		if !r.ready.Load() {
			r.writeError(w, q, errNotReady)
		}
	})
	mux.HandleFunc("GET /metrics", r.serveMetrics)
	return mux
}

// HTTPServer serves a replica with limits on everything that a caller may hold.
func (r *Replica) HTTPServer() *http.Server {
	return &http.Server{
		Handler: r.Handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: callTimeout, WriteTimeout: callTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader, ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

// statusError is an error with the status it is answered with.
type statusError struct {
	status int
	err    error
}

func (r statusError) Error() string { return r.err.Error() }
func (r statusError) Unwrap() error { return r.err }

func badRequest(format string, args ...any) error {
	return statusError{http.StatusBadRequest, fmt.Errorf(format, args...)}
}

var (
	errNotReady = errors.New("this replica has not caught up with its group yet")
)

// limited runs a call when it is its turn.
func (r *Replica) limited(q *http.Request, call func() error) error {
	ctx, cancel := context.WithTimeout(q.Context(), queueTimeout)
	defer cancel()
	if err := r.limiter.acquire(ctx); err != nil {
		return errBusy
	}
	defer r.limiter.release()
	return call()
}

// writeError answers an error in one line. What a caller may try again is 503; a write
// that is the leader's to take goes there.
func (r *Replica) writeError(w http.ResponseWriter, q *http.Request, err error) {
	status := http.StatusServiceUnavailable
	var named statusError
	switch {
	case errors.As(err, &named):
		status = named.status
	case errors.Is(err, registry.ErrInvalid):
		status = http.StatusBadRequest
	case errors.Is(err, registry.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, registry.ErrFenced):
		status = http.StatusPreconditionFailed
	case errors.Is(err, registry.ErrLeaseHeld):
		status = http.StatusLocked
	case errors.Is(err, registry.ErrClaimEnded):
		status = http.StatusGone
	case errors.Is(err, registry.ErrConflict), errors.Is(err, registry.ErrHostTaken):
		status = http.StatusConflict
	case errors.Is(err, registry.ErrLimitReached):
		status = http.StatusInsufficientStorage
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		if leader, ok := r.leader(); ok && leader.ID != r.self.ID {
			w.Header().Set("Location", "http://"+leader.HTTP+q.URL.RequestURI())
			status, err = http.StatusTemporaryRedirect, fmt.Errorf("replica %s leads", leader.ID)
		} else if failed := r.storage.log.lastWriteError.Load(); failed != nil {
			err = fmt.Errorf("this replica cannot write its log: %w", *failed)
		} else {
			err = errNoLeader
		}
	case errors.Is(err, raft.ErrLeadershipLost), errors.Is(err, raft.ErrEnqueueTimeout):
		err = fmt.Errorf("the leader changed: the write may have been done or not, and can be sent again: %w", err)
	}
	if status == http.StatusServiceUnavailable {
		r.refusedCalls.Add(1)
		w.Header().Set("Retry-After", retryAfter())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	line := strings.Join(strings.Fields(err.Error()), " ")
	writeJSON(w, registry.WriteResponse{Seq: r.stateMachine.seq(), Error: line})
}

// retryAfter is about comeBack, in seconds; it differs from call to call.
func retryAfter() string {
	return strconv.FormatFloat(retryAfterBase.Seconds()*(0.5+rand.Float64()), 'f', 2, 64)
}

func writeJSON(w io.Writer, v any) {
	if err := json.NewEncoder(w).Encode(v); err != nil {
		slog.Debug("answer not written", "err", err) // the caller has gone
	}
}

// answer writes a good answer, with a word on how fresh it is.
func (r *Replica) answer(w http.ResponseWriter, read string, v any) {
	w.Header().Set(registry.ReadHeader, read)
	w.Header().Set("Content-Type", "application/json")
	writeJSON(w, v)
}

// fresh makes a read as fresh as the caller asks for, and says how fresh it is.
func (r *Replica) fresh(q url.Values) (string, error) {
	switch v := q.Get("linearizable"); v {
	case "", "0":
	case "1":
		if err := r.linearize(); err != nil {
			return "", err
		}
		return registry.ReadLinearizable, nil
	default:
		return "", badRequest("linearizable is %.32q, it must be 1 or left out", v)
	}
	if !r.ready.Load() {
		return "", errNotReady
	}
	return r.readHeader(), nil
}

func (r *Replica) readHeader() string {
	word, age := r.freshness(time.Now())
	return fmt.Sprintf("%s; age_ms=%d", word, age.Milliseconds())
}

// serveList is the protocol's list and watch.
func (r *Replica) serveList(w http.ResponseWriter, q *http.Request) {
	query, err := url.ParseQuery(q.URL.RawQuery)
	if err != nil {
		r.writeError(w, q, badRequest("the query cannot be read"))
		return
	}
	switch v := query.Get("watch"); v {
	case "", "0":
		err := r.limited(q, func() error {
			read, err := r.fresh(query)
			if err != nil {
				return err
			}
			w.Header().Set(registry.ReadHeader, read)
			w.Header().Set("Content-Type", "application/json")
			w.Write(r.stateMachine.fullList())
			return nil
		})
		if err != nil {
			r.writeError(w, q, err)
		}
	case "1":
		r.serveWatch(w, q, query)
	default:
		r.writeError(w, q, badRequest("watch is %.32q, it must be 1 or left out", v))
	}
}

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

func (r *Replica) serveEntries(w http.ResponseWriter, q *http.Request) error {
	read, err := r.fresh(q.URL.Query())
	if err != nil {
		return err
	}
	var a registry.RegistrationsResponse
	r.stateMachine.view(func(s *registry.State) {
		a = registry.RegistrationsResponse{Group: s.Group(), Seq: s.Seq(), Registrations: s.Registrations(), Marks: s.Marks()}
	})
	r.answer(w, read, a)
	return nil
}

// decode reads a call's body whole and strictly.
func decode(w http.ResponseWriter, q *http.Request, most int64, into any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, q.Body, most))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		if _, more := d.Token(); more != io.EOF {
			err = errors.New("something follows the object")
		}
	}
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &large):
		return statusError{http.StatusRequestEntityTooLarge, fmt.Errorf("a body of more than %d bytes", most)}
	}
	return badRequest("the body cannot be read: %v", err)
}

// write has a command carried out and answers with its result.
func (r *Replica) write(w http.ResponseWriter, c registry.Command) error {
	if err := r.requireLeader(); err != nil {
		return err
	}
	result, err := r.apply(c)
	return r.writeResult(w, result, err)
}

func (r *Replica) serveRegister(w http.ResponseWriter, q *http.Request) error {
	var b registry.RegisterRequest
	if err := decode(w, q, maxBody, &b); err != nil {
		return err
	}
	host := q.PathValue("host")
	if b.Instance.Host == "" {
		b.Instance.Host = host
	}
	rules := r.config.Load().Sessions
	switch {
	case b.Instance.Host != host:
		return badRequest("the path names host %.64q and the body %.64q", host, b.Instance.Host)
	case (b.Session == "") != (b.TTLMS == 0):
		return badRequest("session and ttl_ms come together or not at all")
	case b.Session != "" && (b.TTLMS < rules.MinTTLMS || b.TTLMS > rules.MaxTTLMS):
		return badRequest("ttl_ms is %d, it must lie between %d and %d", b.TTLMS, rules.MinTTLMS, rules.MaxTTLMS)
	}
	if b.Machine == "" {
		b.Machine, _, _ = net.SplitHostPort(b.Instance.Dial)
	}
	for _, f := range [][2]string{{"session", b.Session}, {"machine", b.Machine}} {
		if f[1] != "" {
			if err := registry.CheckName(f[0], f[1]); err != nil {
				return badRequest("%v", err)
			}
		}
	}
	if err := b.Instance.Check(); err != nil { // before it costs the log anything
		return badRequest("%v", err)
	}
	return r.write(w, registry.Command{
		Op: registry.OpRegister, Instance: &b.Instance, Session: b.Session, TTLMS: b.TTLMS, Machine: b.Machine, IfVersion: b.IfVersion,
	})
}

func (r *Replica) serveRenew(w http.ResponseWriter, q *http.Request) error {
	var b registry.RenewRequest
	if err := decode(w, q, maxBody, &b); err != nil {
		return err
	}
	if err := r.renewSession(q.PathValue("host"), b.Session, time.Now()); err != nil {
		return err
	}
	r.answer(w, registry.ReadCurrent, registry.WriteResponse{Seq: r.stateMachine.seq()})
	return nil
}

// ifVersion reads the condition of a call that has no body.
func ifVersion(q *http.Request) (*uint64, error) {
	text := q.URL.Query().Get("if_version")
	if text == "" {
		return nil, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, badRequest("if_version is %.32q, it must be a version", text)
	}
	return &v, nil
}

func (r *Replica) serveRemove(w http.ResponseWriter, q *http.Request) error {
	v, err := ifVersion(q)
	if err != nil {
		return err
	}
	return r.write(w, registry.Command{Op: registry.OpRemove, Host: q.PathValue("host"), Session: q.URL.Query().Get("session"), IfVersion: v})
}

func (r *Replica) serveMark(w http.ResponseWriter, q *http.Request) error {
	var b registry.MarkRequest
	if err := decode(w, q, maxBody, &b); err != nil {
		return err
	}
	return r.write(w, registry.Command{
		Op: registry.OpMark, Hosts: b.Hosts, MarkedBy: b.MarkedBy, Draining: b.Draining, Fence: b.Fence, IfVersion: b.IfVersion, IfRecord: b.IfRecord, IfRecordVersion: b.IfRecordVersion,
	})
}

func (r *Replica) serveRecords(w http.ResponseWriter, q *http.Request) error {
	read, err := r.fresh(q.URL.Query())
	if err != nil {
		return err
	}
	var keys []string
	r.stateMachine.view(func(s *registry.State) { keys = s.RecordKeys() })
	r.answer(w, read, keys)
	return nil
}

func (r *Replica) serveRecord(w http.ResponseWriter, q *http.Request) error {
	read, err := r.fresh(q.URL.Query())
	if err != nil {
		return err
	}
	var rec registry.Record
	var ok bool
	key := q.PathValue("key")
	r.stateMachine.view(func(s *registry.State) { rec, ok = s.Record(key) })
	if !ok {
		return fmt.Errorf("%w: record %.64s", registry.ErrNotFound, key)
	}
	r.answer(w, read, rec)
	return nil
}

func (r *Replica) servePutRecord(w http.ResponseWriter, q *http.Request) error {
	var b registry.PutRequest
	if err := decode(w, q, maxBody, &b); err != nil {
		return err
	}
	key := q.PathValue("key")
	if strings.HasPrefix(key, memberKeyPrefix) {
		return badRequest("records that begin with %s are the group's own: use members", memberKeyPrefix)
	}
	return r.write(w, registry.Command{Op: registry.OpPutRecord, Key: key, Value: b.Value, IfVersion: b.IfVersion, Fence: b.Fence})
}

func (r *Replica) serveDeleteRecord(w http.ResponseWriter, q *http.Request) error {
	v, err := ifVersion(q)
	if err != nil {
		return err
	}
	key := q.PathValue("key")
	if strings.HasPrefix(key, memberKeyPrefix) {
		return badRequest("records that begin with %s are the group's own: use members", memberKeyPrefix)
	}
	return r.write(w, registry.Command{Op: registry.OpDeleteRecord, Key: key, IfVersion: v})
}

func (r *Replica) serveAddMember(w http.ResponseWriter, q *http.Request) error {
	var m registry.ReplicaInfo
	if err := decode(w, q, maxBody, &m); err != nil {
		return err
	}
	if m.ID == "" {
		m.ID = q.PathValue("id")
	}
	if m.ID != q.PathValue("id") {
		return badRequest("the path names replica %.64q and the body %.64q", q.PathValue("id"), m.ID)
	}
	if err := validateMember(m); err != nil {
		return badRequest("%v", err)
	}
	if err := r.addReplica(m); err != nil {
		return err
	}
	r.answer(w, registry.ReadLinearizable, r.Status())
	return nil
}

func (r *Replica) serveRemoveMember(w http.ResponseWriter, q *http.Request) error {
	if err := r.removeReplica(q.PathValue("id")); err != nil {
		return err
	}
	r.answer(w, registry.ReadLinearizable, r.Status())
	return nil
}

func (r *Replica) serveBackup(w http.ResponseWriter, q *http.Request) error {
	read, err := r.fresh(q.URL.Query())
	if err != nil {
		return err
	}
	var text []byte
	r.stateMachine.view(func(s *registry.State) { text, err = json.Marshal(s) })
	if err != nil {
		return err
	}
	w.Header().Set(registry.ReadHeader, read)
	w.Header().Set("Content-Type", "application/json")
	w.Write(append(text, '\n'))
	return nil
}

func (r *Replica) serveRestore(w http.ResponseWriter, q *http.Request) error {
	text, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBackup))
	if err != nil {
		return statusError{http.StatusRequestEntityTooLarge, fmt.Errorf("a backup of more than %d bytes", maxBackup)}
	}
	if err := json.Unmarshal(text, registry.NewState()); err != nil {
		return badRequest("%v", err)
	}
	return r.write(w, registry.Command{Op: registry.OpRestore, Backup: text})
}

func (r *Replica) serveStatus(w http.ResponseWriter, q *http.Request) error {
	read := r.readHeader()
	if q.URL.Query().Get("linearizable") != "" {
		var err error
		if read, err = r.fresh(q.URL.Query()); err != nil {
			return err
		}
	}
	r.answer(w, read, r.Status())
	return nil
}

// serveMetrics writes what is counted, in the text form that scrapers read.
func (r *Replica) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s := r.Status()
	running, waiting := r.limiter.counts()
	flag := func(b bool) uint64 {
		if b {
			return 1
		}
		return 0
	}
	var entries uint64
	r.stateMachine.view(func(st *registry.State) { entries = uint64(st.Len()) })
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	for _, m := range []struct {
		name, kind, help string
		value            uint64
	}{
		{"leader", "gauge", "1 while this replica leads", flag(s.State == "leader")},
		{"ready", "gauge", "1 once it has caught up with its group", flag(s.Ready)},
		{"stale", "gauge", "1 while no leader is heard of", flag(s.Read == registry.ReadStale)},
		{"seq", "gauge", "version of the list", s.Seq},
		{"term", "gauge", "term of the group", s.Term},
		{"instances", "gauge", "instances in the list", entries},
		{"sessions", "gauge", "sessions that the leader follows", uint64(s.Sessions)},
		{"expiry_held", "gauge", "1 while too many sessions have ended at once", flag(s.ExpiryHeld)},
		{"expired_total", "counter", "instances removed for their silence", r.expired.Load()},
		{"writes_total", "counter", "commands that this replica had carried out", r.writes.Load()},
		{"refused_total", "counter", "calls told to come back", r.refusedCalls.Load()},
		{"calls", "gauge", "calls under way", uint64(running)},
		{"calls_waiting", "gauge", "calls that wait for their turn", uint64(waiting)},
		{"watches", "gauge", "watches open", uint64(s.Watches)},
		{"watches_cut_total", "counter", "watches cut as they took no lines", r.broadcaster.cutWatches.Load()},
		{"claims", "gauge", "claims on leases that the leader follows", uint64(s.Claims)},
		{"lease_renewals_total", "counter", "claims on leases that this replica renewed", r.renewals.Load()},
		{"lease_grants_total", "counter", "leases granted by calls that this replica took", r.granted.Load()},
		{"lease_ended_total", "counter", "claims on leases that ended as their time was up", r.ended.Load()},
		{"changes_total", "counter", "changes handed to the watches", r.broadcaster.eventCount.Load()},
		{"change_bytes_total", "counter", "bytes encoded for them, once for all watches", r.broadcaster.eventBytes.Load()},
	} {
		fmt.Fprintf(w, "# HELP registry_%s %s\n# TYPE registry_%[1]s %[3]s\nregistry_%[1]s %[4]d\n", m.name, m.help, m.kind, m.value)
	}
}
