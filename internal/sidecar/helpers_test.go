package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"barleywick/internal/registry/registrytest"
	"barleywick/internal/sidecar/config"
	"barleywick/internal/sidecar/gate"
	"barleywick/internal/sidecar/sidecartest"
	"barleywick/internal/sidecar/upstream"
	"barleywick/internal/testing/wait"
)

// testSettings has one class for each kind of idempotency, and two tenants.
const testSettings = `{"balancers":1,"caps":{"may_cancel":true,"probes":%v,"most_tries":3,"dial_timeout_ms":250,
	"conn_idle_ms":30000,"max_retry_after_ms":1200,"a_later_key":[null,{"x":1}]},
	"classes":[{"name":"read","semantics":"free","aim_ms":%d,"hard_limit_ms":5000,"worth":1},
		{"name":"keyed","semantics":"guarded","dedup_scope":"all","window_ms":5000,"aim_ms":%[2]d,"hard_limit_ms":5000,"worth":1},
		{"name":"once","semantics":"single_shot","aim_ms":%[2]d,"hard_limit_ms":5000,"worth":1}],
	"discovery":%[3]q,"orgs":[{"name":"acme","share":0.8},{"name":"zeta","share":0.2}],
	"telemetry":{"columns":["failed_ps","busy_reqs"],"how":"pull"},"zones":["a"],"rules":{"cold_from":0.3,"cold_ms":8000,"fall_multiple":2.5}}`

// options are the settings that tests vary in a configuration.
type options struct {
	latencyObjective time.Duration
	probes           bool
	polls            bool
	sockets          int
}

func testConfig(t testing.TB, o options, discovery string, hosts ...string) *config.Config {
	t.Helper()
	if o.latencyObjective == 0 {
		o.latencyObjective = 4 * time.Second
	}
	if o.sockets == 0 {
		o.sockets = 200
	}
	mode := "push"
	if o.polls {
		mode = "ask"
	}
	known := ""
	if len(hosts) > 0 {
		known = `"known":` + registrytest.ListJSON(1, true, hosts...) + ","
	}
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",%s
		"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"settings":%s}`,
		discovery, known, o.sockets, fmt.Sprintf(testSettings, o.probes, o.latencyObjective.Milliseconds(), mode))
	c, err := config.Parse([]byte(text), nil)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// startSidecar runs a sidecar until the test ends. stop begins a graceful shutdown.
func startSidecar(t testing.TB, c *config.Config, opts ...Option) (addr string, stop func(), ended <-chan error) {
	t.Helper()
	return startReloadable(t, c, nil, opts...)
}

// startReloadable is startSidecar for a sidecar that reloads its configuration at each value from reload.
func startReloadable(t testing.TB, c *config.Config, reload <-chan os.Signal, opts ...Option) (addr string, stop func(), ended <-chan error) {
	t.Helper()
	ln := sidecartest.ListenLoopback(t)
	ctx, cancel := context.WithCancel(context.Background())
	var o runOptions
	for _, set := range opts {
		set(&o)
	}
	done := make(chan error, 1)
	stalls := wait.WatchStalls() // the sidecar runs in the test's process
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		done <- serve(ctx, reload, c, o, ln, nil)
	}()
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		stalls.Stop()
		if t.Failed() {
			t.Logf("longest time in which this process was not scheduled: %v", stalls.Longest())
		}
	})
	return ln.Addr().String(), cancel, done
}

// call describes a client's request; zero fields have defaults.
type call struct {
	class   string
	timeout string
	id      string
	body    string
	header  http.Header
}

var methodOfClass = map[string]string{"read": "GET", "keyed": "POST", "once": "POST"}

func (c call) request(t testing.TB, addr string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(methodOfClass[c.class], "http://"+addr+"/api/a%2Fb?q=1&r=%20", strings.NewReader(c.body))
	if err != nil {
		t.Fatal(err)
	}
	if c.timeout == "" {
		c.timeout = "4.5"
	}
	if c.id == "" {
		c.id = t.Name()
	}
	req.Header = http.Header{
		"Request-Id": {c.id}, "Request-Class": {c.class}, "Tenant": {"acme"}, "Request-Timeout": {c.timeout},
	}
	if c.class == "keyed" {
		req.Header.Set("Idempotency-Key", "5c0f6e1a")
	}
	for name, v := range c.header {
		if req.Header[name] = v; v == nil {
			delete(req.Header, name)
		}
	}
	return req
}

// result is the response or error that a client got.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends the request over a new connection and returns the result.
func (c call) send(t testing.TB, addr string) result {
	t.Helper()
	return roundTrip(c.request(t, addr))
}

func roundTrip(req *http.Request) result {
	tr := &http.Transport{DisableKeepAlives: true}
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, resp.Header, string(body), err}
}

// sendInBackground sends the request like send, in a new goroutine.
func (c call) sendInBackground(t testing.TB, addr string) <-chan result {
	t.Helper()
	req, out := c.request(t, addr), make(chan result, 1)
	go func() { out <- roundTrip(req) }()
	return out
}

// newHandlerTest returns a function that passes a request to the client handler as if it had been read from
// the connection, and reports whether the handler aborted it.
func newHandlerTest(t *testing.T, u *sidecartest.FakeServer) func(c *clientConn) (aborted bool) {
	t.Helper()
	l := newTestLoop(t, registrytest.EndpointJSON("s-1", u.Addr, "up", 0))
	go l.run(t.Context())
	limited := newLimitedListener(sidecartest.ListenLoopback(t), testLimits(4))
	limited.start()
	t.Cleanup(func() { limited.Close() })
	s := newClientHandler(l.config, l, testShutdown(limited))
	return func(c *clientConn) (aborted bool) {
		defer func() {
			err, _ := recover().(error)
			aborted = errors.Is(err, http.ErrAbortHandler)
		}()
		req := call{class: "once"}.request(t, "127.0.0.1:1")
		s.ServeHTTP(httptest.NewRecorder(), req.WithContext(contextWithConn(t.Context(), c)))
		return false
	}
}

// validJSON returns text, and fails the test if it is not JSON: a typo in a test would go unnoticed otherwise.
func validJSON(t testing.TB, text string) string {
	t.Helper()
	if !json.Valid([]byte(text)) {
		t.Fatalf("not JSON: %s", text)
	}
	return text
}

// closeIdleConn closes a connection as the listener does: it refuses a partial request.
func closeIdleConn(c *clientConn, includePartial bool) connState {
	state, refusalPending := c.closeIdle(includePartial)
	if refusalPending {
		c.refusePartial(true)
	}
	return state
}

// testShutdown returns a graceful shutdown with a distant deadline.
func testShutdown(l *limitedListener) *gracefulShutdown {
	return newGracefulShutdown(l, gate.New(), time.Hour)
}

// isBusy reports whether a request on a connection is in progress and not answered.
func isBusy(c *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == connBusy && !c.responseWritten.Load()
}

// testTransport returns a transport with at most the given number of connections, without load reports.
func testTransport(connections int, sendGate upstream.Gate) *upstream.Transport {
	limits := config.UpstreamLimits{Total: connections, PerServer: connections, Handshakes: connections, HandshakesPerServer: connections}
	return upstream.NewTransport(upstream.NewPool(time.Second, 30*time.Second, limits, 1), sendGate, "/health/live", nil)
}
