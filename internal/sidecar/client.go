package sidecar

import (
	"errors"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"barleywick/internal/sidecar/config"

	"barleywick/internal/membership"
	"barleywick/internal/sidecar/httpmessage"
	"barleywick/policy"
)

const (
	// responseMargin is kept to the moment a client gives up, which counts from
	// when it sent the request and not from when this process came to read it.
	responseMargin    = 5 * time.Millisecond
	maxTimeout        = time.Hour
	maxRequestIDBytes = 256 // bytes of a Request-Id
	maxHeaderBytes    = 16 << 10

	// Connections are few, and a client is owed a word within 3 s of connecting.
	readHeaderTimeout  = 2 * time.Second
	readRequestTimeout = 2500 * time.Millisecond // header and body
	idleTimeout        = 2 * time.Second         // between requests; clients need those back that they leave idle
	writeGrace         = time.Second             // the time at which the client gives up
	lingerTimeout      = 250 * time.Millisecond  // for the rest of a body that is not taken, and what comes behind a last answer
	// localResponseTimeout is for an answer of our own, such as one to a health check, to be
	// read: a client that sends on and reads none would hold its connection for
	// ever. It is counted from the header and leaves room for the body.
	localResponseTimeout = readRequestTimeout + writeGrace
)

// clientHandler is the side towards the application.
type clientHandler struct {
	loop        *eventLoop
	classIndex  map[string]int
	tenantIndex map[string]int
	listener    *limitedListener
	shutdown    *gracefulShutdown
	governor    *policyFollower   // nil: there is no policy of the fleet's
	adviser     *overloadReporter // nil: there is no word of the fleet's on an overload
	member      FleetMember       // nil: this sidecar is no member of the fleet
}

func newClientHandler(c *config.Config, l *eventLoop, ending *gracefulShutdown) *clientHandler {
	s := &clientHandler{loop: l, classIndex: make(map[string]int), tenantIndex: make(map[string]int), listener: ending.listener, shutdown: ending}
	for i, name := range c.Classes {
		s.classIndex[name] = i
	}
	for i, name := range c.Tenants {
		s.tenantIndex[name] = i
	}
	return s
}

func (s *clientHandler) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	c := hr.Context().Value(connKey{}).(*clientConn)
	status := framingStatus(hr, c)
	s.listener.headerRead(c)
	if status != 0 {
		rejectRequest(w, hr, status)
		return
	}
	if hr.URL.Path == "/health/ready" {
		p := s.phase()
		status := http.StatusOK
		if p != phaseServing {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		io.WriteString(w, p.String()+"\n")
		return
	}
	if hr.URL.Path == "/health/policy" && s.governor != nil {
		io.WriteString(w, s.governor.state().String()+"\n")
		return
	}
	if hr.URL.Path == "/health/overload" && s.adviser != nil {
		io.WriteString(w, s.adviser.state().String()+"\n")
		return
	}
	if hr.URL.Path == "/health/"+membership.ViewPath && s.member != nil {
		s.member.ServeHTTP(w, hr)
		return
	}
	c.requests++
	r, status := s.readRequest(w, hr, c)
	if r == nil {
		rejectRequest(w, hr, status)
		return
	}
	if c.ClosedByClient() { // nobody waits for it, or only for its answer
		rejectRequest(w, hr, http.StatusServiceUnavailable)
		return
	}
	if !s.listener.beginRequest(c) {
		panic(http.ErrAbortHandler) // it was closed as idle, and what was read of it refused
	}
	s.loop.post(requestArrived{r}) // which fails only where the program ends for an error
	var a response
	select {
	case a = <-r.result:
	case <-hr.Context().Done():
		a = s.abandon(r)
		w.Header().Set("Connection", "close")
	}
	// A client that does not read by then has given up; its answer is not held for it.
	http.NewResponseController(w).SetWriteDeadline(r.clientDeadline.Add(writeGrace))
	s.writeResponse(w, a)
	s.shutdown.gate.CheckAnswered(r.processDeadline, time.Now(), r.externalID)
}

// abandon gives a request up whose client has ended its side. That may still read: it gets the answer
// if there is one by now, or else no promise about the effect.
func (s *clientHandler) abandon(r *request) response {
	select {
	case a := <-r.result:
		return a
	default:
		s.loop.post(clientDisconnected{r})
		return response{status: http.StatusBadGateway}
	}
}

// phase is how far the sidecar is in its life.
func (s *clientHandler) phase() phase {
	if p := s.shutdown.phase(); p != phaseServing {
		return p
	}
	if !s.loop.ready.Load() {
		return phaseStarting
	}
	if !s.loop.admitting() {
		return phaseWithoutPolicy
	}
	return phaseServing
}

// rejectRequest answers a request that is not taken and ends its connection: what else
// waits there may be its body. That is not read before the answer, as it may be
// of any size or never come. A connection that is closed with bytes unread is
// reset, and the client may lose the answer: some of the rest is read after it.
func rejectRequest(w http.ResponseWriter, hr *http.Request, status int) {
	text := http.StatusText(status)
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	io.WriteString(w, text)
	rc := http.NewResponseController(w)
	rc.Flush()
	rc.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, hr.Body, maxBody)
}

// framingStatus names the status for a request whose end is not certain, or 0: another
// request may hide in its body, and none of it may go on.
func framingStatus(hr *http.Request, c *clientConn) int {
	switch {
	case !hr.ProtoAtLeast(1, 1): // there net/http drops a Transfer-Encoding in silence
		return http.StatusHTTPVersionNotSupported
	case len(hr.TransferEncoding) > 0 && (strings.HasPrefix(hr.URL.Path, "/health/") || !c.chunkedWithoutLength(hr)):
		return http.StatusLengthRequired
	case hr.ContentLength > maxBody:
		return http.StatusRequestEntityTooLarge
	}
	return 0
}

// readRequest takes a request in, or names the status that it is rejected with. It
// reads no body before all else is known to be right.
func (s *clientHandler) readRequest(w http.ResponseWriter, hr *http.Request, c *clientConn) (*request, int) {
	const bad = http.StatusBadRequest
	arrival := time.Now()
	h := hr.Header
	removeHopByHop(h) // first of all: a field that is needed below may not go on if it is named as a hop's own
	name, ok1 := singleValue(h, "Request-Id")
	className, ok2 := singleValue(h, "Request-Class")
	timeoutText, ok3 := singleValue(h, "Request-Timeout")
	class, ok4 := s.classIndex[className]
	// A target may be no path, and so cannot go on unchanged.
	if hr.Host == "" || !strings.HasPrefix(hr.URL.Path, "/") {
		return nil, bad
	}
	if !ok1 || !ok2 || !ok3 || !ok4 || len(name) > maxRequestIDBytes || strings.ContainsFunc(name, isUnprintable) {
		return nil, bad
	}
	tenant := 0
	if len(s.tenantIndex) > 0 {
		tenantName, ok := singleValue(h, "Tenant")
		if tenant, ok = s.tenantIndex[tenantName]; !ok {
			return nil, bad
		}
	}
	timeout, ok := parseTimeout(timeoutText)
	if !ok {
		return nil, bad
	}
	// The method and the key follow from the class. A keyed request without its
	// key could not be recognised as a repeat.
	method := http.MethodPost
	effect := s.loop.config.Policy.Classes[class].Idempotency
	if effect == policy.Idempotent {
		method = http.MethodGet
	}
	if hr.Method != method {
		return nil, http.StatusMethodNotAllowed
	}
	if _, keyed := singleValue(h, "Idempotency-Key"); keyed != (effect == policy.IdempotentByKey) || len(h["Idempotency-Key"]) > 1 {
		return nil, bad
	}
	if effect == policy.Idempotent && hr.ContentLength > 0 {
		return nil, bad
	}
	if s.loop.requestNames.isInUse(name) {
		return nil, http.StatusConflict
	}
	body, err := readRequestBody(w, hr, c.bodyDeadline(arrival))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case errors.Is(err, httpmessage.ErrTooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil || effect == policy.Idempotent && len(body) > 0:
		return nil, bad
	}
	came := c.requestArrivedAt()
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // none of our own either
	}
	return &request{
		externalID: name, class: class, tenant: tenant, clientRetry: h.Get("Client-Retry") == "1", expectedWork: parseWorkHint(h), affinityKey: affinityKeyHash(h),
		conn:            c,
		receivedAt:      came,
		clientDeadline:  came.Add(max(0, timeout-responseMargin)),
		processDeadline: s.shutdown.gate.DeadlineFor(came),
		method:          method, url: hr.URL, host: hr.Host, header: h, body: body,
		result: make(chan response, 1),
	}, 0
}

// singleValue returns a header field that must be there exactly once.
func singleValue(h http.Header, key string) (string, bool) {
	v := h[key]
	if len(v) != 1 || v[0] == "" {
		return "", false
	}
	return v[0], true
}

func isUnprintable(r rune) bool { return r <= ' ' || r > '~' }

// parseTimeout reads seconds in plain decimals.
func parseTimeout(s string) (time.Duration, bool) {
	if strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || !(f > 0) || math.IsInf(f, 0) {
		return 0, false
	}
	return time.Duration(min(f, maxTimeout.Seconds()) * float64(time.Second)), true
}

// parseWorkHint reads a guess at the work, in microseconds; what is no such guess is none.
func parseWorkHint(h http.Header) time.Duration {
	us, err := strconv.ParseFloat(h.Get("Work-Hint"), 64)
	if err != nil || !(us > 0) {
		return 0
	}
	return time.Duration(min(us, float64(maxTimeout.Microseconds())) * float64(time.Microsecond))
}

// affinityKeyHash is the same at every sidecar for what a request concerns; 0 where that is not said.
func affinityKeyHash(h http.Header) uint64 {
	text := h.Get("Affinity-Key")
	if text == "" {
		return 0
	}
	sum := fnv.New64a()
	io.WriteString(sum, text)
	return max(sum.Sum64(), 1)
}

// readRequestBody reads a body whose end is known.
func readRequestBody(w http.ResponseWriter, hr *http.Request, by time.Time) ([]byte, error) {
	if hr.ContentLength == 0 {
		return nil, nil
	}
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(by)
	var body []byte
	var err error
	if hr.ContentLength > 0 {
		body, err = httpmessage.ReadExactly(hr.Body, hr.ContentLength)
	} else {
		body, err = httpmessage.ReadToEnd(hr.Body, maxBody)
	}
	if err != nil {
		return nil, err
	}
	rc.SetReadDeadline(time.Time{})
	return body, nil
}

// removeHopByHop takes the fields out of a header that concern one connection only.
func removeHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect",
	} {
		delete(h, name)
	}
}

func (s *clientHandler) writeResponse(w http.ResponseWriter, a response) {
	h := w.Header()
	if a.header != nil {
		removeHopByHop(a.header)
		delete(a.header, "Server-Load")
		for name, v := range a.header {
			h[name] = v
		}
		if _, ok := h["Content-Type"]; !ok {
			h["Content-Type"] = nil // not guessed from the body
		}
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", httpmessage.FormatSeconds(a.retryAfter))
	}
	if s.listener.isDraining() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	w.Write(a.body)
}

// newServer makes the HTTP newServer of the client side. It has no ReadTimeout: that
// would also end the watch for clients that leave, as if they had left. The
// WriteTimeout begins anew with each header; a request that is taken gets its own.
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
