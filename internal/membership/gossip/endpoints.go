package gossip

import "time"

const (
	// maxUnresponsive bounds the booking servers that count as unresponsive at one time.
	maxUnresponsive = 256
	// unresponsiveLifetime is for how long a report of a booking server counts.
	unresponsiveLifetime = 5 * time.Second
)

// ReportUnresponsive tells the other members that a booking server does not answer this
// process. That is a reason to probe it, and nothing more.
func (n *Node) ReportUnresponsive(endpoint string) {
	n.mu.Lock()
	changed := n.recordUnresponsive(endpoint, n.now())
	n.mu.Unlock()
	if changed {
		n.broadcast(message{Kind: messageUnresponsive, Key: n.Self().Key(), Endpoint: endpoint})
		n.notifyChanged()
	}
}

// recordUnresponsive records a report of a booking server, and reports whether it is the
// first in a while. The lock is held.
func (n *Node) recordUnresponsive(endpoint string, now time.Duration) (changed bool) {
	if n.unresponsive[endpoint] != 0 || len(n.unresponsive) >= maxUnresponsive {
		return false
	}
	n.unresponsive[endpoint] = now + unresponsiveLifetime
	return true
}

// expireUnresponsive drops the reports whose lifetime is over. The lock is held.
func (n *Node) expireUnresponsive(now time.Duration) {
	for endpoint, until := range n.unresponsive {
		if now >= until {
			delete(n.unresponsive, endpoint)
		}
	}
}

// UnresponsiveEndpoints returns the booking servers that a member has reported in the last
// seconds.
func (n *Node) UnresponsiveEndpoints() (endpoints []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for endpoint := range n.unresponsive {
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}
