package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"barleywick/internal/registry"
)

// mixedGroup is a group in which each replica runs either in the test process as the current
// version, or in its own process as the earlier version if -earlier names its program.
type mixedGroup struct {
	t         testing.TB
	members   []registry.ReplicaInfo
	paths     []string // of the configuration files
	nodes     []*node
	processes []*process // nil if the replica runs in the test process or does not run
}

func newMixedGroup(t testing.TB, n int) *mixedGroup {
	t.Helper()
	g := &mixedGroup{t: t, processes: make([]*process, n)}
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("r", i))
	}
	g.members = newMembers(t, ids...)
	for _, m := range g.members {
		settings := map[string]any{
			"group": "test", "id": m.ID, "data": filepath.Join(t.TempDir(), "data"), "replicas": g.members,
			"timing": map[string]any{"election_ms": 500}, "leases": map[string]any{"most_ttl_ms": 5000},
		}
		g.paths = append(g.paths, writeConfig(t, settings))
		g.nodes = append(g.nodes, &node{t: t, config: parseSettings(t, settings), member: m})
	}
	t.Cleanup(func() {
		for _, n := range g.nodes {
			n.stop()
		}
	})
	return g
}

// startEarlier starts a replica as the earlier version.
func (g *mixedGroup) startEarlier(i int) {
	g.t.Helper()
	g.processes[i] = startProcess(g.t, *earlierProgram, g.paths[i])
}

// startCurrent starts a replica as the current version.
func (g *mixedGroup) startCurrent(i int) {
	g.t.Helper()
	g.processes[i] = nil
	g.nodes[i].start()
}

func (g *mixedGroup) awaitAllReady() {
	g.t.Helper()
	for _, m := range g.members {
		awaitReady(g.t, m)
	}
}

// status returns the status that a replica reports.
func (g *mixedGroup) status(i int) (s registry.StatusResponse) {
	g.t.Helper()
	_, _, text := get(g.t, "http://"+g.members[i].HTTP+registry.APIPath+"status")
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		g.t.Fatal(err)
	}
	return s
}

// makeLeader transfers leadership to a replica, and waits until it accepts writes.
func (g *mixedGroup) makeLeader(i int) {
	g.t.Helper()
	to := g.members[i]
	eventually(g.t, "replica "+to.ID+" leads", func() bool {
		for j, n := range g.nodes {
			switch {
			case j == i:
			case n.up && n.raft.State() == raft.Leader:
				n.raft.LeadershipTransferToServer(raft.ServerID(to.ID), raft.ServerAddress(to.Raft)).Error()
			case g.processes[j] != nil && g.status(j).State == "leader": // it transfers leadership when it shuts down
				g.processes[j].terminate()
				g.startEarlier(j)
				awaitReady(g.t, g.members[j])
			}
		}
		return g.status(i).State == "leader"
	})
	eventually(g.t, "the new leader accepts writes", func() bool {
		status, _, _ := callAPI(g.t, "GET", "http://"+to.HTTP+registry.APIPath+"instances?linearizable=1", "")
		return status == http.StatusOK
	})
}

// writeThroughEachReplica registers an instance at every replica: the leader accepts it, and the
// others redirect to the leader. Then it acquires and renews a lease, and checks that all replicas
// have the same state.
func (g *mixedGroup) writeThroughEachReplica(leader int, round string) {
	g.t.Helper()
	for i := range g.members {
		g.retryUnderLeader(leader, func() error { return g.register(i, leader, fmt.Sprintf("%s-%d", round, i)) })
	}
	g.retryUnderLeader(leader, func() error { return g.acquireAndRenew(leader, "lease-"+round) })
	eventually(g.t, "all replicas have the same state after "+round, func() bool {
		var states []string
		for _, m := range g.members {
			_, _, text := get(g.t, "http://"+m.HTTP+registry.APIPath+"backup")
			states = append(states, text)
		}
		return states[0] == states[1] && states[1] == states[2] && strings.Contains(states[0], `"`+round+`-2"`)
	})
}

// retryUnderLeader runs try until it succeeds, and makes the replica leader again before each retry.
func (g *mixedGroup) retryUnderLeader(leader int, try func() error) {
	g.t.Helper()
	for deadline := time.Now().Add(eventTimeout); ; g.makeLeader(leader) {
		err := try()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			g.t.Fatal(err)
		}
	}
}

// register registers an instance through a replica, and checks that a follower redirects to the leader.
func (g *mixedGroup) register(via, leader int, host string) error {
	g.t.Helper()
	body := fmt.Sprintf(`{"instance":{"host":%q,"dial":"127.0.0.1:7001","site":"a","health":"up","share":1,"born_ms":1},"session":"","ttl_ms":0}`, host)
	path := registry.APIPath + "instances/" + host
	url := "http://" + g.members[via].HTTP + path
	if via != leader {
		resp := g.call("PUT", url, body)
		want := "http://" + g.members[leader].HTTP + path
		if got := resp.Header.Get("Location"); resp.StatusCode != http.StatusTemporaryRedirect || got != want {
			return fmt.Errorf("%s: replica %d answers %d with Location %q, want 307 with %q", host, via, resp.StatusCode, got, want)
		}
		url = want
	}
	if resp := g.call("PUT", url, body); resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: the leader answers %d, want 200", host, resp.StatusCode)
	}
	return nil
}

func (g *mixedGroup) acquireAndRenew(leader int, lease string) error {
	g.t.Helper()
	base := "http://" + g.members[leader].HTTP + registry.APIPath
	claim := fmt.Sprintf(`{"holder":"k0","incarnation":1,"ttl_ms":5000,"claim":"claim-%s"}`, lease)
	if status, _, text := callAPI(g.t, "POST", base+"leases/"+lease+"/acquire", claim); status != http.StatusOK {
		return fmt.Errorf("acquire %s: got %d %s", lease, status, text)
	}
	renewal := fmt.Sprintf(`{"holder":"k0","incarnation":1,"claims":[{"name":%q,"claim":"claim-%s"}]}`, lease, lease)
	if status, _, text := callAPI(g.t, "POST", base+"renewals", renewal); status != http.StatusOK || !strings.Contains(text, `"token":`) {
		return fmt.Errorf("renew %s: got %d %s", lease, status, text)
	}
	return nil
}

// call makes a call without following redirects.
func (g *mixedGroup) call(method, url, body string) *http.Response {
	g.t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		g.t.Fatal(err)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		g.t.Fatal(err)
	}
	resp.Body.Close()
	return resp
}

// Replicas of the earlier and of the current version work in one group: either version can lead,
// accept writes and redirect to the leader, and either can start on the other's data folder.
func TestGroupWithEarlierVersion(t *testing.T) {
	g := newMixedGroup(t, 3)
	g.startCurrent(1)
	g.startCurrent(2)
	awaitReady(t, g.members[1])
	g.startEarlier(0)
	g.awaitAllReady()
	awaitGrantsOpen(t, g.members[1])
	g.makeLeader(1)
	g.writeThroughEachReplica(1, "this-leads")
	g.makeLeader(0)
	g.writeThroughEachReplica(0, "earlier-leads")

	g.processes[0].kill()
	g.startCurrent(0)
	g.awaitAllReady()
	g.makeLeader(0)
	g.writeThroughEachReplica(0, "with-the-folder-of-the-earlier")

	g.nodes[1].stop()
	g.startEarlier(1)
	g.awaitAllReady()
	g.writeThroughEachReplica(0, "with-the-folder-of-this")
	g.processes[1].terminate()
	g.startCurrent(1)
	g.awaitAllReady()
	g.writeThroughEachReplica(0, "with-the-folder-of-both")
}
