package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

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
