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

// linkSet holds the relays between processes. Each sidecar reads the list over relays of its own; in a
// scenario with a partition, each zone also reaches each server over a relay.
type linkSet struct {
	net     *faultinjection.Network
	owner   *localFleet
	closers []func() // functions that close the zone views

	mu          sync.Mutex
	partitioned map[int]int         // zones that are partitioned, with the number of active faults
	listDelay   time.Duration       // additional delay of list messages
	listDown    int                 // number of active faults that make the list unavailable
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
	hasPartition := false
	for _, t := range k.owner.scenario.Faults {
		hasPartition = hasPartition || t.Name == "partition"
	}
	for i, r := range replicas {
		if hasPartition {
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

// apply sets the rules of all links according to the active faults.
func (k *linkSet) apply() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name := range k.listLinks {
		if l, ok := k.net.Link(name); ok {
			l.SetRule(faultinjection.LinkRule{RefuseConnections: k.listDown > 0, FromTarget: faultinjection.Impairment{Delay: k.listDelay}})
		}
	}
	for name, zones := range k.zonePairs {
		if l, ok := k.net.Link(name); ok {
			l.SetRule(k.ruleBetween(zones))
		}
	}
}

// ruleBetween returns the rule for a link between two zones. The caller holds the lock.
func (k *linkSet) ruleBetween(zones [2]int) faultinjection.LinkRule {
	impairment := faultinjection.Impairment{Blocked: zones[0] != zones[1] && (k.partitioned[zones[0]] > 0 || k.partitioned[zones[1]] > 0)}
	return faultinjection.LinkRule{ToTarget: impairment, FromTarget: impairment}
}

// updateFaults applies a fault and returns the function that removes it.
func (k *linkSet) updateFaults(update func(k *linkSet, by int)) (undo func() error) {
	set := func(by int) {
		k.mu.Lock()
		update(k, by)
		k.mu.Unlock()
		k.apply()
	}
	set(1)
	return func() error {
		set(-1)
		return nil
	}
}

// zoneView serves the list to the sidecars of one zone, with the address of each server replaced by a
// link from that zone. The protocol permits that an instance's address differs between sidecars.
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
	go func() { // close ends it and waits for it
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
	controller := http.NewResponseController(w)
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if _, writeError := w.Write(v.rewrite(line)); writeError != nil || controller.Flush() != nil {
			return
		}
		if err == io.EOF {
			return
		} else if err != nil {
			panic(http.ErrAbortHandler) // an interrupted response must not look complete
		}
	}
}

// rewrite replaces the servers' addresses with this zone's links.
func (v *zoneView) rewrite(line []byte) []byte {
	const dialKey = `"dial":"`
	var out []byte
	for {
		i := bytes.Index(line, []byte(dialKey))
		if i < 0 {
			return append(out, line...)
		}
		i += len(dialKey)
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
	serverZone := -1
	for _, b := range k.owner.allServers() {
		b.mu.Lock()
		if b.addr == addr {
			serverZone = b.model.Zone
		}
		b.mu.Unlock()
	}
	if serverZone < 0 {
		return addr // no server of this run has this address
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if l, ok := k.net.Link(name); ok { // another watch has added it meanwhile
		return l.Addr()
	}
	l, err := k.net.AddTCP(name, addr)
	if err != nil {
		k.owner.fail(err)
		return addr
	}
	k.zonePairs[name] = [2]int{zone, serverZone}
	l.SetRule(k.ruleBetween(k.zonePairs[name]))
	return l.Addr()
}
