// Package registrytest provides a discovery service for tests: the test supplies its
// responses and receives the requests.
package registrytest

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"barleywick/internal/registry"
)

// maxPending is the capacity of each of the Server's channels.
const maxPending = 10

// Server is a discovery service whose responses are supplied by the test.
type Server struct {
	Addr      string
	Watches   chan *Watch // the watches that clients open
	FullLists chan string // the responses to the next calls for the full list
	ListCalls chan string // the query of each call for the full list
}

// Watch is a watch that a client has opened. The test sends its lines to Lines, and closes
// Lines to end the watch. Ended is closed when the watch has ended.
type Watch struct {
	From  string
	Lines chan string
	Ended chan struct{}
}

// NewServer starts a service, which is stopped at the end of the test.
func NewServer(t testing.TB) *Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{
		Addr:      ln.Addr().String(),
		Watches:   make(chan *Watch, maxPending),
		FullLists: make(chan string, maxPending),
		ListCalls: make(chan string, maxPending),
	}
	server := &http.Server{Handler: s}
	go func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { server.Close() })
	return s
}

// ServeHTTP serves calls for the list and for watches.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != registry.ListPath {
		http.NotFound(w, r)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		s.serveList(w, r)
		return
	}
	s.serveWatch(w, r)
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	s.ListCalls <- r.URL.RawQuery
	select {
	case text := <-s.FullLists:
		io.WriteString(w, text)
	case <-r.Context().Done():
	}
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	watch := &Watch{From: r.URL.Query().Get("from"), Lines: make(chan string), Ended: make(chan struct{})}
	defer close(watch.Ended)
	rc := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	rc.Flush()
	s.Watches <- watch
	for {
		select {
		case line, ok := <-watch.Lines:
			if !ok {
				return
			}
			io.WriteString(w, line+"\n")
			rc.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// EndpointJSON returns an endpoint in the encoding of the list.
func EndpointJSON(name, dial, health string, born int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","block":3,"health":%q,"share":1.0,"born_ms":%d}`, name, dial, health, born)
}

// ListJSON returns a list update: the full list, or changes.
func ListJSON(seq int, full bool, endpoints ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, full, strings.Join(endpoints, ","))
}
