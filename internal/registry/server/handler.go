package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"barleywick/internal/httpinput"
	"barleywick/internal/membership"
	"barleywick/internal/registry"
)

const (
	maxBodyBytes   = 64 << 10         // of a write
	maxBackupBytes = 8 << 20          // of a backup to restore
	maxHeaderBytes = 16 << 10         // of a request
	callTimeout    = 10 * time.Second // for a whole call, including its time in the queue
	queueTimeout   = time.Second      // in the call limiter's queue, and for a list version that is being replicated
	headerTimeout  = 2 * time.Second
	idleTimeout    = 30 * time.Second
)

// apiHandler serves a call. If it returns an error it has not written a response, and
// writeError writes one.
type apiHandler func(w http.ResponseWriter, req *http.Request) error

// Handler returns the replica's HTTP interface: the discovery protocol's list and watch, the
// registry API, health and metrics.
func (r *Replica) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+registry.ListPath, r.serveList)
	mux.HandleFunc("GET /health/ready", r.serveReady)
	mux.HandleFunc("GET /metrics", r.serveMetrics)

	api := func(method, path string, handler http.HandlerFunc) {
		mux.HandleFunc(method+" "+registry.APIPath+path, handler)
	}
	api("GET", "instances", r.limited(r.serveRegistrations))
	api("PUT", "instances/{host}", r.limited(r.serveRegister))
	api("POST", "instances/{host}/renew", r.limited(r.serveRenew))
	api("DELETE", "instances/{host}", r.limited(r.serveRemove))
	api("POST", "marks", r.limited(r.serveMark))

	api("GET", "records", r.limited(r.serveRecordKeys))
	api("GET", "records/{key}", r.limited(r.serveRecord))
	api("PUT", "records/{key}", r.limited(r.servePutRecord))
	api("DELETE", "records/{key}", r.limited(r.serveDeleteRecord))

	api("GET", "leases", r.longPoll(r.serveLeases))
	api("POST", "leases/{name}/acquire", r.limited(r.serveAcquire))
	api("POST", "leases/{name}/release", r.limited(r.serveRelease))
	api("POST", "leases/{name}/ask", r.limited(r.serveYieldRequest))
	api("POST", "renewals", r.limited(r.serveRenewals))

	api("GET", "policy", r.callOrLongPoll(r.servePolicyStatus))
	api("GET", "policy/view", r.callOrLongPoll(r.servePolicyView))
	api("POST", "policy", r.limited(r.servePolicyStep))

	api("GET", "status", r.fromPeer(r.limited(r.serveStatus)))
	api("GET", "backup", r.limited(r.serveBackup))
	api("POST", "restore", r.limited(r.serveRestore))
	api("PUT", "members/{id}", r.limited(r.serveAddReplica))
	api("DELETE", "members/{id}", r.limited(r.serveRemoveReplica))
	api("GET", "term", r.fromPeer(r.serveTerm))
	api("GET", "commit", r.fromPeer(r.serveCommit))
	mux.HandleFunc(registry.APIPath+membership.ViewPath, r.serveMembership)
	return mux
}

// HTTPServer returns a server for Handler with limits on the time and the memory that a
// caller may use.
func (r *Replica) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           r.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       callTimeout,
		WriteTimeout:      callTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

// inputLimits returns the limits on the requests of HTTPServer.
func (r *Replica) inputLimits() httpinput.Options {
	return httpinput.Options{
		MaxConns: r.maxConnections, HeadTimeout: headerTimeout, RequestTimeout: callTimeout,
		Memory: httpinput.NewMemory(httpinput.DefaultBytes, httpinput.Pacing(0)),
	}
}

// limited returns a handler whose calls are subject to the call limiter.
func (r *Replica) limited(handler apiHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if err := r.runAdmitted(req, func() error { return handler(w, req) }); err != nil {
			r.writeError(w, req, err)
		}
	}
}

// runAdmitted runs a call once the call limiter admits it, or returns errBusy.
func (r *Replica) runAdmitted(req *http.Request, call func() error) error {
	ctx, cancel := context.WithTimeout(req.Context(), queueTimeout)
	defer cancel()
	if err := r.limiter.acquire(ctx); err != nil {
		return errBusy
	}
	defer r.limiter.release()
	return call()
}

func (r *Replica) serveReady(w http.ResponseWriter, req *http.Request) {
	if !r.ready.Load() {
		r.writeError(w, req, errNotReady)
	}
}

// decodeBody decodes a call's JSON body. Unknown keys and trailing data are errors.
func decodeBody(w http.ResponseWriter, req *http.Request, into any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		if _, more := d.Token(); more != io.EOF {
			err = errors.New("something follows the object")
		}
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return statusError{http.StatusRequestEntityTooLarge, fmt.Errorf("a body of more than %d bytes", maxBodyBytes)}
	}
	return badRequest("the body cannot be read: %v", err)
}

// queryUint parses a numeric query parameter; it returns 0 if the parameter is absent.
func queryUint(req *http.Request, name string) (uint64, error) {
	text := req.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 53)
	if err != nil {
		return 0, badRequest("%s is %.32q, it must be a whole number", name, text)
	}
	return n, nil
}

// queryIfVersion parses the query parameter if_version; it returns nil if the parameter is absent.
func queryIfVersion(req *http.Request) (*uint64, error) {
	text := req.URL.Query().Get("if_version")
	if text == "" {
		return nil, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, badRequest("if_version is %.32q, it must be a version", text)
	}
	return &version, nil
}

// writeHeaders sets the headers of a successful response; freshness is the value of registry.ReadHeader.
func writeHeaders(w http.ResponseWriter, freshness string) {
	w.Header().Set(registry.ReadHeader, freshness)
	w.Header().Set("Content-Type", "application/json")
}

// writeResponse writes a successful response with a JSON body.
func writeResponse(w http.ResponseWriter, freshness string, v any) {
	writeHeaders(w, freshness)
	writeJSON(w, v)
}

func writeJSON(w io.Writer, v any) {
	if err := json.NewEncoder(w).Encode(v); err != nil {
		slog.Debug("registry: response not written", "err", err) // the caller has disconnected
	}
}
