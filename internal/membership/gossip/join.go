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
	joinBatch = 4 // addresses tried in one go: one that answers is enough
	// callersPerRound is how many members of the fleet call somebody in a round, about, whatever its
	// size: each call exchanges whole views, and those of hundreds at once would take the time
	// in which they are to answer each other.
	callersPerRound    = 32
	maxCachedAddresses = 64
	cacheInterval      = 10 * time.Second
	maxCacheBytes      = 64 << 10 // bytes of the file
)

// addresses are where some of the others listen.
func (n *Node) addresses(of func(s membership.Member) bool) (addrs []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.view.List() {
		if a := n.addrs[s.Key()]; a != "" && s.Key() != n.self.Key() && of(s) {
			addrs = append(addrs, a)
		}
	}
	return addrs
}

// seedAddresses are all addresses where somebody may be found, the likeliest first.
func (n *Node) seedAddresses(ctx context.Context) []string {
	all := slices.Clone(n.options.Config.Seeds)
	if k, err := n.loadCache(); err == nil {
		all = append(all, k.Members...)
	}
	if n.options.FindSeeds != nil {
		in, cancel := context.WithTimeout(ctx, callTimeout)
		more, err := n.options.FindSeeds(in)
		cancel()
		if err != nil {
			n.log.Debug("members: the registry names none", "err", err)
		}
		all = append(all, more...)
	}
	own := n.options.Config.Listen
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(a string) bool { return a == own })
}

// exchangeViews exchanges views with some addresses, and says whether anybody answered.
func (n *Node) exchangeViews(addrs []string) bool {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	some, err := n.list.Load().Join(addrs[:min(len(addrs), joinBatch)])
	if err != nil && some == 0 {
		n.log.Debug("members: nobody answers", "at", strings.Join(addrs, " "), "err", strings.Join(strings.Fields(err.Error()), " "))
	}
	return some > 0
}

// join looks for the fleet, once through all that is known.
func (n *Node) join(ctx context.Context) {
	addrs := n.seedAddresses(ctx)
	for len(addrs) > 0 && ctx.Err() == nil {
		if n.exchangeViews(addrs) {
			n.log.Info("members: joined", "name", n.self.Name, "members", n.Size())
			return
		}
		addrs = addrs[min(len(addrs), joinBatch):]
	}
	n.log.Warn("members: nobody is found yet; the search goes on", "name", n.self.Name)
}

// differingPeerAddress is where a member listens that sees another fleet; empty: none is known.
func (n *Node) differingPeerAddress() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	keys := n.view.DifferingPeers(n.now() - 2*roundInterval)
	if !n.view.Stable() || len(keys) == 0 {
		return ""
	}
	return n.addrs[keys[rand.IntN(len(keys))]]
}

// reconnect calls those that were lost, one a round, and seeds where nobody is there: both
// sides of a partition may have given the other up, and SWIM itself never calls the dead.
// It calls one, too, that still sees another fleet when nobody comes or goes any more:
// gossip may miss somebody, and the next exchange of views by turn is far.
func (n *Node) reconnect(ctx context.Context) {
	kept := time.Now()
	for {
		select {
		case <-time.After(roundInterval*3/4 + rand.N(roundInterval/2)): // not all in one moment
		case <-ctx.Done():
			return
		}
		if size := n.Size(); size > callersPerRound && rand.IntN(size) >= callersPerRound {
			continue
		}
		addrs := n.addresses(func(s membership.Member) bool { return s.Status == membership.StatusUnreachable })
		if len(addrs) > 0 {
			addrs = []string{addrs[rand.IntN(len(addrs))]}
		} else if n.Size() == 1 {
			addrs = n.seedAddresses(ctx)
		}
		if at := n.differingPeerAddress(); at != "" {
			addrs = append(addrs, at)
		}
		if len(addrs) > 0 {
			n.exchangeViews(addrs)
		}
		if time.Since(kept) > cacheInterval {
			n.saveCache()
			kept = time.Now()
		}
	}
}
