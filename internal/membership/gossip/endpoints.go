package gossip

import "time"

const (
	// maxUnresponsive bounds the booking servers that count as unresponsive at one time.
	maxUnresponsive = 256
	// unresponsiveLifetime is how long a report about a booking server is valid.
	unresponsiveLifetime = 5 * time.Second
)

// ReportUnresponsive reports to the other members that a booking server does not answer this
// process. The report only causes an early probe of the server.
func (n *Node) ReportUnresponsive(endpoint string) {
	n.mu.Lock()
	changed := n.recordUnresponsive(endpoint, n.now())
	n.mu.Unlock()
	if changed {
		n.broadcast(message{Kind: messageUnresponsive, Key: n.Self().Key(), Endpoint: endpoint})
		n.notifyChanged()
	}
}

// recordUnresponsive records a report about a booking server, and returns whether it is
// new. The caller holds the lock.
func (n *Node) recordUnresponsive(endpoint string, now time.Duration) (changed bool) {
	if n.unresponsive[endpoint] != 0 || len(n.unresponsive) >= maxUnresponsive {
		return false
	}
	n.unresponsive[endpoint] = now + unresponsiveLifetime
	return true
}

// expireUnresponsive drops the reports that have expired. The caller holds the lock.
func (n *Node) expireUnresponsive(now time.Duration) {
	for endpoint, until := range n.unresponsive {
		if now >= until {
			delete(n.unresponsive, endpoint)
		}
	}
}

// UnresponsiveEndpoints returns the booking servers that members have reported as unresponsive in
// the last seconds.
func (n *Node) UnresponsiveEndpoints() (endpoints []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for endpoint := range n.unresponsive {
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}
