package localfleet

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"barleywick/internal/registry"
	"barleywick/internal/testing/faultinjection"
)

// linkSet holds the relays between processes: each sidecar polls the list over
// one, and, in a scenario with a partition, each zone reaches each server over another.
type linkSet struct {
	net     *faultinjection.Network
	owner   *localFleet
	closers []func() // close the zone views

	mu          sync.Mutex
	partitioned map[int]int         // zones that are partitioned, with the number of active faults
	listDelay   time.Duration       // additional delay of list messages
	listDown    int                 // number of active faults that take the list down
	views       map[int]*zoneView   // by zone
	zonePairs   map[string][2]int   // source and destination zone, by link name
	listLinks   map[string]struct{} // links to the registry
}

func newLinks(l *localFleet) *linkSet {
	return &linkSet{
		net: faultinjection.NewNetwork(l.seed), owner: l, partitioned: make(map[int]int), views: make(map[int]*zoneView),
		zonePairs: make(map[string][2]int), listLinks: make(map[string]struct{}),
	}
}

func (k *linkSet) close() {
	for _, end := range k.closers {
		end()
	}
	k.net.Close()
}

// listAddrs returns the addresses at which a sidecar reaches the registry's replicas.
func (k *linkSet) listAddrs(sidecar int, replicas []string) (addrs []string, err error) {
	partitions := false
	for _, t := range k.owner.scenario.Faults {
		partitions = partitions || t.Name == "partition"
	}
	for i, r := range replicas {
		if partitions {
			if r, err = k.serveView(k.owner.scenario.ZoneOf(sidecar), r); err != nil {
				return nil, err
			}
		}
		name := fmt.Sprintf("n%d>list:%d", sidecar, i)
		l, err := k.net.AddTCP(name, r)
		if err != nil {
			return nil, err
		}
		k.mu.Lock()
		k.listLinks[name] = struct{}{}
		k.mu.Unlock()
		addrs = append(addrs, l.Addr())
	}
	return addrs, nil
}

// apply puts the active faults in force on all links.
func (k *linkSet) apply() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name := range k.listLinks {
		if l, ok := k.net.Link(name); ok {
			l.SetRule(faultinjection.LinkRule{RefuseConnections: k.listDown > 0, FromTarget: faultinjection.Impairment{Delay: k.listDelay}})
		}
	}
	for name, ends := range k.zonePairs {
		if l, ok := k.net.Link(name); ok {
			l.SetRule(k.ruleBetween(ends))
		}
	}
}

// ruleBetween returns the rule for a link between two zones. The caller holds the lock.
func (k *linkSet) ruleBetween(ends [2]int) faultinjection.LinkRule {
	way := faultinjection.Impairment{Blocked: ends[0] != ends[1] && (k.partitioned[ends[0]] > 0 || k.partitioned[ends[1]] > 0)}
	return faultinjection.LinkRule{ToTarget: way, FromTarget: way}
}

// updateFaults applies a fault and returns the function that removes it.
func (k *linkSet) updateFaults(do func(k *linkSet, by int)) (undo func() error) {
	set := func(by int) {
		k.mu.Lock()
		do(k, by)
		k.mu.Unlock()
		k.apply()
	}
	set(1)
	return func() error {
		set(-1)
		return nil
	}
}

// zoneView serves the list as one zone sees it: each server at a link from that zone.
// The protocol lets an instance's address differ from one sidecar to the next.
type zoneView struct {
	links   *linkSet
	zone    int
	replica string
	http    *http.Client
	ctx     context.Context
}

// serveView serves a zone's view of the list of one replica.
func (k *linkSet) serveView(zone int, replica string) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("localfleet: %w", err)
	}
	ctx, end := context.WithCancel(context.Background())
	v := &zoneView{links: k, zone: zone, replica: replica, ctx: ctx, http: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	s := &http.Server{Handler: v, ReadHeaderTimeout: headerTimeout}
	served := make(chan struct{})
	go func() { // ended and awaited by close
		defer close(served)
		_ = s.Serve(ln)
	}()
	k.closers = append(k.closers, func() {
		end()
		_ = s.Close()
		<-served
		v.http.CloseIdleConnections()
	})
	return ln.Addr().String(), nil
}

// ServeHTTP forwards one call and each line of its response.
func (v *zoneView) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	ctx, cancel := context.WithCancel(q.Context())
	defer cancel()
	defer context.AfterFunc(v.ctx, cancel)()
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+v.replica+q.URL.RequestURI(), nil)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	resp, err := v.http.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for _, h := range []string{"Content-Type", "Retry-After", registry.ReadHeader} {
		if s := resp.Header.Get(h); s != "" {
			w.Header().Set(h, s)
		}
	}
	w.WriteHeader(resp.StatusCode)
	flush := http.NewResponseController(w)
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if _, failed := w.Write(v.rewrite(line)); failed != nil || flush.Flush() != nil {
			return
		}
		if err == io.EOF {
			return
		} else if err != nil {
			panic(http.ErrAbortHandler) // an interrupted stream must not look complete
		}
	}
}

// rewrite replaces the servers' addresses by this zone's links.
func (v *zoneView) rewrite(line []byte) []byte {
	const mark = `"dial":"`
	var out []byte
	for {
		i := bytes.Index(line, []byte(mark))
		if i < 0 {
			return append(out, line...)
		}
		i += len(mark)
		end := bytes.IndexByte(line[i:], '"')
		if end < 0 {
			return append(out, line...)
		}
		out = append(append(out, line[:i]...), v.links.serverLink(v.zone, string(line[i:i+end]))...)
		line = line[i+end:]
	}
}

// serverLink returns the address of a zone's link to a server.
func (k *linkSet) serverLink(zone int, addr string) string {
	name := fmt.Sprintf("zone%d>%s", zone, strings.ReplaceAll(addr, ":", "_"))
	if l, ok := k.net.Link(name); ok {
		return l.Addr()
	}
	to := -1
	for _, b := range k.owner.allServers() {
		b.mu.Lock()
		if b.addr == addr {
			to = b.model.Zone
		}
		b.mu.Unlock()
	}
	if to < 0 {
		return addr // no server of this run is there
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if l, ok := k.net.Link(name); ok { // added meanwhile for another watch
		return l.Addr()
	}
	l, err := k.net.AddTCP(name, addr)
	if err != nil {
		k.owner.fail(err)
		return addr
	}
	k.zonePairs[name] = [2]int{zone, to}
	l.SetRule(k.ruleBetween(k.zonePairs[name]))
	return l.Addr()
}
