//go:build review

// Extra-redrain, a further finding: the answer to the write that hands a drain over is lost, another operator undoes the
// drain, and the first command's own repetition begins it again.
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

const servers = 3

func main() {
	if len(os.Args) == 4 && os.Args[1] == "stop" { // the stop command of the drain
		resp, err := http.Get("http://" + os.Args[2] + "/" + os.Args[3])
		if err != nil || resp.StatusCode != http.StatusOK {
			os.Exit(1)
		}
		return
	}
	r := rig.New()
	g := r.StartReplica()
	var mu sync.Mutex
	var undoneAt time.Time
	stopped := 0
	byName := make(map[string]*rig.Booking)
	for i := range servers {
		b := r.NewBooking(fmt.Sprint("s", i), 70*time.Millisecond)
		b.Listen()
		g.RegisterServer(b.Name, b.Addr, "milano-a", fmt.Sprint("m", i))
		byName[b.Name] = b
	}
	control := r.FreeAddr()
	r.Release(control)
	go http.ListenAndServe(control, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		r.Logf("stop command for %s", req.URL.Path)
		if !undoneAt.IsZero() {
			stopped++
			r.Logf("BROKEN: stop command, %.3f s after fleetctl had said that the drain is undone", time.Since(undoneAt).Seconds())
		}
		byName[strings.TrimPrefix(req.URL.Path, "/")].Stop()
	}))
	self, err := os.Executable()
	if err != nil {
		r.Cannot("%v", err)
	}
	link := r.NewProxy(g.Addrs[0]) // from the first operator's terminal
	config := func(name, addr string) string {
		return r.Write(name, map[string]any{
			"registry": []string{addr}, "floor": map[string]any{"others": 1}, "longest_ms": 6000, "stop": []string{self, "stop", control, "{host}"},
		})
	}
	ctlA, ctlB := config("ctl-a.json", link.Addr), config("ctl-b.json", g.Addrs[0])
	file := r.Write("k0.toml", fmt.Sprintf("name = \"k0\"\nregistry = [%q]\n[drains]\nconfig = %q\n", g.Addrs[0], ctlB))
	r.Start("k0", "exec bin/controller --config "+file)
	listen := r.FreeAddr()
	file = r.Write("n0.json", map[string]any{
		"name": "n0", "listen": listen, "discovery": g.Addrs[0], "seed": "77", "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 512},
		"settings": rig.Settings([]string{"milano-a", "torino-b"}, []string{"lombarda-fibra"}, 3),
	})
	r.Start("n0", r.RunCommand(), "ROUTER_CONFIG="+file, "ROUTER_NAME=n0", "ROUTER_LISTEN="+listen, "ROUTER_DISCOVERY="+g.Addrs[0])
	r.AwaitReady("n0", listen)
	calls := 0
	fleetctl := func(ctl, command string) *rig.Proc {
		calls++
		return r.Start(fmt.Sprint("fleetctl-", calls), "exec bin/fleetctl --config "+ctl+" "+command)
	}
	wait := func(p *rig.Proc, command string) string {
		<-p.Done()
		output := strings.TrimSpace(r.Log(p))
		r.Logf("fleetctl %s: exit %d: %s", command, p.ExitStatus(), strings.ReplaceAll(output, "\n", " | "))
		return output
	}
	r.Await("a controller holds the drains", 30*time.Second, func() bool { return g.Holder("drains") != "" })
	time.Sleep(time.Second)
	time.Sleep(2 * time.Second)

	passed := make(chan struct{})
	if r.Trouble {
		link.LoseAnswer("PUT /registry/v1/records/drains ", func() {
			r.Logf("the write that hands the drain over has passed, its answer is lost")
			close(passed)
		})
	}
	first := fleetctl(ctlA, "drain m0 --detach")
	if r.Trouble {
		select {
		case <-passed:
		case <-time.After(5 * time.Second):
			r.Cannot("no drain was handed over")
		}
	} else {
		wait(first, "drain m0 --detach")
	}
	time.Sleep(2 * time.Second)
	undo := fleetctl(ctlB, "undrain m0")
	if output := wait(undo, "undrain m0"); undo.ExitStatus() != 0 {
		r.Cannot("undrain: %s", output)
	}
	mu.Lock()
	undoneAt = time.Now()
	mu.Unlock()
	if r.Trouble {
		wait(first, "drain m0 --detach")
	}
	time.Sleep(20 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	r.Verdict(stopped, "stop commands for a server whose drain was undone, and not ordered again")
}
