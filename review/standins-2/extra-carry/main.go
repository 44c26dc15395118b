//go:build review

// Extra-carry, a further finding: when a change ends the mode refuse, each sidecar releases its roster lease, and the registry takes that for
// its leaving the roster. A sidecar whose link is late goes on serving, and the next change does not wait for it.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"barleywick/review/standins-2/rig"
)

const (
	sidecarCount = 3
	leaseMS      = 5000 // policy.lease_ms, the default
	late         = 500 * time.Millisecond
	rounds       = 5
	observe      = 3 * time.Second
	margin       = 100 * time.Millisecond // after the change is in force everywhere
	interval     = 25 * time.Millisecond
	work         = 70 * time.Millisecond
)

// The tenant that a policy serves; the other is not named in it.
var tenants = []string{"lombarda-fibra", "piemonte-posa"}

func document(mode, tenant string) string {
	return fmt.Sprintf("form = 1\nmode = %q\n[[tenants]]\nname = %q\nslots = 8\nplaces = 2\n", mode, tenant)
}

func main() {
	r := rig.New()
	g := r.StartRegistry(map[string]any{"most_ttl_ms": leaseMS})
	for i := range 2 {
		name := fmt.Sprint("k", i)
		file := r.Write(name+".toml", fmt.Sprintf("name = %q\nregistry = [%q, %q, %q]\nlisten = %q\n[policy]\n", name, g.Addrs[0], g.Addrs[1], g.Addrs[2], r.FreeAddr()))
		r.Start(name, "exec bin/controller --config "+file)
	}
	ctl := r.Write("ctl.json", map[string]any{"registry": g.Addrs, "floor": map[string]any{"others": 0}, "longest_ms": 6000})

	var mu sync.Mutex
	begun := make(map[string]time.Time) // what arrived at the booking servers, by request id
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

	var links []*rig.Proxy // of n0 to the registry
	var sidecars []*rig.Clients
	var requests []*rig.Request
	for i := range sidecarCount {
		name, listen := fmt.Sprint("n", i), r.FreeAddr()
		policy := map[string]any{"registry": g.Addrs, "lease_ms": leaseMS}
		if i == 0 {
			var routes []string
			for _, addr := range g.Addrs {
				p := r.NewProxy(addr)
				links, routes = append(links, p), append(routes, addr+"="+p.Addr)
			}
			policy["routes"] = routes
		}
		file := r.Write(name+".json", map[string]any{
			"name": name, "listen": listen, "discovery": g.Addrs[0], "discovery_replicas": g.Addrs[1:], "seed": fmt.Sprintf("%x", 77+i),
			"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 512},
			"settings": rig.Settings([]string{"milano-a", "torino-b"}, tenants, sidecarCount), "policy": policy,
		})
		r.Start(name, r.RunCommand(), "ROUTER_CONFIG="+file, "ROUTER_NAME="+name, "ROUTER_LISTEN="+listen, "ROUTER_DISCOVERY="+g.Addrs[0])
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
	if r.Trouble {
		for _, p := range links {
			p.SetDelay(late, late)
		}
		r.Logf("what passes between n0 and the registry comes %v late", late)
	}

	r.Describe = func() (found string) {
		for _, c := range sidecars {
			found += fmt.Sprintf("%s: ready %d, %s; ", c.Sidecar, rig.Status("http://"+c.Listen+"/health/ready"), strings.TrimSpace(rig.Get("http://"+c.Listen+"/health/policy")))
		}
		return found
	}

	// propose changes the policy and waits until it is in force everywhere.
	number := 0
	propose := func(mode, tenant string) (settled time.Time) {
		number++
		file := r.Write("policy.toml", document(mode, tenant))
		for range 30 {
			p := r.Start(fmt.Sprint("propose-", number), fmt.Sprintf("exec bin/fleetctl --config %s policy propose %s --reason change-%d --within 40s --wait", ctl, file, number))
			<-p.Done()
			if p.ExitStatus() == 0 {
				settled = time.Now()
				r.Logf("policy of mode %s for %s is in force everywhere: %s", mode, tenant, strings.ReplaceAll(strings.TrimSpace(r.Log(p)), "\n", " | "))
				return settled
			}
			r.Logf("policy of mode %s for %s not proposed: %s", mode, tenant, strings.ReplaceAll(strings.TrimSpace(r.Log(p)), "\n", " | "))
			time.Sleep(500 * time.Millisecond)
		}
		r.Cannot("policy not in force")
		return settled
	}
	inForce := func() bool { // at all sidecars
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
	propose("refuse", tenants[0])
	for _, c := range sidecars {
		for _, t := range tenants {
			c.Run("confirm-visit", t, 2500*time.Millisecond, interval)
		}
	}

	type period struct{ from, to time.Time }
	var periods []period // in which tenants[1] is not served by the policy in force
	for range rounds {
		r.Await("the policy of mode refuse is in force", 20*time.Second, inForce)
		time.Sleep(time.Second)
		propose("carry", tenants[1])
		settled := propose("carry", tenants[0])
		time.Sleep(observe)
		periods = append(periods, period{settled.Add(margin), time.Now()})
		r.Await("the second policy of mode carry is in force", 20*time.Second, inForce)
		propose("refuse", tenants[0])
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
			if arrived && q.Tenant == tenants[1] && q.Sent.After(p.from) && q.Sent.Before(p.to) {
				broken++
				r.Logf("BROKEN: %s of %s was sent to %s at %s, %.3f s after the policy that does not name %s was in force everywhere, and begun at %s", q.ID, q.Tenant, q.Sidecar, r.Since(q.Sent), q.Sent.Sub(p.from.Add(-margin)).Seconds(), q.Tenant, r.Since(ran))
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
