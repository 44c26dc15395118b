package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"barleywick/internal/httpinput"
	"barleywick/internal/sidecar/httpmessage"
	"barleywick/internal/sidecar/upstream"
	"barleywick/policy"
)

const (
	maxBody           = httpinput.MaxBody // bytes of a request body
	maxRequestIDBytes = 256
	maxTimeout        = time.Hour
	// responseMargin is how long before the client's timeout its response is due. The timeout began when
	// the client sent the request, not when this process read it.
	responseMargin = 5 * time.Millisecond
)

// framingStatus returns the status for a request whose end cannot be determined reliably, or 0. The body
// of such a request may hide another request (request smuggling), so no part of it is forwarded.
func framingStatus(hr *http.Request, c *clientConn) int {
	switch {
	case !hr.ProtoAtLeast(1, 1): // net/http drops a Transfer-Encoding there silently
		return http.StatusHTTPVersionNotSupported
	case len(hr.TransferEncoding) > 0 && (strings.HasPrefix(hr.URL.Path, healthPrefix) || !c.chunkedWithoutLength(hr)):
		return http.StatusLengthRequired
	case hr.ContentLength > maxBody:
		return http.StatusRequestEntityTooLarge
	}
	return 0
}

// requestMeta holds the header fields of a request that the sidecar uses.
type requestMeta struct {
	id          string
	class       int
	tenant      int
	timeout     time.Duration
	idempotency policy.Idempotency
}

// readRequest reads a request, or returns the status to reject it with. It reads the body only if the
// header is valid.
func (s *clientHandler) readRequest(w http.ResponseWriter, hr *http.Request, c *clientConn) (r *request, status int) {
	startedAt := time.Now()
	h := hr.Header
	meta, status := s.checkHead(hr)
	if status != 0 {
		return nil, status
	}
	body, err := s.readBody(w, hr, c, c.bodyDeadline(startedAt))
	switch {
	case errors.Is(err, errNoMemory):
		return nil, http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case errors.Is(err, httpmessage.ErrTooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil || meta.idempotency == policy.Idempotent && len(body) > 0:
		return nil, http.StatusBadRequest
	}
	arrivedAt := c.requestArrivedAt()
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // otherwise net/http adds its own
	}
	return &request{
		Request: upstream.Request{ID: meta.id, Method: hr.Method, URL: hr.URL, Host: hr.Host, Header: h, Body: body},
		class:   meta.class, tenant: meta.tenant,
		clientRetry:     h.Get("Client-Retry") == "1",
		expectedWork:    parseWorkHint(h),
		affinityKey:     affinityKeyHash(h),
		conn:            c,
		receivedAt:      arrivedAt,
		clientDeadline:  arrivedAt.Add(max(0, meta.timeout-responseMargin)),
		processDeadline: s.shutdown.gate.DeadlineFor(arrivedAt),
		result:          make(chan response, 1),
	}, 0
}

// checkHead checks a request's head, and returns the status to reject the request with, or 0.
func (s *clientHandler) checkHead(hr *http.Request) (meta requestMeta, status int) {
	removeHopByHop(hr.Header) // before any field is read: Connection may name a required field as hop-by-hop
	meta, ok := s.parseMeta(hr)
	if !ok {
		return meta, http.StatusBadRequest
	}
	if status := methodStatus(hr, meta.idempotency); status != 0 {
		return meta, status
	}
	if s.loop.requests.ids.inUse(meta.id) {
		return meta, http.StatusConflict
	}
	return meta, 0
}

// rejectsHead reports whether a request with this head will be rejected whatever its body is.
func (s *clientHandler) rejectsHead(head []byte) bool {
	hr, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || strings.HasPrefix(hr.URL.Path, healthPrefix) {
		return true // net/http responds to what it cannot read, and the sidecar's own paths have no body
	}
	_, status := s.checkHead(hr)
	return status != 0
}

// parseMeta parses the header fields that the sidecar uses, and reports whether they are valid.
func (s *clientHandler) parseMeta(hr *http.Request) (meta requestMeta, ok bool) {
	h := hr.Header
	// A target that is not a path cannot be forwarded unchanged.
	if hr.Host == "" || !strings.HasPrefix(hr.URL.Path, "/") {
		return meta, false
	}
	if meta.id, ok = singleValue(h, "Request-Id"); !ok || len(meta.id) > maxRequestIDBytes || strings.ContainsFunc(meta.id, isUnprintable) {
		return meta, false
	}
	className, ok := singleValue(h, "Request-Class")
	if !ok {
		return meta, false
	}
	if meta.class, ok = s.classIndex[className]; !ok {
		return meta, false
	}
	if len(s.tenantIndex) > 0 {
		tenantName, _ := singleValue(h, "Tenant")
		if meta.tenant, ok = s.tenantIndex[tenantName]; !ok {
			return meta, false
		}
	}
	timeoutText, ok := singleValue(h, "Request-Timeout")
	if !ok {
		return meta, false
	}
	meta.timeout, ok = parseTimeout(timeoutText)
	meta.idempotency = s.loop.config.Policy.Classes[meta.class].Idempotency
	return meta, ok
}

// methodStatus returns the status for a request that does not match its class, or 0. The class determines
// the method, and whether an Idempotency-Key is required: without a key no server could recognise a
// repeated request.
func methodStatus(hr *http.Request, idempotency policy.Idempotency) int {
	method := http.MethodPost
	if idempotency == policy.Idempotent {
		method = http.MethodGet
	}
	if hr.Method != method {
		return http.StatusMethodNotAllowed
	}
	_, hasKey := singleValue(hr.Header, "Idempotency-Key")
	if hasKey != (idempotency == policy.IdempotentByKey) || len(hr.Header["Idempotency-Key"]) > 1 {
		return http.StatusBadRequest
	}
	if idempotency == policy.Idempotent && hr.ContentLength > 0 {
		return http.StatusBadRequest
	}
	return 0
}

// singleValue returns the value of a header field that must occur exactly once and must not be empty.
func singleValue(h http.Header, key string) (string, bool) {
	v := h[key]
	if len(v) != 1 || v[0] == "" {
		return "", false
	}
	return v[0], true
}

func isUnprintable(r rune) bool { return r <= ' ' || r > '~' }

// parseTimeout parses a number of seconds in plain decimal notation.
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

// parseWorkHint parses the expected work in microseconds. It returns 0 if there is no valid hint.
func parseWorkHint(h http.Header) time.Duration {
	us, err := strconv.ParseFloat(h.Get("Work-Hint"), 64)
	if err != nil || !(us > 0) {
		return 0
	}
	return time.Duration(min(us, float64(maxTimeout.Microseconds())) * float64(time.Microsecond))
}

// affinityKeyHash returns a hash of the affinity key that is the same at every sidecar, or 0 without a key.
func affinityKeyHash(h http.Header) uint64 {
	text := h.Get("Affinity-Key")
	if text == "" {
		return 0
	}
	sum := fnv.New64a()
	io.WriteString(sum, text)
	return max(sum.Sum64(), 1)
}

// errNoMemory is returned for a body for which there is no memory, or not any more.
var errNoMemory = errors.New("the memory for request bodies is used up")

// readBody reads a body that has a Content-Length or is chunked. Memory for a long body is reserved first if the
// connection's input has not done that. It is released when the request ends.
func (s *clientHandler) readBody(w http.ResponseWriter, hr *http.Request, c *clientConn, deadline time.Time) ([]byte, error) {
	if hr.ContentLength == 0 {
		return nil, nil
	}
	if c.input != nil && !c.reserveBody(hr.ContentLength) {
		return nil, errNoMemory
	}
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(deadline)
	var body []byte
	var err error
	if hr.ContentLength > 0 {
		body, err = httpmessage.ReadExactly(hr.Body, hr.ContentLength)
	} else {
		body, err = httpmessage.ReadToEnd(hr.Body, maxBody)
	}
	if c.input != nil && !c.input.CompleteBody() {
		return nil, errNoMemory
	}
	if err != nil {
		return nil, err
	}
	rc.SetReadDeadline(time.Time{})
	return body, nil
}
