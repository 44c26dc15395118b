package sidecar

import (
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"barleywick/internal/httpinput"
	"barleywick/internal/membership"
	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/overloadreporter"
	"barleywick/internal/sidecar/policyfollower"
)

// Timeouts of client connections. A client must get a response within 3 s of connecting, whatever it
// sends, and the number of connections is limited.
const (
	readHeaderTimeout  = 2 * time.Second
	readRequestTimeout = 2500 * time.Millisecond // header and body
	idleTimeout        = 2 * time.Second         // between requests: clients that keep idle connections would reach their connection limit
	writeGrace         = time.Second             // after the client's deadline
	lingerTimeout      = 250 * time.Millisecond  // of a lingering close
	// localResponseTimeout applies to responses that the sidecar generates itself, as for a health check.
	// It counts from the header and includes the time for the body. Without it, a client that sends
	// requests and reads no responses would keep its connection forever.
	localResponseTimeout = readRequestTimeout + writeGrace
)

const maxHeaderBytes = httpinput.MaxHead

// healthPrefix is the prefix of the paths that the sidecar serves itself.
const healthPrefix = "/health/"

// clientHandler serves the requests of the application.
type clientHandler struct {
	loop             *eventLoop
	classIndex       map[string]int
	tenantIndex      map[string]int // empty: there is a single tenant, and requests need not name it
	listener         *limitedListener
	shutdown         *gracefulShutdown
	policyFollower   *policyfollower.Follower   // nil: there is no fleet policy
	overloadReporter *overloadreporter.Reporter // nil: overload advice is not used
	member           FleetMember                // nil: the sidecar is not a member of the fleet
}

func newClientHandler(c *config.Config, l *eventLoop, shutdown *gracefulShutdown) *clientHandler {
	s := &clientHandler{
		loop: l, classIndex: indexOf(c.Classes), tenantIndex: indexOf(c.Tenants), listener: shutdown.listener, shutdown: shutdown,
	}
	if memory := s.listener.memory; memory != nil {
		memory.Rejects = s.rejectsHead
	}
	return s
}

// indexOf maps each name to its index.
func indexOf(names []string) map[string]int {
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}

// newServer returns the HTTP server for client connections. It sets no ReadTimeout: that would also expire
// the background read with which net/http detects a client's disconnect, and so report a disconnect. The
// WriteTimeout restarts with each header; ServeHTTP sets another deadline for a request that is forwarded.
func (s *clientHandler) newServer() *http.Server {
	return &http.Server{
		Handler:           s,
		ConnState:         s.listener.connStateChanged,
		ConnContext:       contextWithConn,
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      localResponseTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

// ServeHTTP answers each request with exactly one response.
func (s *clientHandler) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	c := hr.Context().Value(connKey{}).(*clientConn)
	if c.input != nil {
		defer c.input.EndRequest() // also after a panic
	}
	rejected, served := s.serve(w, hr, c)
	if !served {
		c.delayNextRequest()
	}
	if rejected {
		abortUnread(w, hr)
	}
}

// serve answers a request. It reports whether it has rejected the request without reading all of it, and whether a
// booking server has served it.
func (s *clientHandler) serve(w http.ResponseWriter, hr *http.Request, c *clientConn) (rejected, served bool) {
	status := framingStatus(hr, c)
	s.listener.headerRead(c)
	if status != 0 {
		rejectRequest(w, status)
		return true, false
	}
	if s.serveHealth(w, hr) {
		return false, false
	}
	c.requests++
	r, status := s.readRequest(w, hr, c)
	if r == nil {
		rejectRequest(w, status)
		return true, false
	}
	if c.ClosedByClient() { // the client has disconnected, or has closed its sending side and still reads
		rejectRequest(w, http.StatusServiceUnavailable)
		return true, false
	}
	if !s.listener.beginRequest(c) {
		panic(http.ErrAbortHandler) // the connection was closed in the meantime, and the partial request refused
	}
	return false, s.forward(w, hr, r, c) == http.StatusOK
}

// forward passes a request to the event loop, writes its response and returns the response's status.
func (s *clientHandler) forward(w http.ResponseWriter, hr *http.Request, r *request, c *clientConn) (status int) {
	s.loop.post(requestArrived{r}) // fails only if the event loop has ended because of an error
	var resp response
	select {
	case resp = <-r.result:
	case <-hr.Context().Done():
		resp = s.abandonRequest(r)
		w.Header().Set("Connection", "close")
	}
	// A client that has not read the response by then has timed out.
	http.NewResponseController(w).SetWriteDeadline(r.clientDeadline.Add(writeGrace))
	s.writeResponse(w, resp, c)
	resp.release()
	s.shutdown.gate.CheckAnswered(r.processDeadline, time.Now(), r.ID)
	return resp.status
}

// abandonRequest abandons a request whose client has closed its sending side. The client may still read:
// it gets the response if there already is one, and otherwise 502, as the request may have run.
func (s *clientHandler) abandonRequest(r *request) response {
	select {
	case resp := <-r.result:
		return resp
	default:
		s.loop.post(clientDisconnected{r})
		return response{status: http.StatusBadGateway}
	}
}

// serveHealth answers a request for one of the sidecar's own paths, and reports whether it was one.
func (s *clientHandler) serveHealth(w http.ResponseWriter, hr *http.Request) bool {
	endpoint, ok := strings.CutPrefix(hr.URL.Path, healthPrefix)
	switch {
	case !ok:
		return false
	case endpoint == "ready":
		s.serveReady(w)
	case endpoint == "policy" && s.policyFollower != nil:
		io.WriteString(w, s.policyFollower.Status().String()+"\n")
	case endpoint == "overload" && s.overloadReporter != nil:
		io.WriteString(w, s.overloadReporter.Status().String()+"\n")
	case endpoint == membership.ViewPath && s.member != nil:
		s.member.ServeHTTP(w, hr)
	default:
		return false
	}
	return true
}

func (s *clientHandler) serveReady(w http.ResponseWriter) {
	p := s.phase()
	status := http.StatusOK
	if p != phaseServing {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
	io.WriteString(w, p.String()+"\n")
}

// phase returns the current phase of the sidecar.
func (s *clientHandler) phase() phase {
	if p := s.shutdown.phase(); p != phaseServing {
		return p
	}
	if !s.loop.endpointsKnown.Load() {
		return phaseStarting
	}
	if !s.loop.admitting() {
		return phaseWithoutPolicy
	}
	return phaseServing
}
