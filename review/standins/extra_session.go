//go:build review

package main

import (
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["session"] = sessionCase }

const sessionTTL = 3 * time.Second

// sessionCase: a machine is drained while its server cannot renew its session at the registry.
func sessionCase(h *harness) bool {
	g := h.startRegistry(1, nil, nil)
	link := h.relay(g.addrs[0])
	s1 := h.startBooking("s-1")
	s1.register("http://"+link.addr+"/registry/v1/", "milano-a", "m-1", sessionTTL)
	for _, name := range []string{"s-2", "s-3"} {
		h.startBooking(name).register(g.api(0, ""), "milano-a", "m-"+name, sessionTTL)
	}
	n1 := h.startSidecar("n1", g.addrs[0], sidecarSettings(1, 100), nil)
	n1.awaitReady(20 * time.Second)
	stops := filepath.Join(h.dir, "stops")
	ctl := h.file("fleetctl.json", map[string]any{
		"registry": g.addrs, "floor": map[string]any{"zones": map[string]int{}, "others": 0}, "longest_ms": 6000, "sidecars": 1,
		"stop": []string{"/bin/sh", "-c", "echo {host} >> " + stops},
	})
	go h.carryOutStops(stops, map[string]*booking{"s-1": s1})
	if h.trouble {
		link.silent.Store(true)
		h.note("disruption: s-1 is cut off from the registry; nothing else is cut")
		time.AfterFunc(6*time.Second, func() { link.silent.Store(false) })
	}
	time.Sleep(sessionTTL / 2)
	app := h.application(n1.addr)
	var clients sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for range 9 {
		clients.Go(func() {
			got := app.send(confirmVisit, "lombarda-fibra", 2500*time.Millisecond, 3*time.Second)
			if !got.served() && got.status != http.StatusServiceUnavailable {
				mu.Lock()
				defer mu.Unlock()
				lost++
				h.say("lost: %v", got)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	out, status := h.output(40*time.Second, nil, "bin/fleetctl", "--config", ctl, "drain", "m-1", "--here")
	if status != 0 {
		h.fail("fleetctl drain: exit status %d: %s", status, strings.TrimSpace(out))
	}
	clients.Wait()
	h.say("%d requests lost", lost)
	return lost > 0
}
