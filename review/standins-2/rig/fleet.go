//go:build review

package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"time"
)

// Registry is a group of three replicas.
type Registry struct {
	rig   *Rig
	Addrs []string // HTTP
	IDs   []string
	Procs []*Proc
}

// StartRegistry starts a group of three replicas and waits until they are ready and have a leader.
func (r *Rig) StartRegistry(leases map[string]any) *Registry {
	g := &Registry{rig: r}
	var replicas []any
	for i := range 3 {
		g.IDs, g.Addrs = append(g.IDs, fmt.Sprint("r", i)), append(g.Addrs, r.FreeAddr())
		replicas = append(replicas, map[string]any{"id": g.IDs[i], "http": g.Addrs[i], "raft": r.FreeAddr()})
	}
	for _, id := range g.IDs {
		c := map[string]any{"group": "prenota-nord", "id": id, "data": r.Dir + "/data-" + id, "replicas": replicas}
		if leases != nil {
			c["leases"] = leases
		}
		g.Procs = append(g.Procs, r.Start(id, "exec bin/registry -config "+r.Write(id+".json", c)))
	}
	for i := range g.Addrs {
		r.Await("replica "+g.IDs[i]+" is ready", 20*time.Second, func() bool { return Status("http://"+g.Addrs[i]+"/health/ready") == 200 })
	}
	return g
}

// Status returns the status of a GET, 0 without an answer.
func Status(url string) int {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(url)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Get returns the body of a GET, empty without an answer.
func Get(url string) string {
	c := http.Client{Timeout: 2 * time.Second}
	resp, err := c.Get(url)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return string(b)
}

// Call makes a call of the registry's API, at one replica after another until one takes it.
func (g *Registry) Call(method, path string, body, response any) {
	text, err := json.Marshal(body)
	if err != nil {
		g.rig.Cannot("%v", err)
	}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for _, addr := range g.Addrs {
			req, _ := http.NewRequest(method, "http://"+addr+"/registry/v1/"+path, bytes.NewReader(text))
			c := http.Client{Timeout: 3 * time.Second}
			resp, err := c.Do(req) // follows the redirect to the leader
			if err != nil {
				continue
			}
			b, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == 200 {
				if response != nil {
					if err := json.Unmarshal(b, response); err != nil {
						g.rig.Cannot("%s %s: %v", method, path, err)
					}
				}
				return
			}
			if resp.StatusCode < 500 {
				g.rig.Cannot("%s %s: %d %s", method, path, resp.StatusCode, b)
			}
		}
	}
	g.rig.Cannot("%s %s: no answer", method, path)
}

// Leader returns the index of the replica that leads.
func (g *Registry) Leader() int {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for i, addr := range g.Addrs {
			if strings.Contains(Get("http://"+addr+"/metrics"), "\nregistry_leader 1") {
				return i
			}
		}
	}
	g.rig.Cannot("no leader")
	return 0
}

// Holder returns the name of the process that holds a lease, empty if none does.
func (g *Registry) Holder(name string) string {
	var response struct {
		Leases []struct {
			Name  string
			Grant *struct{ Holder string }
		}
	}
	if json.Unmarshal([]byte(Get("http://"+g.Addrs[0]+"/registry/v1/leases")), &response) != nil {
		return ""
	}
	for _, l := range response.Leases {
		if l.Name == name && l.Grant != nil {
			return l.Grant.Holder
		}
	}
	return ""
}

// RegisterServer registers a booking server, without a session.
func (g *Registry) RegisterServer(host, dial, site, machine string) {
	g.Call("PUT", "instances/"+host, map[string]any{
		"instance": map[string]any{"host": host, "dial": dial, "site": site, "class": "single-fast", "block": 1, "health": "up", "share": 1, "born_ms": 0},
		"machine":  machine,
	}, nil)
}

// Settings returns settings like those of prenota-nord.
func Settings(zones []string, tenants []string, balancers int) map[string]any {
	var orgs []any
	for _, t := range tenants {
		orgs = append(orgs, map[string]any{"name": t, "share": 1 / float64(len(tenants)), "quota_per_s": 60})
	}
	return map[string]any{
		"balancers": balancers, "zone": 0, "zones": zones, "discovery": "ask", "orgs": orgs, "weights": "rough", "worth_by": "work",
		"classes": []any{
			map[string]any{"name": "hold-slot", "semantics": "guarded", "dedup_scope": "zone", "window_ms": 4000, "aim_ms": 1500, "hard_limit_ms": 6000, "late_share": 0.5, "worth": 5, "stream": false},
			map[string]any{"name": "confirm-visit", "semantics": "single_shot", "dedup_scope": "all", "window_ms": 5000, "aim_ms": 1200, "hard_limit_ms": 3000, "late_share": 0.25, "worth": 3, "stream": false},
		},
		"caps": map[string]any{
			"most_tries": 4, "may_cancel": true, "probes": true, "second_copies": true, "retry_after": true,
			"max_retry_after_ms": 2000, "dial_timeout_ms": 250, "conn_idle_ms": 60000, "streams_per_conn": 1,
		},
		"rules":     map[string]any{"ask_within_ms": 10000, "stop_sending_within_ms": 3000, "cold_from": 0.34, "cold_ms": 8800, "fall_multiple": 3, "overload_for_ms": 2000, "answer_slack_ms": 20},
		"telemetry": map[string]any{"how": "pull", "columns": []string{"pending", "cpu_share", "served_ps"}},
		"charges":   map[string]any{"cross_zone": 0.026},
	}
}

// RunCommand is the command of deploy/balancer.toml that starts a sidecar.
func (r *Rig) RunCommand() string {
	out, err := exec.Command("sed", "-n", `s/^run = "\(.*\)"$/\1/p`, r.root+"/deploy/balancer.toml").Output()
	command := strings.TrimSpace(string(out))
	if err != nil || command == "" {
		r.Cannot("deploy/balancer.toml has no run command")
	}
	return command
}

// AwaitReady waits until a sidecar is ready.
func (r *Rig) AwaitReady(name, listen string) {
	r.Await(name+" is ready", 20*time.Second, func() bool { return Status("http://"+listen+"/health/ready") == 200 })
}

// Reset closes a connection with a reset.
func Reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// Replica is a registry of one replica, which can be started again.
type Replica struct {
	*Registry
	Proc   *Proc
	starts int
	file   string
}

// StartReplica starts a registry of one replica.
func (r *Rig) StartReplica() *Replica {
	addr := r.FreeAddr()
	p := &Replica{Registry: &Registry{rig: r, Addrs: []string{addr}, IDs: []string{"r1"}}}
	p.file = r.Write("r1.json", map[string]any{
		"group": "prenota-nord", "id": "r1", "data": r.Dir + "/r1",
		"replicas": []any{map[string]any{"id": "r1", "http": addr, "raft": r.FreeAddr()}},
	})
	p.Start()
	return p
}

// Start starts the replica, again after its end, and waits until it is ready.
func (p *Replica) Start() {
	p.starts++
	p.Proc = p.rig.Start(fmt.Sprint("r1-", p.starts), "exec bin/registry -config "+p.file)
	p.rig.Await("the registry is ready", 15*time.Second, func() bool { return Status("http://"+p.Addrs[0]+"/health/ready") == 200 })
}
