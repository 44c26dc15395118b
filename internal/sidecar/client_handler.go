package sidecar

import (
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"barleywick/internal/membership"
	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/overloadreporter"
	"barleywick/internal/sidecar/policyfollower"
)

// A client has to get an answer within 3 s of connecting, whatever it sends, and connections are few.
const (
	readHeaderTimeout  = 2 * time.Second
	readRequestTimeout = 2500 * time.Millisecond // header and body
	idleTimeout        = 2 * time.Second         // between requests: a client needs the connections back that it leaves idle
	writeGrace         = time.Second             // from the client's deadline on
	lingerTimeout      = 250 * time.Millisecond  // of a lingering close
	// localResponseTimeout is for a response of the sidecar's own, such as one to a health check. It
	// counts from the header and leaves time for the body. Without it a client that sends requests and
	// reads no response would hold its connection for ever.
	localResponseTimeout = readRequestTimeout + writeGrace
)

const maxHeaderBytes = 16 << 10

// healthPrefix is the path below which the sidecar answers itself.
const healthPrefix = "/health/"

// clientHandler serves the requests of the application.
type clientHandler struct {
	loop             *eventLoop
	classIndex       map[string]int
	tenantIndex      map[string]int // empty: there is one tenant, which requests need not name
	listener         *limitedListener
	shutdown         *gracefulShutdown
	policyFollower   *policyfollower.Follower   // nil: no fleet policy is followed
	overloadReporter *overloadreporter.Reporter // nil: no overload advice is taken
	member           FleetMember                // nil: the sidecar is not a member of the fleet
}

func newClientHandler(c *config.Config, l *eventLoop, shutdown *gracefulShutdown) *clientHandler {
	return &clientHandler{
		loop: l, classIndex: indexOf(c.Classes), tenantIndex: indexOf(c.Tenants), listener: shutdown.listener, shutdown: shutdown,
	}
}

// indexOf maps each name to its index.
func indexOf(names []string) map[string]int {
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}

// newServer returns the HTTP server of the client side. It has no ReadTimeout, which would also end
// net/http's watch for clients that leave, as if they had left. The WriteTimeout begins anew with each
// header; ServeHTTP sets another deadline for a request that goes to a server.
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

// ServeHTTP gives each request exactly one response.
func (s *clientHandler) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	c := hr.Context().Value(connKey{}).(*clientConn)
	status := framingStatus(hr, c)
	s.listener.headerRead(c)
	if status != 0 {
		rejectRequest(w, hr, status)
		return
	}
	if s.serveHealth(w, hr) {
		return
	}
	c.requests++
	r, status := s.readRequest(w, hr, c)
	if r == nil {
		rejectRequest(w, hr, status)
		return
	}
	if c.ClosedByClient() { // nobody waits, or only for the response
		rejectRequest(w, hr, http.StatusServiceUnavailable)
		return
	}
	if !s.listener.beginRequest(c) {
		panic(http.ErrAbortHandler) // closed meanwhile, and what was read of the request refused
	}
	s.forward(w, hr, r)
}

// forward hands a request to the event loop and writes its response.
func (s *clientHandler) forward(w http.ResponseWriter, hr *http.Request, r *request) {
	s.loop.post(requestArrived{r}) // fails only when the program ends because of an error
	var resp response
	select {
	case resp = <-r.result:
	case <-hr.Context().Done():
		resp = s.abandon(r)
		w.Header().Set("Connection", "close")
	}
	// A client that has not read the response by then has given up.
	http.NewResponseController(w).SetWriteDeadline(r.clientDeadline.Add(writeGrace))
	s.writeResponse(w, resp)
	s.shutdown.gate.CheckAnswered(r.processDeadline, time.Now(), r.ID)
}

// abandon gives up a request whose client has closed its side. The client may still read: it gets the
// response if there is one by now, and otherwise 502, which promises nothing about the effect.
func (s *clientHandler) abandon(r *request) response {
	select {
	case resp := <-r.result:
		return resp
	default:
		s.loop.post(clientDisconnected{r})
		return response{status: http.StatusBadGateway}
	}
}

// serveHealth answers a request to the sidecar itself, and reports whether it was one.
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

// phase returns the phase of the sidecar's life.
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
