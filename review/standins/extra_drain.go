//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["drain"] = drainCase }

const (
	cutTime     = 6 * time.Second
	burstEvery  = 2 * time.Second
	burstSize   = 12 // requests at each sidecar
	burstWork   = 900 * time.Millisecond
	stopTakes   = 700 * time.Millisecond // until the stop command returns
	drainWithin = 40 * time.Second
)

// drainCase: a machine is drained while one sidecar cannot reach discovery.
func drainCase(h *harness) bool {
	g := h.startRegistry(1, map[string]any{"leases": map[string]any{"most_ttl_ms": 5000}}, nil)
	stops := filepath.Join(h.dir, "stops")
	ctl := h.file("fleetctl.json", map[string]any{
		"registry": g.addrs, "floor": map[string]any{"zones": map[string]int{"milano-a": 3}, "others": 0}, "longest_ms": 6000, "sidecars": 2,
		"stop": []string{"/bin/sh", "-c", fmt.Sprintf("echo {host} >> %s; sleep %g", stops, stopTakes.Seconds())},
	})
	h.start("k1", "exec bin/controller --config "+h.file("k1.toml", fmt.Sprintf("name = \"k1\"\nregistry = [%q]\n[drains]\nconfig = %q\n", g.addrs[0], ctl)))
	servers := make(map[string]*booking)
	for i := range 6 {
		name, machine := fmt.Sprint("s-", i+1), fmt.Sprint("m-", 1+i/3)
		servers[name] = h.startBooking(name)
		h.registerAt(g, name, servers[name].addr, machine)
	}
	link := h.relay(g.addrs[0])
	sidecars := []*sidecarProcess{
		h.startSidecar("n1", link.addr, sidecarSettings(2, 500), nil),
		h.startSidecar("n2", g.addrs[0], sidecarSettings(2, 500), nil),
	}
	for _, s := range sidecars {
		s.awaitReady(20 * time.Second)
	}
	h.eventually("a controller holds the task drains", 20*time.Second, func() bool { return h.leaseHeld(g, "drains") })
	go h.carryOutStops(stops, servers)

	var clients sync.WaitGroup
	var mu sync.Mutex
	var lost []answer
	served := 0
	until := time.Now().Add(16 * time.Second)
	for _, s := range sidecars {
		app := h.application(s.addr)
		clients.Go(func() {
			for ; time.Now().Before(until); time.Sleep(burstEvery) {
				for range burstSize {
					clients.Go(func() {
						got := app.send(confirmVisit, "lombarda-fibra", burstWork, 2500*time.Millisecond)
						mu.Lock()
						defer mu.Unlock()
						switch {
						case got.served():
							served++
						case got.status != http.StatusServiceUnavailable:
							lost = append(lost, got)
						}
					})
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if h.trouble {
		link.refusing.Store(true)
		link.reset()
		h.note("disruption: n1 cannot reach discovery for %v: its connections are reset, new ones are refused", cutTime)
		time.AfterFunc(cutTime, func() {
			link.refusing.Store(false)
			h.note("n1 can reach discovery again")
		})
	}
	time.Sleep(500 * time.Millisecond)
	var replica registryStatus
	_, _ = call(context.Background(), "GET", g.api(0, "status"), nil, &replica)
	h.say("the replica reports %d watches", replica.Watches)
	out, status := h.output(drainWithin, nil, "bin/fleetctl", "--config", ctl, "drain", "m-1")
	for line := range strings.Lines(out) {
		h.say("fleetctl: %s", strings.TrimSpace(line))
	}
	if status != 0 {
		h.fail("fleetctl drain: exit status %d", status)
	}
	clients.Wait()
	for _, got := range lost {
		h.say("lost: %v", got)
	}
	h.say("%d requests served, %d lost", served, len(lost))
	return len(lost) > 0
}

// carryOutStops ends the processes of the servers that the stop command names.
func (h *harness) carryOutStops(path string, servers map[string]*booking) {
	seen := 0
	for ; ; time.Sleep(2 * time.Millisecond) {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		hosts := strings.Fields(string(text))
		for _, host := range hosts[min(seen, len(hosts)):] {
			running, _ := servers[host].load()
			h.say("%s is stopped, with %d requests running", host, running)
			servers[host].kill()
		}
		seen = len(hosts)
	}
}
