// Package registrytest has a discovery service for tests, which answers what the
// test writes.
package registrytest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"barleywick/internal/registry"
)

// Server is a fake discovery: the test writes the lines of each watch.
type Server struct {
	Addr      string
	Watches   chan *Watch
	FullLists chan string // what the next call for the whole list gets
	ListCalls chan string // the query of each call for the whole list
}

// Watch is one that a client holds open. The test writes its lines, and closes
// Lines to end it; Ended is closed when it has ended.
type Watch struct {
	From  string
	Lines chan string
	Ended chan struct{}
}

// NewServer starts one that ends with the test.
func NewServer(t testing.TB) *Server {
	t.Helper()
	g := &Server{Watches: make(chan *Watch, 10), FullLists: make(chan string, 10), ListCalls: make(chan string, 10)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g.Addr = ln.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != registry.ListPath {
			http.NotFound(w, r)
			return
		}
		if r.URL.Query().Get("watch") == "" {
			g.ListCalls <- r.URL.RawQuery
			select {
			case text := <-g.FullLists:
				io.WriteString(w, text)
			case <-r.Context().Done():
			}
			return
		}
		x := &Watch{From: r.URL.Query().Get("from"), Lines: make(chan string), Ended: make(chan struct{})}
		defer close(x.Ended)
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		g.Watches <- x
		for {
			select {
			case line, ok := <-x.Lines:
				if !ok {
					return
				}
				io.WriteString(w, line+"\n")
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return g
}

// EndpointJSON is an entry of a list.
func EndpointJSON(name, dial, health string, born int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","block":3,"health":%q,"share":1.0,"born_ms":%d}`, name, dial, health, born)
}

// ListJSON is an answer of discovery.
func ListJSON(seq int, whole bool, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ","))
}
