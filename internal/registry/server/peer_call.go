package server

import (
	"context"
	"fmt"
	"net/http"

	"barleywick/internal/registry"
)

// calledHeader names the replica that a call from another replica is meant for: its group, its id and the
// version at which the caller's group was founded. A process at the replica's address that is another one
// responds with 421: its answer says nothing about the replica. Earlier versions ignore the header.
const calledHeader = "Registry-Called"

// newPeerCall returns a GET request of the API to another replica.
func (r *Replica) newPeerCall(ctx context.Context, to registry.ReplicaInfo, path string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.HTTP+registry.APIPath+path, nil)
	if err != nil {
		return nil, err
	}
	group, founded := r.history()
	req.Header.Set(calledHeader, fmt.Sprintf("%s %s %d", group, to.ID, founded))
	return req, nil
}

// checkCalled returns an error if a call is meant for another replica than this one. A replica without data of the
// group is another one than the replica that had them.
func (r *Replica) checkCalled(req *http.Request) error {
	text := req.Header.Get(calledHeader)
	if text == "" {
		return nil
	}
	var group, id string
	var founded uint64
	if n, err := fmt.Sscanf(text, "%s %s %d", &group, &id, &founded); n != 3 || err != nil {
		return badRequest("header %s: %.64q", calledHeader, text)
	}
	localGroup, localFounded := r.history()
	if group != localGroup || id != r.self.ID || founded != 0 && founded != localFounded {
		return statusError{http.StatusMisdirectedRequest, fmt.Errorf("the call is for replica %.64s of group %.64s, founded at %d; this is %s of %s, founded at %d",
			id, group, founded, r.self.ID, localGroup, localFounded)}
	}
	return nil
}

// fromPeer returns a handler for calls from other replicas, which checks that they are meant for this one.
func (r *Replica) fromPeer(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if err := r.checkCalled(req); err != nil {
			r.writeError(w, req, err)
			return
		}
		handler(w, req)
	}
}
