package server

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"barleywick/internal/registry"
)

// prepareRead waits until a read has the freshness that the query requires, and returns the
// value of registry.ReadHeader for the response.
func (r *Replica) prepareRead(query url.Values) (freshness string, err error) {
	switch v := query.Get("linearizable"); v {
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
	return r.freshnessHeader(), nil
}

// freshnessHeader returns the value of registry.ReadHeader for a read that is not
// linearizable. The age is rounded up, so that the response contains every write that was
// acknowledged longer ago than the age.
func (r *Replica) freshnessHeader() string {
	freshness, age := r.freshness(time.Now())
	return fmt.Sprintf("%s; age_ms=%d", freshness, (age + time.Millisecond - 1).Milliseconds())
}

// serveList serves the list and the watch of the discovery protocol.
func (r *Replica) serveList(w http.ResponseWriter, req *http.Request) {
	query, err := url.ParseQuery(req.URL.RawQuery)
	if err != nil {
		r.writeError(w, req, badRequest("the query cannot be read"))
		return
	}
	switch v := query.Get("watch"); v {
	case "", "0":
		r.limited(func(w http.ResponseWriter, _ *http.Request) error { return r.serveFullList(w, query) })(w, req)
	case "1":
		r.serveWatch(w, req, query)
	default:
		r.writeError(w, req, badRequest("watch is %.32q, it must be 1 or left out", v))
	}
}

func (r *Replica) serveFullList(w http.ResponseWriter, query url.Values) error {
	freshness, err := r.prepareRead(query)
	if err != nil {
		return err
	}
	writeHeaders(w, freshness)
	w.Write(r.stateMachine.fullList())
	return nil
}

func (r *Replica) serveRegistrations(w http.ResponseWriter, req *http.Request) error {
	freshness, err := r.prepareRead(req.URL.Query())
	if err != nil {
		return err
	}
	var response registry.RegistrationsResponse
	r.stateMachine.view(func(s *registry.State) {
		response = registry.RegistrationsResponse{Group: s.Group(), Seq: s.Seq(), Registrations: s.Registrations(), Marks: s.Marks()}
	})
	writeResponse(w, freshness, response)
	return nil
}

func (r *Replica) serveRecordKeys(w http.ResponseWriter, req *http.Request) error {
	freshness, err := r.prepareRead(req.URL.Query())
	if err != nil {
		return err
	}
	var keys []string
	r.stateMachine.view(func(s *registry.State) { keys = s.RecordKeys() })
	writeResponse(w, freshness, keys)
	return nil
}

func (r *Replica) serveRecord(w http.ResponseWriter, req *http.Request) error {
	freshness, err := r.prepareRead(req.URL.Query())
	if err != nil {
		return err
	}
	var record registry.Record
	var found bool
	key := req.PathValue("key")
	r.stateMachine.view(func(s *registry.State) { record, found = s.Record(key) })
	if !found {
		return fmt.Errorf("%w: record %.64s", registry.ErrNotFound, key)
	}
	writeResponse(w, freshness, record)
	return nil
}
