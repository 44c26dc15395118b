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

// load is a constant load on sidecars, with the fate of every request.
type load struct {
	stop    context.CancelFunc
	clients sync.WaitGroup
	sent    atomic.Int64

	mu     sync.Mutex
	served map[string]bool
	other  map[string]string // id: what it got instead
	gates  map[*sidecarProcess]*sync.RWMutex
}

var methods = map[string]string{"read": http.MethodGet, "keyed": http.MethodPost, "once": http.MethodPost}

// startLoad lets clients of each sidecar ask one request after the other.
func startLoad(t testing.TB, clients int, sidecars ...*sidecarProcess) *load {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{stop: cancel, served: make(map[string]bool), other: make(map[string]string), gates: make(map[*sidecarProcess]*sync.RWMutex)}
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
					gate := l.gates[s].RUnlock
					got := askOnce(c, s.addr, id, class, gate)
					l.mu.Lock()
					if got == "done "+id {
						l.served[id] = true
					} else {
						l.other[id] = got
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

// askOnce sends one request as a client does: a request on a kept connection that
// proves to be closed is sent once more on a new one, as the protocol says. sent is
// called when it has been written.
func askOnce(c *http.Client, addr, id, class string, sent func()) string {
	written := sync.OnceFunc(sent)
	defer written()
	got, reused, err := try(c, addr, id, class, written)
	if err != nil && reused {
		c.CloseIdleConnections()
		got, _, err = try(c, addr, id, class, written)
	}
	if err != nil {
		return err.Error()
	}
	return got
}

// try sends a request once, and says whether it was on a kept connection.
func try(c *http.Client, addr, id, class string, written func()) (got string, reused bool, err error) {
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { reused = i.Reused },
		WroteRequest: func(httptrace.WroteRequestInfo) { written() },
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
		return "", false, err // an answer had begun
	}
	if resp.StatusCode != http.StatusOK {
		return strconv.Itoa(resp.StatusCode), false, nil
	}
	return string(text), false, nil
}

// pause lets a sidecar's clients send nothing more until resume; what they have
// sent goes on. A client and its sidecar end together, so between a sidecar's end and
// its return there is nobody who asks.
func (l *load) pause(s *sidecarProcess)  { l.gates[s].Lock() }
func (l *load) resume(s *sidecarProcess) { l.gates[s].Unlock() }

// end stops the load and waits for the last answer.
func (l *load) end() {
	l.stop()
	l.clients.Wait()
}

// await lets so many more requests be sent.
func (l *load) await(t testing.TB, more int64) {
	t.Helper()
	until := l.sent.Load() + more
	eventually(t, "the load goes on", func() bool { return l.sent.Load() >= until })
}

// account checks the fate of every request: each sent got one answer, each answer
// was made for it, and none that must not run twice did.
func (l *load) account(t testing.TB, servers []*booking) (served, refused, lost int) {
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
	if n := len(l.served) + len(l.other); n != int(l.sent.Load()) {
		t.Errorf("%d requests were sent and %d ended", l.sent.Load(), n)
	}
	for id := range l.served {
		if ran[id] == 0 {
			t.Errorf("%s was served and never ran", id)
		}
	}
	for id, n := range ran {
		if strings.HasSuffix(id, "-once") && n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	for id, got := range l.other {
		if got == "503" || got == "429" {
			refused++
			if strings.HasSuffix(id, "-once") && ran[id] > 0 {
				t.Errorf("%s was refused and had run", id)
			}
			continue
		}
		lost++
		t.Logf("%s: %s", id, got)
	}
	return len(l.served), refused, lost
}
