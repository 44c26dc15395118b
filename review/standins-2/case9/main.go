//go:build review

// Case9: a sidecar that was cut off from the registry under a policy of mode refuse serves by the old policy when
// the link is back, after the fleet has gone on to another without it.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"barleywick/review/standins-2/rig"
)

const (
	sidecarCount = 5
	leaseMS      = 2000 // policy.lease_ms
	cycles       = 8
	cutOff       = 4               // of sidecarCount: the first ones
	leastCut     = 4 * time.Second // and up to spread more
	spread       = 1800 * time.Millisecond
	observe      = 2 * time.Second
	margin       = 300 * time.Millisecond // after the change is in force everywhere
	interval     = 25 * time.Millisecond
	work         = 70 * time.Millisecond
)

// The tenant that each of the two policies serves; the other is not named in it.
var tenants = []string{"lombarda-fibra", "piemonte-posa"}

func document(tenant string) string {
	return fmt.Sprintf("form = 1\nmode = \"refuse\"\n[[tenants]]\nname = %q\nslots = 8\nplaces = 2\n", tenant)
}

func main() {
	r := rig.New()
	g := r.StartRegistry(map[string]any{"most_ttl_ms": 5000})
	for i := range 2 {
		name := fmt.Sprint("k", i)
		file := r.Write(name+".toml", fmt.Sprintf("name = %q\nregistry = [%q, %q, %q]\nlisten = %q\n[policy]\n", name, g.Addrs[0], g.Addrs[1], g.Addrs[2], r.FreeAddr()))
		r.Start(name, "exec bin/controller --config "+file)
	}
	ctl := r.Write("ctl.json", map[string]any{"registry": g.Addrs, "floor": map[string]any{"others": 0}, "longest_ms": 6000})

	// What arrived at the booking servers, by request id.
	var mu sync.Mutex
	begun := make(map[string]time.Time)
	for i := range 4 {
		b := r.NewBooking(fmt.Sprint("s", i), work)
		b.Begun = func(b *rig.Booking, req *http.Request) {
			mu.Lock()
			begun[req.Header.Get("Request-Id")] = time.Now()
			mu.Unlock()
		}
		b.Listen()
		g.RegisterServer(b.Name, b.Addr, []string{"milano-a", "torino-b"}[i%2], fmt.Sprint("m", i))
	}

	// The links of the sidecars that are cut off; n4 has none that can be cut.
	var links []*rig.Proxy
	var sidecars []*rig.Clients
	var requests []*rig.Request
	for i := range sidecarCount {
		name, listen := fmt.Sprint("n", i), r.FreeAddr()
		discovery, routes := g.Addrs, []string{}
		if i < cutOff {
			discovery = nil
			for _, addr := range g.Addrs {
				p := r.NewProxy(addr)
				links, discovery = append(links, p), append(discovery, p.Addr)
				routes = append(routes, addr+"="+p.Addr)
			}
		}
		policy := map[string]any{"registry": g.Addrs, "lease_ms": leaseMS}
		if len(routes) > 0 {
			policy["routes"] = routes
		}
		file := r.Write(name+".json", map[string]any{
			"name": name, "listen": listen, "discovery": discovery[0], "discovery_replicas": discovery[1:], "seed": fmt.Sprintf("%x", 77+i),
			"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 512},
			"settings": rig.Settings([]string{"milano-a", "torino-b"}, tenants, sidecarCount), "policy": policy,
		})
		r.Start(name, r.RunCommand(), "ROUTER_CONFIG="+file, "ROUTER_NAME="+name, "ROUTER_LISTEN="+listen, "ROUTER_DISCOVERY="+discovery[0])
		c := r.NewClients(name, listen)
		c.Done = func(q *rig.Request) {
			mu.Lock()
			requests = append(requests, q)
			mu.Unlock()
		}
		sidecars = append(sidecars, c)
	}
	for _, c := range sidecars {
		r.AwaitReady(c.Sidecar, c.Listen)
	}

	r.Describe = func() (found string) {
		for _, c := range sidecars {
			found += fmt.Sprintf("%s: ready %d, %s; ", c.Sidecar, rig.Status("http://"+c.Listen+"/health/ready"), strings.TrimSpace(rig.Get("http://"+c.Listen+"/health/policy")))
		}
		return found
	}

	// propose changes the policy and waits until it is in force everywhere.
	propose := func(tenant, reason string, onStart func()) (settled time.Time) {
		file := r.Write("policy.toml", document(tenant))
		var p *rig.Proc
		for try := range 20 {
			p = r.Start(fmt.Sprintf("propose-%s-%d", reason, try), fmt.Sprintf("exec bin/fleetctl --config %s policy propose %s --reason %s --within 40s --wait", ctl, file, reason))
			if onStart != nil {
				onStart()
				onStart = nil
			}
			<-p.Done()
			if p.ExitStatus() == 0 {
				settled = time.Now()
				r.Logf("policy for %s is in force everywhere: %s", tenant, strings.ReplaceAll(strings.TrimSpace(r.Log(p)), "\n", " | "))
				return settled
			}
			time.Sleep(500 * time.Millisecond) // no controller leads rollouts yet
		}
		r.Cannot("policy not in force: %s", r.Log(p))
		return settled
	}
	inForce := func() bool { // at all sidecars, also those that were cut off
		first := ""
		for _, c := range sidecars {
			epoch, _, _ := strings.Cut(rig.Get("http://"+c.Listen+"/health/policy"), ",")
			if first == "" {
				first = epoch
			}
			if epoch != first || rig.Status("http://"+c.Listen+"/health/ready") != 200 {
				return false
			}
		}
		return true
	}
	old := 0
	propose(tenants[old], "first", nil)
	r.Await("the first policy is in force", 20*time.Second, inForce)
	for _, c := range sidecars {
		for _, t := range tenants {
			c.Run("confirm-visit", t, 2500*time.Millisecond, interval)
		}
	}
	time.Sleep(time.Second)

	type period struct {
		from, to time.Time
		tenant   string // not served by the policy in force
	}
	var periods []period
	for cycle := range cycles {
		cutAt := time.Now()
		if r.Trouble {
			for _, p := range links {
				p.Cut()
			}
			r.Logf("n0 to n3 are cut off from the registry")
		}
		next := 1 - old
		settled := propose(tenants[next], fmt.Sprint("cycle-", cycle), nil)
		time.Sleep(500 * time.Millisecond)
		if r.Trouble {
			time.Sleep(time.Until(cutAt.Add(leastCut + rand.N(spread))))
			for _, p := range links {
				p.Heal()
			}
			r.Logf("n0 to n3 are reached again")
		}
		time.Sleep(observe)
		periods = append(periods, period{settled.Add(margin), time.Now(), tenants[old]})
		r.Await("the policy is in force at all sidecars", 20*time.Second, inForce)
		old = next
	}
	for _, c := range sidecars {
		c.Stop()
	}

	mu.Lock()
	broken, served := 0, make(map[string]int)
	for _, q := range requests {
		ran, arrived := begun[q.ID]
		r.Logf("request %s %s %s sent %s answered %s status %d begun %v %s", q.ID, q.Sidecar, q.Tenant, r.Since(q.Sent), r.Since(q.Answered), q.Status, arrived, q.Err)
		if q.Status == 200 {
			served[q.Sidecar]++
		}
		for _, p := range periods {
			if arrived && q.Tenant == p.tenant && q.Sent.After(p.from) && q.Sent.Before(p.to) {
				broken++
				r.Logf("BROKEN: %s of %s was sent to %s at %s, %.3f s after the policy that does not name %s was in force everywhere, and begun at %s", q.ID, q.Tenant, q.Sidecar, r.Since(q.Sent), q.Sent.Sub(p.from.Add(-margin)).Seconds(), p.tenant, r.Since(ran))
			}
		}
	}
	mu.Unlock()
	r.Say("requests: %d, served: %v", len(requests), served)
	for _, c := range sidecars {
		if served[c.Sidecar] < 100 {
			r.Cannot("%s has served %d requests only", c.Sidecar, served[c.Sidecar])
		}
	}
	r.Verdict(broken, "requests of a tenant that the policy in force does not name were forwarded")
}
