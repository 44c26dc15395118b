//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
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

// send sends a request and waits for its answer.
func (a *application) send(class, tenant string, work, timeout time.Duration) answer {
	id := fmt.Sprintf("q%06d", lastID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), timeout+600*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+a.addr+"/api", strings.NewReader("a visit"))
	a.h.must(err, "request")
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Class", class)
	if class == holdSlot {
		req.Header.Set("Idempotency-Key", "key-"+id)
	}
	if tenant != "" {
		req.Header.Set("Tenant", tenant)
	}
	req.Header.Set("Request-Timeout", fmt.Sprintf("%.3f", timeout.Seconds()))
	req.Header.Set(workHeader, fmt.Sprint(work.Microseconds()))
	began := time.Now()
	a.h.note("%s: sent to %s, class %s, tenant %s", id, a.addr, class, tenant)
	resp, err := a.http.Do(req)
	got := answer{id: id, err: err}
	if err == nil {
		text, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		got.status, got.body, got.err = resp.StatusCode, string(text), readErr
		if readErr != nil {
			got.status = 0
		}
	}
	got.took = time.Since(began)
	a.h.note("%s", got)
	return got
}
