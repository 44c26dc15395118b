package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"barleywick/internal/registry"
)

func (r *Replica) serveStatus(w http.ResponseWriter, req *http.Request) error {
	freshness := r.freshnessHeader()
	if query := req.URL.Query(); query.Get("linearizable") != "" {
		var err error
		if freshness, err = r.prepareRead(query); err != nil {
			return err
		}
	}
	writeResponse(w, freshness, r.Status())
	return nil
}

func (r *Replica) serveAddReplica(w http.ResponseWriter, req *http.Request) error {
	var info registry.ReplicaInfo
	if err := decodeBody(w, req, &info); err != nil {
		return err
	}
	id := req.PathValue("id")
	if info.ID == "" {
		info.ID = id
	}
	if info.ID != id {
		return badRequest("the path names replica %.64q and the body %.64q", id, info.ID)
	}
	if err := validateReplica(info); err != nil {
		return badRequest("%v", err)
	}
	if err := r.addReplica(info); err != nil {
		return err
	}
	writeResponse(w, registry.ReadLinearizable, r.Status())
	return nil
}

func (r *Replica) serveRemoveReplica(w http.ResponseWriter, req *http.Request) error {
	if err := r.removeReplica(req.PathValue("id")); err != nil {
		return err
	}
	writeResponse(w, registry.ReadLinearizable, r.Status())
	return nil
}

func (r *Replica) serveBackup(w http.ResponseWriter, req *http.Request) error {
	freshness, err := r.prepareRead(req.URL.Query())
	if err != nil {
		return err
	}
	var text []byte
	r.stateMachine.view(func(s *registry.State) { text, err = json.Marshal(s) })
	if err != nil {
		return err
	}
	writeHeaders(w, freshness)
	w.Write(append(text, '\n'))
	return nil
}

func (r *Replica) serveRestore(w http.ResponseWriter, req *http.Request) error {
	text, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBackupBytes))
	if err != nil {
		return statusError{http.StatusRequestEntityTooLarge, fmt.Errorf("the backup exceeds %d bytes", maxBackupBytes)}
	}
	if err := json.Unmarshal(text, registry.NewState()); err != nil {
		return badRequest("%v", err)
	}
	return r.write(w, registry.Command{Op: registry.OpRestore, Backup: text})
}
