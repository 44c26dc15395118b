package registrytest

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"barleywick/internal/registry"
)

// TroubledServer is a discovery service that answers each call for the full list, and whose
// watches are in trouble.
type TroubledServer struct {
	Addr       string
	ListCalls  atomic.Int64
	ListBytes  atomic.Int64
	WatchCalls atomic.Int64

	mu      sync.Mutex
	list    string
	trouble WatchTrouble
}

// WatchTrouble serves a watch instead of delivering changes. It returns when the watch has ended.
type WatchTrouble func(w http.ResponseWriter, r *http.Request)

// NewTroubledServer starts a service, which is stopped at the end of the test.
func NewTroubledServer(t testing.TB, list string, trouble WatchTrouble) *TroubledServer {
	t.Helper()
	s := &TroubledServer{list: list, trouble: trouble}
	server := httptest.NewServer(s)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	s.Addr = server.Listener.Addr().String()
	return s
}

// SetList replaces the full list.
func (s *TroubledServer) SetList(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = text
}

// SetTrouble replaces the trouble of the watches that open from now on.
func (s *TroubledServer) SetTrouble(trouble WatchTrouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = trouble
}

// ServeHTTP serves calls for the list and for watches.
func (s *TroubledServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	list, trouble := s.list, s.trouble
	s.mu.Unlock()
	switch {
	case r.URL.Path != registry.ListPath:
		http.NotFound(w, r)
	case r.URL.Query().Get("watch") != "":
		s.WatchCalls.Add(1)
		trouble(w, r)
	default:
		s.ListCalls.Add(1)
		s.ListBytes.Add(int64(len(list)))
		io.WriteString(w, list)
	}
}

// RefuseWatch returns a trouble that refuses each watch with a status.
func RefuseWatch(status int) WatchTrouble {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

// ResetWatch ends the connection before the response.
func ResetWatch(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// EndWatch accepts a watch and ends it regularly.
func EndWatch(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// HangWatch does not respond.
func HangWatch(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// AcceptAndHangWatch accepts a watch on which nothing arrives.
func AcceptAndHangWatch(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusOK)
	http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// ResetWatchAfterLines returns a trouble that writes a line, an empty one being a heartbeat, at each of n intervals,
// and then resets the watch.
func ResetWatchAfterLines(line string, n int, interval time.Duration) WatchTrouble {
	return func(w http.ResponseWriter, r *http.Request) {
		for range n {
			select {
			case <-time.After(interval):
			case <-r.Context().Done():
				return
			}
			io.WriteString(w, line+"\n")
			http.NewResponseController(w).Flush()
		}
		panic(http.ErrAbortHandler)
	}
}

// IdleWatch keeps a watch open on which nothing changes.
func IdleWatch(w http.ResponseWriter, r *http.Request) {
	ResetWatchAfterLines("", 1<<30, 2*time.Second)(w, r)
}
