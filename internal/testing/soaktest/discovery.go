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

// endpoint is one booking server in the list of discovery.
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

// discovery is a simulated discovery service. It serves at two addresses, so that a reloaded
// configuration can use the other one.
type discovery struct {
	addresses []string
	staleAddr string // address of a replica whose list is that of the start, as if its disk were full
	servers   []*http.Server

	mu        sync.Mutex
	seq       int
	endpoints []endpoint
	changed   chan struct{} // closed at each change of the list and of outages
	outages   int           // number of active outages; the service is down while it is above 0
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

// startStaleReplica starts a replica whose list never changes. Like a stale replica of the registry, it
// marks its responses as stale, sends heartbeats, and refuses a watch from a version that it does not
// have.
func (d *discovery) startStaleReplica() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	list, _, _ := d.snapshot()
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		from, _ := strconv.Atoi(q.URL.Query().Get("from")) // a missing value counts as 0
		if q.URL.Path != registry.ListPath || from > list.Seq {
			http.Error(w, "not known here", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set(registry.ReadHeader, registry.ReadStale+"; age_ms=60000")
		out := json.NewEncoder(w)
		if q.URL.Query().Get("watch") == "" {
			_ = out.Encode(list) // a disconnected caller polls again
			return
		}
		_ = d.watch(q.Context(), w, out, list, nil) // it ends when its caller disconnects
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

// setHealth sets the health of a server.
func (d *discovery) setHealth(host, health string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.endpoints {
		if d.endpoints[i].Host == host {
			d.endpoints[i].Health = health
		}
	}
	d.seq++
	d.notifyWatches()
}

// setDown starts or ends an outage. During an outage all watches end and calls are aborted. Outages may
// overlap: setDown reports whether the service is up afterwards.
func (d *discovery) setDown(down bool) (up bool) {
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
		_ = out.Encode(list) // a disconnected caller polls again
		return
	}
	if err := d.watch(q.Context(), w, out, list, changed); errors.Is(err, errDiscoveryDown) {
		panic(http.ErrAbortHandler)
	}
}

var errDiscoveryDown = errors.New("discovery is down")

// watch writes the full list at first and at each change, and a heartbeat while there is none.
func (d *discovery) watch(ctx context.Context, w http.ResponseWriter, out *json.Encoder, list listMessage, changed <-chan struct{}) error {
	flush := http.NewResponseController(w).Flush
	for {
		if err := out.Encode(list); err != nil {
			return err
		}
		for unchanged := true; unchanged; {
			if err := flush(); err != nil {
				return err
			}
			select {
			case <-changed:
				unchanged = false
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
