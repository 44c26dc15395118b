package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"barleywick/internal/registry"
)

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
