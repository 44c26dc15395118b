//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Classes of requests.
const (
	holdSlot     = "hold-slot"
	confirmVisit = "confirm-visit"
)

// application is a stand-in for the calling application beside a sidecar.
type application struct {
	h    *harness
	addr string // of its sidecar
	http *http.Client
}

var lastID atomic.Uint64

func (h *harness) application(addr string) *application {
	return &application{h: h, addr: addr, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// answer is what a client got for a request.
type answer struct {
	id     string
	status int // 0: none
	body   string
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("%s: no answer after %v: %v", a.id, a.took.Round(time.Millisecond), a.err)
	}
	return fmt.Sprintf("%s: %d after %v, %q", a.id, a.status, a.took.Round(time.Millisecond), a.body)
}

// served reports whether the answer is the one made for the request.
func (a answer) served() bool { return a.status == http.StatusOK && a.body == bodyOf(a.id) }

// send sends a request and waits for its answer. If its connection is closed without a byte of an answer, it is sent once
// more on a new connection, as the protocol has it where a close crosses a request.
func (a *application) send(class, tenant string, work, timeout time.Duration) answer {
	id := fmt.Sprintf("q%06d", lastID.Add(1))
	a.h.note("%s: sent to %s, class %s, tenant %s", id, a.addr, class, tenant)
	began := time.Now()
	reused := false
	got := a.try(a.http, id, class, tenant, work, timeout, &reused)
	if got.status == 0 && reused && (errors.Is(got.err, io.EOF) || errors.Is(got.err, syscall.ECONNRESET)) {
		a.h.note("%s: its connection was closed, sent once more", id)
		fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
		got = a.try(fresh, id, class, tenant, work, timeout-time.Since(began), &reused)
	}
	got.took = time.Since(began)
	a.h.note("%s", got)
	return got
}

// try sends a request once. It sets reused if its connection had carried another request.
func (a *application) try(client *http.Client, id, class, tenant string, work, timeout time.Duration, reused *bool) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout+600*time.Millisecond)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { *reused = info.Reused }})
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+a.addr+"/api", strings.NewReader("a visit"))
	a.h.must(err, "request")
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Class", class)
	if class == holdSlot {
		req.Header.Set("Idempotency-Key", "key-"+id)
	}
	req.Header.Set("Tenant", tenant)
	req.Header.Set("Request-Timeout", fmt.Sprintf("%.3f", timeout.Seconds()))
	req.Header.Set(workHeader, fmt.Sprint(work.Microseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{id: id, err: err}
	}
	return answer{id: id, status: resp.StatusCode, body: string(text)}
}
