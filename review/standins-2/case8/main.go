//go:build review

// Case8: a process that takes over from another of the same sidecar, while discovery is down, sends to a server of
// which the other had been told that it drains.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"barleywick/review/standins-2/rig"
)

const (
	down     = 6000 * time.Millisecond // of discovery
	grace    = 3 * time.Second         // rules.stop_sending_within_ms
	slack    = 50 * time.Millisecond   // of a time limit on sockets
	rounds   = 5
	servers  = 4
	work     = 110 * time.Millisecond
	interval = 20 * time.Millisecond
)

func main() {
	r := rig.New()
	// Discovery is one replica of the registry, as the page on the registry starts one.
	g := r.StartReplica()
	discovery := g.Addrs[0]

	var mu sync.Mutex
	var toldAt time.Time // when the sidecar had been told that s0 drains; zero: it does not drain
	broken, later, begun := 0, 0, 0
	var old *rig.Proc // the process that has handed over, or nil
	for i := range servers {
		b := r.NewBooking(fmt.Sprint("s", i), work)
		b.Begun = func(b *rig.Booking, req *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			begun++
			r.Logf("begun %s at %s", req.Header.Get("Request-Id"), b.Name)
			if b.Name != "s0" || toldAt.IsZero() || time.Since(toldAt) <= grace+slack {
				return
			}
			// While both processes live they are one sidecar. What comes after the end of the old one does not count.
			if old != nil && !old.Ended() {
				broken++
				r.Logf("BROKEN: %s begun at s0, %.3f s after the sidecar had been told that s0 drains", req.Header.Get("Request-Id"), time.Since(toldAt).Seconds())
			} else {
				later++
			}
		}
		b.Listen()
		g.RegisterServer(b.Name, b.Addr, "milano-a", fmt.Sprint("m", i))
	}
	list := func() (known map[string]any) {
		if err := json.Unmarshal([]byte(rig.Get("http://"+discovery+"/registry/instances")), &known); err != nil {
			r.Cannot("the list: %v", err)
		}
		return known
	}
	listen, socket := r.FreeAddr(), r.Dir+"/n0.sock"
	processes := 0
	start := func(known map[string]any) *rig.Proc {
		processes++
		file := r.Write(fmt.Sprintf("n0-%d.json", processes), map[string]any{
			"name": "n0", "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%x", 100+processes),
			"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 512}, "known": known, "takeover": map[string]any{"socket": socket},
			"settings": rig.Settings([]string{"milano-a", "torino-b"}, []string{"lombarda-fibra", "piemonte-posa"}, 3),
		})
		return r.Start(fmt.Sprint("n0-", processes), r.RunCommand(), "ROUTER_CONFIG="+file, "ROUTER_NAME=n0", "ROUTER_LISTEN="+listen, "ROUTER_DISCOVERY="+discovery)
	}
	current := start(list())
	r.AwaitReady("n0", listen)
	clients := r.NewClients("n0", listen)
	var requests []*rig.Request
	clients.Done = func(q *rig.Request) {
		mu.Lock()
		requests = append(requests, q)
		mu.Unlock()
	}
	clients.Run("confirm-visit", "lombarda-fibra", 2500*time.Millisecond, interval)
	clients.Run("hold-slot", "piemonte-posa", 2500*time.Millisecond, interval)
	time.Sleep(2 * time.Second)

	for range rounds {
		known := list() // what the platform writes into the next configuration: the list as this sidecar last had it
		time.Sleep(time.Second)
		g.Call("POST", "marks", map[string]any{"hosts": []string{"s0"}, "by": "operator", "draining": true}, nil)
		r.Await("n0 has been told that s0 drains", 6*time.Second, func() bool { return strings.Count(r.Log(current), "upstream: draining") > 0 })
		mu.Lock()
		toldAt = time.Now()
		mu.Unlock()
		r.Logf("n0 (process %d) has been told that s0 drains", processes)
		time.Sleep(4 * time.Second)
		if r.Trouble {
			g.Proc.Kill()
			r.Logf("discovery is down")
		}
		downAt := time.Now()
		mu.Lock()
		old = current
		mu.Unlock()
		current = start(known)
		r.Await("the new process has taken over", 10*time.Second, func() bool { return strings.Contains(r.Log(current), "msg=serving") })
		r.Logf("process %d has taken over", processes)
		before := old
		go func() {
			<-before.Done()
			r.Logf("the old process has ended")
		}()
		time.Sleep(time.Until(downAt.Add(down)))
		if r.Trouble {
			g.Start()
			r.Logf("discovery is back")
		}
		time.Sleep(2 * time.Second)
		mu.Lock()
		toldAt, old = time.Time{}, nil
		mu.Unlock()
		g.Call("POST", "marks", map[string]any{"hosts": []string{"s0"}, "by": "operator", "draining": false}, nil)
		time.Sleep(time.Second)
	}
	clients.Stop()

	mu.Lock()
	defer mu.Unlock()
	served := 0
	for _, q := range requests {
		r.Logf("request %s %s sent %s answered %s status %d %s", q.ID, q.Class, r.Since(q.Sent), r.Since(q.Answered), q.Status, q.Err)
		if q.Status == 200 {
			served++
		}
	}
	r.Say("%d requests, %d served, %d begun; %d more at the draining server after the end of the old process, not counted", len(requests), served, begun, later)
	if served < 500 {
		r.Cannot("too little happened")
	}
	r.Verdict(broken, "attempts at a draining server, later than 3.05 s after the sidecar had been told")
}
