//go:build !planted_gossip_removes

package mutation

// GossipRemoves lets the silence of a keeper end its leases.
const GossipRemoves = false
