package integration

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// load is a constant load on sidecars, with the result of every request.
type load struct {
	stop    context.CancelFunc
	clients sync.WaitGroup
	sent    atomic.Int64

	mu       sync.Mutex
	served   map[string]bool
	unserved map[string]string // by id: the other responses and errors
	gates    map[*sidecarProcess]*sync.RWMutex
}

var methods = map[string]string{"read": http.MethodGet, "keyed": http.MethodPost, "once": http.MethodPost}

// startLoad starts clients for each sidecar, each of which sends one request after the other.
func startLoad(t testing.TB, clients int, sidecars ...*sidecarProcess) *load {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{stop: cancel, served: make(map[string]bool), unserved: make(map[string]string), gates: make(map[*sidecarProcess]*sync.RWMutex)}
	for _, s := range sidecars {
		l.gates[s] = new(sync.RWMutex)
	}
	for i, s := range sidecars {
		for j := range clients {
			l.clients.Go(func() {
				c := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
				defer c.CloseIdleConnections()
				for n := 0; ctx.Err() == nil; n++ {
					class := []string{"read", "keyed", "once"}[(n+j)%3]
					id := fmt.Sprintf("%d-%d-%d-%s", i, j, n, class)
					l.gates[s].RLock()
					l.sent.Add(1)
					unlock := l.gates[s].RUnlock
					got := sendRequest(c, s.addr, id, class, unlock)
					l.mu.Lock()
					if got == "done "+id {
						l.served[id] = true
					} else {
						l.unserved[id] = got
					}
					l.mu.Unlock()
				}
			})
		}
	}
	t.Cleanup(func() {
		cancel()
		l.clients.Wait()
	})
	return l
}

// sendRequest sends one request as the protocol requires of clients: if a reused connection turns out
// to be closed, the request is resent once on a new one. onWritten is called when it has been written.
func sendRequest(c *http.Client, addr, id, class string, onWritten func()) string {
	written := sync.OnceFunc(onWritten)
	defer written()
	got, reused, err := sendAttempt(c, addr, id, class, written)
	if err != nil && reused {
		c.CloseIdleConnections()
		got, _, err = sendAttempt(c, addr, id, class, written)
	}
	if err != nil {
		return err.Error()
	}
	return got
}

// sendAttempt sends a request once and reports whether the connection was reused.
func sendAttempt(c *http.Client, addr, id, class string, onWritten func()) (got string, reused bool, err error) {
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { reused = i.Reused },
		WroteRequest: func(httptrace.WroteRequestInfo) { onWritten() },
	})
	req, err := http.NewRequestWithContext(ctx, methods[class], "http://"+addr+"/api", nil)
	if err != nil {
		return "", false, err
	}
	req.Header = http.Header{"Request-Id": {id}, "Request-Class": {class}, "Request-Timeout": {"4.5"}}
	if class == "keyed" {
		req.Header.Set("Idempotency-Key", id)
	}
	resp, err := c.Do(req)
	if err != nil {
		return "", reused, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", false, err // the response had begun
	}
	if resp.StatusCode != http.StatusOK {
		return strconv.Itoa(resp.StatusCode), false, nil
	}
	return string(text), false, nil
}

// pause keeps a sidecar's clients from sending new requests until resume; open requests continue.
// Clients stop together with their sidecar, so no client sends while the sidecar is down.
func (l *load) pause(s *sidecarProcess)  { l.gates[s].Lock() }
func (l *load) resume(s *sidecarProcess) { l.gates[s].Unlock() }

// end stops the load and waits for the last response.
func (l *load) end() {
	l.stop()
	l.clients.Wait()
}

// awaitSent waits until the given number of further requests have been sent.
func (l *load) awaitSent(t testing.TB, count int64) {
	t.Helper()
	until := l.sent.Load() + count
	eventually(t, "the load has sent more requests", func() bool { return l.sent.Load() >= until })
}

// checkResults checks the results of all requests: each got exactly one response, each served one ran, and
// no request of the class once ran twice or was refused after it had run.
func (l *load) checkResults(t testing.TB, servers []*bookingServer) (served, refused, lost int) {
	t.Helper()
	ran := make(map[string]int)
	for _, b := range servers {
		b.mu.Lock()
		for id, n := range b.ran {
			ran[id] += n
		}
		b.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.served) + len(l.unserved); n != int(l.sent.Load()) {
		t.Errorf("%d requests were sent, but %d have a result", l.sent.Load(), n)
	}
	for id := range l.served {
		if ran[id] == 0 {
			t.Errorf("%s was served, but never ran", id)
		}
	}
	for id, n := range ran {
		if strings.HasSuffix(id, "-once") && n > 1 {
			t.Errorf("%s ran %d times, want once", id, n)
		}
	}
	for id, got := range l.unserved {
		if got == "503" || got == "429" {
			refused++
			if strings.HasSuffix(id, "-once") && ran[id] > 0 {
				t.Errorf("%s was refused, but had run", id)
			}
			continue
		}
		lost++
		t.Logf("%s: %s", id, got)
	}
	return len(l.served), refused, lost
}
