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

// hangingServer is a booking server that takes requests and never answers them.
type hangingServer struct {
	addr string
	took atomic.Int64
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
		h.took.Add(1)
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

// shutdownSettings are those of a site whose longest deadline is given; the deadlines of the
// other classes are shorter.
func shutdownSettings(longest time.Duration) json.RawMessage {
	text := strings.ReplaceAll(settings, `"hard_limit_ms":5000`, fmt.Sprintf(`"hard_limit_ms":%d`, longest.Milliseconds()))
	text = strings.ReplaceAll(text, `"aim_ms":2000`, fmt.Sprintf(`"aim_ms":%d`, longest.Milliseconds()/2))
	return json.RawMessage(text)
}

// startShutdownSidecar starts a sidecar whose list is in its configuration.
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

// slowWriter is a client that connects, is silent, and then writes one request in two parts.
type slowWriter struct {
	id, class string
	begins    time.Duration // after SIGTERM
	ends      time.Duration // after SIGTERM: the last byte
	timeout   time.Duration
}

// fate is what became of a request.
type fate struct {
	whole  bool // all of it was written to a connection that was open
	status int
	took   time.Duration // from the last byte to the end of the answer
	err    error
}

// run writes the request and waits for its answer.
func (w slowWriter) run(conn *net.TCPConn, began time.Time) (f fate) {
	defer conn.Close()
	method, key := methods[w.class], ""
	if w.class == "keyed" {
		key = "Idempotency-Key: " + w.id + "\r\n"
	}
	text := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout: %s\r\n%sContent-Length: 0\r\n\r\n",
		method, w.id, w.class, strconv.FormatFloat(w.timeout.Seconds(), 'f', 3, 64), key)
	time.Sleep(time.Until(began.Add(w.begins)))
	if raw.ClosedByPeer(conn) {
		return fate{err: errors.New("closed before the request")}
	}
	if _, err := io.WriteString(conn, text[:20]); err != nil {
		return fate{err: err}
	}
	time.Sleep(time.Until(began.Add(w.ends)))
	if w.ends > w.begins && raw.ClosedByPeer(conn) {
		return fate{err: errors.New("closed in the middle of the request")}
	}
	if _, err := io.WriteString(conn, text[20:]); err != nil {
		return fate{err: err}
	}
	f.whole = true
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

// SIGKILL follows SIGTERM after the longest deadline and 0.7 s. A request that becomes whole on
// an open connection at any moment before that has its final answer by then, also where booking
// servers hang: on connections that were silent at SIGTERM, and on those whose client writes slowly.
func TestNoRequestIsOpenAtTheKillAfterAPlannedEnd(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts real processes")
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
			fates := make([]fate, clients)
			var running sync.WaitGroup
			for i, w := range all {
				running.Go(func() { fates[i] = w.run(conns[i], began) })
			}
			time.Sleep(time.Until(began.Add(longest + 700*time.Millisecond)))
			if s.alive() {
				s.kill()
			} else {
				s.wait() // it has to have ended in order
			}
			running.Wait()
			whole, answered := 0, 0
			for i, f := range fates {
				switch {
				case f.whole && f.err != nil:
					t.Errorf("%s: whole %.2f s after SIGTERM, no answer: %v", all[i].id, all[i].ends.Seconds(), f.err)
					whole++
				case f.whole:
					whole++
					answered++
				}
			}
			var took int64
			for _, h := range servers {
				took += h.took.Load()
			}
			t.Logf("%d requests were whole, %d answered, servers took %d", whole, answered, took)
			if whole < clients/2 || took == 0 {
				t.Errorf("too little was seen: %d whole requests, %d at servers", whole, took)
			}
		})
	}
}
