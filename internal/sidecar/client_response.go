package sidecar

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"barleywick/internal/sidecar/httpmessage"
	"barleywick/internal/sidecar/upstream"
)

// response is what the event loop answers a request with.
type response struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration      // for refusals
	upstream   *upstream.Response // holds the memory of body; nil: there is none to release
}

// release releases the memory of the response once it was written, or is not needed.
func (r response) release() { r.upstream.Release() }

func (s *clientHandler) writeResponse(w http.ResponseWriter, resp response, c *clientConn) {
	h := w.Header()
	if resp.header != nil {
		removeHopByHop(resp.header)
		delete(resp.header, "Server-Load")
		for name, v := range resp.header {
			h[name] = v
		}
		if _, ok := h["Content-Type"]; !ok {
			h["Content-Type"] = nil // otherwise net/http guesses it from the body
		}
	}
	if resp.retryAfter > 0 {
		h.Set("Retry-After", httpmessage.FormatSeconds(resp.retryAfter))
	}
	if s.listener.closesAfterResponse(c) {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	w.WriteHeader(resp.status)
	w.Write(resp.body)
}

// rejectRequest answers a request that is not forwarded. If its body may be unread, the connection must be closed
// by abortUnread: the body may have any size or never arrive.
func rejectRequest(w http.ResponseWriter, status int) {
	text := http.StatusText(status)
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	io.WriteString(w, text)
	http.NewResponseController(w).Flush()
}

// abortUnread makes net/http close the connection of a request that was answered, without reading the rest of its
// body. Close reads part of that, as the client could lose the response otherwise, but without net/http's buffers.
func abortUnread(w http.ResponseWriter, hr *http.Request) {
	if hr.ContentLength != 0 {
		http.NewResponseController(w).SetReadDeadline(time.Now())
		panic(http.ErrAbortHandler)
	}
}

// hopByHopFields are the fields that apply to a single connection, besides those that Connection names.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHop removes the hop-by-hop fields from a header.
func removeHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		delete(h, name)
	}
}
