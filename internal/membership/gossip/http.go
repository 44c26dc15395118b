package gossip

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"barleywick/internal/membership"
)

// View returns this process's view in the form in which it is served.
func (n *Node) View() membership.ViewResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	partition := n.view.Partition()
	view := membership.ViewResponse{
		Fleet:       n.options.Config.Fleet,
		Name:        n.self.Name,
		Incarnation: n.self.Incarnation,
		Digest:      strconv.FormatUint(n.view.Digest(), 16),
		Present:     partition.Present,
		Unreachable: partition.Unreachable,
		Minority:    partition.Minority(),
		HealRounds:  n.counters.healRounds.Load(),
		Members:     []membership.MemberView{},
	}
	if partition.Partitioned() {
		view.PartitionedMS = (now - partition.Since).Milliseconds()
	}
	view.AgreeingPeers, view.ComparedPeers = n.view.Agreement(now - digestLifetime)
	view.DifferingPeers = n.view.DifferingPeers(now - digestLifetime)
	for _, member := range n.view.List() {
		view.Members = append(view.Members, n.memberView(member, now))
	}
	return view
}

// memberView returns one member of the view as it is served. The caller holds the lock.
func (n *Node) memberView(member membership.Member, now time.Duration) membership.MemberView {
	address := n.addrs[member.Key()]
	if member.Key() == n.self.Key() {
		address = n.options.Config.Listen
	}
	return membership.MemberView{
		Name:        member.Name,
		Incarnation: member.Incarnation,
		Role:        member.Role,
		Status:      member.Status,
		StatusAgeMS: (now - member.StatusSince).Milliseconds(),
		Evidence:    member.Evidence,
		Zone:        member.Zone,
		Version:     member.Version,
		PolicyEpoch: member.PolicyEpoch,
		Phase:       member.Phase,
		GossipAddr:  address,
		HTTPAddr:    member.HTTPAddr,
		MachineName: member.MachineName,
		MachineID:   member.MachineID,
		PID:         member.PID,
	}
}

// ServeHTTP serves the view. POST with ?forget=NAME first marks the unreachable members of
// that name as ended.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if name := r.URL.Query().Get("forget"); name != "" {
		if r.Method != http.MethodPost {
			http.Error(w, "forget requires the method POST", http.StatusMethodNotAllowed)
			return
		}
		if n.Forget(name) == 0 {
			http.Error(w, fmt.Sprintf("no lost member is named %.64q", name), http.StatusNotFound)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.View()); err != nil {
		n.log.Debug("members: response not written", "err", err)
	}
}
