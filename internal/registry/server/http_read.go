package server

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"barleywick/internal/registry"
)

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
