//go:build review

// Case6: a drain takes a sidecar for notified when the registry has written the mark to its watch, and stops a server
// to which a sidecar that has not received the line yet has just sent a request.
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
	late     = 110 * time.Millisecond // of what the registry's watches bring
	drains   = 40
	servers  = 4
	sidecars = 3
	work     = 70 * time.Millisecond
	// stopTakes is how long the stop command takes to reach the server, as one that goes to another machine does.
	stopTakes = 100 * time.Millisecond
	interval  = 120 * time.Millisecond // of each sidecar's clients
)

func main() {
	if len(os.Args) == 4 && os.Args[1] == "stop" { // the stop command of the drain
		time.Sleep(stopTakes)
		resp, err := http.Get("http://" + os.Args[2] + "/" + os.Args[3])
		if err != nil || resp.StatusCode != http.StatusOK {
			os.Exit(1)
		}
		return
	}
	r := rig.New()
	g := r.StartRegistry(nil)

	var mu sync.Mutex
	cut := make(map[string]string) // by request id: the server that was stopped while it ran the request
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
		r.Logf("stop command for %s, which runs %d requests", b.Name, b.Running())
		b.Stop()
	}))
	self, err := os.Executable()
	if err != nil {
		r.Cannot("%v", err)
	}
	ctl := r.Write("ctl.json", map[string]any{
		"registry": g.Addrs, "floor": map[string]any{"others": 1}, "longest_ms": 6000, "sidecars": sidecars,
		"stop": []string{self, "stop", control, "{host}"},
	})

	var links []*rig.Proxy
	var clients []*rig.Clients
	requests := make(map[string]*rig.Request)
	for i := range sidecars {
		name, listen := fmt.Sprint("n", i), r.FreeAddr()
		var discovery []string
		for _, addr := range g.Addrs {
			p := r.NewProxy(addr)
			links, discovery = append(links, p), append(discovery, p.Addr)
		}
		file := r.Write(name+".json", map[string]any{
			"name": name, "listen": listen, "discovery": discovery[0], "discovery_replicas": discovery[1:], "seed": fmt.Sprintf("%x", 7+i),
			"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 512},
			"settings": rig.Settings([]string{"milano-a", "torino-b"}, []string{"lombarda-fibra", "piemonte-posa"}, sidecars),
		})
		r.Start(name, r.RunCommand(), "ROUTER_CONFIG="+file, "ROUTER_NAME="+name, "ROUTER_LISTEN="+listen, "ROUTER_DISCOVERY="+discovery[0])
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
	if r.Trouble {
		for _, p := range links {
			p.SetDelay(late, 0)
		}
		r.Logf("what the watches bring comes %v late", late)
	}
	for i, c := range clients {
		c.Run([]string{"confirm-visit", "hold-slot"}[i%2], []string{"lombarda-fibra", "piemonte-posa"}[i%2], 2500*time.Millisecond, interval)
	}
	time.Sleep(2 * time.Second)

	fleetctl := func(name, command string) {
		p := r.Start(name, "exec bin/fleetctl --config "+ctl+" "+command)
		<-p.Done()
		r.Logf("fleetctl %s: exit %d: %s", command, p.ExitStatus(), strings.ReplaceAll(strings.TrimSpace(r.Log(p)), "\n", " | "))
		if p.ExitStatus() != 0 {
			r.Cannot("fleetctl %s: %s", command, r.Log(p))
		}
	}
	began := time.Now()
	done := 0
	for i := range drains {
		if time.Since(began) > 85*time.Second {
			break
		}
		machine := fmt.Sprint("m", i%servers)
		fleetctl(fmt.Sprint("drain-", i), "drain "+machine+" --timeout 20s")
		time.Sleep(300 * time.Millisecond)
		byName[fmt.Sprint("s", i%servers)].Listen() // the machine is back
		fleetctl(fmt.Sprint("undrain-", i), "undrain "+machine)
		time.Sleep(late + time.Second)
		done++
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
			r.Logf("BROKEN: %s (%s) was running at %s as the drain stopped it, and its client got %d", id, q.Class, server, q.Status)
		}
	}
	r.Say("%d drains, %d requests, %d served, %d cut by the stop of a drained server, %d of them not served by a repetition", done, len(requests), served, len(cut), failed)
	if done < drains/2 || served < 400 {
		r.Cannot("too little happened")
	}
	r.Verdict(failed, "accepted requests were lost to the stop of a server whose drain had taken it for idle")
}
