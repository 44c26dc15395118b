package soaktest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"barleywick/internal/registry"
)

const (
	keepAliveEvery = 2 * time.Second
	health         = "up"
	draining       = "draining"
)

// entry is one booking server in discovery's form.
type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// listing is an answer of discovery.
type listing struct {
	Seq   int     `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

// discovery is a stand-in for the discovery service, reached at two addresses so that a new
// configuration can move it.
type discovery struct {
	addresses []string
	servers   []*http.Server

	mu      sync.Mutex
	seq     int
	entries []entry
	changed chan struct{} // closed at each change, and as it goes down
	down    bool
}

func startDiscovery(servers []*server) (*discovery, error) {
	d := &discovery{seq: 1, changed: make(chan struct{})}
	for _, s := range servers {
		d.entries = append(d.entries, entry{Host: s.name, Dial: s.address(), Site: "a", Block: 1, Health: health, Share: 1})
	}
	for range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("discovery: %w", err)
		}
		h := &http.Server{Handler: d}
		go func() { _ = h.Serve(ln) }() // ends with close
		d.addresses = append(d.addresses, ln.Addr().String())
		d.servers = append(d.servers, h)
	}
	return d, nil
}

func (d *discovery) close() {
	for _, h := range d.servers {
		h.Close()
	}
}

// set changes the health of a server.
func (d *discovery) set(host, to string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.entries {
		if d.entries[i].Host == host {
			d.entries[i].Health = to
		}
	}
	d.seq++
	d.wake()
}

// setDown ends all watches and refuses calls, or serves again.
func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.wake()
}

func (d *discovery) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// now is the whole list at a moment.
func (d *discovery) now() (l listing, changed <-chan struct{}, down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return listing{Seq: d.seq, Whole: true, Hosts: append([]entry(nil), d.entries...)}, d.changed, d.down
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	list, changed, down := d.now()
	if q.URL.Path != registry.ListPath {
		http.NotFound(w, q)
		return
	}
	if down {
		panic(http.ErrAbortHandler)
	}
	out := json.NewEncoder(w)
	if q.URL.Query().Get("watch") == "" {
		_ = out.Encode(list) // a caller that has left asks again
		return
	}
	if err := d.watch(q.Context(), w, out, list, changed); errors.Is(err, errDown) {
		panic(http.ErrAbortHandler)
	}
}

var errDown = errors.New("discovery is down")

// watch writes the whole list at the begin and at each change.
func (d *discovery) watch(ctx context.Context, w http.ResponseWriter, out *json.Encoder, list listing, changed <-chan struct{}) error {
	flush := http.NewResponseController(w).Flush
	for {
		if err := out.Encode(list); err != nil {
			return err
		}
		for idle := true; idle; {
			if err := flush(); err != nil {
				return err
			}
			select {
			case <-changed:
				idle = false
			case <-time.After(keepAliveEvery):
				if _, err := w.Write([]byte("\n")); err != nil {
					return err
				}
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		var down bool
		if list, changed, down = d.now(); down {
			return errDown
		}
	}
}
