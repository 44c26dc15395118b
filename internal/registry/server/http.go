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
	maxBody    = 64 << 10 // of a write
	maxBackup  = 8 << 20
	maxHeader  = 16 << 10
	callIn     = 10 * time.Second // for a whole call, its wait for a turn included
	waitIn     = time.Second      // for a turn, and for a version that is on its way
	headerIn   = 2 * time.Second
	idleIn     = 30 * time.Second
	lineIn     = 2 * time.Second // for a watch to take a line: the next empty one is due by then
	emptyEvery = 2 * time.Second // an empty line, by the protocol
	// comeBack is when a caller that was refused is to try again, more or less: all
	// are refused together, and should not come back so.
	comeBack = time.Second
)

// Handler serves the protocol and the write interface.
func (r *Replica) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+registry.ListPath, r.serveList)
	at := func(method, path string, h func(w http.ResponseWriter, q *http.Request) error) {
		mux.HandleFunc(method+" "+registry.APIPath+path, func(w http.ResponseWriter, q *http.Request) {
			if err := r.inTurn(q, func() error { return h(w, q) }); err != nil {
				r.fail(w, q, err)
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
	at("PUT", "records/{key}", r.servePut)
	at("DELETE", "records/{key}", r.serveDrop)
	at("POST", "leases/{name}/acquire", r.serveAcquire)
	at("POST", "leases/{name}/release", r.serveRelease)
	at("POST", "leases/{name}/ask", r.serveAsk)
	at("POST", "renewals", r.serveRenewals)
	mux.HandleFunc("GET "+registry.APIPath+"leases", r.waiting(r.listLeases))
	at("POST", "policy", r.servePolicy)
	mux.HandleFunc("GET "+registry.APIPath+"policy", r.waiting(r.listPolicy))
	mux.HandleFunc("GET "+registry.APIPath+"policy/view", r.waiting(r.viewPolicy))
	mux.HandleFunc("GET "+registry.APIPath+"term", r.serveTerm)
	at("PUT", "members/{id}", r.serveAdd)
	at("DELETE", "members/{id}", r.serveDropMember)
	at("GET", "backup", r.serveBackup)
	at("POST", "restore", r.serveRestore)
	at("GET", "status", r.serveStatus)
	mux.HandleFunc(registry.APIPath+membership.ViewPath, r.serveFleet)
	mux.HandleFunc("GET /health/ready", func(w http.ResponseWriter, q *http.Request) {
		if !r.ready.Load() {
			r.fail(w, q, errNotReady)
		}
	})
	mux.HandleFunc("GET /metrics", r.serveMetrics)
	return mux
}

// HTTPServer serves a replica with limits on everything that a caller may hold.
func (r *Replica) HTTPServer() *http.Server {
	return &http.Server{
		Handler: r.Handler(), ReadHeaderTimeout: headerIn, ReadTimeout: callIn, WriteTimeout: callIn, IdleTimeout: idleIn,
		MaxHeaderBytes: maxHeader, ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

// refusal is an error with the status it is answered with.
type refusal struct {
	status int
	err    error
}

func (r refusal) Error() string { return r.err.Error() }
func (r refusal) Unwrap() error { return r.err }

func bad(format string, args ...any) error {
	return refusal{http.StatusBadRequest, fmt.Errorf(format, args...)}
}

var (
	errNotReady = errors.New("this replica has not caught up with its group yet")
)

// inTurn runs a call when it is its turn.
func (r *Replica) inTurn(q *http.Request, call func() error) error {
	ctx, cancel := context.WithTimeout(q.Context(), waitIn)
	defer cancel()
	if err := r.turn.take(ctx); err != nil {
		return errBusy
	}
	defer r.turn.done()
	return call()
}

// fail answers an error in one line. What a caller may try again is 503; a write
// that is the leader's to take goes there.
func (r *Replica) fail(w http.ResponseWriter, q *http.Request, err error) {
	status := http.StatusServiceUnavailable
	var named refusal
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
		} else if failed := r.disk.logs.failed.Load(); failed != nil {
			err = fmt.Errorf("this replica cannot write its log: %w", *failed)
		} else {
			err = errNoLeader
		}
	case errors.Is(err, raft.ErrLeadershipLost), errors.Is(err, raft.ErrEnqueueTimeout):
		err = fmt.Errorf("the leader changed: the write may have been done or not, and can be sent again: %w", err)
	}
	if status == http.StatusServiceUnavailable {
		r.refused.Add(1)
		w.Header().Set("Retry-After", retryAfter())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	line := strings.Join(strings.Fields(err.Error()), " ")
	writeJSON(w, registry.WriteResponse{Seq: r.machine.seq(), Error: line})
}

// retryAfter is about comeBack, in seconds; it differs from call to call.
func retryAfter() string {
	return strconv.FormatFloat(comeBack.Seconds()*(0.5+rand.Float64()), 'f', 2, 64)
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
		return "", bad("linearizable is %.32q, it must be 1 or left out", v)
	}
	if !r.ready.Load() {
		return "", errNotReady
	}
	return r.read(), nil
}

func (r *Replica) read() string {
	word, age := r.freshness(time.Now())
	return fmt.Sprintf("%s; age_ms=%d", word, age.Milliseconds())
}

// serveList is the protocol's list and watch.
func (r *Replica) serveList(w http.ResponseWriter, q *http.Request) {
	query, err := url.ParseQuery(q.URL.RawQuery)
	if err != nil {
		r.fail(w, q, bad("the query cannot be read"))
		return
	}
	switch v := query.Get("watch"); v {
	case "", "0":
		err := r.inTurn(q, func() error {
			read, err := r.fresh(query)
			if err != nil {
				return err
			}
			w.Header().Set(registry.ReadHeader, read)
			w.Header().Set("Content-Type", "application/json")
			w.Write(r.machine.list())
			return nil
		})
		if err != nil {
			r.fail(w, q, err)
		}
	case "1":
		r.serveWatch(w, q, query)
	default:
		r.fail(w, q, bad("watch is %.32q, it must be 1 or left out", v))
	}
}

// serveWatch is one watch, from its call to its end.
func (r *Replica) serveWatch(w http.ResponseWriter, q *http.Request, query url.Values) {
	if r.watches.Add(1) > int64(r.config.Load().Limits.Watches) {
		r.watches.Add(-1)
		r.fail(w, q, fmt.Errorf("%w: all watches are taken", errBusy))
		return
	}
	defer r.watches.Add(-1)
	var line []byte
	var seq uint64
	var at *frame
	err := r.inTurn(q, func() error {
		from := uint64(0)
		if text := query.Get("from"); text != "" {
			var err error
			if from, err = strconv.ParseUint(text, 10, 64); err != nil {
				return bad("from is %.32q, it must be a version", text)
			}
		}
		if !r.ready.Load() {
			return errNotReady
		}
		if err := r.awaitVersion(q.Context(), from); err != nil {
			return err
		}
		line, seq, at = r.machine.follow(from)
		return nil
	})
	if err != nil {
		r.fail(w, q, err)
		return
	}
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Time{}) // nothing more is read; net/http notices the end
	w.Header().Set(registry.ReadHeader, r.read())
	w.Header().Set("Content-Type", "application/json")
	put := func(text []byte) error {
		rc.SetWriteDeadline(time.Now().Add(lineIn))
		if _, err := w.Write(text); err != nil {
			return err
		}
		return rc.Flush()
	}
	sent := r.sent.add()
	defer r.sent.remove(sent)
	if err := r.watch(q.Context(), line, seq, at, sent, put); err != nil {
		r.hub.cut.Add(1)
		slog.Info("watch cut", "of", q.RemoteAddr, "err", err)
		panic(http.ErrAbortHandler) // it must not pass for a good end
	}
}

// watch writes lines until the watch ends; an error is for one that is cut.
func (r *Replica) watch(ctx context.Context, line []byte, seq uint64, at *frame, sent *atomic.Uint64, put func([]byte) error) error {
	if err := put(line); err != nil {
		return err
	}
	sent.Store(seq)
	empty := time.NewTicker(emptyEvery)
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
		case <-at.ready:
		}
		switch {
		case at.last:
			return nil
		case r.hub.behind(at):
			return errors.New("too far behind")
		case at.jump:
			line, seq, at = r.machine.follow(seq)
		default:
			line, seq, at = at.line, at.seq, at.next
		}
		if err := put(line); err != nil {
			return err
		}
		sent.Store(seq)
		empty.Reset(emptyEvery)
	}
}

// awaitVersion waits for a version that a watcher has seen at another replica. If
// the leader does not know it either, it is of another history, or lost with the
// disks of a quorum: the watcher gets the whole list.
func (r *Replica) awaitVersion(ctx context.Context, from uint64) error {
	ctx, cancel := context.WithTimeout(ctx, waitIn)
	defer cancel()
	known := false // the leader has it
	for {
		seq, moved := r.machine.change()
		if from <= seq {
			return nil
		}
		if !known {
			newest, err := r.leaderSeq()
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
	r.machine.read(func(s *registry.State) {
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
		return refusal{http.StatusRequestEntityTooLarge, fmt.Errorf("a body of more than %d bytes", most)}
	}
	return bad("the body cannot be read: %v", err)
}

// write has a command carried out and answers with its result.
func (r *Replica) write(w http.ResponseWriter, c registry.Command) error {
	if err := r.leads(); err != nil {
		return err
	}
	result, err := r.apply(c)
	return r.wrote(w, result, err)
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
		return bad("the path names host %.64q and the body %.64q", host, b.Instance.Host)
	case (b.Session == "") != (b.TTLMS == 0):
		return bad("session and ttl_ms come together or not at all")
	case b.Session != "" && (b.TTLMS < rules.MinTTLMS || b.TTLMS > rules.MaxTTLMS):
		return bad("ttl_ms is %d, it must lie between %d and %d", b.TTLMS, rules.MinTTLMS, rules.MaxTTLMS)
	}
	if b.Machine == "" {
		b.Machine, _, _ = net.SplitHostPort(b.Instance.Dial)
	}
	for _, f := range [][2]string{{"session", b.Session}, {"machine", b.Machine}} {
		if f[1] != "" {
			if err := registry.CheckName(f[0], f[1]); err != nil {
				return bad("%v", err)
			}
		}
	}
	if err := b.Instance.Check(); err != nil { // before it costs the log anything
		return bad("%v", err)
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
	if err := r.renew(q.PathValue("host"), b.Session, time.Now()); err != nil {
		return err
	}
	r.answer(w, registry.ReadCurrent, registry.WriteResponse{Seq: r.machine.seq()})
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
		return nil, bad("if_version is %.32q, it must be a version", text)
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
	r.machine.read(func(s *registry.State) { keys = s.RecordKeys() })
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
	r.machine.read(func(s *registry.State) { rec, ok = s.Record(key) })
	if !ok {
		return fmt.Errorf("%w: record %.64s", registry.ErrNotFound, key)
	}
	r.answer(w, read, rec)
	return nil
}

func (r *Replica) servePut(w http.ResponseWriter, q *http.Request) error {
	var b registry.PutRequest
	if err := decode(w, q, maxBody, &b); err != nil {
		return err
	}
	key := q.PathValue("key")
	if strings.HasPrefix(key, memberKey) {
		return bad("records that begin with %s are the group's own: use members", memberKey)
	}
	return r.write(w, registry.Command{Op: registry.OpPutRecord, Key: key, Value: b.Value, IfVersion: b.IfVersion, Fence: b.Fence})
}

func (r *Replica) serveDrop(w http.ResponseWriter, q *http.Request) error {
	v, err := ifVersion(q)
	if err != nil {
		return err
	}
	key := q.PathValue("key")
	if strings.HasPrefix(key, memberKey) {
		return bad("records that begin with %s are the group's own: use members", memberKey)
	}
	return r.write(w, registry.Command{Op: registry.OpDeleteRecord, Key: key, IfVersion: v})
}

func (r *Replica) serveAdd(w http.ResponseWriter, q *http.Request) error {
	var m registry.ReplicaInfo
	if err := decode(w, q, maxBody, &m); err != nil {
		return err
	}
	if m.ID == "" {
		m.ID = q.PathValue("id")
	}
	if m.ID != q.PathValue("id") {
		return bad("the path names replica %.64q and the body %.64q", q.PathValue("id"), m.ID)
	}
	if err := checkMember(m); err != nil {
		return bad("%v", err)
	}
	if err := r.add(m); err != nil {
		return err
	}
	r.answer(w, registry.ReadLinearizable, r.Status())
	return nil
}

func (r *Replica) serveDropMember(w http.ResponseWriter, q *http.Request) error {
	if err := r.drop(q.PathValue("id")); err != nil {
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
	r.machine.read(func(s *registry.State) { text, err = json.Marshal(s) })
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
		return refusal{http.StatusRequestEntityTooLarge, fmt.Errorf("a backup of more than %d bytes", maxBackup)}
	}
	if err := json.Unmarshal(text, registry.NewState()); err != nil {
		return bad("%v", err)
	}
	return r.write(w, registry.Command{Op: registry.OpRestore, Backup: text})
}

func (r *Replica) serveStatus(w http.ResponseWriter, q *http.Request) error {
	read := r.read()
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
	running, waiting := r.turn.queue()
	flag := func(b bool) uint64 {
		if b {
			return 1
		}
		return 0
	}
	var entries uint64
	r.machine.read(func(st *registry.State) { entries = uint64(st.Len()) })
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
		{"refused_total", "counter", "calls told to come back", r.refused.Load()},
		{"calls", "gauge", "calls under way", uint64(running)},
		{"calls_waiting", "gauge", "calls that wait for their turn", uint64(waiting)},
		{"watches", "gauge", "watches open", uint64(s.Watches)},
		{"watches_cut_total", "counter", "watches cut as they took no lines", r.hub.cut.Load()},
		{"claims", "gauge", "claims on leases that the leader follows", uint64(s.Claims)},
		{"lease_renewals_total", "counter", "claims on leases that this replica renewed", r.renewals.Load()},
		{"lease_grants_total", "counter", "leases granted by calls that this replica took", r.granted.Load()},
		{"lease_ended_total", "counter", "claims on leases that ended as their time was up", r.ended.Load()},
		{"changes_total", "counter", "changes handed to the watches", r.hub.frames.Load()},
		{"change_bytes_total", "counter", "bytes encoded for them, once for all watches", r.hub.bytes.Load()},
	} {
		fmt.Fprintf(w, "# HELP registry_%s %s\n# TYPE registry_%[1]s %[3]s\nregistry_%[1]s %[4]d\n", m.name, m.help, m.kind, m.value)
	}
}
