//go:build review

// Case10: the answer to an eviction is lost, the evicted sidecar's next process joins the
// roster, and the client's own repetition of the call evicts that one.
package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"barleywick/review/standins-2/rig"
)

func main() {
	r := rig.New()
	g := r.StartReplica()
	link := r.NewProxy(g.Addrs[0]) // from the operator's terminal
	ctl := r.Write("ctl.json", map[string]any{"registry": []string{link.Addr}, "floor": map[string]any{"others": 0}, "longest_ms": 6000})
	for i := range 3 {
		b := r.NewBooking(fmt.Sprint("s", i), 70*time.Millisecond)
		b.Listen()
		g.RegisterServer(b.Name, b.Addr, "milano-a", fmt.Sprint("m", i))
	}
	start := func(try int, listen string) *rig.Proc {
		file := r.Write("n0.json", map[string]any{
			"name": "n0", "listen": listen, "discovery": g.Addrs[0], "seed": fmt.Sprintf("%x", 77+try),
			"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 512},
			"settings": rig.Settings([]string{"milano-a", "torino-b"}, []string{"lombarda-fibra"}, 3), "policy": map[string]any{"registry": g.Addrs},
		})
		return r.Start(fmt.Sprint("n0-", try), r.RunCommand(), "ROUTER_CONFIG="+file, "ROUTER_NAME=n0", "ROUTER_LISTEN="+listen, "ROUTER_DISCOVERY="+g.Addrs[0])
	}
	listen := r.FreeAddr()
	n0 := start(1, listen)
	r.AwaitReady("n0", listen)
	time.Sleep(time.Second)

	// The process is gone, and an operator says so.
	n0.Kill()
	r.Logf("n0 is killed")
	passed := make(chan struct{})
	if r.Trouble {
		link.LoseAnswer("POST /registry/v1/policy ", func() {
			r.Logf("the call that evicts n0 has passed, its answer is lost")
			close(passed)
		})
	}
	evict := r.Start("evict", "exec bin/fleetctl --config "+ctl+" policy evict n0")
	if r.Trouble {
		select {
		case <-passed:
		case <-time.After(5 * time.Second):
			r.Cannot("no eviction was sent")
		}
	} else {
		<-evict.Done()
	}
	time.Sleep(200 * time.Millisecond)
	start(2, listen) // the platform starts it again
	r.AwaitReady("n0", listen)
	r.Logf("n0 serves again")
	clients := r.NewClients("n0", listen)
	var mu sync.Mutex
	served, refused := 0, 0
	clients.Done = func(q *rig.Request) {
		mu.Lock()
		defer mu.Unlock()
		r.Logf("request %s sent %s answered %s status %d", q.ID, r.Since(q.Sent), r.Since(q.Answered), q.Status)
		if q.Status == 200 {
			served++
		} else {
			refused++
		}
	}
	clients.Run("confirm-visit", "lombarda-fibra", 2500*time.Millisecond, 50*time.Millisecond)
	<-evict.Done()
	r.Logf("fleetctl policy evict: exit %d: %s", evict.ExitStatus(), strings.TrimSpace(r.Log(evict)))
	time.Sleep(2 * time.Second)
	mu.Lock()
	r.Say("before: %d served, %d refused", served, refused)
	served, refused = 0, 0
	mu.Unlock()
	time.Sleep(15 * time.Second)
	clients.Stop()
	r.Say("in the last 15 s: %d served, %d refused", served, refused)
	broken := 0
	if served == 0 {
		broken = refused
	}
	r.Verdict(broken, "requests refused by a sidecar that was evicted a second time, and none served")
}
