package soaktest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"barleywick/internal/registry"
)

const (
	keepAliveInterval = 2 * time.Second
	healthUp          = "up"
	healthDraining    = "draining"
)

// endpoint is one booking server as discovery lists it.
type endpoint struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// listMessage is a response of discovery.
type listMessage struct {
	Seq       int        `json:"seq"`
	Full      bool       `json:"whole"`
	Endpoints []endpoint `json:"hosts"`
}

// discovery is a simulated discovery service at two addresses, so that a new
// configuration can move it.
type discovery struct {
	addresses []string
	staleAddr     string // a replica whose disk is full: its list is that of the start
	servers   []*http.Server

	mu        sync.Mutex
	seq       int
	endpoints []endpoint
	changed   chan struct{} // closed at each change, and when it goes down
	outages   int           // that last; it is down while there are any
}

func startDiscovery(servers []*server) (*discovery, error) {
	d := &discovery{seq: 1, changed: make(chan struct{})}
	for _, s := range servers {
		d.endpoints = append(d.endpoints, endpoint{Host: s.name, Dial: s.address(), Site: "a", Block: 1, Health: healthUp, Share: 1})
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
	return d, d.startStaleReplica()
}

// startStaleReplica starts a replica that has stored nothing since the start. As the registry's
// own does, it says so, sends heartbeats, and refuses a watch from a version that it lacks.
func (d *discovery) startStaleReplica() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	list, _, _ := d.snapshot()
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		from, _ := strconv.Atoi(q.URL.Query().Get("from")) // none is 0
		if q.URL.Path != registry.ListPath || from > list.Seq {
			http.Error(w, "not known here", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set(registry.ReadHeader, registry.ReadStale+"; age_ms=60000")
		out := json.NewEncoder(w)
		if q.URL.Query().Get("watch") == "" {
			_ = out.Encode(list) // a caller that has left polls again
			return
		}
		_ = d.watch(q.Context(), w, out, list, nil) // it ends with its caller
	})}
	go func() { _ = h.Serve(ln) }() // ends with close
	d.staleAddr, d.servers = ln.Addr().String(), append(d.servers, h)
	return nil
}

func (d *discovery) close() {
	for _, h := range d.servers {
		h.Close()
	}
}

// set changes the health of a server.
func (d *discovery) setHealth(host, to string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.endpoints {
		if d.endpoints[i].Host == host {
			d.endpoints[i].Health = to
		}
	}
	d.seq++
	d.notifyWatches()
}

// setDown begins an outage, in which all watches end and calls are refused, or ends one. Outages
// may overlap; it reports whether discovery serves now.
func (d *discovery) setDown(down bool) (serves bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if down {
		d.outages++
	} else {
		d.outages--
	}
	d.notifyWatches()
	return d.outages == 0
}

func (d *discovery) notifyWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// snapshot returns the full list, a channel that is closed at the next change, and whether discovery is down.
func (d *discovery) snapshot() (l listMessage, changed <-chan struct{}, down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return listMessage{Seq: d.seq, Full: true, Endpoints: append([]endpoint(nil), d.endpoints...)}, d.changed, d.outages > 0
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	list, changed, down := d.snapshot()
	if q.URL.Path != registry.ListPath {
		http.NotFound(w, q)
		return
	}
	if down {
		panic(http.ErrAbortHandler)
	}
	out := json.NewEncoder(w)
	if q.URL.Query().Get("watch") == "" {
		_ = out.Encode(list) // a caller that has left polls again
		return
	}
	if err := d.watch(q.Context(), w, out, list, changed); errors.Is(err, errDiscoveryDown) {
		panic(http.ErrAbortHandler)
	}
}

var errDiscoveryDown = errors.New("discovery is down")

// watch writes the full list at the start and at each change.
func (d *discovery) watch(ctx context.Context, w http.ResponseWriter, out *json.Encoder, list listMessage, changed <-chan struct{}) error {
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
			case <-time.After(keepAliveInterval):
				if _, err := w.Write([]byte("\n")); err != nil {
					return err
				}
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		var down bool
		if list, changed, down = d.snapshot(); down {
			return errDiscoveryDown
		}
	}
}
