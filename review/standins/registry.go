//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// registryGroup is a group of replicas of the registry, as separate processes.
type registryGroup struct {
	h     *harness
	addrs []string // HTTP addresses
	procs []*process
	files []string
}

type replicaInfo struct {
	ID   string `json:"id"`
	HTTP string `json:"http"`
	Raft string `json:"raft"`
}

// startRegistry starts a group of n replicas. routesOf returns the routes of a replica; it may be nil.
func (h *harness) startRegistry(n int, extra map[string]any, routesOf func(self int, all []replicaInfo) map[string]string) *registryGroup {
	g := &registryGroup{h: h}
	var all []replicaInfo
	for i := range n {
		all = append(all, replicaInfo{fmt.Sprint("r", i+1), h.freeAddr(), h.freeAddr()})
	}
	for i, info := range all {
		config := map[string]any{"group": "prenota-nord", "id": info.ID, "data": h.folder("data-" + info.ID), "replicas": all}
		for key, value := range extra {
			config[key] = value
		}
		if routesOf != nil {
			config["routes"] = routesOf(i, all)
		}
		g.addrs = append(g.addrs, info.HTTP)
		g.files = append(g.files, h.file(info.ID+".json", config))
		g.procs = append(g.procs, h.start(info.ID, "exec bin/registry -config "+g.files[i]))
	}
	for _, addr := range g.addrs {
		h.eventually("replica "+addr+" is ready", 20*time.Second, func() bool { return ready(addr) })
	}
	return g
}

type registryStatus struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Leader   string `json:"leader"`
	Seq      uint64 `json:"seq"`
	Term     uint64 `json:"term"`
	Watches  int    `json:"watches"`
	WatchSeq uint64 `json:"watch_seq"`
}

// leader returns the index of the replica that leads, or -1.
func (g *registryGroup) leader() int {
	for i, addr := range g.addrs {
		var s registryStatus
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, err := call(ctx, "GET", "http://"+addr+"/registry/v1/status", nil, &s)
		cancel()
		if err == nil && status == http.StatusOK && s.State == "leader" {
			return i
		}
	}
	return -1
}

func (g *registryGroup) api(i int, path string) string {
	return "http://" + g.addrs[i] + "/registry/v1/" + path
}

// registerOnce registers a booking server on a machine of its own.
func (h *harness) registerOnce(g *registryGroup, name, addr string) {
	h.registerAt(g, name, addr, "m-"+name)
}

// registerAt registers a booking server in milano-a, without a session: it stays until it is removed.
func (h *harness) registerAt(g *registryGroup, name, addr, machine string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	instance := map[string]any{"host": name, "dial": addr, "site": "milano-a", "class": "single-fast", "health": "up", "share": 1.0, "born_ms": 0}
	status, err := call(ctx, "PUT", g.api(0, "instances/"+name), map[string]any{"instance": instance, "machine": machine}, nil)
	if err != nil || status != http.StatusOK {
		h.fail("register %s: status %d, %v", name, status, err)
	}
}
