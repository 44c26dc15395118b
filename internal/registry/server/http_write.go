package server

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"barleywick/internal/registry"
)

// write has a command carried out and answers with its result.
func (r *Replica) write(w http.ResponseWriter, c registry.Command) error {
	if err := r.requireLeader(); err != nil {
		return err
	}
	result, err := r.apply(c)
	return r.writeResult(w, result, err)
}

// writeResult answers with what became of a write.
func (r *Replica) writeResult(w http.ResponseWriter, result registry.Result, err error) error {
	if err == nil {
		r.answer(w, registry.ReadLinearizable, registry.WriteResponse{Version: result.Version, Seq: result.Seq})
	}
	return err
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
