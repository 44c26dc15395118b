package integration

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"barleywick/internal/registry/registrytest"
	raw "barleywick/internal/testing/loadgen"
)

// hangingServer is a booking server that accepts requests and never responds.
type hangingServer struct {
	addr     string
	received atomic.Int64
}

func startHangingServer(t testing.TB) *hangingServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &hangingServer{addr: ln.Addr().String()}
	release := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		h.received.Add(1)
		select {
		case <-q.Context().Done():
		case <-release:
		}
	})}
	go server.Serve(ln)
	t.Cleanup(func() {
		close(release)
		server.Close()
	})
	return h
}

// shutdownSettings returns the sidecar settings with the given longest deadline for all classes.
func shutdownSettings(longest time.Duration) json.RawMessage {
	text := strings.ReplaceAll(settings, `"hard_limit_ms":5000`, fmt.Sprintf(`"hard_limit_ms":%d`, longest.Milliseconds()))
	text = strings.ReplaceAll(text, `"aim_ms":2000`, fmt.Sprintf(`"aim_ms":%d`, longest.Milliseconds()/2))
	return json.RawMessage(text)
}

// startShutdownSidecar starts a sidecar that has its endpoint list in its configuration.
func startShutdownSidecar(t testing.TB, longest time.Duration, servers ...*hangingServer) *sidecarProcess {
	t.Helper()
	discovery := registrytest.NewServer(t)
	var hosts []string
	for i, h := range servers {
		hosts = append(hosts, registrytest.EndpointJSON(fmt.Sprint("s-", i), h.addr, "up", 0))
	}
	s := &sidecarProcess{addr: freeAddr(t)}
	path := writeFile(t, "sidecar.json", map[string]any{
		"name": "n0", "listen": s.addr, "discovery": discovery.Addr, "seed": "8c1f30d27a5be964",
		"known":  json.RawMessage(registrytest.ListJSON(1, true, hosts...)),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 512}, "settings": shutdownSettings(longest),
	})
	s.process = newProcess(t, "n0", "sidecar", "ROUTER_CONFIG="+path)
	s.start()
	s.ready()
	return s
}

// slowWriter is a client that writes one request in two parts, some time after it has connected.
type slowWriter struct {
	id, class string
	begins    time.Duration // first byte, after SIGTERM
	ends      time.Duration // last byte, after SIGTERM
	timeout   time.Duration
}

// requestResult is the result of a request.
type requestResult struct {
	complete bool // the whole request was written to an open connection
	status   int
	took     time.Duration // from the last byte of the request to the end of the response
	err      error
}

// run writes the request and waits for its response.
func (w slowWriter) run(conn *net.TCPConn, began time.Time) (f requestResult) {
	defer conn.Close()
	method, key := methods[w.class], ""
	if w.class == "keyed" {
		key = "Idempotency-Key: " + w.id + "\r\n"
	}
	text := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout: %s\r\n%sContent-Length: 0\r\n\r\n",
		method, w.id, w.class, strconv.FormatFloat(w.timeout.Seconds(), 'f', 3, 64), key)
	time.Sleep(time.Until(began.Add(w.begins)))
	if raw.ClosedByPeer(conn) {
		return requestResult{err: errors.New("connection closed before the request")}
	}
	if _, err := io.WriteString(conn, text[:20]); err != nil {
		return requestResult{err: err}
	}
	time.Sleep(time.Until(began.Add(w.ends)))
	if w.ends > w.begins && raw.ClosedByPeer(conn) {
		return requestResult{err: errors.New("connection closed in the middle of the request")}
	}
	if _, err := io.WriteString(conn, text[20:]); err != nil {
		return requestResult{err: err}
	}
	f.complete = true
	sent := time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		f.err = err
		return f
	}
	if _, f.err = io.Copy(io.Discard, resp.Body); f.err == nil {
		f.status, f.took = resp.StatusCode, time.Since(sent)
	}
	return f
}

// SIGKILL follows SIGTERM after the longest deadline plus 0.7 s. Every request that is completely
// written to an open connection before has its final response by then, even if booking servers hang: on
// connections that were idle at SIGTERM, and on those whose client writes slowly.
func TestNoRequestIsOpenWhenShutdownIsKilled(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	const longest, clients = 1900 * time.Millisecond, 120
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			var servers []*hangingServer
			for range 12 {
				servers = append(servers, startHangingServer(t))
			}
			s := startShutdownSidecar(t, longest, servers...)
			rng := rand.New(rand.NewPCG(seed, 0))
			var all []slowWriter
			for i := range clients {
				w := slowWriter{id: fmt.Sprint(seed, "-", i), class: []string{"read", "keyed", "once"}[i%3], timeout: longest - time.Millisecond}
				w.begins = time.Duration(rng.Int64N(int64(1700 * time.Millisecond)))
				if w.ends = w.begins; i%4 == 0 {
					w.ends += time.Duration(rng.Int64N(int64(800 * time.Millisecond)))
				}
				all = append(all, w)
			}
			conns := make([]*net.TCPConn, clients)
			for i := range conns {
				conn, err := net.Dial("tcp", s.addr)
				if err != nil {
					t.Fatal(err)
				}
				conns[i] = conn.(*net.TCPConn)
			}
			began := time.Now()
			s.signal(syscall.SIGTERM)
			results := make([]requestResult, clients)
			var running sync.WaitGroup
			for i, w := range all {
				running.Go(func() { results[i] = w.run(conns[i], began) })
			}
			time.Sleep(time.Until(began.Add(longest + 700*time.Millisecond)))
			if s.alive() {
				s.kill()
			} else {
				s.wait() // it must have shut down gracefully
			}
			running.Wait()
			complete, answered := 0, 0
			for i, f := range results {
				switch {
				case f.complete && f.err != nil:
					t.Errorf("%s: complete %.2f s after SIGTERM, but got no response: %v", all[i].id, all[i].ends.Seconds(), f.err)
					complete++
				case f.complete:
					complete++
					answered++
				}
			}
			var received int64
			for _, h := range servers {
				received += h.received.Load()
			}
			t.Logf("%d requests were complete, %d answered; the servers received %d", complete, answered, received)
			if complete < clients/2 || received == 0 {
				t.Errorf("too little was observed for a verdict: %d complete requests, %d at servers", complete, received)
			}
		})
	}
}
