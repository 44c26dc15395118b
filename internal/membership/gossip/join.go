package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"barleywick/internal/membership"
)

const (
	// joinBatch is how many addresses are tried in one call; one that answers is enough.
	joinBatch = 4
	// callersPerRound is about how many members of the fleet call another one in a round,
	// regardless of the fleet's size. A call exchanges full views; hundreds of calls at once would
	// keep members from answering probes before the timeout.
	callersPerRound = 32
)

// addresses returns the addresses where the other members listen that match a filter.
func (n *Node) addresses(filter func(member membership.Member) bool) (addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, member := range n.view.List() {
		if address := n.addrs[member.Key()]; address != "" && member.Key() != n.self.Key() && filter(member) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// seedAddresses returns all addresses where members may listen: those of the configuration,
// of the cache and of the registry.
func (n *Node) seedAddresses(ctx context.Context) []string {
	seeds := slices.Clone(n.options.Config.Seeds)
	if cache, err := n.loadCache(); err == nil {
		seeds = append(seeds, cache.Addresses...)
	}
	if n.options.FindSeeds != nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		found, err := n.options.FindSeeds(callCtx)
		cancel()
		if err != nil {
			n.log.Debug("members: seed lookup failed", "err", err)
		}
		seeds = append(seeds, found...)
	}
	slices.Sort(seeds)
	own := n.options.Config.Listen
	return slices.DeleteFunc(slices.Compact(seeds), func(address string) bool { return address == own })
}

// exchangeViews exchanges full views with some of the addresses, and reports whether a
// member answered. It changes the order of the addresses: those it has tried come first.
func (n *Node) exchangeViews(addresses []string) bool {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	answered, err := n.list.Load().Join(addresses[:min(len(addresses), joinBatch)])
	if err != nil && answered == 0 {
		oneLine := strings.Join(strings.Fields(err.Error()), " ")
		n.log.Debug("members: no peer answered", "at", strings.Join(addresses, " "), "err", oneLine)
	}
	return answered > 0
}

// join calls the seed addresses until a member answers or all have been tried.
func (n *Node) join(ctx context.Context) {
	addresses := n.seedAddresses(ctx)
	for len(addresses) > 0 && ctx.Err() == nil {
		if n.exchangeViews(addresses) {
			n.log.Info("members: joined", "name", n.Self().Name, "members", n.Size())
			return
		}
		addresses = addresses[min(len(addresses), joinBatch):]
	}
	n.log.Warn("members: no peer found yet, still trying", "name", n.Self().Name)
}

// reconnectLoop calls unreachable members, and members that have missed messages, until ctx ends.
// Unreachable members have to be called: both sides of a partition may have declared the other one
// dead, and SWIM itself never calls a dead member.
func (n *Node) reconnectLoop(ctx context.Context) {
	for {
		select {
		case <-time.After(roundInterval*3/4 + rand.N(roundInterval/2)): // spreads the members' calls
		case <-ctx.Done():
			return
		}
		if size := n.Size(); size > callersPerRound && rand.IntN(size) >= callersPerRound {
			continue
		}
		runUntil(ctx, func() { n.reconnect(ctx) })
	}
}

// reconnect calls the members that are due in one round.
func (n *Node) reconnect(ctx context.Context) {
	if addresses := n.reconnectAddresses(ctx); len(addresses) > 0 {
		n.exchangeViews(addresses)
	}
}

// reconnectAddresses returns the addresses to call in this round: an unreachable member, or the
// seeds if no other member is present; and a member whose view differs.
func (n *Node) reconnectAddresses(ctx context.Context) []string {
	addresses := n.addresses(func(member membership.Member) bool { return member.Status == membership.StatusUnreachable })
	if len(addresses) > 0 {
		addresses = []string{addresses[rand.IntN(len(addresses))]}
	} else if n.Size() == 1 {
		addresses = n.seedAddresses(ctx)
	}
	if address := n.differingPeerAddress(); address != "" {
		addresses = append(addresses, address)
	}
	return addresses
}

// differingPeerAddress returns the address of a member whose view differs although the present
// members have not changed for some rounds; it is empty if there is none. That member has missed a
// message, and memberlist's next exchange of views with it may not happen for a long time.
func (n *Node) differingPeerAddress() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	keys := n.view.DifferingPeers(n.now() - 2*roundInterval)
	if !n.view.Stable() || len(keys) == 0 {
		return ""
	}
	return n.addrs[keys[rand.IntN(len(keys))]]
}
