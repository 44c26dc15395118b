//go:build review

// Case7: a controller to which the registry's answers come late stops a server whose drain an operator has undone
// meanwhile.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"barleywick/review/standins-2/rig"
)

const (
	late     = 800 * time.Millisecond // of the registry's answers to the controllers
	reaction = 200 * time.Millisecond
	leaseMS  = 10000 // of the controllers
	servers  = 4
	sidecars = 3
	work     = 110 * time.Millisecond
	interval = 30 * time.Millisecond // of each sidecar's clients
	lasts    = 95 * time.Second
)

func main() {
	if len(os.Args) == 4 && os.Args[1] == "stop" { // the stop command of the drain
		resp, err := http.Get("http://" + os.Args[2] + "/" + os.Args[3])
		if err != nil || resp.StatusCode != http.StatusOK {
			os.Exit(1)
		}
		return
	}
	r := rig.New()
	g := r.StartRegistry(map[string]any{"most_ttl_ms": leaseMS})

	var mu sync.Mutex
	cut := make(map[string]string)       // by request id: the server that was stopped while it ran the request
	undone := make(map[string]time.Time) // by server: since when its drain is undone
	stopped := 0                         // stop commands for a server whose drain was undone
	byName := make(map[string]*rig.Booking)
	for i := range servers {
		b := r.NewBooking(fmt.Sprint("s", i), work)
		b.Begun = func(b *rig.Booking, req *http.Request) {
			r.Logf("begun %s at %s", req.Header.Get("Request-Id"), b.Name)
		}
		b.Ended = func(b *rig.Booking, req *http.Request, wasCut bool) {
			if wasCut {
				mu.Lock()
				cut[req.Header.Get("Request-Id")] = b.Name
				mu.Unlock()
				r.Logf("cut %s at %s", req.Header.Get("Request-Id"), b.Name)
			}
		}
		b.Listen()
		g.RegisterServer(b.Name, b.Addr, "milano-a", fmt.Sprint("m", i))
		byName[b.Name] = b
	}
	control := r.FreeAddr()
	r.Release(control)
	go http.ListenAndServe(control, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		b := byName[strings.TrimPrefix(req.URL.Path, "/")]
		mu.Lock()
		since, isUndone := undone[b.Name]
		mu.Unlock()
		r.Logf("stop command for %s, which runs %d requests", b.Name, b.Running())
		if isUndone {
			mu.Lock()
			stopped++
			mu.Unlock()
			r.Logf("BROKEN: stop command for %s, %.3f s after fleetctl had said that its drain is undone", b.Name, time.Since(since).Seconds())
		}
		b.Stop()
	}))
	self, err := os.Executable()
	if err != nil {
		r.Cannot("%v", err)
	}
	ctl := r.Write("ctl.json", map[string]any{
		"registry": g.Addrs, "floor": map[string]any{"others": 1}, "longest_ms": 6000,
		"stop": []string{self, "stop", control, "{host}"},
	})
	var links []*rig.Proxy
	for i := range 2 {
		name := fmt.Sprint("k", i)
		routes := ""
		for _, addr := range g.Addrs {
			p := r.NewProxy(addr)
			links, routes = append(links, p), routes+fmt.Sprintf("%q = %q\n", addr, p.Addr)
		}
		file := r.Write(name+".toml", fmt.Sprintf("name = %q\nregistry = [%q, %q, %q]\nlisten = %q\nlease_ms = %d\n[drains]\nconfig = %q\n[routes]\n%s",
			name, g.Addrs[0], g.Addrs[1], g.Addrs[2], r.FreeAddr(), leaseMS, ctl, routes))
		r.Start(name, "exec bin/controller --config "+file)
	}

	var clients []*rig.Clients
	requests := make(map[string]*rig.Request)
	for i := range sidecars {
		name, listen := fmt.Sprint("n", i), r.FreeAddr()
		file := r.Write(name+".json", map[string]any{
			"name": name, "listen": listen, "discovery": g.Addrs[0], "discovery_replicas": g.Addrs[1:], "seed": fmt.Sprintf("%x", 7+i),
			"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 512},
			"settings": rig.Settings([]string{"milano-a", "torino-b"}, []string{"lombarda-fibra", "piemonte-posa"}, sidecars),
		})
		r.Start(name, r.RunCommand(), "ROUTER_CONFIG="+file, "ROUTER_NAME="+name, "ROUTER_LISTEN="+listen, "ROUTER_DISCOVERY="+g.Addrs[0])
		c := r.NewClients(name, listen)
		c.Done = func(q *rig.Request) {
			mu.Lock()
			requests[q.ID] = q
			mu.Unlock()
		}
		clients = append(clients, c)
	}
	for _, c := range clients {
		r.AwaitReady(c.Sidecar, c.Listen)
	}
	calls := 0
	fleetctl := func(command string) (status int, output string) {
		calls++
		p := r.Start(fmt.Sprint("fleetctl-", calls), "exec bin/fleetctl --config "+ctl+" "+command)
		<-p.Done()
		output = strings.TrimSpace(r.Log(p))
		r.Logf("fleetctl %s: exit %d: %s", command, p.ExitStatus(), strings.ReplaceAll(output, "\n", " | "))
		return p.ExitStatus(), output
	}
	r.Await("a controller holds the drains", 30*time.Second, func() bool { return g.Holder("drains") != "" })
	time.Sleep(time.Second)
	if r.Trouble {
		for _, p := range links {
			p.SetDelay(late, 0)
		}
		r.Logf("the registry's answers come to the controllers %v late", late)
	}
	for i, c := range clients {
		c.Run([]string{"confirm-visit", "hold-slot"}[i%2], []string{"lombarda-fibra", "piemonte-posa"}[i%2], 2500*time.Millisecond, interval)
	}

	began := time.Now()
	drains := 0
	for i := 0; time.Since(began) < lasts-25*time.Second; i++ {
		machine, server := fmt.Sprint("m", i%servers), fmt.Sprint("s", i%servers)
		if status, output := fleetctl("drain " + machine + " --detach"); status != 0 {
			r.Cannot("drain %s: %s", machine, output)
		}
		// The operator watches the drain, and undoes it when it comes to stopping: "from here on only undrain leads back".
		r.Await(machine+" comes to stopping", 60*time.Second, func() bool {
			time.Sleep(50 * time.Millisecond)
			_, output := fleetctl("status " + machine)
			return strings.Contains(output, "\tstopping\t") || strings.Contains(output, "\tstopped\t") || strings.Contains(output, "\tdone\t")
		})
		time.Sleep(reaction)
		if status, output := fleetctl("undrain " + machine); status != 0 {
			r.Cannot("undrain %s: %s", machine, output)
		}
		mu.Lock()
		undone[server] = time.Now()
		mu.Unlock()
		time.Sleep(3 * time.Second)
		mu.Lock()
		delete(undone, server)
		mu.Unlock()
		byName[server].Stop()
		byName[server].Listen() // whoever had stopped it starts it again
		drains++
	}
	for _, c := range clients {
		c.Stop()
	}

	mu.Lock()
	defer mu.Unlock()
	served, failed := 0, 0
	for _, q := range requests {
		r.Logf("request %s %s %s sent %s answered %s status %d %s", q.ID, q.Sidecar, q.Class, r.Since(q.Sent), r.Since(q.Answered), q.Status, q.Err)
		if q.Status == 200 {
			served++
		}
	}
	for id, server := range cut {
		if q := requests[id]; q != nil && q.Status != 200 {
			failed++
			r.Logf("lost: %s (%s) was running at %s as it was stopped, and its client got %d", id, q.Class, server, q.Status)
		}
	}
	r.Say("%d drains undone, %d requests, %d served, %d lost to a stop", drains, len(requests), served, failed)
	if drains < 2 || served < 500 {
		r.Cannot("too little happened")
	}
	r.Verdict(stopped, "stop commands for a server whose drain was undone")
}
