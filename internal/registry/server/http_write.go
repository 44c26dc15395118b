package server

import (
	"net"
	"net/http"
	"strings"
	"time"

	"barleywick/internal/registry"
)

// write applies a command and responds with its result.
func (r *Replica) write(w http.ResponseWriter, c registry.Command) error {
	if err := r.requireLeader(); err != nil {
		return err
	}
	result, err := r.apply(c)
	if err != nil {
		return err
	}
	writeResult(w, result)
	return nil
}

// writeResult responds with the versions after a write.
func writeResult(w http.ResponseWriter, result registry.Result) {
	writeResponse(w, registry.ReadLinearizable, registry.WriteResponse{Version: result.Version, Seq: result.Seq})
}

func (r *Replica) serveRegister(w http.ResponseWriter, req *http.Request) error {
	var body registry.RegisterRequest
	if err := decodeBody(w, req, &body); err != nil {
		return err
	}
	host := req.PathValue("host")
	if body.Instance.Host == "" {
		body.Instance.Host = host
	}
	if body.Machine == "" {
		body.Machine, _, _ = net.SplitHostPort(body.Instance.Dial)
	}
	// The state machine checks it as well; checking it first keeps invalid commands out of the log.
	if err := checkRegistration(host, body, r.config.Load().Sessions); err != nil {
		return err
	}
	return r.write(w, registry.Command{
		Op:        registry.OpRegister,
		Instance:  &body.Instance,
		Session:   body.Session,
		TTLMS:     body.TTLMS,
		Machine:   body.Machine,
		IfVersion: body.IfVersion,
	})
}

// checkRegistration returns an error if a register request is invalid.
func checkRegistration(host string, body registry.RegisterRequest, rules SessionConfig) error {
	switch {
	case body.Instance.Host != host:
		return badRequest("the path names host %.64q and the body %.64q", host, body.Instance.Host)
	case (body.Session == "") != (body.TTLMS == 0):
		return badRequest("session and ttl_ms come together or not at all")
	case body.Session != "" && (body.TTLMS < rules.MinTTLMS || body.TTLMS > rules.MaxTTLMS):
		return badRequest("ttl_ms is %d, it must lie between %d and %d", body.TTLMS, rules.MinTTLMS, rules.MaxTTLMS)
	}
	for _, name := range []struct{ key, value string }{{"session", body.Session}, {"machine", body.Machine}} {
		if name.value == "" {
			continue
		}
		if err := registry.CheckName(name.key, name.value); err != nil {
			return badRequest("%v", err)
		}
	}
	if err := body.Instance.Check(); err != nil {
		return badRequest("%v", err)
	}
	return nil
}

func (r *Replica) serveRenew(w http.ResponseWriter, req *http.Request) error {
	var body registry.RenewRequest
	if err := decodeBody(w, req, &body); err != nil {
		return err
	}
	if err := r.renewSession(req.PathValue("host"), body.Session, time.Now()); err != nil {
		return err
	}
	writeResponse(w, registry.ReadCurrent, registry.WriteResponse{Seq: r.stateMachine.seq()})
	return nil
}

func (r *Replica) serveRemove(w http.ResponseWriter, req *http.Request) error {
	ifVersion, err := queryIfVersion(req)
	if err != nil {
		return err
	}
	return r.write(w, registry.Command{
		Op:        registry.OpRemove,
		Host:      req.PathValue("host"),
		Session:   req.URL.Query().Get("session"),
		IfVersion: ifVersion,
	})
}

func (r *Replica) serveMark(w http.ResponseWriter, req *http.Request) error {
	var body registry.MarkRequest
	if err := decodeBody(w, req, &body); err != nil {
		return err
	}
	return r.write(w, registry.Command{
		Op:              registry.OpMark,
		Hosts:           body.Hosts,
		MarkedBy:        body.MarkedBy,
		Draining:        body.Draining,
		Fence:           body.Fence,
		IfVersion:       body.IfVersion,
		IfRecord:        body.IfRecord,
		IfRecordVersion: body.IfRecordVersion,
	})
}

// writableKey returns the record key of a request, or an error if callers must not write that record.
func writableKey(req *http.Request) (string, error) {
	key := req.PathValue("key")
	if strings.HasPrefix(key, memberKeyPrefix) {
		return "", badRequest("records that begin with %s are the group's own: use members", memberKeyPrefix)
	}
	return key, nil
}

func (r *Replica) servePutRecord(w http.ResponseWriter, req *http.Request) error {
	var body registry.PutRequest
	if err := decodeBody(w, req, &body); err != nil {
		return err
	}
	key, err := writableKey(req)
	if err != nil {
		return err
	}
	return r.write(w, registry.Command{Op: registry.OpPutRecord, Key: key, Value: body.Value, IfVersion: body.IfVersion, Fence: body.Fence})
}

func (r *Replica) serveDeleteRecord(w http.ResponseWriter, req *http.Request) error {
	ifVersion, err := queryIfVersion(req)
	if err != nil {
		return err
	}
	key, err := writableKey(req)
	if err != nil {
		return err
	}
	return r.write(w, registry.Command{Op: registry.OpDeleteRecord, Key: key, IfVersion: ifVersion})
}
