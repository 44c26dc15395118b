package gossip

import "time"

const (
	maxUnresponsive      = 256
	unresponsiveLifetime = 5 * time.Second // for how long one word on a server is a reason to look at it
)

// ReportUnresponsive tells the others that a booking server does not answer this process: a
// reason to look at it, and nothing more.
func (n *Node) ReportUnresponsive(host string) {
	n.mu.Lock()
	news := n.unresponsive[host] == 0 && len(n.unresponsive) < maxUnresponsive
	if news {
		n.unresponsive[host] = n.now() + unresponsiveLifetime
	}
	n.mu.Unlock()
	if news {
		n.broadcast(message{Kind: messageUnresponsive, Key: n.self.Key(), Endpoint: host})
		n.notifyChanged()
	}
}

// UnresponsiveEndpoints are the booking servers that some member has not heard from in the last seconds.
func (n *Node) UnresponsiveEndpoints() (hosts []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for host := range n.unresponsive {
		hosts = append(hosts, host)
	}
	return hosts
}
