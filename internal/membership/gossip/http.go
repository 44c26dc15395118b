package gossip

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"barleywick/internal/membership"
)

// View tells this process's view.
func (n *Node) View() membership.ViewResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	side := n.view.Partition()
	a := membership.ViewResponse{
		Fleet: n.options.Config.Fleet, Name: n.self.Name, Incarnation: n.self.Incarnation, HealRounds: n.healRounds.Load(),
		Digest: strconv.FormatUint(n.view.Digest(), 16), Present: side.Present, Unreachable: side.Unreachable, Minority: side.Minority(),
		Members: []membership.MemberView{},
	}
	if side.Partitioned() {
		a.PartitionedMS = (now - side.Since).Milliseconds()
	}
	a.AgreeingPeers, a.ComparedPeers = n.view.Agreement(now - digestLifetime)
	a.DifferingPeers = n.view.DifferingPeers(now - digestLifetime)
	for _, s := range n.view.List() {
		m := membership.MemberView{
			Name: s.Name, Incarnation: s.Incarnation, Role: s.Role, Status: s.Status, StatusAgeMS: (now - s.StatusSince).Milliseconds(), By: s.By,
			Zone: s.Zone, Version: s.Version, PolicyEpoch: s.PolicyEpoch, Phase: s.Phase, GossipAddr: n.addrs[s.Key()], HTTPAddr: s.HTTPAddr, MachineName: s.MachineName, MachineID: s.MachineID, PID: s.PID,
		}
		if s.Key() == n.self.Key() {
			m.GossipAddr = n.options.Config.Listen
		}
		a.Members = append(a.Members, m)
	}
	return a
}

// ServeHTTP tells the view, or forgets a lost member: POST ?forget=NAME.
func (n *Node) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if name := q.URL.Query().Get("forget"); name != "" {
		if q.Method != http.MethodPost {
			http.Error(w, "to forget a member is a POST", http.StatusMethodNotAllowed)
			return
		}
		if n.Forget(name) == 0 {
			http.Error(w, fmt.Sprintf("no member %.64q is lost", name), http.StatusNotFound)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.View()); err != nil {
		n.log.Debug("members: answer not written", "err", err)
	}
}

// Age is how long a member has had its status, by this process's clock.
func (n *Node) Age(s membership.Member) time.Duration { return n.now() - s.StatusSince }
