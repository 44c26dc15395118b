//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["spells"] = spellsCase }

const (
	spell      = 600 * time.Millisecond // for which discovery can be reached
	pushGrace  = 3*time.Second + 50*time.Millisecond
	spellRound = 6
)

// spellsCase: discovery is down, can be reached for a short spell, and is down again. A server begins to drain meanwhile.
func spellsCase(h *harness) bool {
	g := h.startRegistry(1, nil, nil)
	link := h.relay(g.addrs[0])
	s1 := h.startBooking("s-1")
	h.registerOnce(g, "s-1", s1.addr)
	for _, name := range []string{"s-2", "s-3"} {
		h.registerOnce(g, name, h.startBooking(name).addr)
	}
	settings := sidecarSettings(3, 200)
	settings["discovery"] = "push"
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for i := range 3 {
		s := h.startSidecar(fmt.Sprint("n", i+1), link.addr, settings, map[string]any{"seed": fmt.Sprintf("%x", 77+i)})
		s.awaitReady(20 * time.Second)
		app := h.application(s.addr)
		for range 2 {
			clients.Go(func() {
				for ctx.Err() == nil {
					app.send(confirmVisit, "lombarda-fibra", 20*time.Millisecond, 2*time.Second)
					time.Sleep(60 * time.Millisecond)
				}
			})
		}
	}
	mark := func(draining bool) {
		callCtx, end := context.WithTimeout(ctx, 5*time.Second)
		defer end()
		status, err := call(callCtx, "POST", g.api(0, "marks"), map[string]any{"hosts": []string{"s-1"}, "by": "operator", "draining": draining}, nil)
		if err != nil || status != http.StatusOK {
			h.fail("mark: %d, %v", status, err)
		}
	}
	down := func(is bool) {
		link.refusing.Store(is)
		if is {
			link.reset()
		}
	}
	total := 0
	for round := range spellRound {
		time.Sleep(4 * time.Second)
		if !h.trouble {
			mark(true)
			time.Sleep(pushGrace)
			_, before := s1.load()
			time.Sleep(3 * time.Second)
			_, after := s1.load()
			total += after - before
			mark(false)
			continue
		}
		down(true)
		time.Sleep(4 * time.Second)
		mark(true)
		time.Sleep(time.Second)
		down(false)
		up := time.Now()
		time.Sleep(spell)
		down(true)
		time.Sleep(time.Until(up.Add(pushGrace)))
		_, before := s1.load()
		time.Sleep(3 * time.Second)
		_, after := s1.load()
		h.say("round %d: %d new requests at s-1 later than %v after discovery could be reached", round+1, after-before, pushGrace)
		total += after - before
		mark(false)
		down(false)
	}
	cancel()
	clients.Wait()
	return total > 0
}
