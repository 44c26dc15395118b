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

// links are the relays between the lab's processes: each sidecar calls the list over
// one, and, in a scenario with a partition, each zone calls each server over another.
type links struct {
	net  *faultinjection.Network
	lab  *lab
	over []func() // ends the views

	mu    sync.Mutex
	cut   map[int]int         // zones that are cut off from the others, and how often
	slow  time.Duration       // how much later news of the list come
	down  int                 // how often the list is down
	views map[int]*view       // by zone
	ways  map[string][2]int   // zones from and to, by the link's name
	dials map[string]struct{} // links to the list
}

func newLinks(l *lab) *links {
	return &links{
		net: faultinjection.NewNetwork(l.seed), lab: l, cut: make(map[int]int), views: make(map[int]*view),
		ways: make(map[string][2]int), dials: make(map[string]struct{}),
	}
}

func (k *links) close() {
	for _, end := range k.over {
		end()
	}
	k.net.Close()
}

// list gives a sidecar addresses for the list's replicas.
func (k *links) list(sidecar int, replicas []string) (addrs []string, err error) {
	partitions := false
	for _, t := range k.lab.sc.Faults {
		partitions = partitions || t.Name == "partition"
	}
	for i, r := range replicas {
		if partitions {
			if r, err = k.view(k.lab.sc.ZoneOf(sidecar), r); err != nil {
				return nil, err
			}
		}
		name := fmt.Sprintf("n%d>list:%d", sidecar, i)
		l, err := k.net.AddTCP(name, r)
		if err != nil {
			return nil, err
		}
		k.mu.Lock()
		k.dials[name] = struct{}{}
		k.mu.Unlock()
		addrs = append(addrs, l.Addr())
	}
	return addrs, nil
}

// apply puts what is wrong now in force on all links.
func (k *links) apply() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name := range k.dials {
		if l, ok := k.net.Link(name); ok {
			l.SetRule(faultinjection.LinkRule{RefuseConnections: k.down > 0, FromTarget: faultinjection.Impairment{Delay: k.slow}})
		}
	}
	for name, ends := range k.ways {
		if l, ok := k.net.Link(name); ok {
			l.SetRule(k.between(ends))
		}
	}
}

// between is the rule from one zone to another. The lock is held.
func (k *links) between(ends [2]int) faultinjection.LinkRule {
	way := faultinjection.Impairment{Blocked: ends[0] != ends[1] && (k.cut[ends[0]] > 0 || k.cut[ends[1]] > 0)}
	return faultinjection.LinkRule{ToTarget: way, FromTarget: way}
}

// change alters what is wrong, and returns what takes that back.
func (k *links) change(do func(k *links, by int)) (undo func() error) {
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

// view is the list as one zone sees it: each server at a link of its own from there.
// The protocol lets an instance's address differ from one sidecar to the next.
type view struct {
	links *links
	zone  int
	from  string
	http  *http.Client
	ctx   context.Context
}

// view serves a zone's list from one replica.
func (k *links) view(zone int, replica string) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("lab: %w", err)
	}
	ctx, end := context.WithCancel(context.Background())
	v := &view{links: k, zone: zone, from: replica, ctx: ctx, http: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	s := &http.Server{Handler: v, ReadHeaderTimeout: headIn}
	served := make(chan struct{})
	go func() { // ended by close, which waits for it
		defer close(served)
		_ = s.Serve(ln)
	}()
	k.over = append(k.over, func() {
		end()
		_ = s.Close()
		<-served
		v.http.CloseIdleConnections()
	})
	return ln.Addr().String(), nil
}

// ServeHTTP passes one call on, and each line of its answer back.
func (v *view) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	ctx, cancel := context.WithCancel(q.Context())
	defer cancel()
	defer context.AfterFunc(v.ctx, cancel)()
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+v.from+q.URL.RequestURI(), nil)
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
			panic(http.ErrAbortHandler) // a cut must not pass for a good end
		}
	}
}

// rewrite puts this zone's links in place of the servers' addresses.
func (v *view) rewrite(line []byte) []byte {
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
		out = append(append(out, line[:i]...), v.links.server(v.zone, string(line[i:i+end]))...)
		line = line[i+end:]
	}
}

// server is a zone's link to a server at an address.
func (k *links) server(zone int, addr string) string {
	name := fmt.Sprintf("zone%d>%s", zone, strings.ReplaceAll(addr, ":", "_"))
	if l, ok := k.net.Link(name); ok {
		return l.Addr()
	}
	to := -1
	for _, b := range k.lab.all() {
		b.mu.Lock()
		if b.addr == addr {
			to = b.sv.Zone
		}
		b.mu.Unlock()
	}
	if to < 0 {
		return addr // the lab has none there
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if l, ok := k.net.Link(name); ok { // another watch came first
		return l.Addr()
	}
	l, err := k.net.AddTCP(name, addr)
	if err != nil {
		k.lab.fail(err)
		return addr
	}
	k.ways[name] = [2]int{zone, to}
	l.SetRule(k.between(k.ways[name]))
	return l.Addr()
}
